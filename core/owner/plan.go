package owner

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// mostSlices is the number of ranges that each target gets at first: busy
	// keys lie side by side, so that one range a target would leave most of the
	// work to one.
	mostSlices = 4
	// slicesInAll bounds the ranges of a service at first, beyond one a target:
	// the leader renews each of them by itself.
	slicesInAll = 64
	// overload is the load of a target, over the mean, from which keys are moved
	// off it.
	overload = 1.25
	// spareShare is the share of a target's load that a newcomer gets at most.
	spareShare = 0.75
	// leastExcess is the load in requests a second over the mean that is worth a
	// move.
	leastExcess = 0.6
	// mostMoves bounds the moves of one round.
	mostMoves = 16
)

// Assign gives keys that have no owner, or one that leaves, ended or can't be
// reached, to other targets, and a newcomer its part. It answers targets that
// crash, are replaced one by one, or are added without work.
func (l *Leader) Assign(service string, targets map[string]Target, loads *Loads, now time.Time) {
	live := l.live(service, targets, now)
	if len(live) == 0 {
		return
	}
	if len(l.services[service]) == 0 {
		l.deal(service, live)
		return
	}
	if !l.calm(now) && !l.lostOwners(service, targets) {
		return
	}
	if l.settled(service, live) {
		return
	}
	tally := l.tally(service, live, loads)
	for _, p := range slices.Clone(l.services[service]) {
		l.rehome(service, p, targets, live, tally, loads, now)
	}
	if l.calm(now) {
		l.welcome(service, live, tally, loads, now)
	}
}

// settled reports whether each live target owns something, and nothing has
// another owner.
func (l *Leader) settled(service string, live []Target) bool {
	owns := make(map[Incarnation]bool, len(live))
	for _, t := range live {
		owns[t.Incarnation] = false
	}
	for _, p := range l.services[service] {
		if _, ok := owns[p.owner]; !ok {
			return false
		}
		owns[p.owner] = true
	}
	for _, ok := range owns {
		if !ok {
			return false
		}
	}
	return true
}

// lostOwners reports whether some range has an owner that is not known.
func (l *Leader) lostOwners(service string, targets map[string]Target) bool {
	return slices.ContainsFunc(l.services[service], func(p *lease) bool {
		t, known := targets[p.owner.Target]
		return !known || t.Born != p.owner.Born
	})
}

// live returns the targets of a service that may own keys, in the order of
// their ids.
func (l *Leader) live(service string, targets map[string]Target, now time.Time) []Target {
	lost := l.unreachable(service, now)
	var live []Target
	for _, id := range slices.Sorted(maps.Keys(targets)) {
		if t := targets[id]; t.Service == service && !t.Draining && !lost[t.Incarnation] {
			live = append(live, t)
		}
	}
	return live
}

// unreachable returns the owners whose renewals have failed for long. Where
// most fail, it is this host that is cut off, and none is returned.
func (l *Leader) unreachable(service string, now time.Time) map[Incarnation]bool {
	lost := make(map[Incarnation]bool)
	all := make(map[Incarnation]bool)
	for _, p := range l.services[service] {
		all[p.owner] = true
		if !p.failing.IsZero() && now.Sub(p.failing) > unreachableAfter {
			lost[p.owner] = true
		}
	}
	if len(lost)*2 > len(all) {
		return nil
	}
	return lost
}

// deal divides all keys for the first time, in ranges that take turns.
func (l *Leader) deal(service string, live []Target) {
	n := len(live) * min(max(slicesInAll/len(live), 1), mostSlices)
	for i := range n {
		first, last := i*Keys/n, (i+1)*Keys/n-1
		l.services[service] = append(l.services[service], &lease{
			first: uint16(first), last: uint16(last), owner: live[i%len(live)].Incarnation, fence: l.nextFence(),
		})
	}
	l.dirty = true
}

// tally is how much the live targets of a service have to do.
type tally struct {
	// used is the load of each target by what it can run.
	used map[Incarnation]float64
	// cost is what a request a second adds to it.
	cost map[Incarnation]float64
}

func (l *Leader) tally(service string, live []Target, loads *Loads) tally {
	t := tally{used: make(map[Incarnation]float64, len(live)), cost: make(map[Incarnation]float64, len(live))}
	for _, target := range live {
		t.used[target.Incarnation] = 0
		t.cost[target.Incarnation] = loads.RelativeProcessingTime(service, target.Target) / float64(max(target.Slots, 1))
	}
	for _, p := range l.services[service] {
		t.add(p.owner, loads.Range(service, p.first, p.last))
	}
	return t
}

// add gives a target load, or takes it where that is negative.
func (t tally) add(h Incarnation, load float64) {
	if _, live := t.used[h]; live {
		t.used[h] += load * t.cost[h]
	}
}

