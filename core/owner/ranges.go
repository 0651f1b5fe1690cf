package owner

import (
	"slices"
	"time"

	"pineturn/core/clock"
)

// Move changes the owner of a range of keys, splitting the stored ranges at its ends.
// It returns false and changes nothing if part of the range has an order in
// flight or a former owner.
func (l *Leader) Move(service string, first, last uint16, to Incarnation, now time.Time) bool {
	for _, r := range l.services[service] {
		if r.last >= first && r.first <= last && (r.inFlight || len(r.former) > 0) {
			return false
		}
	}
	l.split(service, first)
	if last < Keys-1 {
		l.split(service, last+1)
	}
	for _, r := range l.services[service] {
		if r.first >= first && r.last <= last && r.owner != to {
			l.changeOwner(r, to, now)
		}
	}
	return true
}

func (l *Leader) changeOwner(r *rangeState, to Incarnation, now time.Time) {
	previous := *r
	holdsNothing := r.lastSent.IsZero() && !r.inherited || r.ownerEnded
	*r = rangeState{service: r.service, first: r.first, last: r.last, owner: to, fencingToken: l.nextFencingToken(), inherited: r.inherited && !r.granted, confirmed: r.confirmed, movedAt: now}
	if !holdsNothing {
		r.former = []*formerOwner{{state: &previous}}
	}
	l.unsaved = true
}

// Merge joins adjacent ranges of a service that have the same owner and nothing under way,
// so that the record does not grow with each move. The joined range keeps the higher
// fencing token: its owner has accepted it for one part, and a lower one for the others.
func (l *Leader) Merge(service string) {
	ranges := l.services[service]
	for i := len(ranges) - 1; i > 0; i-- {
		left, right := ranges[i-1], ranges[i]
		if left.owner != right.owner || !left.idle() || !right.idle() {
			continue
		}
		left.absorb(right)
		ranges = slices.Delete(ranges, i, i+1)
		l.unsaved = true
	}
	l.services[service] = ranges
}

// idle reports whether the owner holds the range under a lease of this leader, and
// nothing is under way for it.
func (r *rangeState) idle() bool {
	return r.granted && r.renewable && r.persisted && !r.inFlight && !r.ownerEnded && len(r.former) == 0 && r.failingSince.IsZero()
}

// absorb extends the range by the adjacent one after it. Where their states differ, the
// result is the one that proves less.
func (r *rangeState) absorb(right *rangeState) {
	r.last = right.last
	r.fencingToken = max(r.fencingToken, right.fencingToken)
	r.inherited = r.inherited || right.inherited
	r.confirmed = r.confirmed && right.confirmed
	r.lastSent = clock.Later(r.lastSent, right.lastSent)
	r.connectedAt = clock.Later(r.connectedAt, right.connectedAt)
	r.ranAt = clock.Earlier(r.ranAt, right.ranAt)
	r.lastGranted = clock.Earlier(r.lastGranted, right.lastGranted)
	r.unaccounted = clock.Later(r.unaccounted, right.unaccounted)
	r.acceptedAt = clock.Earlier(r.acceptedAt, right.acceptedAt)
	r.lastAttempt = clock.Earlier(r.lastAttempt, right.lastAttempt)
	r.movedAt = clock.Earlier(r.movedAt, right.movedAt)
}

// split divides the range that contains a key, so that a range starts at the
// key.
func (l *Leader) split(service string, at uint16) {
	ranges := l.services[service]
	for i, r := range ranges {
		if r.first >= at || r.last < at {
			continue
		}
		right := *r
		right.first = at
		r.last = at - 1
		l.services[service] = slices.Insert(ranges, i+1, &right)
		return
	}
}
