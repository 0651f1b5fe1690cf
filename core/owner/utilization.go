package owner

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

// processingTimeWeight is the power of a target's relative processing time by which its
// utilization grows. Above 1, slow targets get less load than their slots could serve:
// there, a request that waits for another misses its objective first.
const processingTimeWeight = 1.3

// utilization is the utilization of the assignable targets of a service: the load of
// each in slots that it keeps busy, divided by its slots, and weighted by its
// processing time. Until responses have been recorded, only its ratios mean something.
type utilization struct {
	byTarget map[Incarnation]float64
	// perRequest is what one request per second adds to it.
	perRequest map[Incarnation]float64
}

func (l *Leader) utilization(service string, assignable []Target, loads *Loads) utilization {
	u := utilization{byTarget: make(map[Incarnation]float64, len(assignable)), perRequest: make(map[Incarnation]float64, len(assignable))}
	mean := loads.meanProcessingTime(service).Seconds()
	weight := func(target string) float64 {
		return math.Pow(loads.RelativeProcessingTime(service, target), processingTimeWeight)
	}
	for _, target := range assignable {
		u.byTarget[target.Incarnation] = 0
		u.perRequest[target.Incarnation] = max(mean*weight(target.Target)/float64(max(target.Slots, 1)), perLimitedRequest(target))
	}
	for _, r := range l.services[service] {
		u.addLoad(r.owner, loads.RangeLoad(service, r.first, r.last))
	}
	return u
}

// minLimit is the lowest limit that counts as such, in requests a second.
const minLimit = 0.05

// perLimitedRequest returns what one request a second adds to the utilization of a target by
// the limit that it has named; 0 without one.
func perLimitedRequest(target Target) float64 {
	if !target.Limit.Named {
		return 0
	}
	return 1 / max(target.Limit.PerSecond, minLimit)
}

// addLoad adds load in requests per second to a target. A negative load is
// subtracted.
func (u utilization) addLoad(target Incarnation, load float64) {
	if _, assignable := u.byTarget[target]; assignable {
		u.byTarget[target] += load * u.perRequest[target]
	}
}

// mean returns the mean utilization. A target counts with 1 at most, or with the median
// if that is more: load that it can't serve, of a single hot key, is no load that the
// others should take over.
func (u utilization) mean() float64 {
	all := slices.Sorted(maps.Values(u.byTarget))
	highest := max(all[len(all)/2], 1)
	sum := 0.0
	for _, used := range all {
		sum += min(used, highest)
	}
	return sum / float64(len(all))
}

// leastUtilizedWith returns the target that has the lowest utilization with additional
// load, in requests per second. A fast target thus goes before a slow one.
func (u utilization) leastUtilizedWith(load float64, targets []Target) Target {
	with := func(t Target) float64 { return u.byTarget[t.Incarnation] + load*u.perRequest[t.Incarnation] }
	return slices.MinFunc(targets, func(a, b Target) int { return cmp.Compare(with(a), with(b)) })
}
