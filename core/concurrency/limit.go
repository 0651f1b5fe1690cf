package concurrency

import (
	"math"
	"time"
)

const (
	// curveHalfLife is the time after which half of what was learned of the dependence on
	// the load is forgotten. It belongs to the target's software and changes seldom.
	curveHalfLife = 60 * time.Second
	// curveSamples is the same in responses at one load.
	curveSamples = 100.0
	// priorCurveSamples is the number of responses that the curve of the service counts as
	// in that of a target.
	priorCurveSamples = 30.0
	// minCurveSamples is the number of responses at a load, at all targets of the service,
	// from which they say something.
	minCurveSamples = 12.0
	// minLoss is the part of its throughput that a target must lose beyond a load for the
	// load to be its limit: less may come of what is not known of its queue.
	minLoss = 0.25
	// minSlowing is the least logarithm of the ratio of processing times at two loads that
	// counts as slowed by the load.
	minSlowing = 0.25
	// maxDepth is the limit for a target that no load has slowed, in requests per slot.
	maxDepth = 5.0
	// refusalHalfLife is the time after which the half of the effect of a refusal is over.
	refusalHalfLife = 2 * time.Second
)

// rounding is the difference of requests per slot that does not count.
const rounding = 1e-6

// loads are the upper bounds of the loads that are told apart, in requests per slot.
var loads = [...]float64{0.34, 0.67, 1, 1.34, 1.67, 2.34, 3.34, maxDepth}

// curve holds the logarithms of processing times, relative to those of the target at all
// loads, by load.
type curve [len(loads)]average

// loadIndex returns the index of the load at a number of requests per slot.
func loadIndex(depth float64) int {
	i := 0
	for i < len(loads)-1 && depth > loads[i]+rounding {
		i++
	}
	return i
}

func (c *curve) decay(elapsed time.Duration) {
	keep := math.Exp2(-float64(elapsed) / float64(curveHalfLife))
	for i := range c {
		c[i].sum *= keep
		c[i].weight *= keep
	}
}

// limit returns the number of requests in progress up to which the target stays fast: that
// beyond which it responds to fewer requests a second than with fewer in progress.
func (e *Estimator) limit(now time.Time) float64 {
	limit := e.loadLimit * e.slots
	if e.refusedTime.IsZero() || now.Sub(e.refusedTime) > 10*refusalHalfLife {
		return limit
	}
	weight := math.Exp2(-float64(now.Sub(e.refusedTime)) / float64(refusalHalfLife))
	refused := max(e.refusedAt-1, 1)
	return min(limit, refused+(limit-min(limit, refused))*(1-weight))
}

// learnLimit returns the limit per slot that the processing times by load show.
func (e *Estimator) learnLimit() float64 {
	best, limit, last := 0.0, maxDepth, 0.0
	for i := range loads {
		off, known := e.offAt(i)
		if !known {
			continue
		}
		throughput := min(loads[i], 1) * math.Exp(-off)
		switch {
		case throughput >= best:
			best, limit = throughput, maxDepth
		case limit == maxDepth && throughput < (1-minLoss)*best:
			limit = last
		}
		last = loads[i]
	}
	return limit
}

// offAt returns the logarithm of the processing time at a load, relative to that of the target,
// and whether it is known.
func (e *Estimator) offAt(i int) (off float64, known bool) {
	own, all := &e.atLoad[i], &e.service.atLoad[i]
	if own.weight+all.weight < minCurveSamples {
		return 0, false
	}
	return (own.sum + priorCurveSamples*all.mean()) / (own.weight + priorCurveSamples), true
}

// offByLoad returns how much of the logarithm of a processing time a load explains, compared
// to the lowest known one.
func (e *Estimator) offByLoad(load int) float64 {
	off, known := e.offAt(load)
	if !known {
		return 0
	}
	for i := range load {
		if lowest, known := e.offAt(i); known && off-lowest > minSlowing {
			return off - lowest
		} else if known {
			return 0
		}
	}
	return 0
}
