package owner

import (
	"fmt"
	"testing"
	"time"
)

// TestSlowTargetGetsLessLoad puts uniform load on targets of which one is
// slower. The slow one must end with less load, so that utilization is
// balanced.
func TestSlowTargetGetsLessLoad(t *testing.T) {
	const targets, slow = 8, 2.5
	l, view, loads := newCluster(t, targets)
	now := testStart
	for range 30 {
		now = now.Add(time.Second)
		loads.Add(uniformReport(targets, slow))
		loads.Decay(now)
		l.Balance(testService, view, loads, now)
		persistAndComplete(t, l, view, now)
	}
	sums := loadByTarget(l, loads)
	mean := 0.0
	for _, sum := range sums {
		mean += sum / targets
	}
	if got := sums["t00"]; got > mean*0.7 {
		t.Errorf("load of the slow target: got %.1f, want at most 0.7 of the mean, %.1f", got, mean)
	}
}

// uniformReport returns one second of uniform load on the keys, with eight
// responses from each target. The first target takes slow times as long per
// response as the others.
func uniformReport(targets int, slow float64) Report {
	var report Report
	for key := 0; key < Keys; key += 256 {
		report.Counts = append(report.Counts, KeyCount{Service: testService, Key: uint16(key), Count: 0.3})
	}
	for i := range targets {
		seconds := 8 * 0.2
		if i == 0 {
			seconds *= slow
		}
		report.Processing = append(report.Processing, ProcessingStats{
			Service: testService, Target: fmt.Sprintf("t%02d", i), Responses: 8, Seconds: seconds,
		})
	}
	return report
}

// persistAndComplete persists the record and completes the orders twice, so
// that changes of owner finish.
func persistAndComplete(t *testing.T, l *Leader, view map[string]Target, now time.Time) {
	t.Helper()
	for range 2 {
		l.MarkPersisted(l.Record())
		completeOrders(t, l, view, now)
		l.DropFormerOwners(view, now)
	}
}

func TestRelativeProcessingTime(t *testing.T) {
	t.Run("target without responses", func(t *testing.T) {
		if got := NewLoads(testStart).RelativeProcessingTime(testService, "t00"); got != 1 {
			t.Errorf("relative processing time: got %v, want 1", got)
		}
	})
	t.Run("bounds", func(t *testing.T) {
		loads := NewLoads(testStart)
		for range 100 {
			loads.Add(uniformReport(8, 100))
		}
		if got := loads.RelativeProcessingTime(testService, "t00"); got != maxRelativeProcessingTime {
			t.Errorf("relative processing time of the slow target: got %v, want %v", got, maxRelativeProcessingTime)
		}
		if got := loads.RelativeProcessingTime(testService, "t01"); got != minRelativeProcessingTime {
			t.Errorf("relative processing time of the others: got %v, want %v", got, minRelativeProcessingTime)
		}
	})
	t.Run("decay", func(t *testing.T) {
		loads := NewLoads(testStart)
		loads.Add(uniformReport(8, 3))
		loads.Decay(testStart.Add(20 * processingHalfLife))
		if got := loads.RelativeProcessingTime(testService, "t00"); got != 1 {
			t.Errorf("relative processing time: got %v, want 1", got)
		}
	})
}
