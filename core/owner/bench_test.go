package owner

import (
	"fmt"
	"testing"
	"time"
)

// grown returns a leader of many targets with the load of many keys.
func grown(tb testing.TB) (*Leader, map[string]Target, *Loads, time.Time) {
	tb.Helper()
	const targets, keys = 148, 11_000
	view := make(map[string]Target)
	for i := range targets {
		id := fmt.Sprintf("t%03d", i)
		view[id] = Target{Holder: Holder{Target: id}, Service: planService, Slots: 4}
	}
	loads := NewLoads(planStart)
	l := Lead(&Assignment{Epoch: firstEpoch}, Hold, planStart)
	l.Assign(planService, view, loads, planStart)
	l.Written(l.Record())
	now := planStart
	for i := range keys {
		loads.Add(Report{Counts: []KeyCount{{planService, uint16(i * 5), 1}}})
	}
	return l, view, loads, now
}

// BenchmarkAssign is what a leader does several times a second.
func BenchmarkAssign(b *testing.B) {
	l, view, loads, now := grown(b)
	b.ReportAllocs()
	for b.Loop() {
		l.Assign(planService, view, loads, now)
	}
}

// TestManyBusyKeys replays a service with more busy keys than fit into a small
// table: a key that turns hot later is still noticed.
func TestManyBusyKeys(t *testing.T) {
	_, _, loads, _ := grown(t)
	loads.Add(Report{Counts: []KeyCount{{planService, 7, 40}}})
	if got := loads.Range(planService, 7, 7); got < 5 {
		t.Errorf("load of the hot key: got %.2f requests a second, want 5 or more", got)
	}
}
