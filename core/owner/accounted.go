package owner

import "time"

// A target may apply a grant without an outcome late, after it has answered a release of
// the same keys. It refuses the grant only if it has accepted one with a higher fencing
// token. So the answer to a release proves a range free only if no earlier grant to the
// target can be applied any more.

// UnaccountedUntil returns the time until which a target may apply a grant that ended
// with this outcome, or the zero time if the outcome shows what became of it.
func (o Outcome) UnaccountedUntil(end time.Time) time.Time {
	if o.Done || o.Fenced || o.Unsent || o.Refused || o.TargetEnded {
		return time.Time{}
	}
	return end.Add(leaseExpiryBound)
}

// UnaccountedUntil returns the time from which no target can apply a grant of this leader
// whose order has ended without an outcome. It is zero if there is none.
func (l *Leader) UnaccountedUntil() time.Time {
	last := l.lastUnaccounted()
	if last.IsZero() {
		return last
	}
	return last.Add(leaseExpiryBound)
}

// releaseProvesFree reports whether the owner of a range, after the answer to a release,
// can apply no grant any more that was sent before.
func (l *Leader) releaseProvesFree(r *rangeState, now time.Time) bool {
	if !r.unaccounted.IsZero() && now.Before(r.unaccounted.Add(leaseExpiryBound)) {
		return false
	}
	return l.predecessorsRefused(r, now)
}

// predecessorsRefused reports whether the owner of a range refuses all grants of earlier
// leaders, or none can be applied any more. A grant that the owner accepted before
// predecessorNewLeasesUntil is no proof: another incarnation may have started since, and
// a grant of an earlier leader may have reached that.
func (l *Leader) predecessorsRefused(r *rangeState, now time.Time) bool {
	if !r.inherited || l.predecessorsAccounted || !now.Before(l.predecessorLeasesUntil) {
		return true
	}
	fenced := !r.acceptedAt.Before(l.predecessorNewLeasesUntil)
	return r.granted && (fenced || !now.Before(l.predecessorNewLeasesUntil.Add(leaseExpiryBound)))
}

// mayMove reports whether a range can be moved without a wait for grants that its owner
// may apply late. Moves that can wait are not started before that.
func (l *Leader) mayMove(r *rangeState, now time.Time) bool {
	return !r.inFlight && len(r.former) == 0 && l.releaseProvesFree(r, now)
}

// unconfirmed reports whether an earlier leader may have granted the range to its owner,
// and the owner has not been sent a grant of this leader without success. A draining owner
// is granted such a range too: it refuses the earlier leaders from then on, so that it can
// release the range.
func (r *rangeState) unconfirmed() bool {
	return r.inherited && !r.granted && r.failingSince.IsZero()
}

// mayMoveSoon reports whether the owner of a range responds, or has yet to be sent its
// first grant, and a grant to it allows a move without a wait.
func (l *Leader) mayMoveSoon(r *rangeState, targets map[string]Target, now time.Time) bool {
	t, known := targets[r.owner.Target]
	return known && t.Born == r.owner.Born && (r.renewable || r.unconfirmed()) && !l.releaseProvesFree(r, now)
}
