package proxy

import (
	"time"

	"pineturn/core/attempt"
)

// sureSendsAfter is how long after the begin of a stop requests are sent that will most likely end before they would be
// cancelled. Later ones must end surely: callers have had the time to go elsewhere, and what is cancelled may
// have run.
const sureSendsAfter = 3 * time.Second

// hostStop is a stop of this host.
type hostStop struct{ beganAt, cancelAt time.Time }

// CancelAt states, as this host begins to stop, when it will call CancelRequests. From now on a request that
// would likely be cancelled at its target is refused instead of sent, and from sureSendsAfter on one that perhaps would.
func (p *Proxy) CancelAt(at time.Time) {
	p.stop.Store(&hostStop{beganAt: p.clock.Now(), cancelAt: at})
}

// refuseLate returns an error for a request whose response, if the request were sent now, would likely come
// after this host has cancelled its requests. Expected is the expected latency of its target, 0 before one is
// chosen.
func (p *Proxy) refuseLate(q *request, expected time.Duration) error {
	stop := p.stop.Load()
	if stop == nil || stop.cancelAt.After(q.deadline) {
		return nil
	}
	now := p.clock.Now()
	endsWithin := p.latencies.EndsWithin
	if now.Sub(stop.beganAt) > sureSendsAfter {
		endsWithin = p.latencies.SurelyEndsWithin
	}
	if endsWithin(q.match.Route.Name, expected, stop.cancelAt.Sub(now)-q.body.restTime(now.Sub(q.started))) {
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
