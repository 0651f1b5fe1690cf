package ownerqueue

import (
	"fmt"
	"testing"
	"time"
)

var epoch = time.Unix(1000, 0)

// newQueue returns a queue for a target that takes 100 ms for a request.
func newQueue(slots int, limit, others float64) *Queue {
	q := New()
	q.Random = func() float64 { return 0.5 }
	q.SetTarget(Target{Slots: slots, OtherHosts: others, Limit: limit, ProcessingTime: 100 * time.Millisecond})
	return q
}

// submit adds n equal requests and returns the last ticket.
func submit(q *Queue, n int, r Request) (t *Ticket) {
	for range n {
		t = q.Submit(r, epoch)
	}
	return t
}

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// request returns an idempotent request with a rank, and an objective and a deadline in so many
// milliseconds.
func request(rank, objective, deadline int) Request {
	return Request{Rank: rank, Objective: epoch.Add(ms(objective)), Deadline: epoch.Add(ms(deadline)), Idempotent: true}
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
			q := newQueue(1, 1, 0)
			second, first := q.Submit(c.second, epoch), q.Submit(c.first, epoch)
			for i, want := range []*Ticket{first, second} {
				if got := q.Start(epoch); len(got) != 1 || got[0] != want {
					t.Errorf("start %d: got %v, want %v alone", i+1, got, want)
				}
				q.End(want)
			}
		})
	}
}

// TestRoom guards against a target that gets more than it takes well, or nothing at all.
func TestRoom(t *testing.T) {
	other := request(0, 400, 1000)
	other.Idempotent = false
	for _, c := range []struct {
		name          string
		slots         int
		limit, others float64
		r             Request
		want          int
	}{
		{"slots", 3, 3, 0, request(0, 400, 1000), 3},
		{"other hosts", 3, 3, 2, request(0, 400, 1000), 1},
		{"full by other hosts", 3, 3, 9, request(0, 400, 1000), 1},
		{"learned limit", 3, 2, 0, request(0, 400, 1000), 2},
		{"limit above the slots", 2, 4, 0, request(0, 400, 1000), 4},
		{"limit above the slots, not idempotent", 2, 4, 0, other, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			q := newQueue(c.slots, c.limit, c.others)
			submit(q, 5, c.r)
			q.Start(epoch)
			if _, got := q.Len(); got != c.want {
				t.Errorf("started: got %d, want %d", got, c.want)
			}
		})
	}
}

// TestRefused guards against callers that wait for what can't be, that are refused though they can be
// answered, that return later than they can, or that all return at the same moment.
func TestRefused(t *testing.T) {
	// One runs, and one after the other follows: after a calm time as long as they are answered within
	// 1000 ms. At a target that was asked for more than it can do, those that would come late, with
	// less than 120 ms left of the 500, must expect others before them.
	for before, want := range map[int][2]int{0: {9, 10}, 20: {4, 6}} {
		t.Run(fmt.Sprint("at once, after ", before), func(t *testing.T) {
			q, accepted := newQueue(1, 1, 0), 0
			for range before {
				q.countArrival(epoch)
			}
			for range 20 {
				ticket := submit(q, 1, request(0, 500, 1000))
				q.Start(epoch)
				if wait, ok := ticket.Refused(); !ok {
					accepted++
				} else if wait < ms(150) || wait > ms(330) {
					t.Errorf("time to return: got %v, want 150 to 330 ms, a third of what is left", wait)
				}
			}
			if accepted < want[0] || accepted > want[1] {
				t.Errorf("requests accepted: got %d, want %d to %d", accepted, want[0], want[1])
			}
		})
	}
	t.Run("too late at once", func(t *testing.T) {
		q := newQueue(1, 1, 0)
		if submit(q, 1, request(0, 50, 90)).state != refused {
			t.Error("request with 90 ms left for 100 ms of work: got it accepted, want it refused")
		}
	})
	t.Run("one after the other", func(t *testing.T) {
		q, r := newQueue(4, 4, 0), request(0, 10000, 60000)
		submit(q, 4, r)
		q.Start(epoch)
		last, _ := submit(q, maxWaiting+1, r).Refused()
		for range 9 {
			wait, _ := submit(q, 1, r).Refused()
			if got := wait - last; got != ms(25) {
				t.Errorf("time between two returns: got %v, want the 25 ms that a request takes of four slots", got)
			}
			last = wait
		}
	})
}

// TestNoStarving guards against less urgent requests that never get their turn.
func TestNoStarving(t *testing.T) {
	q, got := newQueue(1, 1, 0), 0
	submit(q, 30, request(0, 10000, 20000))
	submit(q, 5, request(2, 10000, 20000))
	for range 30 {
		started := q.Start(epoch)
		got += min(started[0].Rank, 1)
		q.End(started[0])
	}
	if got != 3 {
		t.Errorf("less urgent requests among 30 starts: got %d, want 3", got)
	}
}

// TestEnd guards against a place that is not freed, or freed twice.
func TestEnd(t *testing.T) {
	q := newQueue(1, 1, 0)
	first, second := submit(q, 1, request(0, 400, 1000)), submit(q, 1, request(0, 400, 1000))
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
	for _, c := range []struct {
		name, id        string
		at              time.Duration
		known, returned bool
	}{
		{"as told", "x", time.Second, true, true}, {"at once", "x", ms(10), true, false},
		{"after its deadline", "x", 4 * time.Second, false, false}, {"another", "y", time.Second, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			var r Refusals[string]
			r.Record("x", epoch, epoch.Add(time.Second), epoch.Add(3*time.Second), epoch)
			first, returned := r.Take(c.id, epoch.Add(c.at))
			if got := first.Equal(epoch); got != c.known || returned != c.returned {
				t.Errorf("first arrival at %v: got the earlier one %t, returned %t, want %t, %t", c.at, got, returned, c.known, c.returned)
			}
		})
	}
}

// TestManyRefusals guards against refusals that are remembered without bound, or none any more once
// many were.
func TestManyRefusals(t *testing.T) {
	var r Refusals[int]
	for i := range maxRefused + 1 {
		r.Record(i, epoch, epoch, epoch.Add(time.Second), epoch)
	}
	r.Record(-1, epoch, epoch, epoch.Add(2*time.Second), epoch.Add(ms(999)))
	r.Record(-2, epoch, epoch, epoch.Add(2*time.Second), epoch.Add(time.Second))
	for id, want := range map[int]bool{maxRefused: false, -1: false, -2: true} {
		if _, got := r.Take(id, epoch.Add(time.Second)); got != want {
			t.Errorf("refusal %d: got it known %t, want %t", id, got, want)
		}
	}
}
