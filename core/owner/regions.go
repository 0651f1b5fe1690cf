package owner

// regionKeys is the number of adjacent keys that are judged together for a step.
const regionKeys = 128

// maxLoadScale bounds the scale of the loads of a region.
const maxLoadScale = 32.0

// regionSteps tells which regions of adjacent keys have stepped.
type regionSteps struct {
	rule    stepRule
	stepped [Keys / regionKeys]bool
	// scales holds the recent load of each region divided by the steady one. Regions without a
	// step have that of all such regions together, 1 if that has not stepped either.
	scales [Keys / regionKeys]float64
}

// load returns the load of a key. That of a key without a step of its own follows the steps of
// its region: what is known of the key alone is little.
func (s *regionSteps) load(key uint16, rate keyRate) float64 {
	region := key / regionKeys
	scaled := rate.steady * s.scales[region]
	switch {
	case rate.stepped(s.rule):
		return rate.recent
	case s.stepped[region]:
		return (rate.recent + scaled) / 2
	}
	return scaled
}

// scale returns the recent load divided by the steady one, 1 if it has not stepped.
func (r keyRate) scale(rule stepRule) float64 {
	if r.steady <= 0 || !r.stepped(rule) {
		return 1
	}
	return min(max(r.recent/r.steady, 1/maxLoadScale), maxLoadScale)
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
	var sums [Keys / regionKeys]keyRate
	if l.byRegion {
		for key, rate := range l.services[service] {
			if !rate.stepped(l.rule) {
				sums[key/regionKeys].add(rate)
			}
		}
	}
	var others keyRate
	for i, sum := range sums {
		steps.stepped[i] = sum.stepped(l.rule)
		if !steps.stepped[i] {
			others.add(sum)
		}
	}
	for i, sum := range sums {
		if !steps.stepped[i] {
			sum = others
		}
		steps.scales[i] = sum.scale(l.rule)
	}
	return steps
}

func (r *keyRate) add(other keyRate) {
	r.steady += other.steady
	r.recent += other.recent
}
