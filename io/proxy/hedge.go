package proxy

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"pineturn/core/attempt"
	"pineturn/core/placement"
)

// sendWithHedge sends a request to a target and, if the response is late, to a
// second target as well. The first complete response is used.
func (p *Proxy) sendWithHedge(ctx context.Context, q *request, first *placement.Choice) sendResult {
	delay, hedged := attempt.HedgeDelay(q.attemptRequest(), first.ExpectedLatency, q.timeLeft(p.clock.Now()))
	if !hedged || q.keyed() || !q.body.replayable() || q.progress.Sends() > q.keptCount() {
		return p.send(ctx, q, first)
	}
	results := make(chan sendResult, 2)
	cancels := make(map[string]context.CancelCauseFunc, 2)
	start := func(choice *placement.Choice) {
		ctx, cancel := context.WithCancelCause(ctx)
		cancels[choice.Entry.ID] = cancel
		q.progress.RecordSend()
		go func() { results <- p.roundTrip(ctx, q, choice) }()
	}
	start(first)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case s := <-results:
		return s
	case <-timer.C:
	}
	second := p.chooseHedgeTarget(ctx, q, first)
	if second == nil {
		return <-results
	}
	start(second)
	s := <-results
	if s.result != attempt.Complete {
		return preferred(s, <-results)
	}
	for target, cancel := range cancels {
		if target != s.target {
			cancel(errSuperseded)
		}
	}
	return s
}

// preferred returns the result to report when the first of two sends did not
// complete: a complete response, else an error response, else the first one.
func preferred(a, b sendResult) sendResult {
	if b.result == attempt.Complete || b.result == attempt.Failed && a.result != attempt.Failed {
		return b
	}
	return a
}

var errSuperseded = errors.New("another target responded first")

// chooseHedgeTarget reserves capacity at a second target for a request whose
// response is late. It returns nil if there is no target with capacity, the
// second response could not arrive in time, the retry budget is spent, or the host that has
// relayed the request has no attempt left.
func (p *Proxy) chooseHedgeTarget(ctx context.Context, q *request, first *placement.Choice) *placement.Choice {
	criteria := p.criteria(q, "")
	criteria.Optional, criteria.Counted = true, true
	criteria.Exclude = append(criteria.Exclude[:len(criteria.Exclude):len(criteria.Exclude)], first.Entry.ID)
	now := p.clock.Now()
	second, verdict := p.targets.Choose(criteria, now)
	if verdict != placement.Chosen {
		return nil
	}
	if second.ExpectedLatency > q.timeLeft(now) || p.refuseLate(q, second.ExpectedLatency) != nil || !p.budget.Spend(q.match.Service.Name, now) {
		second.End(placement.NotSent, nil, now)
		return nil
	}
	if !p.acquireAttempt(ctx, q) {
		p.budget.Return(q.match.Service.Name, now, p.clock.Now())
		second.End(placement.NotSent, nil, p.clock.Now())
		return nil
	}
	return second
}
