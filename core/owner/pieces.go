package owner

import (
	"cmp"
	"slices"
)

// roomiest returns the receiver, other than the given target, that has room for the most load
// below a utilization, and that load in requests per second.
func (s *spreader) roomiest(from Incarnation, fill float64) (to Incarnation, room float64) {
	for _, t := range s.receivers {
		left := (fill - s.util.byTarget[t.Incarnation]) / s.util.perRequest[t.Incarnation]
		if t.Incarnation != from && left > room {
			to, room = t.Incarnation, left
		}
	}
	return to, room
}

// fastest returns the least that one request per second adds to the utilization of a receiver.
func (s *spreader) fastest() float64 {
	least := s.util.perRequest[s.receivers[0].Incarnation]
	for _, t := range s.receivers[1:] {
		least = min(least, s.util.perRequest[t.Incarnation])
	}
	return least
}

// unservable returns the load of single keys beyond what the fastest target serves when all its
// slots are busy. No assignment of keys serves it.
func (s *spreader) unservable() float64 {
	most := 1 / s.fastest()
	beyond := 0.0
	for _, k := range s.loads.sortedKeys(s.service) {
		beyond += max(k.load-most, 0)
	}
	return beyond
}

// fasterTarget returns the receiver at which a key that no target can serve leads to the lowest
// utilization, if that is well below what the key alone makes of its owner's.
func (s *spreader) fasterTarget(hot keyWindow, from Incarnation) (Incarnation, bool) {
	best := s.util.leastUtilizedWith(hot.load, s.receivers).Incarnation
	used := s.util.byTarget[best] + hot.load*s.util.perRequest[best]
	return best, best != from && used < hot.load*s.util.perRequest[from]*fasterRatio
}

// hottest returns the busiest key of an owner and the run that it is in.
func (s *spreader) hottest(from Incarnation) (run int, hottest keyWindow, found bool) {
	for i, r := range s.runs[from] {
		for _, k := range r.keys {
			if !found || k.load > hottest.load {
				run, hottest, found = i, keyWindow{first: k.key, last: k.key, load: k.load}, true
			}
		}
	}
	return run, hottest, found
}

// rested reports whether a run may be moved again: it has been long enough at its owner, or
// the owner is far above the mean.
func (s *spreader) rested(r keyRun, from Incarnation) bool {
	return s.now.Sub(r.movedAt) >= keyRest || s.util.byTarget[from] >= heavyRatio*s.mean
}

// findPiece returns the narrowest window of an owner's runs with a load of at most want and at
// least half of it, or, if there is none, the heaviest of at least a load.
func (s *spreader) findPiece(from Incarnation, want, least float64) (run int, piece keyWindow, ok bool) {
	var heaviest keyWindow
	heaviestRun := 0
	for i, r := range s.runs[from] {
		if !s.rested(r, from) {
			continue
		}
		if w, found := narrowestWindow(r.keys, want); found && (!ok || w.width() < piece.width()) {
			run, piece, ok = i, w, true
		}
		if w := heaviestWindow(r.keys, want); w.load > heaviest.load {
			heaviestRun, heaviest = i, w
		}
	}
	if ok {
		return run, piece, true
	}
	return heaviestRun, heaviest, heaviest.load >= least
}

// lightestKey returns the least busy key of an owner with at least half of its excess that
// another target has room for.
func (s *spreader) lightestKey(from Incarnation, excess, room float64) (run int, piece keyWindow, ok bool) {
	for i, r := range s.runs[from] {
		if !s.rested(r, from) {
			continue
		}
		for _, k := range r.keys {
			if k.load >= excess/2 && k.load <= room && (!ok || k.load < piece.load) {
				run, piece, ok = i, keyWindow{first: k.key, last: k.key, load: k.load}, true
			}
		}
	}
	return run, piece, ok
}

