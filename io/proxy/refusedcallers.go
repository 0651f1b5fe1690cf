package proxy

import (
	"sync"
	"time"

	"pineturn/core/ownerqueue"
	"pineturn/core/poison"
)

// refusedCallers remembers the requests that this host's queues of owners have refused, until their
// callers return.
type refusedCallers struct {
	mu       sync.Mutex
	refusals ownerqueue.Refusals[poison.Fingerprint]
}

// arrive returns when a request has arrived first, and whether it was refused here and has returned
// when it was told to.
func (c *refusedCallers) arrive(q *request) (first time.Time, returned bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refusals.Take(q.fingerprint(), q.arrived.Add(-q.elapsed))
}

// recordRefusal records that a request was refused, and when its caller was told to return.
func (c *refusedCallers) recordRefusal(q *request, retryAfter time.Duration, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refusals.Record(q.fingerprint(), q.firstArrival, now.Add(retryAfter), q.arrived.Add(q.callerTimeout()), now)
}
