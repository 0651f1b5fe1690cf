package peer

import (
	"strings"
	"sync"
	"testing"

	"github.com/go-kit/kit/metrics"
)

// labelledCounter is a counter with a separate value for each combination of
// labels.
type labelledCounter struct {
	mu     *sync.Mutex
	values map[string]float64
	labels []string
}

func newLabelledCounter() *labelledCounter {
	return &labelledCounter{mu: new(sync.Mutex), values: make(map[string]float64)}
}

func (l *labelledCounter) With(labels ...string) metrics.Counter {
	return &labelledCounter{mu: l.mu, values: l.values, labels: append(l.labels[:len(l.labels):len(l.labels)], labels...)}
}

func (l *labelledCounter) Add(delta float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.values[strings.Join(l.labels, " ")] += delta
}

func (l *labelledCounter) value(labels string) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.values[labels]
}

func TestCountsByPlane(t *testing.T) {
	opened, frames, bytes := newLabelledCounter(), newLabelledCounter(), newLabelledCounter()
	r := newFixture(t, Options{RequestConns: 1, Metrics: Metrics{Opened: opened, Frames: frames, Bytes: bytes}})
	assertPing(t, r, 1)
	assertEcho(t, r, make([]byte, 1000))
	// In each direction, both ends together count the three handshake frames, two
	// of the server and one of the client, and two content frames.
	const frameCount = 5
	for _, plane := range []string{"plane control", "plane request"} {
		t.Run(plane, func(t *testing.T) {
			eventually(t, "both ends count a connection", func() bool { return opened.value(plane) == 2 })
			for _, direction := range []string{" direction in", " direction out"} {
				eventually(t, "frames"+direction, func() bool { return frames.value(plane+direction) >= frameCount })
			}
			eventually(t, "each byte counted at both ends, except the HTTP headers", func() bool {
				in, out := bytes.value(plane+" direction in"), bytes.value(plane+" direction out")
				return in > 0 && out-in > 0 && out-in < 200
			})
		})
	}
	eventually(t, "body counted as request traffic", func() bool { return bytes.value("plane request direction out") > 2000 })
	if got := bytes.value("plane control direction out"); got > 2000 {
		t.Errorf("got %v bytes of control traffic, want the body excluded", got)
	}
}
