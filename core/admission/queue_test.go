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

// noJitter returns the random number that leaves retry times unchanged.
func noJitter() float64 { return 0.5 }

func newQueue(slots, length int) *Queue {
	return New(Options{Slots: slots, QueueLength: length, Random: noJitter})
}

func farDeadline(now time.Time) time.Time { return now.Add(time.Hour) }

func submit(t *testing.T, q *Queue, now time.Time, key string) *Ticket {
	t.Helper()
	ticket, _ := q.Submit(now, key, farDeadline(now))
	return ticket
}

func checkState(t *testing.T, ticket *Ticket, want state) {
	t.Helper()
	if ticket.state != want {
		t.Errorf("got state %d, want %d (%v)", ticket.state, want, ticket.refusal)
	}
}

func checkRefusal(t *testing.T, ticket *Ticket, want outcome.Reason) {
	t.Helper()
	got := ticket.Refusal()
	if got == nil || got.Reason != want || got.Outcome != outcome.NotRun {
		t.Errorf("got %v, want not run, %s", got, want)
	}
}

// TestSlots guards against more running requests than slots, and against requests that
// still wait after a slot was freed.
func TestSlots(t *testing.T) {
	q := newQueue(2, 10)
	first, second, third := submit(t, q, epoch, "a"), submit(t, q, epoch, "b"), submit(t, q, epoch, "c")
	checkState(t, first, running)
	checkState(t, second, running)
	checkState(t, third, waiting)
	q.Finish(epoch.Add(time.Millisecond), first, Result{Served: true})
	q.StartWaiting(epoch.Add(time.Millisecond))
	checkState(t, third, running)
}

// TestBounds guards against requests that wait although they can't be served before their
// deadline, within the maximum wait or within the queue length.
func TestBounds(t *testing.T) {
	t.Run("count", func(t *testing.T) {
		q := newQueue(1, 2)
		for range 3 {
			submit(t, q, epoch, "a")
		}
		last := submit(t, q, epoch, "a")
		checkRefusal(t, last, outcome.Overloaded)
		if got, want := last.Refusal().RetryAfter, 3*DefaultServiceTime; got != want {
			t.Errorf("got retry after %v, want %v", got, want)
		}
	})
	t.Run("a queue of 0", func(t *testing.T) {
		changed := newQueue(1, 2)
		changed.SetQueueLength(0)
		for _, q := range []*Queue{newQueue(1, 0), changed} {
			checkState(t, submit(t, q, epoch, "a"), running)
			checkRefusal(t, submit(t, q, epoch, "b"), outcome.Overloaded)
		}
	})
	t.Run("deadline", func(t *testing.T) {
		q := newQueue(1, 100)
		for range 5 {
			submit(t, q, epoch, "a")
		}
		late, _ := q.Submit(epoch, "a", epoch.Add(5*DefaultServiceTime))
		checkRefusal(t, late, outcome.Overloaded)
		inTime, _ := q.Submit(epoch, "a", epoch.Add(7*DefaultServiceTime))
		checkState(t, inTime, waiting)
	})
	t.Run("estimated wait", func(t *testing.T) {
		q := newQueue(1, 100)
		fit := int(DefaultMaxWait / DefaultServiceTime)
		for range fit {
			if refusal := submit(t, q, epoch, "a").Refusal(); refusal != nil {
				t.Fatalf("got %v within the maximum wait, want none", refusal)
			}
		}
		submit(t, q, epoch, "a")
		checkRefusal(t, submit(t, q, epoch, "a"), outcome.Overloaded)
	})
	t.Run("deadline with other keys waiting", func(t *testing.T) {
		q := newQueue(1, 100)
		for range 50 {
			submit(t, q, epoch, "hot")
		}
		other, _ := q.Submit(epoch, "other", epoch.Add(4*DefaultServiceTime))
		checkState(t, other, waiting)
	})
	t.Run("observed service time", func(t *testing.T) {
		q := newQueue(1, 100)
		now := epoch
		for range 100 {
			ticket := submit(t, q, now, "a")
			now = now.Add(time.Second)
			q.Finish(now, ticket, Result{Served: true})
		}
		submit(t, q, now, "a")
		late, _ := q.Submit(now, "a", now.Add(time.Second))
		checkRefusal(t, late, outcome.Overloaded)
	})
	t.Run("stalled target", func(t *testing.T) {
		q := newQueue(1, 100)
		submit(t, q, epoch, "a")
		now := epoch.Add(time.Second)
		late, _ := q.Submit(now, "a", now.Add(500*time.Millisecond))
		checkRefusal(t, late, outcome.Overloaded)
		if got := late.Refusal().RetryAfter; got < time.Second {
			t.Errorf("got retry after %v, want at least 1s", got)
		}
	})
	t.Run("deadline exceeded in the queue", func(t *testing.T) {
		q := newQueue(1, 10)
		first := submit(t, q, epoch, "a")
		second, _ := q.Submit(epoch, "a", epoch.Add(50*time.Millisecond))
		now := epoch.Add(time.Second)
		q.Finish(now, first, Result{Served: true})
		q.StartWaiting(now)
		checkRefusal(t, second, outcome.DeadlineExceeded)
	})
}

