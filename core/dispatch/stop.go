package dispatch

import (
	"time"

	"pineturn/core/clock"
	"pineturn/core/outcome"
)

// StopAt states, as this host begins to stop, when the connections of its callers end. A request that would
// likely not end before that is refused from now on, and one that is forwarded has its deadline then at the
// latest, so that its caller gets an answer.
func (i *Ingress) StopAt(at time.Time) { i.stopAt.Store(&at) }

// untilStop returns the earlier one of a deadline and the stop of this host, if one has begun.
func (i *Ingress) untilStop(deadline time.Time) time.Time {
	at := i.stopAt.Load()
	if at == nil {
		return deadline
	}
	return clock.Earlier(deadline, *at)
}

// refuseLate returns an error for a request of a service with a deadline that would likely not end before
// this host has stopped.
func (i *Ingress) refuseLate(service string, deadline time.Time) *outcome.Error {
	at := i.stopAt.Load()
	if at == nil || at.After(deadline) || i.latencies.EndsWithin(service, 0, at.Sub(i.Clock.Now())) {
		return nil
	}
	return outcome.Refuse(outcome.Stopping, "this host stops before the request would end", retryStopping)
}
