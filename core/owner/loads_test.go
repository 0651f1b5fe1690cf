package owner

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// TestReportToNewLeader checks that the report of a host gives a new leader the
// same loads and processing times that the previous leader had.
func TestReportToNewLeader(t *testing.T) {
	before := NewLoads(testStart)
	now := testStart
	for range 20 {
		now = now.Add(time.Second)
		before.Add(uniformReport(4, 3))
		before.Add(Report{Counts: []KeyCount{{testService, 77, 8}}})
		before.Decay(now)
	}
	after := NewLoads(now)
	after.Add(before.Report())
	wantClose(t, "load of the hot key", after.RangeLoad(testService, 77, 77), before.RangeLoad(testService, 77, 77))
	wantClose(t, "load of all keys", after.RangeLoad(testService, 0, Keys-1), before.RangeLoad(testService, 0, Keys-1))
	wantClose(t, "relative processing time of the slow target", after.RelativeProcessingTime(testService, "t00"), before.RelativeProcessingTime(testService, "t00"))
}

func wantClose(t *testing.T, what string, got, want float64) {
	t.Helper()
	if math.Abs(got-want) > 0.01*want {
		t.Errorf("%s: got %.3f, want %.3f", what, got, want)
	}
}

// TestStep checks how soon a key that becomes hot, or cools down, shows in its load, and
// that the load of a key with requests at random times stays near its rate.
func TestStep(t *testing.T) {
	const interval = 100 * time.Millisecond
	run := func(loads *Loads, now time.Time, rate float64, d time.Duration) time.Time {
		for end := now.Add(d); now.Before(end); {
			now = now.Add(interval)
			loads.Decay(now)
			loads.Add(Report{Counts: []KeyCount{{testService, 7, rate * interval.Seconds()}}})
		}
		return now
	}
	loads := NewLoads(testStart)
	now := run(loads, testStart, 2, 20*time.Second)
	wantBetween(t, "load at a steady rate of 2", loads.RangeLoad(testService, 7, 7), 1.8, 2.2)
	now = run(loads, now, 80, time.Second)
	wantBetween(t, "load 1 s after a step to 80", loads.RangeLoad(testService, 7, 7), 36, 80)
	now = run(loads, now, 80, 20*time.Second)
	run(loads, now, 2, 3*time.Second)
	wantBetween(t, "load 3 s after a step back to 2", loads.RangeLoad(testService, 7, 7), 2, 20)
	random := rand.New(rand.NewPCG(1, 2))
	loads = NewLoads(testStart)
	now = testStart
	for range 600 {
		now = now.Add(interval)
		loads.Decay(now)
		if random.Float64() < 0.4 {
			loads.Add(Report{Counts: []KeyCount{{testService, 7, 1}}})
		}
		if now.Sub(testStart) > 20*time.Second {
			wantBetween(t, "load of requests at random times, 4 a second", loads.RangeLoad(testService, 7, 7), 1.6, 8)
		}
	}
}

func wantBetween(t *testing.T, what string, got, low, high float64) {
	t.Helper()
	if !(got >= low && got <= high) {
		t.Errorf("%s: got %.2f, want %.1f to %.1f", what, got, low, high)
	}
}
