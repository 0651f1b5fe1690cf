package placement

import (
	"fmt"
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

const service = "cover"

func entry(id, domain string) Entry {
	return Entry{ID: id, Service: service, Address: "127.0.0.1:1", Domain: domain, Slots: 2, Sequence: 1}
}

func newSet(ids ...string) *Set {
	s := NewSet("a")
	for _, id := range ids {
		s.Put(entry(id, "a"), start)
	}
	return s
}

func choose(t *testing.T, s *Set, d Criteria, now time.Time) *Choice {
	t.Helper()
	d.Service = service
	c, verdict := s.Choose(d, now)
	if verdict != Chosen {
		t.Fatalf("choice: got verdict %d, want one", verdict)
	}
	return c
}

func wantVerdict(t *testing.T, s *Set, d Criteria, now time.Time, want ChoiceStatus) {
	t.Helper()
	d.Service = service
	if _, got := s.Choose(d, now); got != want {
		t.Errorf("verdict: got %d, want %d", got, want)
	}
}

// teach lets a target answer n requests one after the other, each in a time.
func teach(t *testing.T, s *Set, id string, n int, took time.Duration, now time.Time) time.Time {
	t.Helper()
	for range n {
		c := choose(t, s, Criteria{Owner: id}, now)
		now = now.Add(took)
		c.End(Answered, &Report{}, now)
	}
	return now
}

func TestEntries(t *testing.T) {
	t.Run("an older one is ignored", func(t *testing.T) {
		s := newSet()
		newer := entry("t1", "a")
		newer.Sequence, newer.Draining = 5, true
		s.Put(newer, start)
		if s.Put(entry("t1", "a"), start) {
			t.Error("older entry: got taken, want ignored")
		}
		wantVerdict(t, s, Criteria{}, start, NoTarget)
	})
	t.Run("another life begins anew", func(t *testing.T) {
		s := newSet("t1")
		choose(t, s, Criteria{}, start)
		reborn := entry("t1", "a")
		reborn.Born, reborn.Sequence = 7, 0
		if !s.Put(reborn, start) {
			t.Fatal("entry of a later life: got ignored, want taken")
		}
		if got := s.States(start)[0].InFlight; got != 0 {
			t.Errorf("requests at a new life: got %d, want 0", got)
		}
	})
	t.Run("a target that has gone", func(t *testing.T) {
		s := newSet("t1")
		c := choose(t, s, Criteria{}, start)
		s.Remove("t1")
		c.End(Answered, nil, start)
		wantVerdict(t, s, Criteria{}, start, NoTarget)
	})
}

func TestLeavingTarget(t *testing.T) {
	s := newSet("t1")
	leaving := entry("t1", "a")
	leaving.Sequence, leaving.Draining = 2, true
	s.Put(leaving, start)
	wantVerdict(t, s, Criteria{}, start, NoTarget)
	t.Run("serves the keys that it owns a little longer", func(t *testing.T) {
		wantVerdict(t, s, Criteria{Owner: "t1"}, start.Add(ownerDrain/2), Chosen)
		wantVerdict(t, s, Criteria{Owner: "t1"}, start.Add(2*ownerDrain), NoTarget)
	})
}

func TestSlowTargetGetsLess(t *testing.T) {
	s := newSet("fast", "slow")
	now := teach(t, s, "fast", 40, 50*time.Millisecond, start)
	now = teach(t, s, "slow", 40, 250*time.Millisecond, now)
	now = teach(t, s, "fast", 40, 50*time.Millisecond, now)
	sent := make(map[string]int)
	for range 4 {
		sent[choose(t, s, Criteria{}, now).Entry.ID]++
	}
	if sent["fast"] < 3 {
		t.Errorf("requests at the fast target: got %d of 4, want 3 or more", sent["fast"])
	}
}

// TestBurst replays a burst of requests that all come at once: slots are filled
// evenly, then queues up to a bound, and what is left is not sent.
func TestBurst(t *testing.T) {
	s := newSet("t1", "t2", "t3")
	sent := make(map[string]int)
	refused := 0
	for range 40 {
		c, verdict := s.Choose(Criteria{Service: service}, start)
		if verdict != Chosen {
			refused++
			continue
		}
		sent[c.Entry.ID]++
	}
	for id, n := range sent {
		if most := int(2 * sturdyDepth); n > most {
			t.Errorf("requests at %s: got %d, want at most %d", id, n, most)
		}
	}
	if refused == 0 {
		t.Error("requests over all bounds: got none refused, want some")
	}
	t.Run("requests that must not be lost queue less", func(t *testing.T) {
		wantVerdict(t, newFull(t, int(2*fragileDepth)), Criteria{NonIdempotent: true}, start, NoCapacity)
		wantVerdict(t, newFull(t, int(2*fragileDepth)), Criteria{}, start, Chosen)
	})
	t.Run("room is announced", func(t *testing.T) {
		s := newSet("t1")
		c := choose(t, s, Criteria{}, start)
		freed := s.CapacityFreed(service)
		c.End(Answered, nil, start.Add(time.Millisecond))
		select {
		case <-freed:
		default:
			t.Error("end of a request: got no signal, want one")
		}
	})
}

func newFull(t *testing.T, n int) *Set {
	s := newSet("t1")
	for range n {
		choose(t, s, Criteria{}, start)
	}
	return s
}

func TestOwnDomainFirst(t *testing.T) {
	s := NewSet("a")
	s.Put(entry("near", "a"), start)
	s.Put(entry("far", "b"), start)
	if got := choose(t, s, Criteria{}, start).Entry.ID; got != "near" {
		t.Errorf("first request: got %s, want near", got)
	}
	for range 6 {
		choose(t, s, Criteria{}, start)
	}
	if got := s.States(start)[0].InFlight; got == 0 {
		t.Error("requests in the other domain under load: got 0, want some")
	}
}

func TestShedsAndFailures(t *testing.T) {
	for _, result := range []Result{Shed, Failed, Unreachable} {
		t.Run(fmt.Sprint("result ", result), func(t *testing.T) {
			s := newSet("t1", "t2")
			c := choose(t, s, Criteria{}, start)
			other := map[string]string{"t1": "t2", "t2": "t1"}[c.Entry.ID]
			now := start.Add(10 * time.Millisecond)
			c.End(result, nil, now)
			if got := choose(t, s, Criteria{}, now).Entry.ID; got != other {
				t.Errorf("next request: got %s, want the other target %s", got, other)
			}
			wantVerdict(t, s, Criteria{Owner: c.Entry.ID}, now, Chosen)
		})
	}
}

// TestHotKeyKeepsItsLoad replays a target with a busy key among idle ones: its
// work stays known after its last report is old.
func TestHotKeyKeepsItsLoad(t *testing.T) {
	s := newSet("hot", "idle1", "idle2", "idle3")
	now := start
	for range 10 {
		for _, id := range []string{"hot", "idle1", "idle2", "idle3"} {
			c := choose(t, s, Criteria{Owner: id}, now)
			report := &Report{}
			if id == "hot" {
				report = &Report{Running: 2, Waiting: 3}
			}
			c.End(Answered, report, now.Add(time.Millisecond))
		}
		now = now.Add(300 * time.Millisecond)
	}
	hot := choose(t, s, Criteria{Owner: "hot"}, now.Add(500*time.Millisecond))
	idle := choose(t, s, Criteria{Owner: "idle1"}, now.Add(500*time.Millisecond))
	if hot.ExpectedLatency < 2*idle.ExpectedLatency {
		t.Errorf("expected time at the busy target: got %v, want twice the idle one's %v", hot.ExpectedLatency, idle.ExpectedLatency)
	}
}

// TestSpread replays many hosts that know the same: they don't all choose the
// same target.
func TestSpread(t *testing.T) {
	sent := make(map[string]int)
	for range 100 {
		s := newSet("t1", "t2", "t3", "t4")
		sent[choose(t, s, Criteria{}, start).Entry.ID]++
	}
	for id, n := range sent {
		if n > 60 {
			t.Errorf("hosts that chose %s: got %d of 100, want at most 60", id, n)
		}
	}
	if len(sent) < 3 {
		t.Errorf("targets chosen by 100 hosts: got %d, want 3 or more", len(sent))
	}
}

// TestFullOwner replays a hot key whose owner breaks connections off: it is left
// alone, then tried with one request, and used as before once that is answered.
func TestFullOwner(t *testing.T) {
	s := newSet("t1")
	now := time.Unix(100, 0)
	demand := Criteria{Service: "svc", Owner: "t1"}
	choose(t, s, demand, now).End(ConnectionLost, nil, now)
	wantVerdict(t, s, demand, now.Add(10*time.Millisecond), NoCapacity)
	now = now.Add(time.Second)
	probe := choose(t, s, demand, now)
	wantVerdict(t, s, demand, now, NoCapacity)
	probe.End(ConnectionLost, nil, now)
	wantVerdict(t, s, demand, now.Add(50*time.Millisecond), NoCapacity)
	now = now.Add(time.Second)
	choose(t, s, demand, now).End(Answered, nil, now)
	choose(t, s, demand, now)
	choose(t, s, demand, now)
}

// TestFailingOwner replays an owner that answers part of its requests with an
// error: it is the only one that can run the others.
func TestFailingOwner(t *testing.T) {
	s := newSet("t1")
	now := time.Unix(100, 0)
	demand := Criteria{Service: "svc", Owner: "t1"}
	choose(t, s, demand, now).End(Failed, nil, now)
	choose(t, s, demand, now)
}
