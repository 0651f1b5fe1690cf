package owner

import "testing"

// newLargeCluster returns a leader with 148 targets and the load of 11,000
// keys.
func newLargeCluster() (*Leader, map[string]Target, *Loads) {
	const targets, keys = 148, 11_000
	l, view, loads := newClusterWithoutGrants(targets)
	for i := range keys {
		loads.Add(Report{Counts: []KeyCount{{testService, uint16(i * 5), 1}}})
	}
	return l, view, loads
}

// BenchmarkAssign measures Assign, which a leader calls several times per
// second.
func BenchmarkAssign(b *testing.B) {
	l, view, loads := newLargeCluster()
	b.ReportAllocs()
	for b.Loop() {
		l.Assign(testService, view, loads, testStart)
	}
}

// TestManyBusyKeys guards against a bound on tracked keys that is too small: in
// a service with many busy keys, a key that becomes hot later must still be
// tracked.
func TestManyBusyKeys(t *testing.T) {
	_, _, loads := newLargeCluster()
	loads.Add(Report{Counts: []KeyCount{{testService, 7, 40}}})
	if got := loads.RangeLoad(testService, 7, 7); got < 5 {
		t.Errorf("load of the hot key: got %.2f requests a second, want 5 or more", got)
	}
}
