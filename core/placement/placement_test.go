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

func choose(t *testing.T, s *Set, criteria Criteria, now time.Time) *Choice {
	t.Helper()
	criteria.Service = service
	c, status := s.Choose(criteria, now)
	if status != Chosen {
		t.Fatalf("choice: got status %d, want a target", status)
	}
	return c
}

func wantStatus(t *testing.T, s *Set, criteria Criteria, now time.Time, want ChoiceStatus) {
	t.Helper()
	criteria.Service = service
	if _, got := s.Choose(criteria, now); got != want {
		t.Errorf("status: got %d, want %d", got, want)
	}
}

// completeRequests simulates n consecutive requests to a target, each with a response
// after took, and returns the time of the last response.
func completeRequests(t *testing.T, s *Set, id string, n int, took time.Duration, now time.Time) time.Time {
	t.Helper()
	for range n {
		c := choose(t, s, Criteria{Owner: id}, now)
		now = now.Add(took)
		c.End(Complete, &Report{}, now)
	}
	return now
}

func TestEntries(t *testing.T) {
	t.Run("an older entry is ignored", func(t *testing.T) {
		s := newSet()
		newer := entry("t1", "a")
		newer.Sequence, newer.Draining = 5, true
		s.Put(newer, start)
		if s.Put(entry("t1", "a"), start) {
			t.Error("older entry: got stored, want ignored")
		}
		wantStatus(t, s, Criteria{}, start, NoTarget)
	})
	t.Run("a new incarnation starts without in-flight requests", func(t *testing.T) {
		s := newSet("t1")
		choose(t, s, Criteria{}, start)
		restarted := entry("t1", "a")
		restarted.Born, restarted.Sequence = 7, 0
		if !s.Put(restarted, start) {
			t.Fatal("entry of a later incarnation: got ignored, want stored")
		}
		if got := s.States(start)[0].InFlight; got != 0 {
			t.Errorf("requests in flight at a new incarnation: got %d, want 0", got)
		}
	})
	t.Run("a removed target is not selected", func(t *testing.T) {
		s := newSet("t1")
		c := choose(t, s, Criteria{}, start)
		s.Remove("t1")
		c.End(Complete, nil, start)
		wantStatus(t, s, Criteria{}, start, NoTarget)
	})
}

func TestDrainingTarget(t *testing.T) {
	s := newSet("t1")
	draining := entry("t1", "a")
	draining.Sequence, draining.Draining = 2, true
	s.Put(draining, start)
	wantStatus(t, s, Criteria{}, start, NoTarget)
	t.Run("serves its own keys for the drain period", func(t *testing.T) {
		wantStatus(t, s, Criteria{Owner: "t1"}, start.Add(ownerDrainPeriod/2), Chosen)
		wantStatus(t, s, Criteria{Owner: "t1"}, start.Add(2*ownerDrainPeriod), NoTarget)
	})
}

func TestSlowTargetReceivesFewerRequests(t *testing.T) {
	s := newSet("fast", "slow")
	now := completeRequests(t, s, "fast", 40, 50*time.Millisecond, start)
	now = completeRequests(t, s, "slow", 40, 250*time.Millisecond, now)
	now = completeRequests(t, s, "fast", 40, 50*time.Millisecond, now)
	sent := make(map[string]int)
	for range 4 {
		sent[choose(t, s, Criteria{}, now).Entry.ID]++
	}
	if sent["fast"] < 3 {
		t.Errorf("requests at the fast target: got %d of 4, want 3 or more", sent["fast"])
	}
}

// TestBurst checks that a burst of simultaneous requests fills the slots and then
// the queues of all targets up to the depth limit, and that the excess is not sent.
func TestBurst(t *testing.T) {
	s := newSet("t1", "t2", "t3")
	sent := make(map[string]int)
	refused := 0
	for range 40 {
		c, status := s.Choose(Criteria{Service: service}, start)
		if status != Chosen {
			refused++
			continue
		}
		sent[c.Entry.ID]++
	}
	for id, n := range sent {
		if limit := int(2 * idempotentMaxDepth); n > limit {
			t.Errorf("requests at %s: got %d, want at most %d", id, n, limit)
		}
	}
	if refused == 0 {
		t.Error("requests beyond all depth limits: got none refused, want some")
	}
	t.Run("non-idempotent requests have a lower depth limit", func(t *testing.T) {
		wantStatus(t, newLoadedSet(t, int(2*nonIdempotentMaxDepth)), Criteria{NonIdempotent: true}, start, NoCapacity)
		wantStatus(t, newLoadedSet(t, int(2*nonIdempotentMaxDepth)), Criteria{}, start, Chosen)
	})
	t.Run("the end of a request is signalled", func(t *testing.T) {
		s := newSet("t1")
		c := choose(t, s, Criteria{}, start)
		freed := s.CapacityFreed(service)
		c.End(Complete, nil, start.Add(time.Millisecond))
		select {
		case <-freed:
		default:
			t.Error("end of a request: got no signal, want one")
		}
	})
	t.Run("checks take no memory while the service has no targets", func(t *testing.T) {
		s := NewSet("a")
		if first := s.CapacityFreed(service); s.CapacityFreed(service) != first {
			t.Error("signals of two checks: got two, want one")
		}
	})
}

