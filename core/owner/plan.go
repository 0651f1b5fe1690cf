package owner

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// maxInitialRangesPerTarget bounds the number of ranges that each target
	// gets in the initial assignment. It is above 1 because busy keys are
	// adjacent: with one range per target, one target would get most of the
	// load.
	maxInitialRangesPerTarget = 4
	// maxInitialRanges bounds the number of ranges of a service in the initial
	// assignment, unless one range per target is more: the leader renews each
	// range separately.
	maxInitialRanges = 64
	// maxFineRanges is used instead of maxInitialRanges where keys are assigned finely.
	maxFineRanges = 1024
	// maxTransferFraction is the largest fraction of the utilization of a
	// target that a new target gets from it.
	maxTransferFraction = 0.75
)

// Assign gives keys that have no owner, or whose owner is draining, has ended
// or is unreachable, to other targets. It gives a range to each target that
// owns nothing. It handles targets that crash, are replaced one by one, or are
// added without keys.
func (l *Leader) Assign(service string, targets map[string]Target, loads *Loads, now time.Time) {
	assignable := l.assignableTargets(service, targets, now)
	if len(assignable) == 0 {
		return
	}
	if len(l.services[service]) == 0 {
		l.assignAll(service, assignable)
		return
	}
	if !l.noNewPredecessorLeases(now) && !l.hasMissingOwners(service, targets) {
		return
	}
	if l.fullyAssigned(service, assignable) {
		return
	}
	util := l.utilization(service, assignable, loads)
	for _, r := range l.byLoad(service, loads) {
		l.reassign(service, r, targets, assignable, util, loads, now)
	}
	if l.noNewPredecessorLeases(now) {
		l.assignToNewTargets(service, assignable, util, loads, now)
	}
}

// byLoad returns the ranges of a service, those with the most load first. Many may move at once,
// and the targets with the most room are to get the busiest ones.
func (l *Leader) byLoad(service string, loads *Loads) []*rangeState {
	ranges := slices.Clone(l.services[service])
	load := make(map[*rangeState]float64, len(ranges))
	for _, r := range ranges {
		load[r] = loads.RangeLoad(service, r.first, r.last)
	}
	slices.SortStableFunc(ranges, func(a, b *rangeState) int { return cmp.Compare(load[b], load[a]) })
	return ranges
}

// fullyAssigned reports whether each assignable target owns a range and all
// ranges are owned by assignable targets.
func (l *Leader) fullyAssigned(service string, assignable []Target) bool {
	owns := make(map[Incarnation]bool, len(assignable))
	for _, t := range assignable {
		owns[t.Incarnation] = false
	}
	for _, r := range l.services[service] {
		if _, ok := owns[r.owner]; !ok {
			return false
		}
		owns[r.owner] = true
	}
	for _, ok := range owns {
		if !ok {
			return false
		}
	}
	return true
}

// hasMissingOwners reports whether the owner of a range is not among the
// targets, or has restarted.
func (l *Leader) hasMissingOwners(service string, targets map[string]Target) bool {
	return slices.ContainsFunc(l.services[service], func(r *rangeState) bool {
		t, known := targets[r.owner.Target]
		return !known || t.Born != r.owner.Born
	})
}

// assignableTargets returns the targets of a service that may own keys, ordered by
// id.
func (l *Leader) assignableTargets(service string, targets map[string]Target, now time.Time) []Target {
	unreachable := l.unreachableOwners(service, now)
	var assignable []Target
	for _, id := range slices.Sorted(maps.Keys(targets)) {
		if t := targets[id]; t.Service == service && !t.Draining && !unreachable[t.Incarnation] && !l.hasEnded(t.Incarnation, now) {
			assignable = append(assignable, t)
		}
	}
	return assignable
}

// responsive returns the assignable targets without a failed order since their last
// success. If there is none, all are returned.
func (l *Leader) responsive(service string, assignable []Target) []Target {
	failing := make(map[Incarnation]bool)
	for _, r := range l.services[service] {
		if !r.failingSince.IsZero() {
			failing[r.owner] = true
		}
	}
	responsive := slices.DeleteFunc(slices.Clone(assignable), func(t Target) bool { return failing[t.Incarnation] })
	if len(responsive) == 0 {
		return assignable
	}
	return responsive
}

