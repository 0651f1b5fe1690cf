package placement

import (
	"time"

	"pineturn/core/concurrency"
)

// OwnerLoad is what this host knows of the load of a target.
type OwnerLoad struct {
	// Slots is the number of requests that the target runs concurrently.
	Slots int
	// OtherHosts is the number of other hosts' requests there.
	OtherHosts float64
	// Estimate is what is known of how many requests it takes well, and how long it takes.
	concurrency.Estimate
}

// OwnerLoad returns the load of a target, as far as it is known by the target's own reports. It
// returns false if the target is not present.
func (s *Set) OwnerLoad(id string, now time.Time) (OwnerLoad, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.targets[id]
	if t == nil {
		return OwnerLoad{}, false
	}
	load := OwnerLoad{Slots: t.entry.Slots, Estimate: s.ownerEstimate(t, now)}
	if !t.reported.IsZero() {
		load.OtherHosts = t.otherHostsLoad * decay(now.Sub(t.reported), reportHalfLife)
	}
	return load, true
}

// ownerEstimate returns the limit of a choice and the mean processing time. What was learned of a
// target is not used for owners of keys.
func (s *Set) ownerEstimate(t *Target, now time.Time) concurrency.Estimate {
	processingTime := float64(s.service(t.entry.Service).meanProcessingTime) * t.processingTimeFactor(now)
	return concurrency.Estimate{Limit: idempotentMaxDepth * float64(t.entry.Slots), ProcessingTime: time.Duration(processingTime)}
}

// ObserveReport records the load that a target has reported in a response that another host has
// relayed.
func (s *Set) ObserveReport(id string, report Report, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t := s.targets[id]; t != nil {
		t.report(float64(max(0, report.others(Complete)-t.inFlight)), now)
	}
}
