package peer

import (
	"sync/atomic"

	"github.com/go-kit/kit/metrics"
	"github.com/go-kit/kit/metrics/discard"
)

// Metrics counts what connections do. Every counter has the label "plane"
// (control or request); Frames and Bytes also have "direction" (in or out).
// Bytes are those of the HTTP and WebSocket stream, before TLS. Nil counters
// count nothing.
type Metrics struct {
	Opened metrics.Counter
	Silent metrics.Counter
	Frames metrics.Counter
	Bytes  metrics.Counter
}

// withDefaults returns the metrics with every nil counter filled in.
func (m Metrics) withDefaults() Metrics {
	for _, counter := range []*metrics.Counter{&m.Opened, &m.Silent, &m.Frames, &m.Bytes} {
		if *counter == nil {
			*counter = discard.NewCounter()
		}
	}
	return m
}

// count is a total that is published to a counter now and then. Only the
// keeper publishes.
type count struct {
	total     atomic.Int64
	published int64
}

// publish adds to counter what came since the last time.
func (c *count) publish(counter metrics.Counter, plane Plane, direction string) {
	total := c.total.Load()
	if total == c.published {
		return
	}
	counter.With("plane", plane.String(), "direction", direction).Add(float64(total - c.published))
	c.published = total
}

// tally holds the counts of one connection.
type tally struct {
	framesIn, framesOut, bytesIn, bytesOut count
}

// publish adds to the counters what came since the last time.
func (t *tally) publish(to Metrics, plane Plane) {
	t.framesIn.publish(to.Frames, plane, "in")
	t.framesOut.publish(to.Frames, plane, "out")
	t.bytesIn.publish(to.Bytes, plane, "in")
	t.bytesOut.publish(to.Bytes, plane, "out")
}
