package placement

import (
	"testing"
	"time"

	"pineturn/core/ratelimit"
)

// coldTime is how long targets of newColdSet are cold after a start.
const coldTime = 3 * time.Second

// newColdSet returns a set of targets whose service bounds the requests for cold ones, with one
// entry each.
func newColdSet(warmUp time.Duration, ids ...string) *Set {
	s := NewSet("a")
	s.Cold = func(string) Cold {
		return Cold{Time: coldTime, Bound: ratelimit.Bound{PerSecond: 4, Overage: 1.5, Slack: 8}}
	}
	for _, id := range ids {
		e := entry(id, "a")
		e.Sequence, e.WarmUp = 1, warmUp
		s.Put(e, start)
	}
	return s
}

// dealCold tells a set its part of what t1 bears while it is cold.
func dealCold(s *Set, perSecond, burst float64, at time.Time) {
	share := ratelimit.Share{Target: coldName(&Entry{ID: "t1"}), Limit: s.Cold(service).Bound.Limit(), Dealt: true, PerSecond: perSecond, Burst: burst}
	s.ApplyLimits(ratelimit.Update{Shares: []ratelimit.Share{share}}, at, at)
}

// wantSends checks how many of some requests for an owner are sent at a time.
func wantSends(t *testing.T, s *Set, after time.Duration, requests, want int) {
	t.Helper()
	got := 0
	for range requests {
		if c, status := s.Choose(Criteria{Service: service, Owner: "t1"}, start.Add(after)); status == Chosen {
			c.End(Complete, nil, start.Add(after))
			got++
		}
	}
	if got != want {
		t.Errorf("requests sent to the owner after %v: got %d of %d, want %d", after, got, requests, want)
	}
}

// TestColdTarget guards against hosts that send a target that has just started more than it
// bears, and against a bound that outlasts the warm-up.
func TestColdTarget(t *testing.T) {
	s := newColdSet(coldTime, "t1")
	wantSends(t, s, 0, 20, 0)
	dealCold(s, 6, 4, start)
	wantSends(t, s, 0, 20, 0)
	wantSends(t, s, time.Second, 20, 4)
	wantSends(t, s, 1500*time.Millisecond, 20, 3)
	wantSends(t, s, coldTime, 20, 20)
}

// TestLessUrgentRequestsForColdTarget guards against requests of a lower priority that are refused
// although more than one of a higher one could be sent, and against those that take the last.
func TestLessUrgentRequestsForColdTarget(t *testing.T) {
	s := newColdSet(coldTime, "t1")
	dealCold(s, 10, 3, start)
	wantStatus(t, s, Criteria{Service: service, Owner: "t1"}, start, Limited)
	now := start.Add(300 * time.Millisecond)
	less := Criteria{Service: service, Owner: "t1", Rank: 1}
	choose(t, s, less, now)
	choose(t, s, less, now)
	wantStatus(t, s, less, now, Limited)
	choose(t, s, Criteria{Service: service, Owner: "t1"}, now)
}

// TestRequestsOfAnEarlierStart guards against requests that were counted before a target started
// again and, as they were not sent, come off what it bears now.
func TestRequestsOfAnEarlierStart(t *testing.T) {
	s := newColdSet(coldTime, "t1")
	dealCold(s, 6, 4, start)
	wantSends(t, s, 0, 1, 0)
	var early []*Choice
	for range 3 {
		early = append(early, choose(t, s, Criteria{Owner: "t1"}, start.Add(time.Second)))
	}
	again := start.Add(2 * coldTime)
	s.SuspectCold("a", again)
	wantSends(t, s, 2*coldTime, 1, 0)
	for _, c := range early {
		c.End(NotSent, nil, again)
	}
	wantSends(t, s, 2*coldTime, 3, 0)
}

// TestColdTargetWithoutBound guards against a change for services that state no bound.
func TestColdTargetWithoutBound(t *testing.T) {
	s := newColdSet(coldTime, "t1")
	s.Cold = func(string) Cold { return Cold{} }
	wantSends(t, s, 0, 20, 20)
	if got := s.Limits(start); len(got) != 0 {
		t.Errorf("limits that are reported: got %v, want none", got)
	}
}

