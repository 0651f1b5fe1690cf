package peer

import (
	"sync/atomic"

	"github.com/go-kit/kit/metrics"
	"github.com/go-kit/kit/metrics/discard"
)

// Metrics counts what connections do. Every counter has the label "plane"
// (control or request); Frames and Bytes also have "direction" (in or out).
// Bytes are those of the HTTP and WebSocket stream, before TLS; a Server does
// not count the HTTP request and response that open a connection, because it
// is handed the connection after them. Nil counters count nothing.
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

// count is a total of which the keeper knows what it has drained.
type count struct {
	total   atomic.Int64
	drained int64
}

// drain returns what came since the last time.
func (c *count) drain() int64 {
	total := c.total.Load()
	came := total - c.drained
	c.drained = total
	return came
}

// tally holds the counts of one connection.
type tally struct {
	framesIn, framesOut, bytesIn, bytesOut count
}

// sums add up the tallies of connections by plane, so that the counters are
// touched once a look and not once a connection.
type sums struct {
	control, requests sum
}

// sum adds up tallies.
type sum struct {
	framesIn, framesOut, bytesIn, bytesOut int64
}

// add drains a connection's tally.
func (s *sums) add(c *conn) {
	to := &s.requests
	if c.plane == Control {
		to = &s.control
	}
	to.framesIn += c.tally.framesIn.drain()
	to.framesOut += c.tally.framesOut.drain()
	to.bytesIn += c.tally.bytesIn.drain()
	to.bytesOut += c.tally.bytesOut.drain()
}

// publish adds the sums to the counters.
func (s *sums) publish(to Metrics) {
	s.control.publish(to, Control)
	s.requests.publish(to, Requests)
}

// publish adds the sum of a plane to the counters.
func (s *sum) publish(to Metrics, plane Plane) {
	publish(to.Frames, plane, "in", s.framesIn)
	publish(to.Frames, plane, "out", s.framesOut)
	publish(to.Bytes, plane, "in", s.bytesIn)
	publish(to.Bytes, plane, "out", s.bytesOut)
}

// publish adds to a counter what came.
func publish(counter metrics.Counter, plane Plane, direction string, came int64) {
	if came != 0 {
		counter.With("plane", plane.String(), "direction", direction).Add(float64(came))
	}
}
