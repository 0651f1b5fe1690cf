package admission

import (
	"context"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pineturn/core/clock"
	"pineturn/core/outcome"
)

var epoch = time.Unix(1_000_000, 0)

func middle() float64 { return 0.5 }

func newQueue(slots, length int) *Queue {
	return New(Options{Slots: slots, Queue: length, Random: middle})
}

func far(now time.Time) time.Time { return now.Add(time.Hour) }

func arrive(t *testing.T, q *Queue, now time.Time, key string) *Ticket {
	t.Helper()
	ticket, _ := q.Arrive(now, key, far(now))
	return ticket
}

func checkState(t *testing.T, ticket *Ticket, want state) {
	t.Helper()
	if ticket.state != want {
		t.Errorf("got state %d, want %d (%v)", ticket.state, want, ticket.failure)
	}
}

func checkRefusal(t *testing.T, ticket *Ticket, want outcome.Reason) {
	t.Helper()
	got := ticket.Refusal()
	if got == nil || got.Reason != want || got.Outcome != outcome.NotRun {
		t.Errorf("got %v, want not run, %s", got, want)
	}
}

func TestSlots(t *testing.T) {
	q := newQueue(2, 10)
	first, second, third := arrive(t, q, epoch, "a"), arrive(t, q, epoch, "b"), arrive(t, q, epoch, "c")
	checkState(t, first, running)
	checkState(t, second, running)
	checkState(t, third, waiting)
	q.Finish(epoch.Add(time.Millisecond), first, Result{Served: true})
	q.Advance(epoch.Add(time.Millisecond))
	checkState(t, third, running)
}

func TestBounds(t *testing.T) {
	t.Run("count", func(t *testing.T) {
		q := newQueue(1, 2)
		for range 3 {
			arrive(t, q, epoch, "a")
		}
		last := arrive(t, q, epoch, "a")
		checkRefusal(t, last, outcome.Overloaded)
		if got, want := last.Refusal().RetryAfter, 3*DefaultService; got != want {
			t.Errorf("got retry after %v, want %v", got, want)
		}
	})
	t.Run("deadline", func(t *testing.T) {
		q := newQueue(1, 100)
		for range 5 {
			arrive(t, q, epoch, "a")
		}
		late, _ := q.Arrive(epoch, "a", epoch.Add(5*DefaultService))
		checkRefusal(t, late, outcome.Overloaded)
		inTime, _ := q.Arrive(epoch, "a", epoch.Add(7*DefaultService))
		checkState(t, inTime, waiting)
	})
	t.Run("foreseen wait", func(t *testing.T) {
		q := newQueue(1, 100)
		fit := int(DefaultMaxWait / DefaultService)
		for range fit {
			if refusal := arrive(t, q, epoch, "a").Refusal(); refusal != nil {
				t.Fatalf("got %v within the longest wait, want none", refusal)
			}
		}
		arrive(t, q, epoch, "a")
		checkRefusal(t, arrive(t, q, epoch, "a"), outcome.Overloaded)
	})
	t.Run("deadline by turn", func(t *testing.T) {
		q := newQueue(1, 100)
		for range 50 {
			arrive(t, q, epoch, "hot")
		}
		other, _ := q.Arrive(epoch, "other", epoch.Add(4*DefaultService))
		checkState(t, other, waiting)
	})
	t.Run("observed service time", func(t *testing.T) {
		q := newQueue(1, 100)
		now := epoch
		for range 100 {
			ticket := arrive(t, q, now, "a")
			now = now.Add(time.Second)
			q.Finish(now, ticket, Result{Served: true})
		}
		arrive(t, q, now, "a")
		late, _ := q.Arrive(now, "a", now.Add(time.Second))
		checkRefusal(t, late, outcome.Overloaded)
	})
	t.Run("stalled target", func(t *testing.T) {
		q := newQueue(1, 100)
		arrive(t, q, epoch, "a")
		now := epoch.Add(time.Second)
		late, _ := q.Arrive(now, "a", now.Add(500*time.Millisecond))
		checkRefusal(t, late, outcome.Overloaded)
		if got := late.Refusal().RetryAfter; got < time.Second {
			t.Errorf("got retry after %v, want at least 1s", got)
		}
	})
	t.Run("passed in the queue", func(t *testing.T) {
		q := newQueue(1, 10)
		first := arrive(t, q, epoch, "a")
		second, _ := q.Arrive(epoch, "a", epoch.Add(50*time.Millisecond))
		now := epoch.Add(time.Second)
		q.Finish(now, first, Result{Served: true})
		q.Advance(now)
		checkRefusal(t, second, outcome.DeadlineExceeded)
	})
}

