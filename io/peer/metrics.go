package peer

import (
	"sync/atomic"

	"github.com/go-kit/kit/metrics"
	"github.com/go-kit/kit/metrics/discard"
)

// Metrics holds the counters of connections. Every counter has the label
// "plane" (control or request); Frames and Bytes also have "direction" (in or
// out). Bytes counts the data of the HTTP and WebSocket streams before TLS
// encryption. A Server does not count the HTTP request and response that open a
// connection, because it gets the connection after that exchange. Nil counters
// are ignored.
type Metrics struct {
	Opened metrics.Counter
	Silent metrics.Counter
	Frames metrics.Counter
	Bytes  metrics.Counter
}

// withDefaults returns the metrics with all nil counters replaced by counters
// that discard their values.
func (m Metrics) withDefaults() Metrics {
	for _, counter := range []*metrics.Counter{&m.Opened, &m.Silent, &m.Frames, &m.Bytes} {
		if *counter == nil {
			*counter = discard.NewCounter()
		}
	}
	return m
}

// deltaCounter is a counter that records which part of its total was published.
type deltaCounter struct {
	total     atomic.Int64
	published int64
}

// delta returns the increase since the previous call.
func (c *deltaCounter) delta() int64 {
	total := c.total.Load()
	delta := total - c.published
	c.published = total
	return delta
}

// trafficCounters counts the frames and bytes of one connection.
type trafficCounters struct {
	framesIn, framesOut, bytesIn, bytesOut deltaCounter
}

// planeTotals sums up the traffic of all connections by plane, so that the
// metrics are updated once per check of all connections rather than once per
// connection.
type planeTotals struct {
	control, requests trafficTotals
}

// trafficTotals sums up the traffic of several connections.
type trafficTotals struct {
	framesIn, framesOut, bytesIn, bytesOut int64
}

// add adds the unpublished traffic of a connection.
func (t *planeTotals) add(c *conn) {
	to := &t.requests
	if c.plane == Control {
		to = &t.control
	}
	to.framesIn += c.traffic.framesIn.delta()
	to.framesOut += c.traffic.framesOut.delta()
	to.bytesIn += c.traffic.bytesIn.delta()
	to.bytesOut += c.traffic.bytesOut.delta()
}

// publish adds the totals to the metrics.
func (t *planeTotals) publish(to Metrics) {
	t.control.publish(to, Control)
	t.requests.publish(to, Requests)
}

// publish adds the totals of a plane to the metrics.
func (t *trafficTotals) publish(to Metrics, plane Plane) {
	publish(to.Frames, plane, "in", t.framesIn)
	publish(to.Frames, plane, "out", t.framesOut)
	publish(to.Bytes, plane, "in", t.bytesIn)
	publish(to.Bytes, plane, "out", t.bytesOut)
}

// publish adds delta to a counter unless it is zero.
func publish(counter metrics.Counter, plane Plane, direction string, delta int64) {
	if delta != 0 {
		counter.With("plane", plane.String(), "direction", direction).Add(float64(delta))
	}
}
