package owner

import (
	"testing"
	"time"
)

// TestStepOfRegion guards against keys that become busy together, with a few requests a second
// each, and show seconds later.
func TestStepOfRegion(t *testing.T) {
	const first, keys, rate, interval = 50_000, 200, 2, 100 * time.Millisecond
	loads, now := NewLoads(testStart), testStart
	loads.JudgeRegions(true)
	play := func(first, keys int, d time.Duration) {
		report := Report{}
		for key := first; key < first+keys; key++ {
			report.Counts = append(report.Counts, KeyCount{testService, uint16(key), rate * interval.Seconds()})
		}
		for end := now.Add(d); now.Before(end); now = now.Add(interval) {
			loads.AddAt(report, now)
			loads.Decay(now)
		}
	}
	play(30_000, 100, 20*time.Second)
	play(first, keys, time.Second)
	wantBetween(t, "load of the region 1 s after the step", loads.RangeLoad(testService, first, first+keys-1), 0.6*keys*rate, 1.2*keys*rate)
}

// TestReportsWithoutDecay guards against loads that overflow, and count as nothing or as not a number
// from then on, where reports arrive while no round of rebalancing decays them: a leader that does
// not reach the store starts none.
func TestReportsWithoutDecay(t *testing.T) {
	const rate = 8
	loads, now := NewLoads(testStart), testStart
	loads.JudgeRegions(true)
	for range 2 * 3600 {
		now = now.Add(time.Second)
		loads.AddAt(Report{Counts: []KeyCount{{testService, 7, rate}}}, now)
	}
	loads.Decay(now)
	wantBetween(t, "load of a steady key after two hours", loads.RangeLoad(testService, 7, 7), 0.8*rate, 1.6*rate)
}