func (t tally) mean() float64 {
	sum := 0.0
	for _, used := range t.used {
		sum += used
	}
	return sum / float64(len(t.used))
}

// least returns the live target that is used least.
func (t tally) least(live []Target) Target {
	return slices.MinFunc(live, func(a, b Target) int { return cmp.Compare(t.used[a.Incarnation], t.used[b.Incarnation]) })
}

// most returns the live target that is used most.
func (t tally) most(live []Target) Target {
	return slices.MaxFunc(live, func(a, b Target) int { return cmp.Compare(t.used[a.Incarnation], t.used[b.Incarnation]) })
}

func (l *Leader) rehome(service string, p *lease, targets map[string]Target, live []Target, tally tally, loads *Loads, now time.Time) {
	if slices.ContainsFunc(live, func(t Target) bool { return t.Incarnation == p.owner }) {
		return
	}
	to := tally.least(live)
	if t, ok := targets[p.owner.Target]; ok && !t.Draining && t.Born > p.owner.Born {
		to = t
	}
	if l.Move(service, p.first, p.last, to.Incarnation, now) {
		tally.add(to.Incarnation, loads.Range(service, p.first, p.last))
	}
}

// welcome gives targets that own nothing a range of the busiest one.
func (l *Leader) welcome(service string, live []Target, tally tally, loads *Loads, now time.Time) {
	owns := make(map[Incarnation]int)
	for _, p := range l.services[service] {
		owns[p.owner]++
	}
	for _, t := range live {
		if owns[t.Incarnation] > 0 {
			continue
		}
		p := l.spare(service, owns, tally, loads)
		if p == nil {
			return
		}
		from := p.owner
		load := loads.Range(service, p.first, p.last)
		if l.Move(service, p.first, p.last, t.Incarnation, now) {
			owns[t.Incarnation]++
			owns[from]--
			tally.add(from, -load)
			tally.add(t.Incarnation, load)
		}
	}
}

// spare returns the range, of a target that has others, with the most load that
// does not make its new owner the busiest.
func (l *Leader) spare(service string, owns map[Incarnation]int, tally tally, loads *Loads) *lease {
	var best *lease
	bestLoad := -1.0
	for _, p := range l.services[service] {
		load := loads.Range(service, p.first, p.last)
		if owns[p.owner] > 1 && !p.busy && len(p.former) == 0 && load*tally.cost[p.owner] <= tally.used[p.owner]*spareShare && load > bestLoad {
			best, bestLoad = p, load
		}
	}
	return best
}

// Balance moves small ranges of busy keys from the busiest target to the
// idlest. It answers hot keys and busy neighbourhoods of keys.
func (l *Leader) Balance(service string, targets map[string]Target, loads *Loads, now time.Time) int {
	live := l.live(service, targets, now)
	if len(live) < 2 || len(l.services[service]) == 0 || !l.calm(now) {
		return 0
	}
	tally := l.tally(service, live, loads)
	moves := 0
	for moves < mostMoves && l.balanceOnce(service, live, tally, loads, now) {
		moves++
	}
	return moves
}

func (l *Leader) balanceOnce(service string, live []Target, tally tally, loads *Loads, now time.Time) bool {
	from, to, mean := tally.most(live).Incarnation, tally.least(live).Incarnation, tally.mean()
	excess := (tally.used[from] - mean) / tally.cost[from]
	if tally.used[from] < mean*overload || excess < leastExcess {
		return false
	}
	room := min(excess, (mean-tally.used[to])/tally.cost[to])
	w, ok := l.window(service, from, room, loads)
	if !ok || !l.Move(service, w.first, w.last, to, now) {
		return false
	}
	tally.add(from, -w.load)
	tally.add(to, w.load)
	return true
}

// window is a piece of an owner's keys.
type window struct {
	first, last uint16
	load        float64
}

// width is the number of keys of the window.
func (w window) width() int { return int(w.last) - int(w.first) + 1 }

// window returns the narrowest piece of an owner's ranges with about a wanted
// load, at least half of it; moves are priced by their keys.
func (l *Leader) window(service string, from Incarnation, want float64, loads *Loads) (window, bool) {
	var best window
	found := false
	for _, p := range l.services[service] {
		if p.owner != from || p.busy || len(p.former) > 0 {
			continue
		}
		if w, ok := narrowest(loads.busy(service, p.first, p.last), want); ok && (!found || w.width() < best.width()) {
			best, found = w, true
		}
	}
	return best, found
}

// narrowest returns the fewest neighbouring keys with a load between half of
// the wanted one and all of it.
func narrowest(keys []keyLoad, want float64) (window, bool) {
	var best window
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
		w := window{first: keys[start].key, last: keys[end].key, load: sum}
		if !found || w.width() < best.width() {
			best, found = w, true
		}
	}
	return best, found
}
