package owner

import (
	"math"
	"time"
)

const (
	// processingHalfLife is the half-life of the recorded responses of a
	// target.
	processingHalfLife = 6 * time.Second
	// priorResponses is the number of responses at the mean of the service with
	// which the processing time of each target is initialised.
	priorResponses = 4.0
	// minRelativeProcessingTime and maxRelativeProcessingTime bound the result
	// of RelativeProcessingTime.
	minRelativeProcessingTime = 0.4
	maxRelativeProcessingTime = 4.0
	// minTrackedResponses is the number of recorded responses below which a
	// target is no longer tracked.
	minTrackedResponses = 0.05
)

// ProcessingStats holds the number of responses of a target that a host
// received, and their total processing time.
type ProcessingStats struct {
	Service   string  `cbor:"1,keyasint"`
	Target    string  `cbor:"2,keyasint"`
	Responses float64 `cbor:"3,keyasint"`
	// Seconds is the time that the responses took, excluding the time in the
	// queue of the target.
	Seconds float64 `cbor:"4,keyasint"`
}

// targetStats holds the recorded responses of targets, by service and target.
type targetStats map[string]map[string]*ProcessingStats

func (t targetStats) add(stats ProcessingStats) {
	targets := t[stats.Service]
	if targets == nil {
		targets = make(map[string]*ProcessingStats)
		t[stats.Service] = targets
	}
	if known := targets[stats.Target]; known != nil {
		known.Responses += stats.Responses
		known.Seconds += stats.Seconds
		return
	}
	targets[stats.Target] = &stats
}

// decay reduces the weight of earlier responses.
func (t targetStats) decay(elapsed time.Duration) {
	factor := math.Exp2(-elapsed.Seconds() / processingHalfLife.Seconds())
	for _, targets := range t {
		for id, stats := range targets {
			stats.Responses *= factor
			stats.Seconds *= factor
			if stats.Responses < minTrackedResponses {
				delete(targets, id)
			}
		}
	}
}

// assumedProcessingTime is the mean processing time of a service without recorded
// responses.
const assumedProcessingTime = 100 * time.Millisecond

// total returns the recorded responses of all targets of a service.
func (t targetStats) total(service string) ProcessingStats {
	var all ProcessingStats
	for _, s := range t[service] {
		all.Responses += s.Responses
		all.Seconds += s.Seconds
	}
	return all
}

// meanProcessingTime returns the mean processing time of a service's requests.
func (l *Loads) meanProcessingTime(service string) time.Duration {
	all := l.processing.total(service)
	if all.Seconds <= 0 {
		return assumedProcessingTime
	}
	return time.Duration(all.Seconds / all.Responses * float64(time.Second))
}

// RelativeProcessingTime returns the processing time of a target per request,
// divided by the mean of its service. With it, targets that are slower than
// others or become slow get fewer keys. It returns 1 for a target without
// responses.
func (l *Loads) RelativeProcessingTime(service, target string) float64 {
	all := l.processing.total(service)
	stats := l.processing[service][target]
	if stats == nil || all.Seconds <= 0 {
		return 1
	}
	mean := all.Seconds / all.Responses
	relative := (stats.Seconds + priorResponses*mean) / (stats.Responses + priorResponses) / mean
	return min(max(relative, minRelativeProcessingTime), maxRelativeProcessingTime)
}
