package ownerqueue

import (
	"maps"
	"time"
)

const (
	// maxRefused bounds the refused requests that are remembered.
	maxRefused = 4096
	// maxEarly is how long before the time that it was told a caller may return.
	maxEarly = 20 * time.Millisecond
)

// Refusals remembers requests that were refused, by what is the same in each attempt of a caller, so
// that one that returns is known: its objective counts from its first attempt. It is not safe for
// concurrent use.
type Refusals[ID comparable] struct {
	known map[ID]refusal
	// sweepAt is when the first of the refusals left by the last sweep is forgotten.
	sweepAt time.Time
}

// refusal is what is known of a refused request.
type refusal struct {
	first, returnAt, forgetAt time.Time
}

// Record records that a request was refused, the first time that it arrived, the time at which its
// caller was told to return, and that until which its caller may return at all.
func (r *Refusals[ID]) Record(id ID, first, returnAt, until time.Time, now time.Time) {
	if r.known == nil {
		r.known = make(map[ID]refusal)
	}
	if len(r.known) >= maxRefused && !now.Before(r.sweepAt) {
		r.sweep(now)
	}
	if len(r.known) < maxRefused {
		r.known[id] = refusal{first: first, returnAt: returnAt, forgetAt: until}
	}
}

// sweep forgets the refusals of which the time is over.
func (r *Refusals[ID]) sweep(now time.Time) {
	r.sweepAt = time.Time{}
	maps.DeleteFunc(r.known, func(_ ID, old refusal) bool {
		if !now.Before(old.forgetAt) {
			return true
		}
		if r.sweepAt.IsZero() || old.forgetAt.Before(r.sweepAt) {
			r.sweepAt = old.forgetAt
		}
		return false
	})
}

// Take returns when a request that arrives has arrived first, and whether it was refused and
// returns when it was told to. It forgets the refusal.
func (r *Refusals[ID]) Take(id ID, now time.Time) (first time.Time, returned bool) {
	old, ok := r.known[id]
	delete(r.known, id)
	if !ok || !now.Before(old.forgetAt) {
		return now, false
	}
	return old.first, !now.Add(maxEarly).Before(old.returnAt)
}
