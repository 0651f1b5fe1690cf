package proxy

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"pineturn/core/attempt"
	"pineturn/core/placement"
)

// sendWithHedge sends a request to a target and, if the response is late, to a
// second target as well. The first complete response is used. If the path to the targets looks lost meanwhile, the
// result is that of a suspended send.
func (p *Proxy) sendWithHedge(ctx context.Context, q *request, first *placement.Choice) sendResult {
	if !q.repeatable() {
		q.progress.RecordSend()
		return p.roundTrip(ctx, q, first, nil)
	}
	sends := p.newTargetSends(ctx, q)
	late, stop := p.hedgeTimer(q, first)
	defer stop()
	sends.start(first)
	for {
		select {
		case s := <-sends.results:
			if sends.end(s) {
				return sends.best
			}
		case <-late:
			late = nil
			if second := p.chooseHedgeTarget(ctx, q, first); second != nil {
				sends.start(second)
			}
		case <-q.suspicion(sends.pathLost):
			return q.suspend(sends.pending(), first.Entry.ID, errPathLost)
		}
	}
}

// hedgeTimer returns a timer for the second send of a request that is about to be sent, nil for none.
func (p *Proxy) hedgeTimer(q *request, first *placement.Choice) (late <-chan time.Time, stop func()) {
	delay, hedged := attempt.HedgeDelay(q.attemptRequest(), first.ExpectedLatency, q.timeLeft(p.clock.Now()))
	if !hedged || q.keyed() || q.progress.Sends() > q.keptCount() {
		return nil, func() {}
	}
	timer := time.NewTimer(delay)
	return timer.C, func() { timer.Stop() }
}

// preferred returns the result to report of two sends: the one with more in it for the caller or, if neither
// has brought a response, the one after which a target may have run the request.
func preferred(a, b sendResult) sendResult {
	if resultRank(b.result) > resultRank(a.result) {
		return b
	}
	return a
}

func resultRank(r attempt.Result) int {
	switch {
	case r == attempt.Complete:
		return 3
	case r == attempt.Failed:
		return 2
	case r.NotRun():
		return 0
	}
	return 1
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
