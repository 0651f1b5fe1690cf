package placement

import (
	"testing"
	"time"
)

// TestDrainedDomain guards against requests to targets in a drained failure domain, and against
// requests that are held although no other target is left.
func TestDrainedDomain(t *testing.T) {
	ownersUntil := start.Add(time.Second)
	newDrained := func(domains ...string) *Set {
		s := newSet("t1")
		s.Put(entry("t2", "b"), start)
		var all []DrainedDomain
		for _, d := range domains {
			all = append(all, DrainedDomain{Domain: d, OwnersUntil: ownersUntil})
		}
		s.SetDrainedDomains(all)
		return s
	}
	wantOnly := func(t *testing.T, s *Set, id string) {
		t.Helper()
		wantStatus(t, s, Criteria{}, start, Chosen)
		wantStatus(t, s, Criteria{Exclude: []string{id}}, start, NoTarget)
	}
	t.Run("other domains serve", func(t *testing.T) {
		s := newDrained("a")
		wantOnly(t, s, "t2")
		s.Put(entry("t3", "a"), start)
		wantOnly(t, s, "t2")
	})
	t.Run("a full target elsewhere is waited for", func(t *testing.T) {
		s := newDrained("a")
		for range 7 {
			choose(t, s, Criteria{}, start)
		}
		wantStatus(t, s, Criteria{}, start, NoCapacity)
	})
	t.Run("none elsewhere", func(t *testing.T) { wantStatus(t, newDrained("a", "b"), Criteria{}, start, Drained) })
	t.Run("an unknown domain", func(t *testing.T) { wantStatus(t, newDrained("x"), Criteria{Exclude: []string{"t1"}}, start, Chosen) })
	t.Run("owners serve for a time", func(t *testing.T) {
		s := newDrained("a")
		wantStatus(t, s, Criteria{Owner: "t1"}, ownersUntil.Add(-1), Chosen)
		wantStatus(t, s, Criteria{Owner: "t1"}, ownersUntil, Drained)
		if s.IsDrained(Criteria{Owner: "t1"}, ownersUntil.Add(-1)) || !s.IsDrained(Criteria{Owner: "t1"}, ownersUntil) {
			t.Error("owner of a waiting request is drained: got it before the time or not from then on, want it from then on")
		}
	})
	t.Run("begin and end wake waiting requests", func(t *testing.T) {
		s := newDrained("a", "b")
		freed, changed := s.CapacityFreed(service), s.Changed()
		s.SetDrainedDomains(nil)
		<-freed
		<-changed
		wantStatus(t, s, Criteria{Exclude: []string{"t2"}}, start, Chosen)
	})
}