// unreachableOwners returns the owners whose renewals have failed for more than
// unreachableAfter. If that is more than half of all owners, this host itself
// is taken to be disconnected, and none is returned.
func (l *Leader) unreachableOwners(service string, now time.Time) map[Incarnation]bool {
	unreachable := make(map[Incarnation]bool)
	all := make(map[Incarnation]bool)
	for _, r := range l.services[service] {
		all[r.owner] = true
		if !r.failingSince.IsZero() && now.Sub(r.failingSince) > unreachableAfter {
			unreachable[r.owner] = true
		}
	}
	if len(unreachable)*2 > len(all) {
		return nil
	}
	return unreachable
}

// AssignFinely sets whether the initial assignment consists of more and smaller ranges, so that
// a region of busy keys lies at several targets from the start.
func (l *Leader) AssignFinely(on bool) { l.fine = on }

// assignAll makes the initial assignment: ranges of equal size, assigned to the
// targets in turn.
func (l *Leader) assignAll(service string, assignable []Target) {
	ranges := maxInitialRanges
	if l.fine {
		ranges = maxFineRanges
	}
	n := len(assignable) * min(max(ranges/len(assignable), 1), maxInitialRangesPerTarget)
	for i := range n {
		first, last := i*Keys/n, (i+1)*Keys/n-1
		l.services[service] = append(l.services[service], &rangeState{
			service: service, first: uint16(first), last: uint16(last), owner: assignable[i%len(assignable)].Incarnation, fencingToken: l.nextFencingToken(),
		})
	}
	l.unsaved = true
}

func (l *Leader) reassign(service string, r *rangeState, targets map[string]Target, assignable []Target, util utilization, loads *Loads, now time.Time) {
	if slices.ContainsFunc(assignable, func(t Target) bool { return t.Incarnation == r.owner }) || l.mayMoveSoon(r, targets, now) {
		return
	}
	load := loads.RangeLoad(service, r.first, r.last)
	to := util.leastUtilizedWith(load, l.responsive(service, assignable))
	if t := targets[r.owner.Target]; !t.Draining && hasRestarted(r.owner, service, targets) {
		to = t
	}
	if l.Move(service, r.first, r.last, to.Incarnation, now) {
		util.addLoad(to.Incarnation, load)
	}
}

// assignToNewTargets moves a range of another target to each assignable target
// that owns nothing.
func (l *Leader) assignToNewTargets(service string, assignable []Target, util utilization, loads *Loads, now time.Time) {
	owns := make(map[Incarnation]int)
	for _, r := range l.services[service] {
		owns[r.owner]++
	}
	for _, t := range assignable {
		if owns[t.Incarnation] > 0 {
			continue
		}
		r := l.transferableRange(service, owns, util, loads, now)
		if r == nil {
			return
		}
		from := r.owner
		load := loads.RangeLoad(service, r.first, r.last)
		if l.Move(service, r.first, r.last, t.Incarnation, now) {
			owns[t.Incarnation]++
			owns[from]--
			util.addLoad(from, -load)
			util.addLoad(t.Incarnation, load)
		}
	}
}

// transferableRange returns the range with the highest load that can be moved
// to a new target, or nil. Its owner must have other ranges, and its share of
// the utilization of the owner is at most maxTransferFraction.
func (l *Leader) transferableRange(service string, owns map[Incarnation]int, util utilization, loads *Loads, now time.Time) *rangeState {
	var best *rangeState
	bestLoad := -1.0
	for _, r := range l.services[service] {
		load := loads.RangeLoad(service, r.first, r.last)
		if owns[r.owner] > 1 && l.mayMove(r, now) && load*util.perRequest[r.owner] <= util.byTarget[r.owner]*maxTransferFraction && load > bestLoad {
			best, bestLoad = r, load
		}
	}
	return best
}
