package owner

import (
	"cmp"
	"slices"
	"time"
)

const (
	// spreadRatio is the ratio of the utilization of a target to the mean from which keys
	// are moved off it, highSpreadRatio the same from highUtilization on, and urgentRatio
	// the same in the rounds between two full ones.
	spreadRatio     = 1.5
	highSpreadRatio = 1.25
	urgentRatio     = 1.6
	// fillRatio is the ratio to the mean up to which targets receive keys, and down to
	// which keys are moved off.
	fillRatio = 1.05
	// heavyRatio is the ratio to the mean from which a target counts as far above it, and
	// heavyFillRatio that up to which targets then receive its keys, but not beyond
	// heavyFillUtilization.
	heavyRatio           = 2.0
	heavyFillRatio       = 1.8
	heavyFillUtilization = 0.9
	// exchangeRatio is the utilization, as a part of that of its owner, up to which another
	// target may receive a key that none has room for. It is relieved of smaller ones then.
	exchangeRatio = 0.75
	// idleUtilization is the utilization below which a target is never overloaded: it
	// serves what it is asked at once.
	idleUtilization = 0.5
	// movesPerTarget is the number of moves of one round for each target, minSpreadMoves
	// the number for few targets.
	movesPerTarget = 0.66
	minSpreadMoves = 16
	// maxSpreadRangesPerTarget is the number of ranges per target from which none is split
	// any more, and joinedRangesPerTarget that from which light ranges are joined with those
	// beside them.
	maxSpreadRangesPerTarget = 8
	joinedRangesPerTarget    = 4
	// maxSpreadRanges is the number of ranges from which none is split either, unless two per
	// target are more: each is renewed separately, and part of the record.
	maxSpreadRanges = 2048
	// joinsPerTarget is the number of joined ranges of one round for each target.
	joinsPerTarget = 0.25
	// edgeLoad is the load that may go along with a piece, as a part of its load, so that no
	// range is left beside it.
	edgeLoad = 0.1
	// keyRest is the time for which a range stays at a new owner, hotKeyRest the same for
	// a key that no target can serve.
	keyRest    = 1500 * time.Millisecond
	hotKeyRest = 4 * time.Second
	// minLoadBeside is the smallest load, in requests per second, that is moved off the owner
	// of such a key.
	minLoadBeside = 0.1
	// fasterRatio is the ratio of the utilization by a key that no target can serve at
	// another target to that at its owner up to which the key moves. An owner that is full
	// looks slower than it is.
	fasterRatio = 0.6
)

// Moves is the number of ranges that a round moved, by reason.
type Moves struct {
	// Overload is the number off overloaded targets, HotKey that of keys which no target
	// can serve alone, moved to a faster one, and Joined that of light ranges joined with one
	// beside them.
	Overload, HotKey, Joined int
	// Overloaded is the number of targets that were overloaded, and Highest the highest
	// utilization without that by a key that no target can serve, in multiples of the mean.
	Overloaded int
	Highest    float64
	// Ranges is the number of ranges of the service after the round.
	Ranges int
	// Unservable is the load of single keys, in requests per second, that no target can serve.
	Unservable float64
}

// Total returns the number of moves.
func (m Moves) Total() int { return m.Overload + m.HotKey + m.Joined }

// keyRun is a run of keys of one owner that may be moved.
type keyRun struct {
	first, last uint16
	// keys are the loaded ones.
	keys []keyLoad
	// movedAt is when the keys came to their owner; zero for an unknown time.
	movedAt time.Time
}

// spreader is one call of Spread.
type spreader struct {
	*balancer
	mean, goal float64
	runs       map[Incarnation][]keyRun
	// receivers are the targets that may receive keys, settled ones first.
	receivers []Target
	moves     Moves
}

// Spread is Balance for services with many targets and regions of hot keys: it takes each
// overloaded target down to little more than the mean utilization in one round, in as many
// pieces as the others have room for. It may be called several times a second: unless full is
// set, it relieves highly overloaded targets only. A key that no target can serve stays alone
// at a fast one.
func (l *Leader) Spread(service string, targets map[string]Target, loads *Loads, full bool, now time.Time) Moves {
	assignable := l.assignableTargets(service, targets, now)
	if len(assignable) < 2 || len(l.services[service]) == 0 || !l.noNewPredecessorLeases(now) {
		return Moves{}
	}
	s := l.newSpreader(service, assignable, loads, now)
	overloaded := s.overloadedTargets(full)
	s.moves.Overloaded, s.moves.Unservable = len(overloaded), s.unservable()
	limit := max(minSpreadMoves, int(movesPerTarget*float64(len(assignable))))
	for _, from := range overloaded {
		s.relieve(from, limit)
	}
	if full {
		s.join()
	}
	if s.moves.Total() > 0 {
		l.Merge(service)
	}
	s.moves.Ranges = len(l.services[service])
	return s.moves
}

