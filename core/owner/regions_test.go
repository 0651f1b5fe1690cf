package owner

import (
	"testing"
	"time"
)

// TestStepOfManyKeys guards against keys that become busy together, with a few requests a second
// each, and show seconds later: a region of them, and all keys of a service.
func TestStepOfManyKeys(t *testing.T) {
	const interval = 100 * time.Millisecond
	// play adds a request for each key once a period.
	play := func(loads *Loads, now time.Time, first, keys int, period, d time.Duration) time.Time {
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
	for _, x := range []struct {
		what        string
		first, keys int
		period      time.Duration
	}{
		{"a region", 50_000, 200, 500 * time.Millisecond}, {"all keys", 0, 30_000, 20 * time.Second},
	} {
		loads := NewLoads(testStart)
		loads.JudgeRegions(true)
		now := play(loads, testStart, 30_000, 100, time.Second, 20*time.Second)
		play(loads, now, x.first, x.keys, x.period, time.Second)
		want := float64(x.keys) / x.period.Seconds()
		wantBetween(t, "load of "+x.what+" 1 s after a step", loads.RangeLoad(testService, uint16(x.first), uint16(x.first+x.keys-1)), 0.6*want, 1.2*want)
	}
}
