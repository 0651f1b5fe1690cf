package poison

import (
	"fmt"
	"testing"
	"time"
)

func BenchmarkFingerprint(b *testing.B) {
	parts := [][]byte{[]byte("GET"), []byte("site.example"), []byte("/records/2f"), nil, nil, make([]byte, 10), make([]byte, 200)}
	for b.Loop() {
		NewFingerprint(parts...)
	}
}

func BenchmarkResponded(b *testing.B) {
	x := NewTracker()
	for i := 0; b.Loop(); i++ {
		var f Fingerprint
		f[0], f[1], f[2] = byte(i), byte(i>>8), byte(i>>16)
		x.Responded(f, "v1", start)
	}
}

// BenchmarkReports is the leader's work for an end at each of 195 hosts, which four requests ran
// at, and for the record of that.
func BenchmarkReports(b *testing.B) {
	const hosts, requests = 195, 4
	for b.Loop() {
		leader := newLeader()
		for h := range hosts {
			var events []Event
			for r := range requests {
				events = append(events, Event{Fingerprint: request(fmt.Sprint(h, "-", r)), Target: target(fmt.Sprint("t", h))})
			}
			leader.AddEvents(events, start)
		}
		blocks, _ := leader.Unrecorded(start.Add(time.Second))
		data, err := Encode(blocks)
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(data)), "record-bytes")
	}
}
