package owner

import (
	"slices"
	"time"
)

const (
	// overloadRatio is the ratio of the utilization of a target to the mean
	// utilization from which keys are moved off the target. From highUtilization on
	// it is highOverloadRatio: there, queues grow fast with the utilization.
	overloadRatio     = 1.25
	highOverloadRatio = 1.1
	highUtilization   = 0.8
	// minExcessLoad is the smallest load above the mean, in requests per
	// second, that justifies a move.
	minExcessLoad = 0.6
	// maxMovesPerRound bounds the moves of one call of Balance.
	maxMovesPerRound = 16
	// maxRangesPerTarget is the number of ranges per target from which small ranges go
	// back to the owner of the keys around them, up to maxReturnsPerRound in one call of
	// Balance. A range with more than maxReturnLoad, in requests per second, stays.
	maxRangesPerTarget = 8
	maxReturnsPerRound = 8
	maxReturnLoad      = 1.0
	// hotKeyMoveRatio is the ratio of the utilization by a hot key at another target,
	// with the load that this has, to that at its owner up to which the key moves.
	hotKeyMoveRatio = 0.85
)

// balancer is one call of Balance.
type balancer struct {
	leader     *Leader
	service    string
	assignable []Target
	util       utilization
	loads      *Loads
	now        time.Time
	// exhausted holds the targets that nothing more can be moved off.
	exhausted map[Incarnation]bool
	// responsive are the targets that keys may move to.
	responsive []Target
}

// Balance moves keys from overloaded targets to others and returns the number of
// moves. It handles single hot keys, which move to the target that serves them
// fastest, and groups of adjacent busy keys, which are spread.
func (l *Leader) Balance(service string, targets map[string]Target, loads *Loads, now time.Time) int {
	assignable := l.assignableTargets(service, targets, now)
	if len(assignable) < 2 || len(l.services[service]) == 0 || !l.noNewPredecessorLeases(now) {
		return 0
	}
	b := &balancer{
		leader: l, service: service, assignable: assignable, util: l.utilization(service, assignable, loads), loads: loads, now: now,
		exhausted: make(map[Incarnation]bool), responsive: l.responsive(service, assignable),
	}
	moves := 0
	for moves < maxMovesPerRound {
		from, ok := b.mostOverloaded()
		if !ok {
			break
		}
		if b.relieve(from) {
			moves++
		} else {
			b.exhausted[from] = true
		}
	}
	moves += b.returnIdleRanges()
	if moves > 0 {
		l.Merge(service)
	}
	return moves
}

// returnIdleRanges gives ranges that have cooled down back to the owner of the keys on
// both sides, if there are many ranges, and returns how many: the record and the number
// of renewals grow with them.
func (b *balancer) returnIdleRanges() int {
	ranges := slices.Clone(b.leader.services[b.service])
	returned := 0
	for i := 1; i+1 < len(ranges) && returned < min(len(ranges)-maxRangesPerTarget*len(b.assignable), maxReturnsPerRound); i++ {
		r, to := ranges[i], ranges[i-1].owner
		load := b.loads.RangeLoad(b.service, r.first, r.last)
		if ranges[i+1].owner != to || r.owner == to || load > maxReturnLoad || !b.mayReceive(to) || !b.leader.mayMove(r, b.now) {
			continue
		}
		if b.move(keyWindow{first: r.first, last: r.last, load: load}, r.owner, to) {
			returned++
		}
	}
	return returned
}

// mayReceive reports whether a target is responsive and not overloaded.
func (b *balancer) mayReceive(target Incarnation) bool {
	responsive := slices.ContainsFunc(b.responsive, func(t Target) bool { return t.Incarnation == target })
	return responsive && !b.overloaded(target, b.util.mean())
}

// mostOverloaded returns the overloaded target with the highest utilization among
// those that are not exhausted.
func (b *balancer) mostOverloaded() (Incarnation, bool) {
	mean := b.util.mean()
	var most Incarnation
	found := false
	for _, t := range b.assignable {
		used := b.util.byTarget[t.Incarnation]
		if b.exhausted[t.Incarnation] || !b.overloaded(t.Incarnation, mean) || found && used <= b.util.byTarget[most] {
			continue
		}
		most, found = t.Incarnation, true
	}
	return most, found
}

func (b *balancer) overloaded(target Incarnation, mean float64) bool {
	used := b.util.byTarget[target]
	ratio := overloadRatio
	if used > highUtilization {
		ratio = highOverloadRatio
	}
	return used >= mean*ratio && b.excess(target, mean) >= minExcessLoad
}

// excess returns the load of a target above the mean, in requests per second.
func (b *balancer) excess(target Incarnation, mean float64) float64 {
	return (b.util.byTarget[target] - mean) / b.util.perRequest[target]
}

