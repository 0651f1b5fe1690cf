package placement

import (
	"cmp"
	"iter"
	"slices"
	"time"

	"pineturn/core/ratelimit"
)

// withinRateLimit reports whether this host may send a request to a target now, as far as
// the limit goes that the target has named.
func (s *Set) withinRateLimit(t *Target, criteria Criteria, now time.Time) bool {
	for p, hosts := range s.pacers(t, now) {
		if criteria.Optional || p.Wait(now, hosts) > 0 || p.Yields(criteria.Rank, now) {
			return false
		}
	}
	return true
}

// pacers calls visit with the pacers of the limits that hold for a target, and the number of hosts
// that share each: the one that it has named, and that of a cold one.
func (s *Set) pacers(t *Target, now time.Time) iter.Seq2[*ratelimit.Pacer, int] {
	return func(visit func(*ratelimit.Pacer, int) bool) {
		if t.pacer.Limit().Named && !visit(&t.pacer, s.Hosts()) {
			return
		}
		if s.isCold(t, now) {
			visit(s.coldPacer(t, now), s.sharing(t))
		}
	}
}

// sharing returns the number of hosts that are taken to share the bound of a cold target while this
// one has no part of it.
func (s *Set) sharing(t *Target) int {
	if s.Sender(&t.entry) {
		return 1
	}
	return s.Hosts()
}

// limited reports whether a limit holds for a target.
func (s *Set) limited(t *Target, now time.Time) bool {
	return t.pacer.Limit().Named || s.isCold(t, now)
}

// limitWait returns the time until this host may send a request to a target, as far as limits
// go.
func (s *Set) limitWait(t *Target, now time.Time) time.Duration {
	wait := time.Duration(0)
	for p, hosts := range s.pacers(t, now) {
		wait = max(wait, p.Wait(now, hosts))
	}
	if s.isCold(t, now) && !t.cold.lost && !t.pacer.Limit().Named {
		wait = min(wait, t.cold.end.Sub(now))
	}
	return wait
}

// recordDemand counts a request for the limited target that it would be sent to without
// limits, if any.
func (s *Set) recordDemand(best, limited candidate, now time.Time) {
	if limited.choice.target != nil && (best.choice.target == nil || limited.cost < best.cost) {
		best = limited
	}
	if best.choice.target == nil {
		return
	}
	t := best.choice.target
	if t.pacer.Limit().Named {
		t.pacer.RecordDemand(now)
	}
	if s.isCold(t, now) {
		s.recordColdDemand(t, now)
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
	for _, t := range s.targets {
		s.informOfColdShare(t, now)
	}
}

// informOfLimit tells a target's state what the leader has said of its limit.
func (s *Set) informOfLimit(t *Target, now time.Time) {
	if s.shares.Inform(t.entry.ID, &t.pacer, now) {
		s.service(t.entry.Service).notifyWaiters()
	}
}

// informOfColdShare tells a cold target's state what the leader has said of this host's part.
func (s *Set) informOfColdShare(t *Target, now time.Time) {
	if s.isCold(t, now) && s.shares.Inform(coldName(&t.entry), s.coldPacer(t, now), now) {
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
		if s.isCold(t, now) {
			if o, ok := s.coldPacer(t, now).Observation(coldName(&t.entry), now, s.sharing(t)); ok {
				known = append(known, o)
			}
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

// Limit returns the limit of a target, the lower one of what it has named and what it bears
// while it is cold.
func (s *Set) Limit(id string, now time.Time) ratelimit.Limit {
	s.mu.Lock()
	defer s.mu.Unlock()
	var lowest ratelimit.Limit
	if t := s.targets[id]; t != nil {
		for p := range s.pacers(t, now) {
			if limit := p.Limit(); !lowest.Named || limit.PerSecond < lowest.PerSecond {
				lowest = limit
			}
		}
	}
	return lowest
}
