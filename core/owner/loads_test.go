package owner

import (
	"math"
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
