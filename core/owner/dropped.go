package owner

import (
	"fmt"
	"slices"
	"time"

	"pineturn/core/clock"
)

// Reason is the reason why a former owner counts as holding nothing.
type Reason int

// Reasons, in the order in which they are tried.
const (
	// Ended: another target has answered an order at the address, or refused a release.
	Ended Reason = iota + 1
	// Released: the former owner has answered a release.
	Released
	// Expired: all leases have expired.
	Expired
	// Restarted: a later incarnation runs, and none was granted the keys.
	Restarted
)

// String returns the reason in lower case.
func (r Reason) String() string {
	switch r {
	case Ended:
		return "ended"
	case Released:
		return "released"
	case Expired:
		return "expired"
	case Restarted:
		return "restarted"
	}
	return fmt.Sprintf("reason %d", int(r))
}

// Dropped is a former owner of a range that no longer holds any of its keys.
type Dropped struct {
	Service     string
	First, Last uint16
	Owner       Incarnation
	// FencingToken is the token of the latest grant to the former owner.
	FencingToken int64
	Reason       Reason
}

// restartProvesFreeFrom returns the time from which a restart of the owner proves
// that none of its incarnations holds the range. Grants on a connection that the owner
// itself has accepted ended with it. Those on a connection that a later incarnation may
// have accepted start and renew leases of that one.
func (l *Leader) restartProvesFreeFrom(r *rangeState) time.Time {
	var at time.Time
	if !r.connectedAt.IsZero() {
		at = r.connectedAt.Add(leaseExpiryBound)
	}
	if r.connectedAt.After(r.ranAt) {
		at = r.lastSent.Add(leaseExpiryBound)
	}
	if r.inherited && !l.refusesPredecessors(r) {
		at = clock.Later(at, l.predecessorLeasesUntil)
	}
	return at
}

// expiresAt returns the time by which the owner's leases on a range have
// expired.
func (l *Leader) expiresAt(r *rangeState) time.Time {
	var expiry time.Time
	if !r.lastSent.IsZero() {
		expiry = r.lastSent.Add(leaseExpiryBound)
	}
	if r.inherited && !l.refusesPredecessors(r) {
		// An earlier leader may still renew the lease, or has started one at a later
		// incarnation of the owner that has not accepted a grant of this leader.
		expiry = clock.Later(expiry, l.predecessorLeasesUntil)
	}
	return expiry
}

// DropFormerOwners removes former owners that no longer hold any keys, and returns
// them. If there are any, the record has to be written.
func (l *Leader) DropFormerOwners(targets map[string]Target, now time.Time) []Dropped {
	if !now.Before(l.predecessorLeasesUntil) {
		l.predecessors = nil
		l.unsaved = l.unsaved || l.incomplete
		l.incomplete = false
	}
	var dropped []Dropped
	for service, ranges := range l.services {
		for _, r := range ranges {
			if !r.persisted {
				continue
			}
			r.former = slices.DeleteFunc(r.former, func(f *formerOwner) bool {
				reason, free := l.proofOfFree(r, f, targets, now)
				if !free {
					return false
				}
				if r.succeeds(f.state) {
					l.carryGrants(r, f.state)
				}
				dropped = append(dropped, Dropped{
					Service: service, First: r.first, Last: r.last, Owner: f.state.owner, FencingToken: f.state.fencingToken, Reason: reason,
				})
				return true
			})
		}
	}
	l.unsaved = l.unsaved || len(dropped) > 0
	return dropped
}

// proofOfFree reports whether a former owner of a range no longer holds it, and why.
func (l *Leader) proofOfFree(r *rangeState, f *formerOwner, targets map[string]Target, now time.Time) (Reason, bool) {
	if f.state.inFlight {
		return 0, false
	}
	switch {
	case f.ended:
		return Ended, true
	case r.succeeds(f.state):
		return Restarted, true
	case f.released && l.releaseProvesFree(f.state, now):
		return Released, true
	case !now.Before(l.expiresAt(f.state)):
		return Expired, true
	case !now.Before(l.restartProvesFreeFrom(f.state)) && hasRestarted(f.state.owner, r.service, targets):
		return Restarted, true
	}
	return 0, false
}

// succeeds reports whether the owner of a range is a later incarnation of a former owner: nobody but itself can hold
// what was granted to that one.
func (r *rangeState) succeeds(former *rangeState) bool {
	return r.owner.Target == former.owner.Target && r.owner.Born > former.owner.Born
}

// carryGrants counts the grants to an earlier incarnation of the owner as grants to the owner, which may have got them.
func (l *Leader) carryGrants(r, former *rangeState) {
	r.inherited = r.inherited || former.inherited && !l.refusesPredecessors(former)
	r.lastSent = clock.Later(r.lastSent, former.lastSent)
	r.connectedAt = clock.Later(r.connectedAt, former.connectedAt)
	r.unaccounted = clock.Later(r.unaccounted, former.unaccounted)
}

// hasRestarted reports whether a later incarnation of a service's target has started. An entry of
// another service under its id is not the target's own.
func hasRestarted(target Incarnation, service string, targets map[string]Target) bool {
	t, ok := targets[target.Target]
	return ok && t.Service == service && t.Born > target.Born
}
