package placement

import "time"

// OwnerLoad is what this host knows of the load of a target.
type OwnerLoad struct {
	// Slots is the number of requests that the target runs concurrently.
	Slots int
	// OtherHosts is the number of other hosts' requests there.
	OtherHosts float64
	// ProcessingTime is how long it takes for a request that does not wait.
	ProcessingTime time.Duration
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
	load := OwnerLoad{Slots: t.entry.Slots, ProcessingTime: s.ownerProcessingTime(t, now)}
	if !t.reported.IsZero() {
		load.OtherHosts = t.otherHostsLoad * decay(now.Sub(t.reported), reportHalfLife)
	}
	return load, true
}

// ownerProcessingTime returns the processing time of a target by the mean of its responses. What was
// learned of a target is not used for owners of keys.
func (s *Set) ownerProcessingTime(t *Target, now time.Time) time.Duration {
	return time.Duration(float64(s.service(t.entry.Service).meanProcessingTime) * t.processingTimeFactor(now))
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

// DomainSlots returns the number of slots of the targets of a service in this host's failure
// domain.
func (s *Set) DomainSlots(service string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	slots := 0
	for _, t := range s.service(service).targets {
		if t.entry.Domain == s.domain {
			slots += t.entry.Slots
		}
	}
	return slots
}
