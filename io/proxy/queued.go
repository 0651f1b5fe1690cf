package proxy

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"pineturn/core/ownerqueue"
	"pineturn/core/placement"
)

// queuePollInterval is the time between checks of a queue while no request of this host ends at its
// target.
const queuePollInterval = 100 * time.Millisecond

// errOwnerChanged means that the key of a waiting request has another owner now.
var errOwnerChanged = errors.New("owner of the key has changed")

// QueuedRequests returns the numbers of requests that wait in the queues of owners that this host
// holds, and that are in progress at the owners.
func (p *Proxy) QueuedRequests() (waiting, running int) { return p.queues.lengths() }

// targetOfQueue returns what is known of a target for its queue.
func (p *Proxy) targetOfQueue(target string, now time.Time) (ownerqueue.Target, bool) {
	load, ok := p.targets.OwnerLoad(target, now)
	// More than its slots would wait at the target, in the order in which they came.
	limit := float64(load.Slots)
	return ownerqueue.Target{Slots: load.Slots, OtherHosts: load.OtherHosts, Limit: limit, ProcessingTime: load.ProcessingTime}, ok
}

// waitInQueue waits in the queue of the owner of a request's key until the request may be sent. The
// caller passes the ticket to the queue's end, also with an error; the ticket is nil if the owner
// is not known here.
func (p *Proxy) waitInQueue(ctx context.Context, q *request, owner string) (*ownerqueue.Ticket, error) {
	if q.firstArrival.IsZero() {
		q.firstArrival, q.returned = p.queues.arrive(q)
	}
	route := q.match.Route
	ticket, ready, ok := p.queues.submit(owner, ownerqueue.Request{
		Rank: route.Rank, Objective: q.firstArrival.Add(route.Objective), Deadline: q.deadline, Idempotent: route.Idempotent, Returned: q.returned,
	}, p.clock.Now())
	if !ok {
		return nil, nil
	}
	entered := p.clock.Now()
	defer func() { q.waited += p.clock.Now().Sub(entered) }()
	for {
		changed := p.catalog.Changed()
		if target, reason := p.currentOwner(q); reason != reasonNoOwner && target != owner {
			return ticket, errOwnerChanged
		}
		if criteria := p.criteria(q, owner); p.targets.IsDrained(criteria, p.clock.Now()) {
			return ticket, q.refuseDrained(criteria)
		}
		if err := p.refuseLate(q, 0); err != nil {
			return ticket, err
		}
		timer := time.NewTimer(queuePollInterval)
		select {
		case <-ready:
		case <-ctx.Done():
		case <-changed:
		case <-timer.C:
			p.queues.poll(owner, p.clock.Now())
		}
		timer.Stop()
		if ctx.Err() != nil {
			return ticket, q.failOrRefuse(reasonNoCapacity, route.Objective/2, ctx.Err())
		}
		running, retryAfter, refused := p.queues.state(ticket)
		switch {
		case running:
			return ticket, nil
		case refused:
			p.recordEstimate(q, owner)
			p.queues.recordRefusal(q, retryAfter, p.clock.Now())
			return ticket, q.refuseFor(reasonNoCapacity, retryAfter, nil)
		}
	}
}

// chooseQueued reserves capacity at the owner of a request's key after its turn in the owner's
// queue.
func (p *Proxy) chooseQueued(ctx context.Context, q *request, owner string) (*placement.Choice, error) {
	ticket, err := p.waitInQueue(ctx, q, owner)
	if ticket == nil && err == nil {
		return p.chooseTarget(ctx, q, owner)
	}
	end := func() { p.queues.end(owner, ticket, p.clock.Now()) }
	if err != nil {
		end()
		return nil, err
	}
	q.queued = true
	choice, err := p.chooseTarget(ctx, q, owner)
	q.queued = false
	if err != nil {
		end()
		return nil, err
	}
	choice.HandleEnd = end
	return choice, nil
}
