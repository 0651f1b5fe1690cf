package owner

// regionKeys is the number of adjacent keys that are judged together for a step.
const regionKeys = 128

// regionSteps tells which regions of adjacent keys have stepped.
type regionSteps struct {
	stepped [Keys / regionKeys]bool
	rule    stepRule
}

// load returns the load of a key: the recent one if its region or the key itself has stepped.
func (s *regionSteps) load(key uint16, rate keyRate) float64 {
	if s.stepped[key/regionKeys] {
		return rate.recent
	}
	return rate.load(s.rule)
}

// JudgeRegions sets whether a step also shows in the sum of the loads of adjacent keys. Many
// keys that become busy together, with a few requests a second each, show no step one by one.
func (l *Loads) JudgeRegions(on bool) {
	if l.byRegion == on {
		return
	}
	l.byRegion, l.rule = on, keyRule
	if on {
		l.rule = regionRule
	}
	l.forgetDerived()
}

// steppedRegions returns the regions of a service that have stepped, none if only single keys
// are judged.
func (l *Loads) steppedRegions(service string) *regionSteps {
	steps := &regionSteps{rule: l.rule}
	if !l.byRegion {
		return steps
	}
	var sums [Keys / regionKeys]keyRate
	for key, rate := range l.services[service] {
		sum := &sums[key/regionKeys]
		sum.steady += rate.steady
		sum.recent += rate.recent
	}
	for i, sum := range sums {
		steps.stepped[i] = sum.stepped(l.rule)
	}
	return steps
}
