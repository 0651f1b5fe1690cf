package placement

import (
	"time"

	"pineturn/core/clock"
)

// Result is the result of sending a request to a target.
type Result int

// Results of a send.
const (
	// Complete means that the target ran the request and responded without an error.
	Complete Result = iota
	// Shed means that the target refused the request because it was full.
	Shed
	// WrongTarget means that the address belongs to another target or that the
	// target does not own the request's key.
	WrongTarget
	// Failed means that the target responded with an error.
	Failed
	// ConnectionLost means that the connection ended before a valid response. A
	// full target may close connections in this way.
	ConnectionLost
	// Unreachable means that no connection could be established.
	Unreachable
	// Abandoned means that the caller disconnected or the request timed out.
	Abandoned
	// Superseded means that a hedged send to another target responded first.
	Superseded
	// NotSent means that the request was not sent after all. It says nothing about
	// the target.
	NotSent
)

// Report is the load that a target reports with a response.
type Report struct {
	// Running and Waiting are its numbers of running and waiting requests.
	Running, Waiting int
	// Slowdown is how many times as long as usual work takes on the target's machine now, 0
	// if unknown.
	Slowdown float64
}

// others returns the number of requests that the target still has after the response: a
// report counts the request that it comes with, if the target ran it.
func (r *Report) others(result Result) int {
	n := r.Running + r.Waiting
	if result == Complete || result == Failed {
		n--
	}
	return n
}

const (
	// shedBackoff is how long a target receives no requests, other than those
	// for its own keys, after it refused a request because it was full.
	shedBackoff = 60 * time.Millisecond
	// failureBackoff is the same after an error response or a lost connection,
	// which may also come from a full target.
	failureBackoff = 100 * time.Millisecond
	// unreachableBackoff is the same after a failed attempt to connect.
	unreachableBackoff = 500 * time.Millisecond
)

// fullDepth is the number of running and waiting requests per slot from which a
// target that refuses a request, or closes its connection, is taken to be full.
const fullDepth = 2.0

// TargetFull reports whether the target had no free capacity, according to the load
// report that came with its response, or to the estimate at the choice if there is
// none.
func (c *Choice) TargetFull(report *Report) bool {
	if report == nil {
		return c.depth >= fullDepth
	}
	return float64(report.Running+report.Waiting) >= fullDepth*float64(c.Entry.Slots)
}

// End records the result of the send and the load report that came with it, nil
// if there was none.
func (c *Choice) End(result Result, report *Report, now time.Time) {
	if c.HandleEnd != nil {
		defer c.HandleEnd()
	}
	s := c.set
	s.mu.Lock()
	defer s.mu.Unlock()
	t := c.target
	t.inFlight--
	t.removePending(c)
	svc := s.service(t.entry.Service)
	defer svc.notifyWaiters()
	if report != nil {
		t.report(float64(max(0, report.others(result)-t.inFlight)), now)
	}
	took := now.Sub(c.sent)
	c.learn(result, report, now)
	if c.toOwner && (result == Shed || result == ConnectionLost) && c.TargetFull(report) {
		t.recordOwnerShed(now)
	}
	c.recordCold(t, result, now)
	switch result {
	case Complete:
		c.recordResponseTime(svc, t, took)
		t.failureScore = t.failureScoreAt(now) * 0.5
		t.failureScoreTime = now
		t.consecutiveSheds = 0
	case Shed:
		t.addFailure(now, 0.5)
		t.backoffUntil = clock.Later(t.backoffUntil, now.Add(shedBackoff))
	case Failed, ConnectionLost:
		t.addFailure(now, 1)
		t.backoffUntil = clock.Later(t.backoffUntil, now.Add(failureBackoff))
	case Unreachable:
		t.addFailure(now, 2)
		t.backoffUntil = now.Add(unreachableBackoff)
	case Abandoned, Superseded:
		if took > 2*c.ExpectedLatency {
			c.recordResponseTime(svc, t, took)
			t.addFailure(now, 0.7)
		}
	case NotSent:
		t.pacer.Return()
	case WrongTarget:
	}
}

// Bounds of one response's processing time relative to the mean of its service.
const (
	minRelativeTime = 0.2
	maxRelativeTime = 20.0
)

// recordResponseTime updates the mean processing time of the service and the
// relative processing time of the target. The processing time is estimated by
// dividing took by the queue depth, which removes the time spent in the queue.
func (c *Choice) recordResponseTime(svc *serviceState, t *Target, took time.Duration) {
	processingTime := float64(took) / max(1, c.depth)
	svc.meanProcessingTime += time.Duration(processingTimeWeight / 4 * (processingTime - float64(svc.meanProcessingTime)))
	if c.toOwner {
		t.ownerStats.Responses++
		t.ownerStats.Seconds += time.Duration(processingTime).Seconds()
	}
	relativeTime := processingTime / max(float64(svc.meanProcessingTime), float64(time.Millisecond))
	t.relativeTime += processingTimeWeight * (min(max(relativeTime, minRelativeTime), maxRelativeTime) - t.relativeTime)
}
