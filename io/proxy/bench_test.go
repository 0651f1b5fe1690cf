package proxy

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"

	"pineturn/core/peers"
)

// BenchmarkHop measures what the hop to the holder of an owner's queue costs: run it with and without.
func BenchmarkHop(b *testing.B) {
	for _, relayed := range []bool{false, true} {
		b.Run(map[bool]string{false: "direct", true: "over the holder"}[relayed], func(b *testing.B) {
			holder, _ := newKeyedProxy(b, 7, respond(http.StatusOK))
			server := httptest.NewServer(holder.RelayHandler())
			b.Cleanup(server.Close)
			host := holding(peers.Host{Address: strings.TrimPrefix(server.URL, "http://"), Incarnation: "1"})
			if !relayed {
				host.Cores = 0
			}
			p, _ := newKeyedProxy(b, 7, respond(http.StatusOK), host)
			handler := p.Handler()
			before := processorTime(b)
			for b.Loop() {
				if got := get(handler, "/read/1", keyed(nil)).Code; got != http.StatusOK {
					b.Fatalf("status: got %d, want 200", got)
				}
			}
			b.ReportMetric(float64(processorTime(b)-before)/float64(b.N), "processor-ns/op")
		})
	}
}

// processorTime returns the processor time that the process has used, in nanoseconds.
func processorTime(b *testing.B) int64 {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return usage.Utime.Nano() + usage.Stime.Nano()
}
