package owner

import (
	"math"
	"time"
)

const (
	// paceHalfLife is the time in which the memory of a target's answers halves.
	paceHalfLife = 6 * time.Second
	// usualAnswers is the number of answers at the mean of its service that a
	// target's pace begins with.
	usualAnswers = 4.0
	// leastPace and mostPace bound a target's pace.
	leastPace = 0.4
	mostPace  = 4.0
	// leastAnswers is the number of remembered answers at which a target is
	// forgotten.
	leastAnswers = 0.05
)

// ProcessingStats is what a host saw of a target's answers.
type ProcessingStats struct {
	Service   string  `cbor:"1,keyasint"`
	Target    string  `cbor:"2,keyasint"`
	Responses float64 `cbor:"3,keyasint"`
	// Seconds is the time that the answers took, without their time in the
	// target's queue.
	Seconds float64 `cbor:"4,keyasint"`
}

// paces are the remembered answers of targets, by service and target.
type paces map[string]map[string]*ProcessingStats

func (p paces) add(w ProcessingStats) {
	targets := p[w.Service]
	if targets == nil {
		targets = make(map[string]*ProcessingStats)
		p[w.Service] = targets
	}
	if known := targets[w.Target]; known != nil {
		known.Responses += w.Responses
		known.Seconds += w.Seconds
		return
	}
	targets[w.Target] = &w
}

// age lets old answers fade.
func (p paces) age(elapsed time.Duration) {
	keep := math.Exp2(-elapsed.Seconds() / paceHalfLife.Seconds())
	for _, targets := range p {
		for id, w := range targets {
			w.Responses *= keep
			w.Seconds *= keep
			if w.Responses < leastAnswers {
				delete(targets, id)
			}
		}
	}
}

// RelativeProcessingTime returns how long a target takes for a request, over the mean of its
// service. It answers targets that differ in speed or turn slow: they get fewer
// keys.
func (l *Loads) RelativeProcessingTime(service, target string) float64 {
	var all ProcessingStats
	for _, w := range l.paces[service] {
		all.Responses += w.Responses
		all.Seconds += w.Seconds
	}
	here := l.paces[service][target]
	if here == nil || all.Seconds <= 0 {
		return 1
	}
	mean := all.Seconds / all.Responses
	pace := (here.Seconds + usualAnswers*mean) / (here.Responses + usualAnswers) / mean
	return min(max(pace, leastPace), mostPace)
}
