package placement

import (
	"fmt"
	"slices"
	"time"

	"pineturn/core/concurrency"
	"pineturn/core/ratelimit"
)

// Criteria are the requirements that a request places on its target.
type Criteria struct {
	Service string
	// Owner is the ID of the only target that may run the request. If it is
	// empty, any target of the service may.
	Owner string
	// Exclude lists the IDs of targets to which the request was already sent.
	Exclude []string
	// Allows reports whether targets in a failure domain may run the request; nil for any.
	Allows func(domain string) bool
	// NonIdempotent requests are queued less deeply than others, as a full
	// target may break the connection and so lose the request's outcome.
	NonIdempotent bool
	// Rank is the priority of the request; zero is the highest. Requests leave room for
	// those of a higher priority.
	Rank int
	// Queued requests have waited for their turn at Owner: no depth keeps them from it.
	Queued bool
	// Optional sends, hedges, leave out the targets that have named a limit.
	Optional bool
	// Counted requests count no more for the demand for a target.
	Counted bool
	// Objective is the latency objective of the request, 0 for none.
	Objective time.Duration
}

// ChoiceStatus is the result of Set.Choose.
type ChoiceStatus int

// The statuses of a choice.
const (
	// Chosen means that a target was selected.
	Chosen ChoiceStatus = iota
	// NoTarget means that the service has no eligible target.
	NoTarget
	// NoCapacity means that all eligible targets are at their load limit.
	NoCapacity
	// Limited means that a target has capacity, but that this host has used its part of
	// the limit of requests a second that the target has named.
	Limited
	// Resting means that all targets that would take the request have asked this host for
	// no requests for some time.
	Resting
	// Forbidden means that all targets that would take the request are in regions that it may
	// not go to.
	Forbidden
	// Drained means that all targets that would take the request are in failure domains that
	// are drained.
	Drained
)

// Choice is a target selected for one request, which counts as in flight there
// until End. End must be called exactly once.
type Choice struct {
	Entry Entry
	// ExpectedLatency is the estimated time until the response, with queueing.
	ExpectedLatency time.Duration
	set             *Set
	target          *Target
	// toOwner is true if the target was selected as the owner of the request's
	// key, so that no other target may run the request.
	toOwner bool
	// depth is the number of running and waiting requests at the target per
	// slot, this request included.
	depth float64
	sent  time.Time
	// cold has counted the request if the target was cold; nil otherwise.
	cold *ratelimit.Pacer
	// learned is what was learned of the target, zero if choices do not follow it.
	learned concurrency.Estimate
	// HandleEnd is called after End, unless it is nil. It is set before End.
	HandleEnd func()
}

const (
	// crossDomainCost is added to the expected latency of targets in other
	// failure domains.
	crossDomainCost = 25 * time.Millisecond
	// nonIdempotentMaxDepth and idempotentMaxDepth are the highest numbers of
	// running and waiting requests per slot, the new request included, at which
	// a target is still selected.
	nonIdempotentMaxDepth = 2.5
	idempotentMaxDepth    = 3.5
	// yieldingMaxDepth is the limit for requests of a service at which others of a
	// higher priority recently found no capacity. It is below both other limits, so
	// that these find it.
	yieldingMaxDepth = 2.0
	// yieldPeriodPerSlot is how long, for each slot of a target, requests yield after one
	// of a higher priority found no capacity. The fewer the slots, the larger is the share
	// of the capacity that they give up.
	yieldPeriodPerSlot = 500 * time.Millisecond
	// jitter is the largest random increase of a cost, as a fraction. It keeps
	// hosts with the same load data from selecting the same target.
	jitter = 0.1
)

// Choose selects the eligible target with the lowest cost and counts the request
// as in flight there. The cost is the expected latency, raised for targets in
// other failure domains and for targets with recent failures. A burst thus fills
// the fast targets first, and a target that becomes slow receives fewer requests
// as its responses take longer. If no target is selected, the choice is nil and
// the status states why.
func (s *Set) Choose(criteria Criteria, now time.Time) (*Choice, ChoiceStatus) {
	s.mu.Lock()
	defer s.mu.Unlock()
	svc := s.service(criteria.Service)
	basis := s.basis(svc, criteria, now)
	limit := maxDepth(criteria, svc.yields(criteria.Rank, now))
	var best, limited candidate
	var rest restState
	drain := drainState{domains: s.drained}
	var region regionState
	status := NoTarget
	for _, t := range svc.targets {
		if !t.serves(criteria, now) || region.add(t, criteria) || drain.add(t, criteria, now) || rest.add(t, now) || !t.isAvailable(criteria, now) {
			continue
		}
		c := s.estimate(t, basis)
		tooDeep := !criteria.Queued && c.depth > c.maxDepth(criteria, limit, svc)
		if tooDeep || criteria.Owner != "" && t.inOwnerBackoff(now) {
			status = NoCapacity
			continue
		}
		if s.withinRateLimit(t, criteria, now) {
			best.improve(c, s.cost(&c, now))
		} else {
			limited.improve(c, s.cost(&c, now))
		}
	}
	if !criteria.Counted {
		s.recordDemand(best, limited, now)
	}
	if best.choice.target == nil {
		if status = s.recordRefused(svc, criteria, status, limited, now); status == NoTarget && rest.decides() {
			status = Resting
		}
		switch {
		case status == NoTarget && region.decides():
			status = Forbidden
		case status == NoTarget && drain.decides():
			status = Drained
		}
		return nil, status
	}
	return s.start(best.choice, criteria, now), Chosen
}

