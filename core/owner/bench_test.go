package owner

import "testing"

// grown returns a leader of many targets with the load of many keys.
func grown() (*Leader, map[string]Target, *Loads) {
	const targets, keys = 148, 11_000
	l, view, loads := ungranted(targets)
	for i := range keys {
		loads.Add(Report{Counts: []KeyCount{{planService, uint16(i * 5), 1}}})
	}
	return l, view, loads
}

// BenchmarkAssign is what a leader does several times a second.
func BenchmarkAssign(b *testing.B) {
	l, view, loads := grown()
	b.ReportAllocs()
	for b.Loop() {
		l.Assign(planService, view, loads, planStart)
	}
}

// TestManyBusyKeys replays a service with more busy keys than fit into a small
// table: a key that turns hot later is still noticed.
func TestManyBusyKeys(t *testing.T) {
	_, _, loads := grown()
	loads.Add(Report{Counts: []KeyCount{{planService, 7, 40}}})
	if got := loads.Range(planService, 7, 7); got < 5 {
		t.Errorf("load of the hot key: got %.2f requests a second, want 5 or more", got)
	}
}