func (l *Leader) newSpreader(service string, assignable []Target, loads *Loads, now time.Time) *spreader {
	s := &spreader{
		balancer: &balancer{
			leader: l, service: service, assignable: assignable, util: l.utilization(service, assignable, loads), loads: loads, now: now,
			responsive: l.responsive(service, assignable),
		},
		runs: make(map[Incarnation][]keyRun, len(assignable)),
	}
	s.util.round()
	s.mean = s.util.mean()
	s.goal = max(s.mean*fillRatio, idleUtilization*fillRatio/spreadRatio)
	s.receivers = slices.DeleteFunc(slices.Clone(s.responsive), func(t Target) bool { return t.WarmingUp })
	if len(s.receivers) == 0 {
		s.receivers = s.responsive
	}
	for _, r := range l.services[service] {
		if keys := loads.loadedKeys(service, r.first, r.last); len(keys) > 0 && l.mayMove(r, now) {
			s.runs[r.owner] = append(s.runs[r.owner], keyRun{first: r.first, last: r.last, keys: keys, movedAt: r.movedAt})
		}
	}
	return s
}

// round rounds the figures of targets, so that equal loads lead to equal moves whatever the order in
// which they were summed.
func (u utilization) round() {
	for _, figures := range []map[Incarnation]float64{u.byTarget, u.perRequest} {
		for target, x := range figures {
			figures[target] = float64(float32(x))
		}
	}
}

// mostRanges returns the number of ranges from which none is split any more.
func (s *spreader) mostRanges() int {
	n := len(s.assignable)
	return min(maxSpreadRangesPerTarget*n, max(maxSpreadRanges, 2*n))
}

// overloadedTargets returns the targets to relieve, the most overloaded first.
func (s *spreader) overloadedTargets(full bool) []Incarnation {
	var overloaded []Incarnation
	for _, t := range s.assignable {
		used := s.util.byTarget[t.Incarnation]
		ratio := spreadRatio
		switch {
		case !full:
			ratio = urgentRatio
		case used > highUtilization:
			ratio = highSpreadRatio
		}
		if used >= max(s.mean*ratio, idleUtilization) {
			overloaded = append(overloaded, t.Incarnation)
		}
	}
	slices.SortFunc(overloaded, func(a, b Incarnation) int { return cmp.Compare(s.util.byTarget[b], s.util.byTarget[a]) })
	return overloaded
}

// relieve moves keys off an overloaded target until it is down to the goal, nothing more can
// be moved, or limit moves have been made in this round.
func (s *spreader) relieve(from Incarnation, limit int) {
	least := minExcessLoad
	if s.isolate(from) {
		least = minLoadBeside
	}
	s.moves.Highest = max(s.moves.Highest, s.util.byTarget[from]/s.mean)
	for s.moves.Total() < limit {
		excess := (s.util.byTarget[from] - s.goal) / s.util.perRequest[from]
		to, room := s.roomiest(from, s.fill(from))
		want := min(excess, room)
		if want < least {
			return
		}
		run, w, ok := s.findPiece(from, want, least)
		if !ok {
			to, room = s.roomiest(from, s.util.byTarget[from]*exchangeRatio)
			run, w, ok = s.lightestKey(from, excess, room)
		}
		if !ok || !s.movePiece(run, w, from, to) {
			return
		}
		s.moves.Overload++
	}
}

// fill returns the utilization up to which targets receive keys of another one. Those of a
// target far above the mean may take some above it: they are relieved themselves in the next
// rounds, of smaller pieces.
func (s *spreader) fill(from Incarnation) float64 {
	used := s.util.byTarget[from]
	if used < heavyRatio*s.mean {
		return s.goal
	}
	return max(s.goal, min(used/heavyRatio, s.mean*heavyFillRatio, heavyFillUtilization))
}

// isolate leaves the hottest key of an owner out of what can be moved, and out of the owner's
// utilization, if no target can serve it, and reports whether it did: the others of the owner
// should leave. It moves the key if another target is much faster.
func (s *spreader) isolate(from Incarnation) bool {
	run, hot, found := s.hottest(from)
	if !found || hot.load*s.fastest() <= s.goal {
		return false
	}
	rested := s.now.Sub(s.runs[from][run].movedAt) >= hotKeyRest
	if to, ok := s.fasterTarget(hot, from); ok && rested && s.movePiece(run, hot, from, to) {
		s.moves.HotKey++
		return false
	}
	s.cut(from, run, hot)
	// Nothing else is served well beside it, so all other keys are in excess.
	s.util.addLoad(from, -hot.load)
	s.util.byTarget[from] += s.goal
	return true
}
