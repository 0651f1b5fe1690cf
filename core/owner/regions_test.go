package owner

import (
	"testing"
	"time"
)

// TestStepOfRegion guards against keys that become busy together, with a few requests a second
// each, and show seconds later.
func TestStepOfRegion(t *testing.T) {
	const interval, period = 100 * time.Millisecond, 500 * time.Millisecond
	// play adds a request for each key once a period.
	play := func(loads *Loads, now time.Time, first, keys int, d time.Duration) time.Time {
		for end := now.Add(d); now.Before(end); now = now.Add(interval) {
			var report Report
			for key := first; key < first+keys; key++ {
				if (now.Sub(testStart)/interval+time.Duration(key))%(period/interval) == 0 {
					report.Counts = append(report.Counts, KeyCount{testService, uint16(key), 1})
				}
			}
			loads.AddAt(report, now)
			loads.Decay(now)
		}
		return now
	}
	const first, keys = 50_000, 200
	loads := NewLoads(testStart)
	loads.JudgeRegions(true)
	now := play(loads, testStart, 30_000, 100, 20*time.Second)
	play(loads, now, first, keys, time.Second)
	want := keys / period.Seconds()
	wantBetween(t, "load of the region 1 s after the step", loads.RangeLoad(testService, first, first+keys-1), 0.6*want, 1.2*want)
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
