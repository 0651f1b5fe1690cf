package peer

import (
	"strings"
	"sync"
	"testing"

	"github.com/go-kit/kit/metrics"
)

// labelled is a counter that keeps its labels apart.
type labelled struct {
	mu     *sync.Mutex
	values map[string]float64
	labels []string
}

func newLabelled() *labelled {
	return &labelled{mu: new(sync.Mutex), values: make(map[string]float64)}
}

func (l *labelled) With(labels ...string) metrics.Counter {
	return &labelled{mu: l.mu, values: l.values, labels: append(l.labels[:len(l.labels):len(l.labels)], labels...)}
}

func (l *labelled) Add(delta float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.values[strings.Join(l.labels, " ")] += delta
}

func (l *labelled) value(labels string) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.values[labels]
}

func TestCountsByPlane(t *testing.T) {
	opened, frames, bytes := newLabelled(), newLabelled(), newLabelled()
	r := newRig(t, Options{RequestConns: 1, Metrics: Metrics{Opened: opened, Frames: frames, Bytes: bytes}})
	assertPing(t, r, 1)
	assertEcho(t, r, make([]byte, 1000))
	// Of each end: two frames of the handshake at the server, one at the
	// client, and one frame of content each.
	const frameCount = 5
	for _, plane := range []string{"plane control", "plane request"} {
		t.Run(plane, func(t *testing.T) {
			eventually(t, "both ends count a connection", func() bool { return opened.value(plane) == 2 })
			for _, direction := range []string{" direction in", " direction out"} {
				eventually(t, "frames"+direction, func() bool { return frames.value(plane+direction) >= frameCount })
			}
			eventually(t, "each byte counted at both ends, but for the HTTP heads", func() bool {
				in, out := bytes.value(plane+" direction in"), bytes.value(plane+" direction out")
				return in > 0 && out-in > 0 && out-in < 200
			})
		})
	}
	eventually(t, "body counted with requests", func() bool { return bytes.value("plane request direction out") > 2000 })
	if got := bytes.value("plane control direction out"); got > 2000 {
		t.Errorf("got %v bytes of control, want the body not among them", got)
	}
}
