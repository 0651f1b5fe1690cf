package placement

import (
	"math"
	"slices"
	"time"

	"pineturn/core/concurrency"
)

// averagePeriods is the number of processing times of a target after which the average of its
// own reports and the mean of its service weigh the same in the load estimate.
const averagePeriods = 6

// affinitySpread is the largest part by which the cost of a target is raised at a host that
// prefers others.
const affinitySpread = 2.0

// otherDomainAffinity is the least affinity of a target in another failure domain. It keeps most
// requests in the domain while that has room.
const otherDomainAffinity = 0.3

// estimateLearned sets the depth and the expected latency of a choice by what was learned of
// the target. The requests of other hosts end as fast as the target processes them.
func (c *Choice) estimateLearned(b basis) {
	t := c.target
	slots := float64(t.entry.Slots)
	c.learned = t.learned.Estimate(b.now)
	p := c.learned.ProcessingTime
	c.depth = (float64(t.inFlight) + t.otherHostsLoadAt(b.now, b.meanLoad, p, averagePeriods*p) + 1) / slots
	expected := float64(p) * max(1, c.depth)
	if len(t.pending) > 0 {
		// A request takes at least as long as the oldest one has waited by now.
		oldest := t.pending[0]
		expected = max(expected, float64(b.now.Sub(oldest.sent))*max(1, c.depth)/max(1, oldest.depth))
	}
	if b.now.Before(t.warmEnd) {
		expected *= coldFactor
	}
	// Beyond the limit all requests at the target take longer by the new one.
	c.ExpectedLatency = time.Duration(expected * max(1, c.depth*slots/c.learned.Limit))
}

// learnedCost returns the factor by which the cost of a choice exceeds its expected latency. The
// load is known roughly: a target may have no free slot before all seem in use. Where many hosts
// share many targets, each host knows those well that it prefers.
func (c *Choice) learnedCost() float64 {
	if c.learned.Limit == 0 {
		return 1
	}
	return math.Hypot(1, c.depth) / max(1, c.depth) * (1 + affinitySpread*c.set.affinity(c.target))
}

// maxDepth returns the highest number of requests per slot at which a target is selected,
// limit at one as fast as its service. Where other targets may run the request as well, it
// waits no longer at a slow one than at the others, unless it is served in time.
func (c *Choice) maxDepth(criteria Criteria, limit float64, svc *serviceState) float64 {
	if !c.learned.Known {
		return limit
	}
	processingTime := float64(c.learned.ProcessingTime)
	even := limit * float64(svc.learned.ProcessingTime()) / processingTime
	inTime := float64(criteria.Objective) / processingTime
	return min(max(even, inTime, 1), limit)
}

// removePending removes a request that has ended.
func (t *Target) removePending(c *Choice) {
	if i := slices.Index(t.pending, c); i >= 0 {
		t.pending = slices.Delete(t.pending, i, i+1)
	}
}

// learn records the result of a send for what is learned of the target. Errors say nothing of
// how long requests take, and neither do responses of a target that warms up.
func (c *Choice) learn(result Result, report *Report, now time.Time) {
	t := c.target
	if !c.set.Learns() || c.sent.Before(t.warmEnd) || c.cold != nil {
		return
	}
	sample := concurrency.Sample{InProgress: c.depth * float64(c.Entry.Slots), Took: now.Sub(c.sent)}
	if report != nil {
		sample.Slowdown = report.Slowdown
	}
	switch result {
	case Complete:
		if report != nil {
			sample.InProgress = (sample.InProgress + float64(report.Running+report.Waiting)) / 2
		}
	case Shed, ConnectionLost:
		if !c.TargetFull(report) {
			return
		}
		sample.Refused = true
		if report != nil {
			sample.InProgress = float64(report.Running + report.Waiting + 1)
		}
	case Abandoned, Superseded:
		if sample.Took <= 2*c.ExpectedLatency {
			return
		}
	default:
		return
	}
	t.learned.Record(sample, now)
}

// affinity returns how little this host prefers a target, from 0 to 1. One that selects targets for
// all hosts of its failure domain knows each of them well and prefers none in its own domain.
func (s *Set) affinity(t *Target) float64 {
	switch {
	case !s.Dispatches():
		return t.affinity
	case t.entry.Domain == s.domain:
		return 0
	}
	return otherDomainAffinity
}

// drawAffinity draws how little this host prefers a target, from 0 to 1: those in its own failure
// domain before others.
func (s *Set) drawAffinity(entry *Entry) float64 {
	if entry.Domain == s.domain {
		return s.Rand()
	}
	return otherDomainAffinity + (1-otherDomainAffinity)*s.Rand()
}
