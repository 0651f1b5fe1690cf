package owner

import (
	"testing"
	"time"
)

// BenchmarkSpread measures a full round for 601 targets and 32,000 busy keys, of which some region
// is hot.
func BenchmarkSpread(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		b.StopTimer()
		l, targets, loads := newClusterWithoutGrants(601)
		for i := range 32_000 {
			loads.Add(Report{Counts: []KeyCount{{testService, uint16(i * 2), 1}}})
		}
		for i := range 200 {
			loads.Add(Report{Counts: []KeyCount{{testService, uint16(40_000 + i), 60}}})
		}
		loads.JudgeRegions(true)
		b.StartTimer()
		loads.Decay(testStart.Add(time.Second))
		if got := l.Spread(testService, targets, loads, true, testStart.Add(time.Second)); got.Overload == 0 {
			b.Fatalf("moves off the owner of the hot region: got %+v, want some", got)
		}
	}
}