func newLoadedSet(t *testing.T, n int) *Set {
	s := newSet("t1")
	for range n {
		choose(t, s, Criteria{}, start)
	}
	return s
}

func TestOwnDomainIsPreferred(t *testing.T) {
	s := NewSet("a")
	s.Put(entry("near", "a"), start)
	s.Put(entry("far", "b"), start)
	if got := choose(t, s, Criteria{}, start).Entry.ID; got != "near" {
		t.Errorf("first request: got %s, want the target in the host's own domain", got)
	}
	for range 6 {
		choose(t, s, Criteria{}, start)
	}
	if got := s.States(start)[0].InFlight; got == 0 {
		t.Error("requests in the other domain under load: got 0, want some")
	}
}

func TestBackoffAfterFailure(t *testing.T) {
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
			wantStatus(t, s, Criteria{Owner: c.Entry.ID}, now, Chosen)
		})
	}
}

// TestLoadEstimateOutlivesReport guards against underestimating a target with a hot
// key once its last report is old: the estimate must stay above that of idle
// targets.
func TestLoadEstimateOutlivesReport(t *testing.T) {
	s := newSet("hot", "idle1", "idle2", "idle3")
	now := start
	for range 10 {
		for _, id := range []string{"hot", "idle1", "idle2", "idle3"} {
			c := choose(t, s, Criteria{Owner: id}, now)
			report := &Report{}
			if id == "hot" {
				report = &Report{Running: 2, Waiting: 3}
			}
			c.End(Complete, report, now.Add(time.Millisecond))
		}
		now = now.Add(300 * time.Millisecond)
	}
	hot := choose(t, s, Criteria{Owner: "hot"}, now.Add(500*time.Millisecond))
	idle := choose(t, s, Criteria{Owner: "idle1"}, now.Add(500*time.Millisecond))
	if hot.ExpectedLatency < 2*idle.ExpectedLatency {
		t.Errorf("expected latency at the busy target: got %v, want at least twice the idle target's %v", hot.ExpectedLatency, idle.ExpectedLatency)
	}
}

// TestSpread guards against herding: hosts with the same load data must not all
// select the same target.
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

// TestFullOwner guards against overloading the owner of a hot key, which closes
// connections when it is full: it must receive no request during the backoff, then
// one, and the usual number once the target has responded to that request.
func TestFullOwner(t *testing.T) {
	s := newSet("t1")
	now := time.Unix(100, 0)
	criteria := Criteria{Service: "svc", Owner: "t1"}
	full := &Report{Running: 2, Waiting: 2}
	choose(t, s, criteria, now).End(Shed, full, now)
	wantStatus(t, s, criteria, now.Add(10*time.Millisecond), NoCapacity)
	now = now.Add(time.Second)
	probe := choose(t, s, criteria, now)
	wantStatus(t, s, criteria, now, NoCapacity)
	probe.End(Shed, full, now)
	wantStatus(t, s, criteria, now.Add(50*time.Millisecond), NoCapacity)
	now = now.Add(time.Second)
	choose(t, s, criteria, now).End(Complete, nil, now)
	choose(t, s, criteria, now)
	choose(t, s, criteria, now)
}

// TestFullOwnerWithoutReport guards against the same where the target resets
// connections instead of refusing requests, so that only the estimate tells its load.
func TestFullOwnerWithoutReport(t *testing.T) {
	s := newSet("t1")
	now := time.Unix(100, 0)
	criteria := Criteria{Service: "svc", Owner: "t1"}
	var last *Choice
	for range 4 {
		last = choose(t, s, criteria, now)
	}
	last.End(ConnectionLost, nil, now)
	wantStatus(t, s, criteria, now.Add(10*time.Millisecond), NoCapacity)
}

