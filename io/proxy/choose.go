package proxy

import (
	"context"
	"time"

	"pineturn/core/attempt"
	"pineturn/core/placement"
)

// ownerPollInterval is the time between checks of the owner of a key.
const ownerPollInterval = 100 * time.Millisecond

// owner returns the target that owns the key of a request; empty if the request
// has no key. For a key that is moving or has no owner, it waits up to
// attempt.QueueTimeout.
func (p *Proxy) owner(ctx context.Context, q *request) (string, error) {
	if !q.keyed() {
		return "", nil
	}
	p.keyCounts.add(q.match.Service.Name, q.Key)
	end := p.clock.Now().Add(attempt.QueueTimeout(q.attemptRequest(), q.timeLeft(p.clock.Now())))
	for {
		changed := p.catalog.Changed()
		target, reason := p.currentOwner(q)
		if reason == "" {
			return target, nil
		}
		wait := min(end.Sub(p.clock.Now()), ownerPollInterval)
		if wait <= 0 && reason == reasonMoving {
			// While the store is down, the new owner may already have its grant
			// without a record of it. If it has none, it refuses the request.
			return target, nil
		}
		if wait <= 0 || !waitFor(ctx, changed, wait) {
			return "", q.failOrRefuse(reason, q.match.Route.Objective/2, ctx.Err())
		}
	}
}

// currentOwner returns the owner of the key of a request, and a reason if there
// is none or if a former owner may still hold the key.
func (p *Proxy) currentOwner(q *request) (target, reason string) {
	assignment := p.catalog.Assignment()
	if assignment == nil {
		return "", reasonNoOwner
	}
	r, ok := assignment.Find(q.match.Service.Name, q.Key)
	switch {
	case !ok:
		return "", reasonNoOwner
	case len(r.Former) > 0:
		return r.Owner.Target, reasonMoving
	}
	return r.Owner.Target, ""
}

// waitFor waits for a signal or for timeout. It returns false if ctx is done.
func waitFor(ctx context.Context, signal <-chan struct{}, timeout time.Duration) bool {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-signal:
	case <-timer.C:
	}
	return true
}

// grantDelay is how long the grant of a new owner may lag behind its record.
const grantDelay = 80 * time.Millisecond

// capacityPollInterval is the time between checks for capacity while no request
// of this host ends.
const capacityPollInterval = 25 * time.Millisecond

// chooseTarget reserves capacity at a target. If there is none, it waits up to
// attempt.QueueTimeout. If the limits that targets have named leave none to this host, or all
// have asked it for a rest, it refuses the request at once.
func (p *Proxy) chooseTarget(ctx context.Context, q *request, owner string) (*placement.Choice, error) {
	end := p.clock.Now().Add(attempt.QueueTimeout(q.attemptRequest(), q.timeLeft(p.clock.Now())))
	queued := false
	defer func() {
		if queued {
			p.targets.LeaveQueue(q.match.Service.Name, owner)
		}
	}()
	for {
		capacityFreed := p.targets.CapacityFreed(q.match.Service.Name)
		criteria := p.criteria(q, owner)
		choice, verdict := p.targets.Choose(criteria, p.clock.Now())
		q.demandCounted = true
		if verdict == placement.Chosen {
			return choice, nil
		}
		switch verdict {
		case placement.Limited:
			p.recordEstimate(q, owner)
			wait := p.targets.SendWait(criteria, p.clock.Now())
			return nil, q.failOrRefuse(reasonTargetLimit, max(wait, q.match.Route.Objective/2), nil)
		case placement.Resting:
			wait := p.targets.SendWait(criteria, p.clock.Now())
			return nil, q.refuseFor(reasonTargetRests, attempt.RetryNotBefore(wait, q.callerTimeout()), nil)
		case placement.Forbidden:
			return nil, q.refuseFor(reasonRegionForbidden, 0, nil)
		case placement.Drained:
			return nil, q.refuseDrained(criteria)
		}
		reason := reasonNoCapacity
		if verdict == placement.NoTarget {
			reason = reasonNoTarget
		}
		if verdict == placement.NoCapacity && !queued {
			if queued = p.targets.EnterQueue(q.match.Service.Name, owner); !queued {
				end = p.clock.Now()
			}
		}
		if err := p.refuseLate(q, 0); err != nil {
			return nil, err
		}
		wait := min(end.Sub(p.clock.Now()), capacityPollInterval)
		if wait <= 0 || !waitFor(ctx, capacityFreed, wait) {
			p.recordEstimate(q, owner)
			return nil, q.failOrRefuse(reason, q.match.Route.Objective/2, ctx.Err())
		}
	}
}

// refuseDrained refuses a request whose targets are all in drained failure domains.
func (q *request) refuseDrained(criteria placement.Criteria) error {
	return q.refuseFor(reasonDomainDrained, attempt.RetryNotBefore(placement.DrainWait(criteria), q.callerTimeout()), nil)
}

// recordEstimate keeps for the log what is assumed of an owner without capacity.
func (p *Proxy) recordEstimate(q *request, owner string) {
	if estimate, ok := p.targets.OwnerEstimate(p.criteria(q, owner), p.clock.Now()); ok {
		q.lastTarget, q.estimate = owner, &estimate
	}
}

func (p *Proxy) criteria(q *request, owner string) placement.Criteria {
	criteria := placement.Criteria{
		Service: q.match.Service.Name, Owner: owner, Exclude: q.excluded,
		NonIdempotent: !q.match.Route.Idempotent, Rank: q.match.Route.Rank, Counted: q.demandCounted,
		Objective: q.match.Route.Objective, Queued: q.queued,
	}
	if q.match.Route.Regions != nil {
		criteria.Allows = func(domain string) bool { return p.allowsDomain(q, domain) }
	}
	return criteria
}

// allowsDomain reports whether a request may go to a failure domain. One whose region is not
// known is in none that a route names.
func (p *Proxy) allowsDomain(q *request, domain string) bool {
	return q.match.Route.AllowsRegion(p.Regions[domain])
}
