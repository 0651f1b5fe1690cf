package placement

import (
	"cmp"
	"slices"
	"time"

	"pineturn/core/ratelimit"
)

// withinRateLimit reports whether this host may send a request to a target now, as far as
// the limit goes that the target has named.
func (s *Set) withinRateLimit(t *Target, criteria Criteria, now time.Time) bool {
	if !t.pacer.Limit().Named {
		return true
	}
	return !criteria.Optional && !t.pacer.Yields(criteria.Rank, now) && t.pacer.Wait(now, s.Hosts()) == 0
}

// recordDemand counts a request for the limited target that it would be sent to without
// limits, if any.
func recordDemand(best, limited candidate, now time.Time) {
	if limited.choice.target != nil && (best.choice.target == nil || limited.cost < best.cost) {
		best = limited
	}
	if best.choice.target != nil && best.choice.target.pacer.Limit().Named {
		best.choice.target.pacer.RecordDemand(now)
	}
}

// ObserveLimit records what a target has said of its limit in the response to a request
// that was sent at a time. It reports whether the limit has changed.
func (s *Set) ObserveLimit(id string, limit ratelimit.Limit, sentAt, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.targets[id]
	if t == nil || !t.pacer.Observe(limit, sentAt, now) {
		return false
	}
	s.limitsChanged = true
	s.service(t.entry.Service).notifyWaiters()
	return true
}

// ApplyLimits records what the leader has said of the limits of targets at a time.
func (s *Set) ApplyLimits(update ratelimit.Update, saidAt, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shares.Apply(update, saidAt)
	for _, share := range update.Shares {
		if t := s.targets[share.Target]; t != nil && !share.Limit.Named && t.pacer.Learn(share.Limit, saidAt.Add(-share.Age), now) {
			s.service(t.entry.Service).notifyWaiters()
		}
	}
	s.shares.Targets(func(id string) {
		if t := s.targets[id]; t != nil {
			s.informOfLimit(t, now)
		}
	})
}

// informOfLimit tells a target's state what the leader has said of its limit.
func (s *Set) informOfLimit(t *Target, now time.Time) {
	if s.shares.Inform(t.entry.ID, &t.pacer, now) {
		s.service(t.entry.Service).notifyWaiters()
	}
}

// Limits returns what this host reports of the limits of targets, by target.
func (s *Set) Limits(now time.Time) []ratelimit.Observation {
	s.mu.Lock()
	defer s.mu.Unlock()
	var known []ratelimit.Observation
	for id, t := range s.targets {
		if o, ok := t.pacer.Observation(id, now, s.Hosts()); ok {
			known = append(known, o)
		}
	}
	slices.SortFunc(known, func(a, b ratelimit.Observation) int { return cmp.Compare(a.Target, b.Target) })
	return known
}

// LimitedTargets returns the number of targets that have named a limit.
func (s *Set) LimitedTargets() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, t := range s.targets {
		if t.pacer.Limit().Named {
			n++
		}
	}
	return n
}

// TakeLimitsChanged reports whether a response has changed the limit of a target since the
// previous call.
func (s *Set) TakeLimitsChanged() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := s.limitsChanged
	s.limitsChanged = false
	return changed
}

// Limit returns the limit that a target has named.
func (s *Set) Limit(id string) ratelimit.Limit {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t := s.targets[id]; t != nil {
		return t.pacer.Limit()
	}
	return ratelimit.Limit{}
}