func TestFairness(t *testing.T) {
	t.Run("turns", func(t *testing.T) {
		q := newQueue(1, 100)
		current := arrive(t, q, epoch, "hot")
		for range 50 {
			arrive(t, q, epoch, "hot")
		}
		cold := arrive(t, q, epoch, "cold")
		for range 2 {
			q.Finish(epoch, current, Result{Served: true})
			current = q.Advance(epoch)[0]
		}
		checkState(t, cold, running)
	})
	t.Run("a hot key's queue makes room", func(t *testing.T) {
		q := newQueue(1, 4)
		for range 5 {
			arrive(t, q, epoch, "hot")
		}
		cold, displaced := q.Arrive(epoch, "cold", far(epoch))
		checkState(t, cold, waiting)
		if len(displaced) != 1 || displaced[0].key != "hot" {
			t.Fatalf("got %d displaced, want one of hot", len(displaced))
		}
		checkRefusal(t, displaced[0], outcome.Overloaded)
	})
}

func TestNobodyWaitsLongToBeDisplaced(t *testing.T) {
	q := newQueue(1, 4)
	for range 5 {
		arrive(t, q, epoch, "hot")
	}
	later := epoch.Add(2 * youth)
	cold, displaced := q.Arrive(later, "cold", far(later))
	if len(displaced) != 0 {
		t.Errorf("got %d displaced after %v, want none", len(displaced), 2*youth)
	}
	checkRefusal(t, cold, outcome.Overloaded)
}

func TestSheds(t *testing.T) {
	t.Run("fewer at once, then all slots again", func(t *testing.T) {
		q := newQueue(4, 10)
		tickets := make([]*Ticket, 4)
		for i := range tickets {
			tickets[i] = arrive(t, q, epoch, "a")
		}
		q.Finish(epoch, tickets[0], Result{Shed: true})
		if got := q.Load(epoch).Limit; got != 3 {
			t.Errorf("got limit %d, want 3", got)
		}
		if got := q.Load(epoch.Add(time.Minute)).Limit; got != 4 {
			t.Errorf("got limit %d after a minute, want 4", got)
		}
	})
	t.Run("pause", func(t *testing.T) {
		q := newQueue(2, 10)
		now := epoch
		for range 20 {
			ticket := arrive(t, q, now, "a")
			checkState(t, ticket, running)
			q.Finish(now, ticket, Result{Shed: true})
			held, _ := q.Arrive(now, "a", now.Add(DefaultPause/2))
			checkRefusal(t, held, outcome.Overloaded)
			next := now.Add(DefaultMaxPause)
			if q.Load(next).Paused {
				t.Fatal("got paused after the longest pause, want open")
			}
			now = next
		}
	})
	t.Run("warm", func(t *testing.T) {
		q := newQueue(4, 10)
		q.Warm(epoch)
		if got := q.Load(epoch).Limit; got != 1 {
			t.Errorf("got limit %d, want 1", got)
		}
		if got := q.Load(epoch.Add(DefaultRecovery)).Limit; got != 2 {
			t.Errorf("got limit %d, want 2", got)
		}
	})
}

// Any order of events keeps the slots and the bounds, and strands nobody.
func TestQueueProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots, length := rapid.IntRange(1, 4).Draw(t, "slots"), rapid.IntRange(1, 8).Draw(t, "queue")
		q := newQueue(slots, length)
		now := epoch
		var live []*Ticket
		for step := range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "ms")) * time.Millisecond)
			label := fmt.Sprint("step", step)
			switch rapid.IntRange(0, 4).Draw(t, label) {
			case 0, 1:
				key := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key")
				ticket, _ := q.Arrive(now, key, now.Add(time.Duration(rapid.IntRange(1, 500).Draw(t, "left"))*time.Millisecond))
				live = append(live, ticket)
			case 2, 3:
				for _, ticket := range live {
					if ticket.state == running {
						q.Finish(now, ticket, Result{Served: rapid.Bool().Draw(t, "served"), Shed: rapid.Bool().Draw(t, "shed")})
						break
					}
				}
			case 4:
				if len(live) > 0 {
					q.Withdraw(live[rapid.IntRange(0, len(live)-1).Draw(t, "which")])
				}
			}
			q.Advance(now)
			checkQueue(t, q, now, live, slots, length)
		}
	})
}

