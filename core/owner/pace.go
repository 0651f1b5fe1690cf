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

// Work is what a host saw of a target's answers.
type Work struct {
	Service string  `cbor:"1,keyasint"`
	Target  string  `cbor:"2,keyasint"`
	Answers float64 `cbor:"3,keyasint"`
	// Seconds is the time that the answers took, without their time in the
	// target's queue.
	Seconds float64 `cbor:"4,keyasint"`
}

// work is the remembered answers of a target or of a service.
type work struct {
	answers float64
	seconds float64
}

func (w *work) add(o work) {
	w.answers += o.answers
	w.seconds += o.seconds
}

// paces are the times of targets' answers, by service.
type paces map[string]map[string]*work

func (p paces) add(w Work) {
	targets := p[w.Service]
	if targets == nil {
		targets = make(map[string]*work)
		p[w.Service] = targets
	}
	if targets[w.Target] == nil {
		targets[w.Target] = &work{}
	}
	targets[w.Target].add(work{answers: w.Answers, seconds: w.Seconds})
}

// age lets old answers fade.
func (p paces) age(elapsed time.Duration) {
	keep := math.Exp2(-elapsed.Seconds() / paceHalfLife.Seconds())
	for _, targets := range p {
		for id, w := range targets {
			w.answers *= keep
			w.seconds *= keep
			if w.answers < leastAnswers {
				delete(targets, id)
			}
		}
	}
}

// Pace returns how long a target takes for a request, over the mean of its
// service. It answers targets that differ in speed or turn slow: they get fewer
// keys.
func (l *Loads) Pace(service, target string) float64 {
	var all work
	for _, w := range l.paces[service] {
		all.add(*w)
	}
	here := l.paces[service][target]
	if here == nil || all.seconds <= 0 {
		return 1
	}
	mean := all.seconds / all.answers
	pace := (here.seconds + usualAnswers*mean) / (here.answers + usualAnswers) / mean
	return min(max(pace, leastPace), mostPace)
}
