package owner

import (
	"slices"
	"time"
)

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

// UnaccountedGrant names the keys of a grant whose order has ended without an outcome.
type UnaccountedGrant struct {
	_           struct{} `cbor:",toarray"`
	Service     string
	First, Last uint16
}

// UnaccountedGrants returns the grants of this leader that targets may still apply. It returns false
// if there may be others, of earlier epochs of this process.
func (l *Leader) UnaccountedGrants(now time.Time) ([]UnaccountedGrant, bool) {
	var grants []UnaccountedGrant
	add := func(service string, r *rangeState) {
		if r.mayBeAppliedLate(now) {
			grants = append(grants, UnaccountedGrant{Service: service, First: r.first, Last: r.last})
		}
	}
	for service, ranges := range l.services {
		for _, r := range ranges {
			add(service, r)
			for _, f := range r.former {
				add(service, f.state)
			}
		}
	}
	return grants, l.unaccounted.IsZero() || !now.Before(l.unaccounted.Add(leaseExpiryBound))
}

// mayBeAppliedLate reports whether the owner may still apply a grant of this leader without an outcome.
func (r *rangeState) mayBeAppliedLate(now time.Time) bool {
	return !r.unaccounted.IsZero() && now.Before(r.unaccounted.Add(leaseExpiryBound))
}

// releaseProvesFree reports whether the owner of a range, after the answer to a release,
// can apply no grant any more that was sent before.
func (l *Leader) releaseProvesFree(r *rangeState, now time.Time) bool {
	if r.mayBeAppliedLate(now) {
		return false
	}
	return l.predecessorsRefused(r, now)
}

// predecessorsRefused reports whether the owner of a range refuses all grants of earlier
// leaders, or none can be applied any more.
func (l *Leader) predecessorsRefused(r *rangeState, now time.Time) bool {
	if !r.inherited || l.predecessorsAccounted || l.accountedFor(r) || !now.Before(l.predecessorLeasesUntil) {
		return true
	}
	return l.refusesPredecessors(r)
}

// refusesPredecessors reports whether an incarnation of the owner has accepted a grant of this leader when earlier
// leaders could open no connections to targets any more. It refuses their grants, and they reach no later one. A grant
// that was accepted before is no proof: another incarnation may have started since, and accepted their connection.
func (l *Leader) refusesPredecessors(r *rangeState) bool {
	return r.granted && !r.acceptedAt.Before(l.predecessorNewLeasesUntil)
}

// accountedFor reports whether all earlier leaders have stopped and have named the grants that targets
// may still apply, and none of these was for a key of the range, at whichever target.
func (l *Leader) accountedFor(r *rangeState) bool {
	return l.noPredecessor && !slices.ContainsFunc(l.predecessors, func(p LeaderProcess) bool {
		grants, stopped := l.stopped[p.Incarnation]
		return !stopped || slices.ContainsFunc(grants, func(g UnaccountedGrant) bool {
			return g.Service == r.service && g.First <= r.last && g.Last >= r.first
		})
	})
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