func checkQueue(t *rapid.T, q *Queue, now time.Time, live []*Ticket, slots, length int) {
	t.Helper()
	counts := make(map[state]int)
	for _, ticket := range live {
		counts[ticket.state]++
	}
	if counts[running] > slots || counts[running] != q.running {
		t.Fatalf("got %d running (%d counted), want at most %d", counts[running], q.running, slots)
	}
	if counts[waiting] > length || counts[waiting] != q.waiting {
		t.Fatalf("got %d waiting (%d counted), want at most %d", counts[waiting], q.waiting, length)
	}
	if _, ok := q.Next(now); q.waiting > 0 && q.running == 0 && !ok {
		t.Fatal("got waiting requests that nothing will start")
	}
	if len(q.turn) != len(q.lanes) {
		t.Fatalf("got %d turns, want %d", len(q.turn), len(q.lanes))
	}
}

func TestGate(t *testing.T) {
	newGate := func() (*Gate, *Slot) {
		gate := NewGate(clock.System{}, Options{Slots: 1, Queue: 10})
		slot, failure := gate.Acquire(context.Background(), "a", far(time.Now()))
		if failure != nil {
			t.Fatal(failure)
		}
		return gate, slot
	}
	acquire := func(ctx context.Context, gate *Gate, left time.Duration) chan *outcome.Error {
		result := make(chan *outcome.Error, 1)
		before := gate.Load().Waiting
		go func() {
			_, failure := gate.Acquire(ctx, "a", time.Now().Add(left))
			result <- failure
		}()
		for gate.Load().Waiting == before && len(result) == 0 {
			time.Sleep(time.Millisecond)
		}
		return result
	}
	check := func(t *testing.T, result chan *outcome.Error, want outcome.Reason) {
		t.Helper()
		if got := <-result; got == nil || got.Reason != want {
			t.Errorf("got %v, want %s", got, want)
		}
	}
	t.Run("waits for the slot", func(t *testing.T) {
		gate, slot := newGate()
		result := acquire(context.Background(), gate, time.Hour)
		slot.Release(Result{Served: true})
		if failure := <-result; failure != nil {
			t.Errorf("got %v, want a slot", failure)
		}
	})
	t.Run("cancelled", func(t *testing.T) {
		gate, _ := newGate()
		ctx, cancel := context.WithCancel(context.Background())
		result := acquire(ctx, gate, time.Hour)
		cancel()
		check(t, result, outcome.Cancelled)
		if got := gate.Load().Waiting; got != 0 {
			t.Errorf("got %d waiting, want 0", got)
		}
	})
	t.Run("deadline", func(t *testing.T) {
		gate, _ := newGate()
		check(t, acquire(context.Background(), gate, 50*time.Millisecond), outcome.DeadlineExceeded)
	})
	t.Run("closed", func(t *testing.T) {
		gate, _ := newGate()
		result := acquire(context.Background(), gate, time.Hour)
		gate.Close()
		check(t, result, outcome.NotLeaseholder)
	})
	t.Run("opened again", func(t *testing.T) {
		gate, slot := newGate()
		gate.Close()
		gate.Open()
		result := acquire(context.Background(), gate, time.Hour)
		if got := gate.Load().Running; got != 1 {
			t.Errorf("got %d running, want only the one from before", got)
		}
		slot.Release(Result{Served: true})
		if failure := <-result; failure != nil {
			t.Errorf("got %v, want a slot", failure)
		}
	})
	t.Run("starts again by itself after a pause", func(t *testing.T) {
		gate, slot := newGate()
		result := acquire(context.Background(), gate, time.Hour)
		slot.Release(Result{Shed: true})
		if failure := <-result; failure != nil {
			t.Errorf("got %v, want a slot", failure)
		}
	})
}

func BenchmarkGate(b *testing.B) {
	gate := NewGate(clock.System{}, Options{Slots: 2, Queue: 100})
	ctx := context.Background()
	deadline := far(time.Now())
	b.ReportAllocs()
	for b.Loop() {
		slot, failure := gate.Acquire(ctx, "a", deadline)
		if failure != nil {
			b.Fatal(failure)
		}
		slot.Release(Result{Served: true})
	}
}
