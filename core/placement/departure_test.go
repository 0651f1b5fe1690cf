package placement

import (
	"fmt"
	"reflect"
	"testing"
	"time"
)

// newLeavingSet returns a set of two targets, of which t1 has said that it leaves.
func newLeavingSet(t *testing.T) *Set {
	t.Helper()
	s := newSet("t1", "t2")
	if !s.ObserveLeaving("t1", start) || s.ObserveLeaving("t1", start) {
		t.Error("leaving is new: got it not once, want once")
	}
	return s
}

// assertSent checks whether requests are sent to a target at a time, as to any target and as
// to the owner of their key.
func assertSent(t *testing.T, s *Set, id string, now time.Time, anyTarget, toOwner bool) {
	t.Helper()
	var others []string
	for _, e := range s.Entries(service) {
		if e.ID != id {
			others = append(others, e.ID)
		}
	}
	for _, c := range []struct {
		criteria Criteria
		want     bool
	}{{Criteria{Service: service, Exclude: others}, anyTarget}, {Criteria{Service: service, Owner: id}, toOwner}} {
		choice, _ := s.Choose(c.criteria, now)
		if got := choice != nil; got != c.want {
			t.Errorf("sent to %s with %+v at %v: got %t, want %t", id, c.criteria, now.Sub(start), got, c.want)
		}
		if choice != nil {
			choice.End(NotSent, nil, now)
		}
	}
}

// TestLeavingTarget guards against requests to a target that has said that it leaves, as its
// entry does not say so, or says the opposite.
func TestLeavingTarget(t *testing.T) {
	after := start.Add(ownerDrainPeriod + time.Millisecond)
	t.Run("no entry", func(t *testing.T) {
		s := newLeavingSet(t)
		assertSent(t, s, "t1", start, false, true)
		assertSent(t, s, "t1", after, false, false)
		assertSent(t, s, "t2", after, true, true)
	})
	t.Run("an entry that says ready", func(t *testing.T) {
		s := newLeavingSet(t)
		ready := entry("t1", "a")
		ready.Sequence++
		s.Put(ready, after)
		assertSent(t, s, "t1", after, false, false)
	})
	t.Run("removed and back", func(t *testing.T) {
		s := newLeavingSet(t)
		s.Remove("t1")
		s.Put(entry("t1", "a"), after)
		assertSent(t, s, "t1", after, false, false)
	})
	t.Run("another incarnation", func(t *testing.T) {
		s := newLeavingSet(t)
		next := entry("t1", "a")
		next.Born++
		s.Put(next, after)
		assertSent(t, s, "t1", after, true, true)
	})
	t.Run("heard of before its entry", func(t *testing.T) {
		s := newSet("t2")
		s.ApplyDepartures([]Departure{{Target: "t1"}}, start)
		s.Put(entry("t1", "a"), start)
		assertSent(t, s, "t1", start, false, false)
	})
	t.Run("another incarnation heard of", func(t *testing.T) {
		s := newSet("t1", "t2")
		s.ApplyDepartures([]Departure{{Target: "t1", Born: 7}}, start)
		assertSent(t, s, "t1", start, true, true)
	})
}

// TestWaitersHearOfDepartures guards against requests that wait for a target that has left,
// and against keys that are not moved.
func TestWaitersHearOfDepartures(t *testing.T) {
	s := newSet("t1")
	changed, freed := s.Changed(), s.CapacityFreed(service)
	s.ObserveLeaving("t1", start)
	for name, signal := range map[string]<-chan struct{}{"change of an entry": changed, "waiting requests": freed} {
		select {
		case <-signal:
		default:
			t.Errorf("%s: got no signal, want one", name)
		}
	}
}

// TestDeparturesToOthers guards against departures that other hosts never hear of, hear of
// again and again, or hear of though the targets are gone.
func TestDeparturesToOthers(t *testing.T) {
	s := newSet("t1", "t2", "t3")
	assertDepartures := func(t *testing.T, n int, own bool, wantCount int, want ...Departure) {
		t.Helper()
		got, count := s.Departures(n, own)
		if !reflect.DeepEqual(got, want) || count != wantCount {
			t.Errorf("departures from %d, own %t: got %v of %d, want %v of %d", n, own, got, count, want, wantCount)
		}
	}
	s.ObserveLeaving("t1", start)
	s.ApplyDepartures([]Departure{{Target: "t2"}, {Target: "t1"}, {Target: "gone"}}, start)
	s.ObserveLeaving("t3", start)
	assertDepartures(t, 0, false, 4, Departure{Target: "t1"}, Departure{Target: "t2"}, Departure{Target: "t3"})
	assertDepartures(t, 0, true, 4, Departure{Target: "t1"}, Departure{Target: "t3"})
	assertDepartures(t, 1, false, 4, Departure{Target: "t2"}, Departure{Target: "t3"})
	assertDepartures(t, 4, false, 4)
	s.Remove("t1")
	assertDepartures(t, 0, true, 4, Departure{Target: "t3"})
}

// TestDeparturesAreBounded guards against memory that grows with each target that leaves.
func TestDeparturesAreBounded(t *testing.T) {
	var d departures
	for i := range maxDepartures + 10 {
		d.add(Departure{Target: fmt.Sprint(i)}, true)
	}
	if len(d.list) != maxDepartures || len(d.known) != maxDepartures || d.count() != maxDepartures+10 {
		t.Errorf("departures: got %d in the list, %d known, %d in all, want %d, %d, %d", len(d.list), len(d.known), d.count(), maxDepartures, maxDepartures, maxDepartures+10)
	}
	if got := len(d.since(maxDepartures + 7)); got != 3 {
		t.Errorf("latest departures: got %d, want 3", got)
	}
}
