package placement

import (
	"strconv"
	"testing"
	"time"
)

func BenchmarkChoose(b *testing.B) {
	for _, learns := range []bool{false, true} {
		b.Run("learned "+strconv.FormatBool(learns), func(b *testing.B) {
			s := NewSet("a")
			s.Learns = func() bool { return learns }
			for i := range 93 {
				s.Put(entry(strconv.Itoa(i), "a"), start)
			}
			now := start
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(3 * time.Millisecond)
				c, _ := s.Choose(Criteria{Service: service}, now)
				c.End(Complete, &Report{Running: 2, Slowdown: 1}, now)
			}
		})
	}
}