// TestFairness guards against a hot key whose requests delay or displace those of other
// keys.
func TestFairness(t *testing.T) {
	t.Run("round-robin", func(t *testing.T) {
		q := newQueue(1, 100)
		current := submit(t, q, epoch, "hot")
		for range 50 {
			submit(t, q, epoch, "hot")
		}
		cold := submit(t, q, epoch, "cold")
		for range 2 {
			q.Finish(epoch, current, Result{Served: true})
			current = q.StartWaiting(epoch)[0]
		}
		checkState(t, cold, running)
	})
	t.Run("a hot key's request is displaced", func(t *testing.T) {
		q := newQueue(1, 4)
		for range 5 {
			submit(t, q, epoch, "hot")
		}
		cold, displaced := q.Submit(epoch, "cold", farDeadline(epoch))
		checkState(t, cold, waiting)
		if len(displaced) != 1 || displaced[0].key != "hot" {
			t.Fatalf("got %d displaced, want one of hot", len(displaced))
		}
		checkRefusal(t, displaced[0], outcome.Overloaded)
	})
}

// TestMaxDisplaceAge guards against late refusals: a request that has waited longer than
// maxDisplaceAge is not displaced.
func TestMaxDisplaceAge(t *testing.T) {
	q := newQueue(1, 4)
	for range 5 {
		submit(t, q, epoch, "hot")
	}
	later := epoch.Add(2 * maxDisplaceAge)
	cold, displaced := q.Submit(later, "cold", farDeadline(later))
	if len(displaced) != 0 {
		t.Errorf("got %d displaced after %v, want none", len(displaced), 2*maxDisplaceAge)
	}
	checkRefusal(t, cold, outcome.Overloaded)
}

// TestSheds guards against requests that are sent to a target faster than it can serve them,
// and against a limit or a pause that outlasts the overload.
func TestSheds(t *testing.T) {
	t.Run("limit decreases, then recovers", func(t *testing.T) {
		q := newQueue(4, 10)
		tickets := make([]*Ticket, 4)
		for i := range tickets {
			tickets[i] = submit(t, q, epoch, "a")
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
			ticket := submit(t, q, now, "a")
			checkState(t, ticket, running)
			q.Finish(now, ticket, Result{Shed: true})
			duringPause, _ := q.Submit(now, "a", now.Add(DefaultInitialPause/2))
			checkRefusal(t, duringPause, outcome.Overloaded)
			next := now.Add(DefaultMaxPause)
			if q.Load(next).Paused {
				t.Fatal("got paused after the maximum pause, want not paused")
			}
			now = next
		}
	})
	t.Run("warm-up", func(t *testing.T) {
		q := newQueue(4, 10)
		q.WarmUp(epoch)
		if got := q.Load(epoch).Limit; got != 1 {
			t.Errorf("got limit %d, want 1", got)
		}
		if got := q.Load(epoch.Add(DefaultRecovery)).Limit; got != 2 {
			t.Errorf("got limit %d, want 2", got)
		}
	})
}