// TestBoundOfALostTarget guards against a host that fails where a service states a bound only
// after a target was lost.
func TestBoundOfALostTarget(t *testing.T) {
	s := newColdSet(0, "t1")
	bounds := s.Cold
	s.Cold = func(string) Cold { return Cold{} }
	s.ObserveNoConnection("t1", true, start)
	s.Cold = bounds
	wantSends(t, s, 0, 1, 0)
}

// TestColdDemand guards against a leader that hears late, or only of one limit, of the demand for
// a cold target that has named a limit as well.
func TestColdDemand(t *testing.T) {
	s := newColdSet(coldTime, "t1")
	s.ObserveLimit("t1", ratelimit.Limit{Named: true, PerSecond: 2}, start, start)
	s.TakeLimitsChanged()
	wantSends(t, s, 0, 1, 0)
	if !s.TakeLimitsChanged() {
		t.Error("the first request for a cold target is not reported at once")
	}
	if got, want := len(s.Limits(start)), 2; got != want {
		t.Errorf("limits that are reported: got %d, want %d", got, want)
	}
	if got, want := s.Limit("t1", start).PerSecond, 2.0; got != want {
		t.Errorf("limit of the target: got %v, want %v", got, want)
	}
}

// TestTargetThatComesBack guards against hosts that take a target for warm that took no
// connections and may have started again under its id, and against entries that it wrote before.
func TestTargetThatComesBack(t *testing.T) {
	// step is something that happens, and the number of cold targets from then on.
	type step struct {
		after time.Duration
		do    func(s *Set, now time.Time)
		want  int
	}
	put := func(sequence int64, warmUp time.Duration) func(*Set, time.Time) {
		return func(s *Set, now time.Time) {
			e := entry("t1", "a")
			e.Sequence, e.WarmUp = sequence, warmUp
			s.Put(e, now)
		}
	}
	send := func(requests, want int) func(*Set, time.Time) {
		return func(s *Set, now time.Time) { wantSends(t, s, now.Sub(start), requests, want) }
	}
	lose := func(s *Set, now time.Time) { s.ObserveNoConnection("t1", true, now) }
	fail := func(s *Set, now time.Time) { s.ObserveNoConnection("t1", false, now) }
	wait := func(*Set, time.Time) {}
	const later, back, end = 2 * entryDelay, coldTime + time.Second, 2*coldTime + time.Second
	for name, steps := range map[string][]step{
		"connections without an answer": {{0, fail, 0}, {0, send(1, 1), 0}, {0, fail, 0}, {0, fail, 1}},
		"an entry written since":        {{0, lose, 1}, {100 * time.Millisecond, put(2, 0), 1}, {later, put(3, 0), 0}},
		"cold again by its entry":       {{0, lose, 1}, {later, put(2, coldTime), 1}, {later + coldTime - time.Millisecond, wait, 1}, {later + coldTime, wait, 0}},
		"a response without an entry": {
			{0, lose, 1}, {back, func(s *Set, now time.Time) { dealCold(s, 6, 4, now.Add(-time.Second)) }, 1},
			{back, send(20, 4), 1}, {end - time.Millisecond, wait, 1}, {end, wait, 0},
		},
		"a health response": {{0, lose, 1}, {0, func(s *Set, now time.Time) { s.ObserveCold("t1", time.Second, now) }, 1}, {time.Second, wait, 0}},
		"a domain without requests for some time": {
			{0, func(s *Set, now time.Time) { s.SuspectCold("b", now) }, 0}, {0, func(s *Set, now time.Time) { s.SuspectCold("a", now) }, 2},
		},
	} {
		s := newColdSet(0, "t1", "t2")
		for i, step := range steps {
			now := start.Add(step.after)
			step.do(s, now)
			if got := s.ColdTargets(now); got != step.want {
				t.Errorf("%s, step %d: got %d cold targets, want %d", name, i, got, step.want)
			}
		}
	}
}
