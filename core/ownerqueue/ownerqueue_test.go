package ownerqueue

import (
	"slices"
	"testing"
	"time"

	"pineturn/core/concurrency"
)

var epoch = time.Unix(1000, 0)

// newQueue returns a queue for a target that takes 100 ms for a request.
func newQueue(slots int, others float64) *Queue {
	q := New()
	q.Random = func() float64 { return 0.5 }
	q.SetTarget(Target{Slots: slots, OtherHosts: others, Estimate: concurrency.Estimate{Limit: float64(slots), ProcessingTime: 100 * time.Millisecond}})
	return q
}

// request returns an idempotent request with a rank, and an objective and a deadline in so many
// milliseconds.
func request(rank, objective, deadline int) Request {
	return Request{
		Rank: rank, Objective: epoch.Add(time.Duration(objective) * time.Millisecond), Deadline: epoch.Add(time.Duration(deadline) * time.Millisecond), Idempotent: true,
	}
}

// TestOrder guards against requests that come late because others go first for which that changes
// nothing.
func TestOrder(t *testing.T) {
	returned := request(0, 400, 1000)
	returned.Returned = true
	for _, c := range []struct {
		name          string
		first, second Request
	}{
		{"in time before late", request(0, 400, 1000), request(0, 50, 1000)},
		{"in time before late, though less urgent", request(1, 400, 1000), request(0, 50, 1000)},
		{"urgent before less urgent", request(0, 400, 1000), request(1, 300, 1000)},
		{"earlier objective", request(0, 300, 2000), request(0, 400, 1000)},
		{"earlier deadline among late ones", request(0, 60, 900), request(0, 50, 1000)},
		{"returned as told", returned, request(0, 300, 1000)},
	} {
		t.Run(c.name, func(t *testing.T) {
			q := newQueue(1, 0)
			second, first := q.Submit(c.second, epoch), q.Submit(c.first, epoch)
			if got := q.Start(epoch); len(got) != 1 || got[0] != first || second.Running() {
				t.Errorf("started: got %v, want the first alone", got)
			}
			q.End(first)
			if got := q.Start(epoch); len(got) != 1 || got[0] != second {
				t.Errorf("started then: got %v, want the second", got)
			}
		})
	}
}

// TestRoom guards against a target that gets more than it takes well, or nothing at all.
func TestRoom(t *testing.T) {
	other := request(0, 400, 1000)
	other.Idempotent = false
	for _, c := range []struct {
		name   string
		slots  int
		limit  float64
		others float64
		r      Request
		want   int
	}{
		{"slots", 3, 3, 0, request(0, 400, 1000), 3},
		{"other hosts", 3, 3, 2, request(0, 400, 1000), 1},
		{"full by other hosts", 3, 3, 9, request(0, 400, 1000), 1},
		{"learned limit", 3, 2, 0, request(0, 400, 1000), 2},
		{"limit above the slots", 2, 4, 0, request(0, 400, 1000), 4},
		{"limit above the slots, not idempotent", 2, 4, 0, other, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			q := newQueue(c.slots, c.others)
			q.target.Limit = c.limit
			for range 5 {
				q.Submit(c.r, epoch)
			}
			q.Start(epoch)
			if _, got := q.Len(); got != c.want {
				t.Errorf("started: got %d, want %d", got, c.want)
			}
		})
	}
}

// TestRefusedAtOnce guards against callers that wait for what can't be, and against requests that are
// refused though they can be answered.
func TestRefusedAtOnce(t *testing.T) {
	q := newQueue(1, 0)
	var waits []time.Duration
	accepted := 0
	for range 20 {
		ticket := q.Submit(request(0, 500, 1000), epoch)
		q.Start(epoch)
		if wait, ok := ticket.Refused(); ok {
			waits = append(waits, wait)
			continue
		}
		accepted++
	}
	// One runs, and one after the other follows as long as 120 ms are left of the 500; further
	// ones would come late behind a target that is asked for more than it can do.
	if accepted < 4 || accepted > 6 {
		t.Errorf("requests accepted: got %d, want 4 to 6", accepted)
	}
	for _, wait := range waits {
		if wait < 150*time.Millisecond || wait > 330*time.Millisecond {
			t.Errorf("time to return: got %v, want 150 to 330 ms, a third of what is left", wait)
		}
	}
	if ticket := q.Submit(request(0, 50, 90), epoch); ticket.state != refused {
		t.Error("request with 90 ms left for 100 ms of work: got it accepted, want it refused")
	}
}

// TestReturnsAreSpread guards against callers that all return at the same moment.
func TestReturnsAreSpread(t *testing.T) {
	q := newQueue(4, 0)
	for range 4 {
		q.Submit(request(0, 10000, 60000), epoch)
	}
	q.Start(epoch)
	q.waiting = make([]*Ticket, maxWaiting)
	for i := range q.waiting {
		q.waiting[i] = &Ticket{Request: request(0, 10000, 60000)}
	}
	var waits []time.Duration
	for range 10 {
		wait, _ := q.Submit(request(0, 10000, 60000), epoch).Refused()
		waits = append(waits, wait)
	}
	for i := range len(waits) - 1 {
		if got := waits[i+1] - waits[i]; got != 25*time.Millisecond {
			t.Errorf("time between two returns: got %v, want the 25 ms that a request takes of four slots", got)
		}
	}
}

// TestNoStarving guards against less urgent requests that never get their turn.
func TestNoStarving(t *testing.T) {
	q := newQueue(1, 0)
	for range 30 {
		q.Submit(request(0, 10000, 20000), epoch)
	}
	for range 5 {
		q.Submit(request(2, 10000, 20000), epoch)
	}
	var ranks []int
	for range 30 {
		started := q.Start(epoch)
		ranks = append(ranks, started[0].Rank)
		q.End(started[0])
	}
	if got := len(slices.DeleteFunc(ranks, func(rank int) bool { return rank == 0 })); got != 3 {
		t.Errorf("less urgent requests among 30 starts: got %d, want 3", got)
	}
}

// TestEnd guards against a place that is not freed, or freed twice.
func TestEnd(t *testing.T) {
	q := newQueue(1, 0)
	first, second := q.Submit(request(0, 400, 1000), epoch), q.Submit(request(0, 400, 1000), epoch)
	q.Start(epoch)
	for range 2 {
		q.End(second)
		q.End(first)
	}
	if waiting, running := q.Len(); waiting != 0 || running != 0 {
		t.Errorf("requests after all have ended: got %d waiting and %d running, want none", waiting, running)
	}
}

// TestRefusals guards against a caller that gains by returning too early, and against one that is
// taken for new.
func TestRefusals(t *testing.T) {
	var r Refusals[string]
	refuse := func() { r.Record("x", epoch, epoch.Add(time.Second), epoch.Add(3*time.Second), epoch) }
	for _, c := range []struct {
		name     string
		id       string
		at       time.Duration
		known    bool
		returned bool
	}{
		{"as told", "x", time.Second, true, true}, {"at once", "x", 10 * time.Millisecond, true, false},
		{"after its deadline", "x", 4 * time.Second, false, false}, {"another", "y", time.Second, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			refuse()
			now := epoch.Add(c.at)
			first, returned := r.Take(c.id, now)
			if got := first.Equal(epoch); got != c.known || returned != c.returned {
				t.Errorf("first arrival at %v: got the earlier one %t, returned %t, want %t, %t", c.at, got, returned, c.known, c.returned)
			}
		})
	}
}