// relieve moves keys off an overloaded target and reports whether it did: its hottest
// key if that alone is more than the target should lose and another target serves it
// faster, else others.
func (b *balancer) relieve(from Incarnation) bool {
	mean := b.util.mean()
	to := b.util.leastUtilizedWith(0, b.responsive).Incarnation
	room := (mean - b.util.byTarget[to]) / b.util.perRequest[to]
	wanted := min(b.excess(from, mean), room)
	hot, found := b.hottestKey(from)
	if found && hot.load > wanted {
		if faster, ok := b.fasterTarget(hot, from); ok && b.move(hot, from, faster) {
			return true
		}
	}
	w, ok := b.findWindow(from, wanted)
	return ok && b.move(w, from, to)
}

func (b *balancer) move(w keyWindow, from, to Incarnation) bool {
	if !b.leader.Move(b.service, w.first, w.last, to, b.now) {
		return false
	}
	b.util.addLoad(from, -w.load)
	b.util.addLoad(to, w.load)
	return true
}

// movable calls yield with the loaded keys of each range of an owner that can be moved
// now.
func (b *balancer) movable(from Incarnation, yield func([]keyLoad)) {
	for _, r := range b.leader.services[b.service] {
		if r.owner == from && b.leader.mayMove(r, b.now) {
			yield(b.loads.loadedKeys(b.service, r.first, r.last))
		}
	}
}

// hottestKey returns the busiest key of an owner as a window.
func (b *balancer) hottestKey(from Incarnation) (hottest keyWindow, found bool) {
	b.movable(from, func(keys []keyLoad) {
		for _, k := range keys {
			if !found || k.load > hottest.load {
				hottest, found = keyWindow{first: k.key, last: k.key, load: k.load}, true
			}
		}
	})
	return hottest, found
}

// fasterTarget returns the target at which a hot key leads to the lowest utilization,
// if that is well below what the key alone makes of its owner's. Targets that are
// warming up are left out: their speed is not known yet.
func (b *balancer) fasterTarget(hot keyWindow, from Incarnation) (Incarnation, bool) {
	others := slices.DeleteFunc(slices.Clone(b.responsive), func(t Target) bool { return t.Incarnation == from || t.WarmingUp })
	if len(others) == 0 {
		return from, false
	}
	best := b.util.leastUtilizedWith(hot.load, others).Incarnation
	used := b.util.byTarget[best] + hot.load*b.util.perRequest[best]
	return best, used < hot.load*b.util.perRequest[from]*hotKeyMoveRatio
}

// keyWindow is a range of keys within a rangeState, with its load in requests per
// second.
type keyWindow struct {
	first, last uint16
	load        float64
}

// width returns the number of keys in the window.
func (w keyWindow) width() int { return int(w.last) - int(w.first) + 1 }

// findWindow returns the narrowest window of an owner's ranges with a load of at most
// want and at least half of it. It takes the narrowest because the cost of a move is
// counted in keys. If there is none, as when a single key makes up most of the load,
// it returns the one with the highest load.
func (b *balancer) findWindow(from Incarnation, want float64) (keyWindow, bool) {
	var best, heaviest keyWindow
	found := false
	b.movable(from, func(keys []keyLoad) {
		w, ok := narrowestWindow(keys, want)
		if ok && (!found || w.width() < best.width()) {
			best, found = w, true
		}
		if w := heaviestWindow(keys, want); w.load > heaviest.load {
			heaviest = w
		}
	})
	if found {
		return best, true
	}
	return heaviest, heaviest.load >= minExcessLoad
}

// windows calls yield with the widest window of at most want in load that ends at each
// key.
func windows(keys []keyLoad, want float64, yield func(keyWindow)) {
	sum, start := 0.0, 0
	for end := range keys {
		sum += keys[end].load
		for sum > want && start <= end {
			sum -= keys[start].load
			start++
		}
		if start <= end {
			yield(keyWindow{first: keys[start].key, last: keys[end].key, load: sum})
		}
	}
}

// narrowestWindow returns the narrowest window with a load of at most want and
// at least half of it.
func narrowestWindow(keys []keyLoad, want float64) (best keyWindow, found bool) {
	windows(keys, want, func(w keyWindow) {
		if w.load >= want/2 && (!found || w.width() < best.width()) {
			best, found = w, true
		}
	})
	return best, found
}

// heaviestWindow returns the window with the highest load up to want; its load is zero
// if there is none.
func heaviestWindow(keys []keyLoad, want float64) (best keyWindow) {
	windows(keys, want, func(w keyWindow) {
		if w.load > best.load {
			best = w
		}
	})
	return best
}
