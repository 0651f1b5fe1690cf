package owner

import (
	"math"
	"testing"
	"time"
)

// TestReportToNewLeader replays a change of the leader: the new one learns what
// a host remembers, as if it had led all the while.
func TestReportToNewLeader(t *testing.T) {
	before := NewLoads(planStart)
	now := planStart
	for range 20 {
		now = now.Add(time.Second)
		before.Add(evenReport(4, 3))
		before.Add(Report{Counts: []KeyCount{{planService, 77, 8}}})
		before.Decay(now)
	}
	after := NewLoads(now)
	after.Add(before.Report())
	wantClose(t, "load of the hot key", after.Range(planService, 77, 77), before.Range(planService, 77, 77))
	wantClose(t, "load of all keys", after.Range(planService, 0, Keys-1), before.Range(planService, 0, Keys-1))
	wantClose(t, "pace of the slow target", after.RelativeProcessingTime(planService, "t00"), before.RelativeProcessingTime(planService, "t00"))
}

func wantClose(t *testing.T, what string, got, want float64) {
	t.Helper()
	if math.Abs(got-want) > 0.01*want {
		t.Errorf("%s: got %.3f, want %.3f", what, got, want)
	}
}
