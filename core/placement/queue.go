package placement

// EnterQueue reports whether a request may wait for capacity at the owner of its key, or
// at any target of the service without one, and counts it until LeaveQueue if so. Each
// response to this host frees capacity for about one of this host's requests, so no more
// may wait than are in flight there: the others would wait in vain.
func (s *Set) EnterQueue(service, owner string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	waiting, inFlight := s.queue(service, owner)
	if waiting == nil || *waiting >= inFlight {
		return false
	}
	*waiting++
	return true
}

// LeaveQueue ends the wait of a request that EnterQueue has admitted.
func (s *Set) LeaveQueue(service, owner string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if waiting, _ := s.queue(service, owner); waiting != nil && *waiting > 0 {
		*waiting--
	}
}

// queue returns the count of the requests that wait for an owner or, without one, for any
// target of a service, and the number of requests in flight there. The count is nil if
// the owner is unknown.
func (s *Set) queue(service, owner string) (waiting *int, inFlight int) {
	if owner != "" {
		if t := s.targets[owner]; t != nil {
			return &t.waiting, t.inFlight
		}
		return nil, 0
	}
	svc := s.service(service)
	for _, t := range svc.targets {
		inFlight += t.inFlight
	}
	return &svc.waiting, inFlight
}