// movePiece moves a window of a run, unless there are too many ranges already.
func (s *spreader) movePiece(run int, w keyWindow, from, to Incarnation) bool {
	w = s.runs[from][run].widen(w)
	if len(s.leader.services[s.service]) >= s.mostRanges() || !s.move(w, from, to) {
		return false
	}
	s.cut(from, run, w)
	return true
}

// widen extends a window to the ends of the run, where little load lies between.
func (r keyRun) widen(w keyWindow) keyWindow {
	var before, after float64
	for _, k := range r.keys {
		switch {
		case k.key < w.first:
			before += k.load
		case k.key > w.last:
			after += k.load
		}
	}
	slack := w.load * edgeLoad
	if before <= slack {
		w.first, w.load = r.first, w.load+before
	}
	if after <= slack {
		w.last, w.load = r.last, w.load+after
	}
	return w
}

// cut takes a window out of a run. What is left of it on both sides are runs of their own.
func (s *spreader) cut(from Incarnation, run int, w keyWindow) {
	r := s.runs[from][run]
	start := slices.IndexFunc(r.keys, func(k keyLoad) bool { return k.key >= w.first })
	end := start
	for end < len(r.keys) && r.keys[end].key <= w.last {
		end++
	}
	runs := slices.Delete(s.runs[from], run, run+1)
	if start > 0 {
		runs = append(runs, keyRun{first: r.first, last: w.first - 1, keys: r.keys[:start], movedAt: r.movedAt})
	}
	if end < len(r.keys) {
		runs = append(runs, keyRun{first: w.last + 1, last: r.last, keys: r.keys[end:], movedAt: r.movedAt})
	}
	s.runs[from] = runs
}

// join gives light ranges to the owner of a range beside them, the lightest first, if there are
// many ranges: the record and the number of renewals grow with them.
func (s *spreader) join() {
	ranges := s.leader.services[s.service]
	excess := len(ranges) - min(joinedRangesPerTarget*len(s.assignable), s.mostRanges()/2)
	most := max(minSpreadMoves, int(joinsPerTarget*float64(len(s.assignable))))
	responsive := make(map[Incarnation]bool, len(s.responsive))
	for _, t := range s.responsive {
		responsive[t.Incarnation] = true
	}
	for _, w := range s.lightRanges(excess) {
		if s.moves.Joined >= min(excess, most) {
			return
		}
		i := s.leader.rangeIndex(s.service, w.first)
		ranges := s.leader.services[s.service]
		r := ranges[i]
		for _, beside := range []int{i - 1, i + 1} {
			if beside < 0 || beside >= len(ranges) {
				continue
			}
			to := ranges[beside].owner
			after := s.util.byTarget[to] + w.load*s.util.perRequest[to]
			if to != r.owner && responsive[to] && after <= s.goal && s.leader.mayMove(ranges[beside], s.now) && s.move(w, r.owner, to) {
				s.moves.Joined++
				break
			}
		}
	}
}

// lightRanges returns the ranges of at most maxReturnLoad that may be moved, the lightest first,
// if any are in excess.
func (s *spreader) lightRanges(excess int) []keyWindow {
	if excess <= 0 {
		return nil
	}
	var light []keyWindow
	for _, r := range s.leader.services[s.service] {
		w := keyWindow{first: r.first, last: r.last, load: s.loads.RangeLoad(s.service, r.first, r.last)}
		if w.load <= maxReturnLoad && s.leader.mayMove(r, s.now) && s.now.Sub(r.movedAt) >= keyRest {
			light = append(light, w)
		}
	}
	slices.SortFunc(light, func(a, b keyWindow) int { return cmp.Compare(a.load, b.load) })
	return light
}

// rangeIndex returns the index of the range of a service that contains a key.
func (l *Leader) rangeIndex(service string, key uint16) int {
	i, _ := slices.BinarySearchFunc(l.services[service], key, func(r *rangeState, k uint16) int {
		switch {
		case r.last < k:
			return -1
		case r.first > k:
			return 1
		}
		return 0
	})
	return i
}
