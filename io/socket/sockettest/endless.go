package sockettest

import (
	"io"
	"net"
	"runtime"
	"runtime/debug"
	"time"
)

const (
	// maxRequestBytes is the size of a request that Endless reads.
	maxRequestBytes = 4 << 10
	// heapPercent is the garbage that a host allows beside what is in use (package gateway), in percent.
	heapPercent = 20
	// heapPollInterval is the time between readings of the heap's size.
	heapPollInterval = time.Millisecond
)

// Endless returns a handler that answers the first request of a connection with a head, and then repeats a text until
// the connection ends.
func Endless(head, repeated string) func(net.Conn) {
	return func(conn net.Conn) {
		if _, err := conn.Read(make([]byte, maxRequestBytes)); err != nil {
			return
		}
		_, err := io.WriteString(conn, head)
		for err == nil {
			_, err = io.WriteString(conn, repeated)
		}
	}
}

// PeakHeap returns by how many bytes the heap grows at most while a function runs.
func PeakHeap(run func()) int64 {
	defer debug.SetGCPercent(debug.SetGCPercent(heapPercent))
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	before := int64(stats.HeapAlloc)
	done := make(chan struct{})
	go func() {
		defer close(done)
		run()
	}()
	for peak := int64(0); ; {
		select {
		case <-done:
			return peak
		case <-time.After(heapPollInterval):
			runtime.ReadMemStats(&stats)
			peak = max(peak, int64(stats.HeapAlloc)-before)
		}
	}
}
