package placement

import "time"

const (
	// drainedWait is the time after which a request whose targets are all in drained failure
	// domains may be sent again. How long they are drained is not known.
	drainedWait = 2 * time.Second
	// drainedOwnerWait is the same for a request whose key is still owned in such a domain: the
	// leader moves it away.
	drainedOwnerWait = time.Second
)

// DrainedDomain is a failure domain whose targets get no requests because the operator drains it.
type DrainedDomain struct {
	Domain string
	// OwnersUntil is the time until which its targets still get requests for the keys that they
	// own. No other target can run them until the keys have moved.
	OwnersUntil time.Time
}

// drainedDomains holds the drained failure domains by name.
type drainedDomains map[string]DrainedDomain

// excludes reports whether a target gets no such request because its domain is drained.
func (d drainedDomains) excludes(t *Target, criteria Criteria, now time.Time) bool {
	drained, ok := d[t.entry.Domain]
	return ok && (criteria.Owner == "" || !now.Before(drained.OwnersUntil))
}

// SetDrainedDomains replaces the failure domains that are drained, and has waiting requests choose
// again.
func (s *Set) SetDrainedDomains(all []DrainedDomain) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drained = make(drainedDomains, len(all))
	for _, d := range all {
		s.drained[d.Domain] = d
	}
	for _, svc := range s.services {
		svc.notifyWaiters()
	}
	s.notifyChanged()
}

// DrainsDomain reports whether a failure domain is drained.
func (s *Set) DrainsDomain(domain string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.drained[domain]
	return ok
}

// IsDrained reports whether the owner of a request's key gets no such request because its failure
// domain is drained.
func (s *Set) IsDrained(criteria Criteria, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.targets[criteria.Owner]
	return t != nil && s.drained.excludes(t, criteria, now)
}

// DrainWait returns the time after which a request that was refused as Drained may be sent again.
func DrainWait(criteria Criteria) time.Duration {
	if criteria.Owner != "" {
		return drainedOwnerWait
	}
	return drainedWait
}

// drainState is what drained domains mean for a choice among several targets.
type drainState struct {
	domains drainedDomains
	// excluded reports that a target was excluded by its domain, others that one was not.
	excluded, others bool
}

// add adds a target and reports whether it is excluded.
func (d *drainState) add(t *Target, criteria Criteria, now time.Time) bool {
	if d.domains.excludes(t, criteria, now) {
		d.excluded = true
		return true
	}
	d.others = true
	return false
}

// decides reports whether the request has no target because of drained domains alone.
func (d *drainState) decides() bool { return d.excluded && !d.others }