// start counts a chosen request as in flight.
func (s *Set) start(c Choice, criteria Criteria, now time.Time) *Choice {
	t := c.target
	t.inFlight++
	t.pending = append(t.pending, &c)
	t.pacer.Take()
	if s.isCold(t, now) {
		c.cold = s.coldPacer(t, now)
		c.cold.Take()
	}
	c.toOwner = criteria.Owner != ""
	return &c
}

// recordRefused records a request that no target takes now and returns its status. Where
// targets are full, one of them may have room sooner than a limited one.
func (s *Set) recordRefused(svc *serviceState, criteria Criteria, status ChoiceStatus, limited candidate, now time.Time) ChoiceStatus {
	if limited.choice.target != nil {
		for p := range s.pacers(limited.choice.target, now) {
			p.RecordRefused(criteria.Rank, now)
		}
	}
	switch {
	case status == NoCapacity:
		svc.recordNoCapacity(criteria.Rank, now)
	case limited.choice.target != nil:
		status = Limited
	}
	return status
}

// candidate is the choice with the lowest cost so far.
type candidate struct {
	choice Choice
	cost   float64
}

func (b *candidate) improve(choice Choice, cost float64) {
	if b.choice.target == nil || cost < b.cost {
		b.choice, b.cost = choice, cost
	}
}

func (s *Set) cost(c *Choice, now time.Time) float64 {
	cost := float64(c.ExpectedLatency) * c.learnedCost() * (1 + jitter*s.Rand())
	if c.Entry.Domain != s.domain {
		cost += float64(crossDomainCost)
	}
	return cost * (1 + c.target.failureScoreAt(now))
}

// Estimate is what a host assumes of a target's load when it selects targets.
type Estimate struct {
	// Depth is the number of running and waiting requests per slot with one more
	// request, Limit the highest number at which the target is selected.
	Depth, Limit float64
	// ReportAge is the age of the target's last load report, zero without one.
	ReportAge time.Duration
	// Backoff reports that the target receives no request because it was full.
	Backoff bool
}

// String returns the estimate as written to logs.
func (e *Estimate) String() string {
	if e == nil {
		return ""
	}
	return fmt.Sprintf("depth %.1f of %.1f, report %v ago, backoff %t", e.Depth, e.Limit, e.ReportAge, e.Backoff)
}

// OwnerEstimate returns the estimate for the owner of the key of a request. It returns
// false if the criteria name no owner, or one that is not present.
func (s *Set) OwnerEstimate(criteria Criteria, now time.Time) (Estimate, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.targets[criteria.Owner]
	if t == nil {
		return Estimate{}, false
	}
	svc := s.service(criteria.Service)
	e := Estimate{
		Depth: s.estimate(t, s.basis(svc, criteria, now)).depth, Limit: maxDepth(criteria, svc.yields(criteria.Rank, now)), Backoff: t.inOwnerBackoff(now),
	}
	if !t.reported.IsZero() {
		e.ReportAge = now.Sub(t.reported)
	}
	return e, true
}

// maxDepth returns the highest number of requests per slot at which a target is selected.
// yields reports that requests of a higher priority recently found no capacity.
func maxDepth(criteria Criteria, yields bool) float64 {
	switch {
	case yields:
		return yieldingMaxDepth
	case criteria.NonIdempotent:
		return nonIdempotentMaxDepth
	}
	return idempotentMaxDepth
}

// serves reports whether the target may run a request at all.
func (t *Target) serves(criteria Criteria, now time.Time) bool {
	if t.entry.Draining && (criteria.Owner == "" || now.Sub(t.drainingSince) > ownerDrainPeriod) {
		return false
	}
	return criteria.Owner == "" || t.entry.ID == criteria.Owner
}

// isAvailable reports whether a request may be sent to the target now, as far as earlier
// sends go.
func (t *Target) isAvailable(criteria Criteria, now time.Time) bool {
	return !slices.Contains(criteria.Exclude, t.entry.ID) && (criteria.Owner != "" || !now.Before(t.backoffUntil))
}

// basis is what the estimates of the targets of a service have in common.
type basis struct {
	now     time.Time
	service *serviceState
	// meanLoad is the mean number of other hosts' requests at a target.
	meanLoad float64
	// learns reports that the estimates follow what was learned of each target. Those of the
	// owners of keys do not.
	learns bool
}

func (s *Set) basis(svc *serviceState, criteria Criteria, now time.Time) basis {
	return basis{now: now, service: svc, meanLoad: svc.meanOtherHostsLoad(now), learns: criteria.Owner == "" && s.Learns()}
}

// estimate returns the choice of a target for a request.
func (s *Set) estimate(t *Target, b basis) Choice {
	c := Choice{Entry: t.entry, set: s, target: t, sent: b.now}
	if b.learns {
		c.estimateLearned(b)
		return c
	}
	c.depth = (float64(t.inFlight) + t.otherHostsLoadAt(b.now, b.meanLoad, reportHalfLife, averageHalfLife) + 1) / float64(t.entry.Slots)
	processingTime := float64(b.service.meanProcessingTime) * t.processingTimeFactor(b.now)
	c.ExpectedLatency = time.Duration(processingTime * (1 + max(0, c.depth-1)))
	return c
}
