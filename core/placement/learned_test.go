package placement

import (
	"testing"
	"time"

	"pineturn/core/concurrency"
)

// newLearningSet returns a set whose choices follow what was learned.
func newLearningSet(ids ...string) *Set {
	s := newSet(ids...)
	s.Learns = func() bool { return true }
	return s
}

func wantProcessingTime(t *testing.T, s *Set, id string, now time.Time, least, most time.Duration) {
	t.Helper()
	if got := learned(s, id, now).ProcessingTime; got < least || got > most {
		t.Errorf("processing time of %s: got %v, want %v to %v", id, got, least, most)
	}
}

func wantLimit(t *testing.T, s *Set, now time.Time, want float64) {
	t.Helper()
	if got := learned(s, "t1", now).Limit; got != want {
		t.Errorf("limit: got %v, want %v", got, want)
	}
}

func TestConcurrency(t *testing.T) {
	const usual = 100 * time.Millisecond
	t.Run("a slow target", func(t *testing.T) {
		s := newLearningSet("t1", "t2")
		now := completeRequests(t, s, "t1", 40, usual, start)
		now = completeRequests(t, s, "t2", 10, 4*usual, now)
		if slow, fast := learned(s, "t2", now).ProcessingTime, learned(s, "t1", now).ProcessingTime; slow < 2*fast {
			t.Errorf("processing time of the slow target: got %v, want at least twice %v", slow, fast)
		}
	})
	t.Run("fast errors say nothing", func(t *testing.T) {
		s := newLearningSet("t1")
		now := completeRequests(t, s, "t1", 40, usual, start)
		before := learned(s, "t1", now).ProcessingTime
		for range 20 {
			choose(t, s, Criteria{Owner: "t1"}, now).End(Failed, &Report{Running: 1}, now.Add(time.Millisecond))
		}
		wantProcessingTime(t, s, "t1", now, before, before)
	})
	t.Run("responses of a target that warms up say nothing", func(t *testing.T) {
		s := newLearningSet("t1")
		now := completeRequests(t, s, "t1", 40, usual, start)
		cold := entry("t2", "a")
		cold.WarmUp = time.Minute
		s.Put(cold, now)
		now = completeRequests(t, s, "t2", 20, 3*usual, now)
		wantProcessingTime(t, s, "t2", now, usual*9/10, usual*11/10)
		if load, _ := s.OwnerLoad("t2", now); load.ProcessingTime < usual*18/10 {
			t.Errorf("processing time of an owner that warms up: got %v, want at least %v", load.ProcessingTime, usual*18/10)
		}
	})
	t.Run("a restart under the same ID begins as the service", func(t *testing.T) {
		s := newLearningSet("t1", "t2")
		now := completeRequests(t, s, "t1", 40, usual, start)
		now = completeRequests(t, s, "t2", 10, 4*usual, now)
		restarted := entry("t2", "a")
		restarted.Born, restarted.Sequence = 7, 0
		s.Put(restarted, now)
		if learned(s, "t2", now).Known {
			t.Error("known after a restart: got true, want false")
		}
	})
	t.Run("another number of slots", func(t *testing.T) {
		s := newLearningSet("t1")
		var before *Choice
		for range 4 {
			before = choose(t, s, Criteria{}, start)
		}
		grown := entry("t1", "a")
		grown.Sequence, grown.Slots = 2, 8
		s.Put(grown, start)
		wantLimit(t, s, start, 40)
		// It was sent as the fourth one, whatever the slots are now.
		before.End(ConnectionLost, nil, start)
		wantLimit(t, s, start, 3)
	})
	t.Run("without the feature, as before", func(t *testing.T) {
		s := newSet("t1")
		now := completeRequests(t, s, "t1", 40, usual, start)
		if got := learned(s, "t1", now); got.Known {
			t.Errorf("learned without the feature: got %+v, want nothing", got)
		}
		if got, _ := s.OwnerEstimate(Criteria{Service: service, Owner: "t1"}, now); got.Limit*2 != 7 {
			t.Errorf("limit per slot: got %v, want 3.5", got.Limit)
		}
	})
}

// TestSilentTarget guards against a target that is taken for idle because it does not respond.
func TestSilentTarget(t *testing.T) {
	s := newLearningSet("t1", "t2")
	now := completeRequests(t, s, "t1", 20, 100*time.Millisecond, start)
	now = completeRequests(t, s, "t2", 20, 100*time.Millisecond, now)
	choose(t, s, Criteria{Owner: "t1"}, now)
	now = now.Add(time.Second)
	for range 4 {
		if got := choose(t, s, Criteria{}, now).Entry.ID; got != "t2" {
			t.Errorf("target: got %s, want t2", got)
		}
	}
}

// learned returns what was learned of a target.
func learned(s *Set, id string, now time.Time) concurrency.Estimate {
	return s.targets[id].learned.Estimate(now)
}
