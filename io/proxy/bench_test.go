package proxy

import (
	"net/http"
	"syscall"
	"testing"
)

// BenchmarkHop measures what the hop to the holder of an owner's queue costs: run it with and without.
func BenchmarkHop(b *testing.B) {
	direct, _ := newKeyedProxy(b, 7, respond(http.StatusOK))
	holder, _ := newKeyedProxy(b, 7, respond(http.StatusOK))
	relaying, _ := relayTo(b, holder)
	for name, p := range map[string]*Proxy{"direct": direct, "over the holder": relaying} {
		b.Run(name, func(b *testing.B) {
			handler := p.Handler()
			var before, after syscall.Rusage
			_ = syscall.Getrusage(syscall.RUSAGE_SELF, &before)
			for b.Loop() {
				if got := get(handler, "/read/1", keyed(nil)).Code; got != http.StatusOK {
					b.Fatalf("status: got %d, want 200", got)
				}
			}
			_ = syscall.Getrusage(syscall.RUSAGE_SELF, &after)
			used := after.Utime.Nano() + after.Stime.Nano() - before.Utime.Nano() - before.Stime.Nano()
			b.ReportMetric(float64(used)/float64(b.N), "processor-ns/op")
		})
	}
}
