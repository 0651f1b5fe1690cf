package concurrency

import (
	"math"
	"time"
)

const (
	// initialProcessingTime is assumed of a service before its first response.
	initialProcessingTime = 200 * time.Millisecond
	// serviceSamples is the number of responses after which the weight of an earlier one has
	// halved in the mean of a service.
	serviceSamples = 100.0
	// initialSpread is the spread of the logarithms of processing times before the first
	// responses, minSpread the least one, spreadWeight the weight of one response.
	initialSpread = 0.6
	minSpread     = 0.2
	spreadWeight  = 0.01
	// normalDeviation is the standard deviation divided by the mean deviation.
	normalDeviation = 1.25
	// maxExcess bounds how much one response adds to the ratio of the mean to the median.
	maxExcess = 8.0
	// slowdownShare is the part of a request for which the slowdown that came with its
	// response is taken to have lasted.
	slowdownShare = 0.5
)

// Service is what the targets of a service have in common. It is not safe for concurrent use.
type Service struct {
	// log is the mean of the logarithms of the processing times in seconds, excess the mean
	// processing time divided by the one that log stands for.
	log, excess average
	// slowdown is the mean of what the targets say of their machines.
	slowdown average
	// processingTime is the mean time for a request that does not wait.
	processingTime time.Duration
	// spread is the standard deviation of the logarithms for one target.
	spread float64
	atLoad curve
}

// NewService returns a service without responses.
func NewService() *Service {
	s := &Service{spread: initialSpread, processingTime: initialProcessingTime}
	s.log.add(math.Log(initialProcessingTime.Seconds()), 1, serviceSamples)
	s.excess.add(1, 1, serviceSamples)
	return s
}

func (s *Service) record(measured, weight float64) {
	if s.excess.weight <= 1 {
		// The first response replaces the assumption.
		s.log = average{}
	}
	s.log.add(measured, weight, serviceSamples)
	s.excess.add(min(math.Exp(measured-s.log.mean()), maxExcess), weight, serviceSamples)
	s.processingTime = time.Duration(math.Exp(s.log.mean()) * s.excess.mean() * float64(time.Second))
}

// recordOff records how far a response was off the estimate of its target.
func (s *Service) recordOff(off, weight float64) {
	s.spread += spreadWeight * weight * (normalDeviation*math.Abs(off) - s.spread)
	s.spread = max(s.spread, minSpread)
}

// ProcessingTime returns the mean time for a request that does not wait.
func (s *Service) ProcessingTime() time.Duration { return s.processingTime }
