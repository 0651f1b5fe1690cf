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

func putEntry(s *Set, id string, sequence int64, warmUp time.Duration, now time.Time) {
	e := entry(id, "a")
	e.Sequence, e.WarmUp = sequence, warmUp
	s.Put(e, now)
}

func assertCold(t *testing.T, s *Set, after time.Duration, want int) {
	t.Helper()
	if got := s.ColdTargets(start.Add(after)); got != want {
		t.Errorf("cold targets after %v: got %d, want %d", after, got, want)
	}
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
	lose := func(s *Set) { s.ObserveNoConnection("t1", true, start) }
	t.Run("connections without an answer", func(t *testing.T) {
		s := newColdSet(0, "t1")
		s.ObserveNoConnection("t1", false, start)
		wantSends(t, s, 0, 1, 1)
		s.ObserveNoConnection("t1", false, start)
		assertCold(t, s, 0, 0)
		s.ObserveNoConnection("t1", false, start)
		assertCold(t, s, 0, 1)
	})
	t.Run("an entry written since", func(t *testing.T) {
		s := newColdSet(0, "t1")
		lose(s)
		assertCold(t, s, 0, 1)
		putEntry(s, "t1", 2, 0, start.Add(100*time.Millisecond))
		assertCold(t, s, 100*time.Millisecond, 1)
		putEntry(s, "t1", 3, 0, start.Add(2*entryDelay))
		assertCold(t, s, 2*entryDelay, 0)
	})
	t.Run("cold again by its entry", func(t *testing.T) {
		s := newColdSet(0, "t1")
		lose(s)
		putEntry(s, "t1", 2, coldTime, start.Add(2*entryDelay))
		assertCold(t, s, 2*entryDelay+coldTime-time.Millisecond, 1)
		assertCold(t, s, 2*entryDelay+coldTime, 0)
	})
	t.Run("a response without an entry", func(t *testing.T) {
		s := newColdSet(0, "t1")
		lose(s)
		back := coldTime + time.Second
		assertCold(t, s, back, 1)
		dealCold(s, 6, 4, start.Add(back-time.Second))
		wantSends(t, s, back, 20, 4)
		assertCold(t, s, back+coldTime-time.Millisecond, 1)
		assertCold(t, s, back+coldTime, 0)
	})
	t.Run("a health response", func(t *testing.T) {
		s := newColdSet(0, "t1")
		lose(s)
		s.ObserveCold("t1", time.Second, start)
		assertCold(t, s, 0, 1)
		assertCold(t, s, time.Second, 0)
	})
	t.Run("a domain without requests for some time", func(t *testing.T) {
		s := newColdSet(0, "t1", "t2")
		s.SuspectCold("b", start)
		assertCold(t, s, 0, 0)
		s.SuspectCold("a", start)
		assertCold(t, s, 0, 2)
	})
}
