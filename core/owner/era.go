package owner

import (
	"time"

	"pineturn/core/clock"
)

// A leader whose record is of an older era than the store's claims anew. Between its last
// proof of leadership and the loss, another leader may have claimed whose records are lost,
// and whose process may have been killed. Until the leases of any such leader have expired
// (predecessorLeasesUntil), a range is granted only once it is confirmed: its owner has
// accepted a renewal under the token of the earlier era that was sent when no leader of
// that era could start leases any more (predecessorNewLeasesUntil). A leader after the
// proof that gave the range to another target within MaxProofAgeForRenewal first had the
// owner accept a higher token, which would have made it refuse the renewal.

// probe renews a lease that this process granted as the leader of an earlier era.
type probe struct {
	state *rangeState
	// until is the time until which the lease may be renewed: MaxProofAgeForRenewal after
	// the last proof of leadership in the era in which it was granted.
	until time.Time
}

// hasNoPredecessor reports whether no other leader can have granted anything before the
// one that the record names.
func (a *Assignment) hasNoPredecessor() bool {
	return a.Epoch == firstEpoch(a.Era) && !a.Incomplete
}

// Era returns the store's era in which this leader claimed.
func (l *Leader) Era() int64 { return l.record.Era }

// Succeed returns the leader for the record by which the same process claimed again in a
// new era of the store. lastProof is the last proof of leadership in the earlier era. now
// is the time at which the store had acknowledged the record, which is based on what
// Record returned since.
func (l *Leader) Succeed(record *Assignment, lastProof, now time.Time) *Leader {
	next := NewLeader(record, l.leaseDuration, now)
	next.unaccounted = l.lastUnaccounted()
	for service, ranges := range next.services {
		for _, r := range ranges {
			if earlier := l.find(service, r); earlier != nil {
				r.probe = earlier.nextProbe(lastProof)
			}
		}
	}
	return next
}

// LeaveEra undoes moves that the store's record need not contain, so that the former
// owners keep their leases. From then on the leader sends only renewals and releases, until
// it has succeeded itself.
func (l *Leader) LeaveEra() {
	for _, ranges := range l.services {
		for i, r := range ranges {
			if r.persisted || len(r.former) != 1 {
				continue
			}
			f := r.former[0]
			if previous := f.state; previous.renewable && !f.ended && previous.first == r.first && previous.last == r.last {
				ranges[i] = previous
			}
		}
	}
}

// find returns the state of the range with the same keys and owner, or nil.
func (l *Leader) find(service string, like *rangeState) *rangeState {
	for _, r := range l.services[service] {
		if r.first == like.first && r.last == like.last && r.owner == like.owner {
			return r
		}
	}
	return nil
}

// nextProbe returns the probe of a range for the next era, or nil if renewals can't
// confirm its owner. The owner's connection must have been opened before the last proof:
// an incarnation that started later may not have seen the tokens of a leader after it.
func (r *rangeState) nextProbe(lastProof time.Time) *probe {
	if r.probe != nil {
		return r.probe
	}
	if !r.granted || !r.renewable || len(r.former) > 0 || r.ownerEnded || r.connectedAt.After(lastProof) {
		return nil
	}
	return &probe{state: r, until: lastProof.Add(MaxProofAgeForRenewal)}
}

// mayGrant reports whether no leader whose record is lost can have a lease on the range in
// force at another target. It ends the probe that has shown that.
func (l *Leader) mayGrant(r *rangeState, now time.Time) bool {
	if !l.incomplete || r.confirmed || !now.Before(l.predecessorLeasesUntil) {
		return true
	}
	if r.probe == nil || r.probe.state.acceptedAt.Before(l.predecessorNewLeasesUntil) {
		return false
	}
	r.confirmed, r.probe = true, nil
	return true
}

// probeOrders returns the renewal under the token of an earlier era that is due for a
// range, if there is one.
func (l *Leader) probeOrders(service string, r *rangeState, targets map[string]Target, now time.Time) []Order {
	if r.probe == nil || !r.probe.state.renewable || !now.Before(r.probe.until) || l.mayGrant(r, now) {
		return nil
	}
	order, ok := l.grantOrder(service, r.probe.state, targets, false, now)
	if !ok {
		return nil
	}
	return []Order{order}
}

// handleEarlierGrant applies the outcome of a grant under a token of an earlier epoch of
// this process. A refusal shows that a later leader of the earlier era has granted the
// range, not that there is a later one than this. On a connection that was opened since,
// the grant may have reached an incarnation that such a leader had granted nothing.
func (l *Leader) handleEarlierGrant(o Order, outcome Outcome, now time.Time) {
	r := o.state
	r.inFlight = false
	if at := outcome.UnaccountedUntil(now); !at.IsZero() {
		l.unaccounted = clock.Later(l.unaccounted, now)
	}
	sameConnection := !outcome.connectedAt(o, now).After(r.connectedAt)
	if outcome.Done && sameConnection && o.FencingToken == r.fencingToken {
		r.lastGranted, r.acceptedAt = now, r.lastAttempt
		return
	}
	r.renewable = false
}

// lastUnaccounted returns the end of the latest grant without an outcome, or the zero time.
func (l *Leader) lastUnaccounted() time.Time {
	last := l.unaccounted
	for _, ranges := range l.services {
		for _, r := range ranges {
			last = clock.Later(last, r.unaccounted)
			for _, f := range r.former {
				last = clock.Later(last, f.state.unaccounted)
			}
		}
	}
	return last
}
