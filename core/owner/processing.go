package owner

import (
	"math"
	"time"
)

const (
	// processingHalfLife is the half-life of the recorded responses of a
	// target.
	processingHalfLife = 6 * time.Second
	// learnedHalfLife is that of what hosts have learned, which follows changes by itself.
	learnedHalfLife = 1500 * time.Millisecond
	// minLearnedResponses is the number of responses from which it is used.
	minLearnedResponses = 1.0
	// minLearnedChange is the factor from which it counts instead of the mean. The mean of all
	// responses is steadier, and keys are not to move for less.
	minLearnedChange = 2.0
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
	// LearnedSeconds is the processing time of one request, and LearnedLimit the number of
	// requests, up to its slots, that the target runs at a time without becoming slow, as the
	// host has learned them. They are 0 if it has not, or does not do so.
	LearnedSeconds float64 `cbor:"5,keyasint,omitempty"`
	LearnedLimit   float64 `cbor:"6,keyasint,omitempty"`
	// learned holds what hosts have learned, by their numbers of responses.
	learned learnedStats
}

// learnedStats are what hosts have learned of a target, weighted by their responses.
type learnedStats struct {
	responses, seconds, limit float64
}

func (l *learnedStats) add(stats ProcessingStats) {
	if stats.LearnedSeconds > 0 {
		l.responses += stats.Responses
		l.seconds += stats.Responses * stats.LearnedSeconds
		l.limit += stats.Responses * stats.LearnedLimit
	}
}

func (l *learnedStats) decay(factor float64) {
	l.responses *= factor
	l.seconds *= factor
	l.limit *= factor
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
		known.learned.add(stats)
		return
	}
	stats.learned.add(stats)
	stats.LearnedSeconds, stats.LearnedLimit = 0, 0
	targets[stats.Target] = &stats
}

// report returns the statistics as reported to a new leader.
func (s *ProcessingStats) report() ProcessingStats {
	stats := *s
	if n := s.learned.responses; n >= minLearnedResponses {
		stats.LearnedSeconds, stats.LearnedLimit = s.learned.seconds/n, s.learned.limit/n
	}
	stats.learned = learnedStats{}
	return stats
}

// decay reduces the weight of earlier responses.
func (t targetStats) decay(elapsed time.Duration) {
	factor := math.Exp2(-elapsed.Seconds() / processingHalfLife.Seconds())
	learnedFactor := math.Exp2(-elapsed.Seconds() / learnedHalfLife.Seconds())
	for _, targets := range t {
		for id, stats := range targets {
			stats.Responses *= factor
			stats.Seconds *= factor
			stats.learned.decay(learnedFactor)
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
	if learned, ok := l.learnedProcessingTime(service, stats); ok && max(learned/relative, relative/learned) > minLearnedChange {
		relative = learned
	}
	return min(max(relative, minRelativeProcessingTime), maxRelativeProcessingTime)
}

// learnedProcessingTime returns the processing time of a target per request as hosts have
// learned it, divided by the mean of its service, and whether they have.
func (l *Loads) learnedProcessingTime(service string, target *ProcessingStats) (float64, bool) {
	if target.learned.responses < minLearnedResponses {
		return 0, false
	}
	var all learnedStats
	for _, stats := range l.processing[service] {
		all.responses += stats.learned.responses
		all.seconds += stats.learned.seconds
	}
	return target.learned.seconds / target.learned.responses / (all.seconds / all.responses), true
}

// usableSlots returns the number of requests that a target runs at a time without becoming
// slow: its slots, or fewer if hosts have learned so.
func (l *Loads) usableSlots(service string, target Target) float64 {
	slots := float64(max(target.Slots, 1))
	stats := l.processing[service][target.Target]
	if stats == nil || stats.learned.responses < minLearnedResponses {
		return slots
	}
	return min(slots, max(stats.learned.limit/stats.learned.responses, 1))
}
