package proxy

import (
	"time"

	"pineturn/core/attempt"
)

// CancelAt states, as this host begins to stop, when it will call CancelRequests. From now on a request that
// would likely be cancelled at its target is refused instead of sent.
func (p *Proxy) CancelAt(at time.Time) { p.cancelAt.Store(&at) }

// refuseLate returns an error for a request whose response, if the request were sent now, would likely come
// after this host has cancelled its requests. Expected is the expected latency of its target, 0 before one is
// chosen.
func (p *Proxy) refuseLate(q *request, expected time.Duration) error {
	at := p.cancelAt.Load()
	if at == nil || at.After(q.deadline) {
		return nil
	}
	now := p.clock.Now()
	if p.latencies.EndsWithin(q.match.Route.Name, expected, at.Sub(now)-q.body.restTime(now.Sub(q.started))) {
		return nil
	}
	return q.failOrRefuse(reasonStopping, 0, nil)
}

// recordLatency records the latency of a request that was sent or relayed at a time, if a target has run it,
// and returns its result.
func (p *Proxy) recordLatency(q *request, sentAt time.Time, s sendResult) sendResult {
	if s.result == attempt.Complete {
		p.latencies.Observe(q.match.Route.Name, p.clock.Now().Sub(sentAt))
	}
	return s
}
