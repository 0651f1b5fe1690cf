package hostlink

import (
	"strings"
	"sync"
	"testing"

	"pineturn/core/clock"
	"pineturn/io/socket/sockettest"
)

// TestEndlessAnswersToLinks guards against a process that runs out of memory because what it takes for other hosts
// answers without end.
func TestEndlessAnswersToLinks(t *testing.T) {
	const (
		// dials is the number of links that are dialed at once. maxHeap is half of the memory of the smallest host, in
		// bytes.
		dials   = 16
		maxHeap = 92 << 20
	)
	text := strings.Repeat("a", 32<<10)
	for name, head := range map[string]string{
		"header": "HTTP/1.1 101 Switching Protocols\r\nX-Long: ", "body": "HTTP/1.1 200 OK\r\n\r\n", "no response": "",
	} {
		t.Run(name, func(t *testing.T) {
			address := sockettest.Serve(t, sockettest.Endless(head, text))
			peak := sockettest.PeakHeap(func() {
				var running sync.WaitGroup
				for range dials {
					running.Go(func() {
						if _, err := Dial(t.Context(), address, clock.System{}); err == nil {
							t.Error("dial: got no error, want one")
						}
					})
				}
				running.Wait()
			})
			if peak > maxHeap {
				t.Errorf("heap: got %d bytes more, want at most %d", peak, maxHeap)
			}
		})
	}
}
