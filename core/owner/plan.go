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
	// overloadRatio is the ratio of the utilization of a target to the mean
	// utilization from which keys are moved off the target.
	overloadRatio = 1.25
	// maxTransferFraction is the largest fraction of the utilization of a
	// target that a new target gets from it.
	maxTransferFraction = 0.75
	// minExcessLoad is the smallest load above the mean, in requests per
	// second, that justifies a move.
	minExcessLoad = 0.6
	// maxMovesPerRound bounds the moves of one call of Balance.
	maxMovesPerRound = 16
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
	for _, r := range slices.Clone(l.services[service]) {
		l.reassign(service, r, targets, assignable, util, loads, now)
	}
	if l.noNewPredecessorLeases(now) {
		l.assignToNewTargets(service, assignable, util, loads, now)
	}
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
		if t := targets[id]; t.Service == service && !t.Draining && !unreachable[t.Incarnation] {
			assignable = append(assignable, t)
		}
	}
	return assignable
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

// assignAll makes the initial assignment: ranges of equal size, assigned to the
// targets in turn.
func (l *Leader) assignAll(service string, assignable []Target) {
	n := len(assignable) * min(max(maxInitialRanges/len(assignable), 1), maxInitialRangesPerTarget)
	for i := range n {
		first, last := i*Keys/n, (i+1)*Keys/n-1
		l.services[service] = append(l.services[service], &rangeState{
			first: uint16(first), last: uint16(last), owner: assignable[i%len(assignable)].Incarnation, fencingToken: l.nextFencingToken(),
		})
	}
	l.unsaved = true
}

// utilization is the utilization of the assignable targets of a service.
type utilization struct {
	// byTarget is the load of each target divided by its slots.
	byTarget map[Incarnation]float64
	// perRequest is what one request per second adds to it.
	perRequest map[Incarnation]float64
}

func (l *Leader) utilization(service string, assignable []Target, loads *Loads) utilization {
	u := utilization{byTarget: make(map[Incarnation]float64, len(assignable)), perRequest: make(map[Incarnation]float64, len(assignable))}
	for _, target := range assignable {
		u.byTarget[target.Incarnation] = 0
		u.perRequest[target.Incarnation] = loads.RelativeProcessingTime(service, target.Target) / float64(max(target.Slots, 1))
	}
	for _, r := range l.services[service] {
		u.addLoad(r.owner, loads.RangeLoad(service, r.first, r.last))
	}
	return u
}

// addLoad adds load in requests per second to a target. A negative load is
// subtracted.
func (u utilization) addLoad(target Incarnation, load float64) {
	if _, assignable := u.byTarget[target]; assignable {
		u.byTarget[target] += load * u.perRequest[target]
	}
}

func (u utilization) mean() float64 {
	sum := 0.0
	for _, used := range u.byTarget {
		sum += used
	}
	return sum / float64(len(u.byTarget))
}

// leastUtilized returns the assignable target with the lowest utilization.
func (u utilization) leastUtilized(assignable []Target) Target {
	return slices.MinFunc(assignable, func(a, b Target) int { return cmp.Compare(u.byTarget[a.Incarnation], u.byTarget[b.Incarnation]) })
}

// mostUtilized returns the assignable target with the highest utilization.
func (u utilization) mostUtilized(assignable []Target) Target {
	return slices.MaxFunc(assignable, func(a, b Target) int { return cmp.Compare(u.byTarget[a.Incarnation], u.byTarget[b.Incarnation]) })
}

func (l *Leader) reassign(service string, r *rangeState, targets map[string]Target, assignable []Target, util utilization, loads *Loads, now time.Time) {
	if slices.ContainsFunc(assignable, func(t Target) bool { return t.Incarnation == r.owner }) {
		return
	}
	to := util.leastUtilized(assignable)
	if t, ok := targets[r.owner.Target]; ok && !t.Draining && t.Born > r.owner.Born {
		to = t
	}
	if l.Move(service, r.first, r.last, to.Incarnation, now) {
		util.addLoad(to.Incarnation, loads.RangeLoad(service, r.first, r.last))
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
		r := l.transferableRange(service, owns, util, loads)
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
func (l *Leader) transferableRange(service string, owns map[Incarnation]int, util utilization, loads *Loads) *rangeState {
	var best *rangeState
	bestLoad := -1.0
	for _, r := range l.services[service] {
		load := loads.RangeLoad(service, r.first, r.last)
		if owns[r.owner] > 1 && !r.inFlight && len(r.former) == 0 && load*util.perRequest[r.owner] <= util.byTarget[r.owner]*maxTransferFraction && load > bestLoad {
			best, bestLoad = r, load
		}
	}
	return best
}

// Balance moves small ranges of busy keys from the most utilized to the least
// utilized target and returns the number of moves. It handles hot keys and
// groups of adjacent hot keys.
func (l *Leader) Balance(service string, targets map[string]Target, loads *Loads, now time.Time) int {
	assignable := l.assignableTargets(service, targets, now)
	if len(assignable) < 2 || len(l.services[service]) == 0 || !l.noNewPredecessorLeases(now) {
		return 0
	}
	util := l.utilization(service, assignable, loads)
	moves := 0
	for moves < maxMovesPerRound && l.moveOnce(service, assignable, util, loads, now) {
		moves++
	}
	return moves
}

func (l *Leader) moveOnce(service string, assignable []Target, util utilization, loads *Loads, now time.Time) bool {
	from, to, mean := util.mostUtilized(assignable).Incarnation, util.leastUtilized(assignable).Incarnation, util.mean()
	excess := (util.byTarget[from] - mean) / util.perRequest[from]
	if util.byTarget[from] < mean*overloadRatio || excess < minExcessLoad {
		return false
	}
	wanted := min(excess, (mean-util.byTarget[to])/util.perRequest[to])
	w, ok := l.findWindow(service, from, wanted, loads)
	if !ok || !l.Move(service, w.first, w.last, to, now) {
		return false
	}
	util.addLoad(from, -w.load)
	util.addLoad(to, w.load)
	return true
}

// keyWindow is a range of keys within a rangeState, with its load in requests per
// second.
type keyWindow struct {
	first, last uint16
	load        float64
}

// width returns the number of keys in the window.
func (w keyWindow) width() int { return int(w.last) - int(w.first) + 1 }

// findWindow returns the narrowest window of an owner's ranges with a load of
// at most want and at least half of it. It takes the narrowest because the cost
// of a move is counted in keys.
func (l *Leader) findWindow(service string, from Incarnation, want float64, loads *Loads) (keyWindow, bool) {
	var best keyWindow
	found := false
	for _, r := range l.services[service] {
		if r.owner != from || r.inFlight || len(r.former) > 0 {
			continue
		}
		if w, ok := narrowestWindow(loads.loadedKeys(service, r.first, r.last), want); ok && (!found || w.width() < best.width()) {
			best, found = w, true
		}
	}
	return best, found
}

// narrowestWindow returns the narrowest window with a load of at most want and
// at least half of it.
func narrowestWindow(keys []keyLoad, want float64) (keyWindow, bool) {
	var best keyWindow
	found := false
	sum, start := 0.0, 0
	for end := range keys {
		sum += keys[end].load
		for sum > want && start <= end {
			sum -= keys[start].load
			start++
		}
		if sum < want/2 || start > end {
			continue
		}
		w := keyWindow{first: keys[start].key, last: keys[end].key, load: sum}
		if !found || w.width() < best.width() {
			best, found = w, true
		}
	}
	return best, found
}
