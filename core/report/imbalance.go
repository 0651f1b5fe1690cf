package report

import (
	"slices"
)

// loads is the work done in a span of time, in nanoseconds.
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

// imbalance returns the largest load of a target over the mean of count
// targets, and the least that any assignment of the same keys could reach.
func (l *loads) imbalance(count int) (ratio, bound float64) {
	if l.total == 0 || count == 0 {
		return 0, 0
	}
	mean := float64(l.total) / float64(count)
	return float64(largest(l.targets)) / mean, max(1, float64(largest(l.keys))/mean)
}

func largest(table map[string]int64) int64 {
	most := int64(0)
	for _, value := range table {
		most = max(most, value)
	}
	return most
}

// targets is how many targets the mean counts.
func (c *Collector) targets(t *tally) int {
	if count, ok := c.info.Targets[t.figures.Name]; ok {
		return count
	}
	return len(t.whole.targets)
}

// wholeSeconds leaves out the last window, which the run's end cut short.
func (c *Collector) wholeSeconds() []*second {
	return c.seconds[:max(len(c.seconds)-1, min(len(c.seconds), 1))]
}

func (c *Collector) imbalance(t *tally) Imbalance {
	count := c.targets(t)
	var ratios []float64
	sum, bounds := 0.0, 0.0
	for _, sec := range c.wholeSeconds() {
		l, ok := sec.loads[t.figures.Name]
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
	result.Whole, result.WholeBound = t.whole.imbalance(count)
	return result
}
