package report

import (
	"slices"
)

// loads is the load requested in a period by target and by key, in nanoseconds of
// service time. Only the ratios of loads are reported.
type loads struct {
	targets map[string]int64
	keys    map[string]int64
	total   int64
}

func newLoads() *loads {
	return &loads{targets: map[string]int64{}, keys: map[string]int64{}}
}

func (l *loads) add(attempt Attempt) {
	work := max(attempt.WorkNs, 1)
	l.targets[attempt.Target] += work
	l.keys[attempt.Key] += work
	l.total += work
}

// imbalance returns the ratio of the largest load of a target to the mean load of
// count targets, and the lowest ratio that any assignment of the same keys could
// reach.
func (l *loads) imbalance(count int) (ratio, bound float64) {
	if l.total == 0 || count == 0 {
		return 0, 0
	}
	mean := float64(l.total) / float64(count)
	return float64(maxValue(l.targets)) / mean, max(1, float64(maxValue(l.keys))/mean)
}

func maxValue(table map[string]int64) int64 {
	maximum := int64(0)
	for _, value := range table {
		maximum = max(maximum, value)
	}
	return maximum
}

// targets returns the number of targets over which the mean load is computed.
func (c *Collector) targets(stats *serviceStats) int {
	if count, ok := c.info.Targets[stats.figures.Name]; ok {
		return count
	}
	return len(stats.runLoads.targets)
}

// fullWindows returns the windows without the last one if there are several: the
// run ends before the last window does.
func (c *Collector) fullWindows() []*windowStats {
	return c.windows[:max(len(c.windows)-1, min(len(c.windows), 1))]
}

func (c *Collector) imbalance(stats *serviceStats) Imbalance {
	count := c.targets(stats)
	var ratios []float64
	sum, bounds := 0.0, 0.0
	for _, window := range c.fullWindows() {
		l, ok := window.loads[stats.figures.Name]
		if !ok {
			continue
		}
		ratio, bound := l.imbalance(count)
		ratios = append(ratios, ratio)
		sum += ratio
		bounds += bound
	}
	result := Imbalance{Windows: len(ratios), Targets: count}
	if len(ratios) == 0 {
		return result
	}
	slices.Sort(ratios)
	result.Mean = sum / float64(len(ratios))
	result.Bound = bounds / float64(len(ratios))
	result.P95 = ratios[(len(ratios)-1)*95/100]
	result.Max = ratios[len(ratios)-1]
	result.WholeRun, result.WholeRunBound = stats.runLoads.imbalance(count)
	return result
}
