package owner

import (
	"fmt"
	"testing"
	"time"
)

// TestUnevenTargets replays even load on targets of which one takes longer: it
// ends with fewer keys, so that all are used alike.
func TestUnevenTargets(t *testing.T) {
	const targets, slow = 8, 2.5
	l, view, loads := site(t, targets)
	now := planStart
	for range 30 {
		now = now.Add(time.Second)
		loads.Add(evenReport(targets, slow))
		loads.Decay(now)
		l.Balance(planService, view, loads, now)
		settle(t, l, view, now)
	}
	sums := shares(l, loads)
	mean := 0.0
	for _, sum := range sums {
		mean += sum / targets
	}
	if got := sums["t00"]; got > mean*0.7 {
		t.Errorf("load of the slow target: got %.1f, want at most 0.7 of the mean, %.1f", got, mean)
	}
}

// evenReport is a second of load on all keys alike, with eight answers of each
// target.
func evenReport(targets int, slow float64) Report {
	var report Report
	for key := 0; key < Keys; key += 256 {
		report.Counts = append(report.Counts, KeyCount{Service: planService, Key: uint16(key), Count: 0.3})
	}
	for i := range targets {
		seconds := 8 * 0.2
		if i == 0 {
			seconds *= slow
		}
		report.Processing = append(report.Processing, ProcessingStats{
			Service: planService, Target: fmt.Sprintf("t%02d", i), Responses: 8, Seconds: seconds,
		})
	}
	return report
}

// settle has the store take the record and all orders carried out, until
// nothing is due.
func settle(t *testing.T, l *Leader, view map[string]Target, now time.Time) {
	t.Helper()
	for range 2 {
		l.MarkPersisted(l.Record())
		grantAll(t, l, view, now)
		l.DropFormerOwners(view, now)
	}
}

func TestPace(t *testing.T) {
	t.Run("of a target without answers", func(t *testing.T) {
		if got := NewLoads(planStart).RelativeProcessingTime(planService, "t00"); got != 1 {
			t.Errorf("pace: got %v, want 1", got)
		}
	})
	t.Run("is bounded", func(t *testing.T) {
		loads := NewLoads(planStart)
		for range 100 {
			loads.Add(evenReport(8, 100))
		}
		if got := loads.RelativeProcessingTime(planService, "t00"); got != mostPace {
			t.Errorf("pace of a slow target: got %v, want %v", got, mostPace)
		}
		if got := loads.RelativeProcessingTime(planService, "t01"); got != leastPace {
			t.Errorf("pace of the others: got %v, want %v", got, leastPace)
		}
	})
	t.Run("is forgotten", func(t *testing.T) {
		loads := NewLoads(planStart)
		loads.Add(evenReport(8, 3))
		loads.Decay(planStart.Add(20 * paceHalfLife))
		if got := loads.RelativeProcessingTime(planService, "t00"); got != 1 {
			t.Errorf("pace: got %v, want 1", got)
		}
	})
}
