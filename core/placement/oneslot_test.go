package placement

import (
	"testing"
	"time"
)

// newOneSlotSet returns a set with one target of one slot, t1.
func newOneSlotSet() *Set { return newSlotSet(1) }

// newSlotSet returns a set with one target, t1, with the given number of slots.
func newSlotSet(slots int) *Set {
	s := NewSet("a")
	e := entry("t1", "a")
	e.Slots = slots
	s.Put(e, start)
	return s
}

// wantRoom checks how many requests with the criteria find capacity at the same time, and
// ends them without a report.
func wantRoom(t *testing.T, s *Set, criteria Criteria, now time.Time, want int) {
	t.Helper()
	criteria.Service = service
	var chosen []*Choice
	for range 20 {
		if c, status := s.Choose(criteria, now); status == Chosen {
			chosen = append(chosen, c)
		}
	}
	if got := len(chosen); got != want {
		t.Errorf("requests that find capacity: got %d, want %d", got, want)
	}
	for _, c := range chosen {
		c.End(NotSent, nil, now)
	}
}

// TestReportCountsItsOwnRequest guards against taking the request whose response brings a
// report for one that still runs, which with one slot is all the room that is left for
// others: the replay is an idle target, each of whose reports has one request running.
func TestReportCountsItsOwnRequest(t *testing.T) {
	low := Criteria{Owner: "t1", Rank: 2}
	high := Criteria{Owner: "t1", NonIdempotent: true}
	for _, result := range []Result{Complete, Failed} {
		s := newOneSlotSet()
		choose(t, s, high, start).End(result, &Report{Running: 1}, start)
		wantRoom(t, s, high, start, 2)
		wantRoom(t, s, low, start, 2)
		wantRoom(t, s, low, start.Add(2*s.service(service).yieldPeriod()), 3)
	}
	t.Run("not if the target did not run it", func(t *testing.T) {
		s := newOneSlotSet()
		choose(t, s, high, start).End(WrongTarget, &Report{Running: 1}, start)
		wantRoom(t, s, high, start, 1)
	})
}

// TestFullTargetsAreTriedAgain guards against a host that refuses all requests of a service
// for good: without a response there is no report that could tell of free capacity.
func TestFullTargetsAreTriedAgain(t *testing.T) {
	for _, criteria := range []Criteria{{}, {Owner: "t1"}, {Owner: "t1", NonIdempotent: true}} {
		s := newOneSlotSet()
		choose(t, s, criteria, start).End(Complete, &Report{Running: 1, Waiting: 5}, start)
		wantRoom(t, s, criteria, start, 0)
		wantStatus(t, s, criteria, start.Add(5*time.Second), Chosen)
	}
}

// TestWaitingForAnyTarget guards against requests without a key that are held and then
// refused: no more may wait at a host than the targets can soon take from there.
func TestWaitingForAnyTarget(t *testing.T) {
	s := newOneSlotSet()
	if s.EnterQueue(service, "") || s.EnterQueue(service, "t1") {
		t.Error("queue at targets with nothing in flight: got room, want none")
	}
	inFlight := 0
	for ; ; inFlight++ {
		if _, status := s.Choose(Criteria{Service: service}, start); status != Chosen {
			break
		}
	}
	waiting := 0
	for range 100 {
		if s.EnterQueue(service, "") {
			waiting++
		}
	}
	if waiting != inFlight {
		t.Errorf("requests that may wait: got %d, want %d", waiting, inFlight)
	}
	s.LeaveQueue(service, "")
	if !s.EnterQueue(service, "") {
		t.Error("queue after one request has left it: got it full, want room for one")
	}
}

// TestYieldPeriod guards against requests of a low priority that yield as long with one slot
// as with four: there they give up one of three requests, here six of fourteen.
func TestYieldPeriod(t *testing.T) {
	low := Criteria{Service: service, Owner: "t1", Rank: 2}
	high := Criteria{Service: service, Owner: "t1", NonIdempotent: true}
	for _, tt := range []struct{ slots, yielding, later, want int }{{1, 2, 3, 3}, {4, 8, 8, 14}} {
		s := newSlotSet(tt.slots)
		wantRoom(t, s, high, start, int(nonIdempotentMaxDepth*float64(tt.slots)))
		wantRoom(t, s, low, start, tt.yielding)
		wantRoom(t, s, low, start.Add(time.Second), tt.later)
		wantRoom(t, s, low, start.Add(3*time.Second), tt.want)
	}
}