// TestQueueProperties guards against orders of events that exceed the slots or the queue
// length, or leave waiting requests that nothing will start.
func TestQueueProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots, length := rapid.IntRange(1, 4).Draw(t, "slots"), rapid.IntRange(0, 8).Draw(t, "queue")
		q := newQueue(slots, length)
		now := epoch
		var live []*Ticket
		for step := range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "ms")) * time.Millisecond)
			label := fmt.Sprint("step", step)
			switch rapid.IntRange(0, 4).Draw(t, label) {
			case 0, 1:
				key := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key")
				ticket, _ := q.Submit(now, key, now.Add(time.Duration(rapid.IntRange(1, 500).Draw(t, "left"))*time.Millisecond))
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
					q.Cancel(live[rapid.IntRange(0, len(live)-1).Draw(t, "which")])
				}
			}
			q.StartWaiting(now)
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
	if _, ok := q.NextStart(now); q.waiting > 0 && q.running == 0 && !ok {
		t.Fatal("got waiting requests that no event will start")
	}
	if len(q.turns) != len(q.keyQueues) {
		t.Fatalf("got %d keys with a turn, want %d", len(q.turns), len(q.keyQueues))
	}
}

// TestController guards against calls that wait for a slot after their end, a closed queue
// or a pause, and against requests that are forgotten when the queue is closed.
func TestController(t *testing.T) {
	newController := func() (*Controller, *Slot) {
		controller := NewController(clock.System{}, Options{Slots: 1, QueueLength: 10})
		slot, failure := controller.Acquire(context.Background(), "a", farDeadline(time.Now()))
		if failure != nil {
			t.Fatal(failure)
		}
		return controller, slot
	}
	acquire := func(ctx context.Context, controller *Controller, left time.Duration) chan *outcome.Error {
		result := make(chan *outcome.Error, 1)
		before := controller.Load().Waiting
		go func() {
			_, failure := controller.Acquire(ctx, "a", time.Now().Add(left))
			result <- failure
		}()
		for controller.Load().Waiting == before && len(result) == 0 {
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
		controller, slot := newController()
		result := acquire(context.Background(), controller, time.Hour)
		slot.Release(Result{Served: true})
		if failure := <-result; failure != nil {
			t.Errorf("got %v, want a slot", failure)
		}
	})
	t.Run("cancelled", func(t *testing.T) {
		controller, _ := newController()
		ctx, cancel := context.WithCancel(context.Background())
		result := acquire(ctx, controller, time.Hour)
		cancel()
		check(t, result, outcome.Cancelled)
		if got := controller.Load().Waiting; got != 0 {
			t.Errorf("got %d waiting, want 0", got)
		}
	})
	t.Run("deadline", func(t *testing.T) {
		controller, _ := newController()
		check(t, acquire(context.Background(), controller, 50*time.Millisecond), outcome.DeadlineExceeded)
	})
	t.Run("closed", func(t *testing.T) {
		controller, _ := newController()
		result := acquire(context.Background(), controller, time.Hour)
		controller.Close()
		check(t, result, outcome.NotLeaseholder)
	})
	t.Run("reopened", func(t *testing.T) {
		controller, slot := newController()
		controller.Close()
		controller.Open()
		result := acquire(context.Background(), controller, time.Hour)
		if got := controller.Load().Running; got != 1 {
			t.Errorf("got %d running, want only the one that was running before Close", got)
		}
		slot.Release(Result{Served: true})
		if failure := <-result; failure != nil {
			t.Errorf("got %v, want a slot", failure)
		}
	})
	t.Run("starts waiting requests after a pause", func(t *testing.T) {
		controller, slot := newController()
		result := acquire(context.Background(), controller, time.Hour)
		slot.Release(Result{Shed: true})
		if failure := <-result; failure != nil {
			t.Errorf("got %v, want a slot", failure)
		}
	})
}

func BenchmarkController(b *testing.B) {
	controller := NewController(clock.System{}, Options{Slots: 2, QueueLength: 100})
	ctx := context.Background()
	deadline := farDeadline(time.Now())
	b.ReportAllocs()
	for b.Loop() {
		slot, failure := controller.Acquire(ctx, "a", deadline)
		if failure != nil {
			b.Fatal(failure)
		}
		slot.Release(Result{Served: true})
	}
}