// TestOwnerThatShedsWithCapacity guards against holding requests back from an owner that
// refuses some of them although it has capacity: no other target can run them.
func TestOwnerThatShedsWithCapacity(t *testing.T) {
	for _, result := range []Result{Shed, ConnectionLost} {
		s := newSet("t1")
		now := time.Unix(100, 0)
		criteria := Criteria{Service: "svc", Owner: "t1"}
		choose(t, s, criteria, now).End(result, &Report{Running: 1}, now)
		choose(t, s, criteria, now)
		choose(t, s, criteria, now)
	}
}

// TestFailingOwner checks that an owner that responds to some requests with errors still
// receives the others, as no other target can run them.
func TestFailingOwner(t *testing.T) {
	s := newSet("t1")
	now := time.Unix(100, 0)
	criteria := Criteria{Service: "svc", Owner: "t1"}
	choose(t, s, criteria, now).End(Failed, nil, now)
	choose(t, s, criteria, now)
}

// TestOwnerEstimate checks what the log states of the owner of a key that was refused for
// lack of capacity.
func TestOwnerEstimate(t *testing.T) {
	s := newSet("t1")
	now := time.Unix(100, 0)
	criteria := Criteria{Service: service, Owner: "t1"}
	choose(t, s, criteria, now).End(Shed, &Report{Running: 2, Waiting: 2}, now)
	e, ok := s.OwnerEstimate(criteria, now.Add(10*time.Millisecond))
	if !ok || !e.Backoff || e.Depth < 2 || e.Depth > 2.5 || e.Limit != idempotentMaxDepth || e.ReportAge != 10*time.Millisecond {
		t.Errorf("estimate of a full owner: got %+v, want a backoff, a depth of 2 to 2.5, and a report of 10 ms ago", e)
	}
	if _, ok := s.OwnerEstimate(Criteria{Service: service, Owner: "t9"}, now); ok {
		t.Error("estimate of an unknown owner: got one, want none")
	}
}

// TestWaitingForFullOwner guards against requests that are held and then refused: of those for
// a hot key, no more may wait at a host than its owner can soon take from there.
func TestWaitingForFullOwner(t *testing.T) {
	s := newSet("t1")
	now := time.Unix(100, 0)
	criteria := Criteria{Service: service, Owner: "t1"}
	inFlight := 0
	for ; ; inFlight++ {
		if _, status := s.Choose(criteria, now); status != Chosen {
			break
		}
	}
	waiting := 0
	for range 100 {
		if s.EnterQueue(service, "t1") {
			waiting++
		}
	}
	if waiting != inFlight {
		t.Errorf("requests that may wait: got %d, want %d", waiting, inFlight)
	}
	s.LeaveQueue(service, "t1")
	if !s.EnterQueue(service, "t1") {
		t.Error("queue after one request has left it: got it full, want room for one")
	}
	if s.EnterQueue(service, "t9") {
		t.Error("queue of an unknown owner: got room, want none")
	}
}

// TestNotSent guards against holding it against a target that a hedge was given up before it
// was sent.
func TestNotSent(t *testing.T) {
	s := newSet("t1")
	now := time.Unix(100, 0)
	choose(t, s, Criteria{}, now).End(NotSent, nil, now)
	if state := s.States(now)[0]; state.FailureScore != 0 || state.InFlight != 0 || state.Paused {
		t.Errorf("state after a request that was not sent: got %+v, want no failure, none in flight, no backoff", state)
	}
}

// TestYieldToHigherPriority guards against requests of a high priority that are refused while
// others of a lower one fill the targets.
func TestYieldToHigherPriority(t *testing.T) {
	low := Criteria{Service: service, Owner: "t1", Rank: 2}
	high := Criteria{Service: service, Owner: "t1", Rank: 0, NonIdempotent: true}
	now := time.Unix(100, 0)
	fill := func(s *Set, now time.Time) (inFlight []*Choice) {
		for {
			c, status := s.Choose(low, now)
			if status != Chosen {
				return inFlight
			}
			inFlight = append(inFlight, c)
		}
	}
	s := newSet("t1")
	inFlight := fill(s, now)
	all := len(inFlight)
	wantStatus(t, s, high, now, NoCapacity)
	for _, c := range inFlight {
		c.End(Complete, &Report{}, now)
	}
	yielding := fill(s, now)
	if len(yielding) >= all {
		t.Errorf("requests of a low priority after the refusal: got %d in flight, want fewer than %d", len(yielding), all)
	}
	choose(t, s, high, now).End(Complete, &Report{}, now)
	for _, c := range yielding {
		c.End(Complete, &Report{}, now)
	}
	if got := len(fill(s, now.Add(2*s.service(service).yieldPeriod()))); got != all {
		t.Errorf("requests of a low priority later: got %d in flight, want %d", got, all)
	}
}
