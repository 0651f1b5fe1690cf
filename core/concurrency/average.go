package concurrency

import (
	"math"
	"time"
)

// average is a weighted average in which earlier values lose weight.
type average struct {
	sum, weight float64
}

// add adds a value of a weight of at most 1. The weight of earlier ones halves after a number
// of values of weight 1.
func (a *average) add(value, weight, halving float64) {
	keep := 1 - math.Ln2*weight/halving
	a.sum = a.sum*keep + value*weight
	a.weight = a.weight*keep + weight
}

func (a *average) decay(elapsed, halfLife time.Duration) {
	keep := math.Exp2(-float64(elapsed) / float64(halfLife))
	a.sum *= keep
	a.weight *= keep
}

// mean returns the average, 0 without values.
func (a *average) mean() float64 {
	if a.weight == 0 {
		return 0
	}
	return a.sum / a.weight
}
