package placement

import (
	"maps"
	"time"

	"pineturn/core/clock"
	"pineturn/core/owner"
)

// rests holds the times until which targets have asked for no requests, by incarnation. A
// target may be removed and come back within its rest.
type rests map[owner.Incarnation]time.Time

// ObserveRest records that a target wants no requests from this host until a time. An
// earlier time that it has named does not shorten a later one.
func (s *Set) ObserveRest(id string, until, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.targets[id]
	if t == nil {
		return
	}
	t.restUntil = clock.Later(t.restUntil, until)
	maps.DeleteFunc(s.rests, func(_ owner.Incarnation, until time.Time) bool { return !now.Before(until) })
	s.rests[owner.Incarnation{Target: id, Born: t.entry.Born}] = t.restUntil
	s.service(t.entry.Service).notifyWaiters()
}

// resting reports whether the target has asked for no requests now.
func (t *Target) resting(now time.Time) bool { return now.Before(t.restUntil) }

// restState is what rests mean for a choice among several targets.
type restState struct {
	// restEnd is the end of the rest that ends first, backoffEnd that of the backoff of
	// another target; zero for none.
	restEnd, backoffEnd time.Time
}

// add adds a target and reports whether it rests.
func (r *restState) add(t *Target, now time.Time) bool {
	if !t.resting(now) {
		if now.Before(t.backoffUntil) {
			r.backoffEnd = earliest(r.backoffEnd, t.backoffUntil)
		}
		return false
	}
	r.restEnd = earliest(r.restEnd, t.restUntil)
	return true
}

// decides reports whether a request can only be sent after a rest.
func (r *restState) decides() bool {
	return !r.restEnd.IsZero() && (r.backoffEnd.IsZero() || r.restEnd.Before(r.backoffEnd))
}

// earliest returns the earlier one of two times, of which a zero one does not count.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() {
		return b
	}
	return clock.Earlier(a, b)
}

// SendWait returns the time until this host may send a request to one of the targets whose
// limits or rests keep it from doing so.
func (s *Set) SendWait(criteria Criteria, now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	shortest := time.Hour
	for _, t := range s.service(criteria.Service).targets {
		if !t.serves(criteria, now) || s.drained.excludes(t, criteria, now) || !t.resting(now) && !s.limited(t, now) {
			continue
		}
		shortest = min(shortest, max(s.limitWait(t, now), t.restUntil.Sub(now)))
	}
	return shortest
}
