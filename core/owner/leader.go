package owner

import (
	"slices"
	"time"

	"pineturn/core/clock"
)

// Lease timing and numbering.
const (
	// MaxLeaseDuration is the duration of a lease where targets accept that
	// much.
	MaxLeaseDuration = 4 * time.Second
	// renewFraction is the fraction of the lease duration after which a lease
	// is renewed.
	renewFraction = 0.45
	// orderRetryInterval is the minimum time between two attempts of an order
	// that was not answered.
	orderRetryInterval = 300 * time.Millisecond
	// MaxProofAgeForRenewal is how long a host continues to renew leases after
	// its last proof of leadership. It lets leases outlast outages of the
	// store.
	MaxProofAgeForRenewal = 12 * time.Second
	// MaxProofAgeForNewLease is how long a host continues to start leases after
	// its last proof of leadership. After that it only renews leases on open
	// connections: a target may have restarted, and its new incarnation has no
	// record of the fencing tokens.
	MaxProofAgeForNewLease = 1500 * time.Millisecond
	// orderTimeout bounds the time that an order is in flight.
	orderTimeout = time.Second
	// leaseExpiryBound is the time after which a lease of any leader has
	// expired by every clock. It covers clocks of targets that run up to 2%
	// slow, and an order that is delayed in transit.
	leaseExpiryBound = MaxLeaseDuration + MaxLeaseDuration/50 + 400*time.Millisecond
	// unreachableAfter is how long renewals to a target must fail before its
	// keys are moved to other targets.
	unreachableAfter = 2500 * time.Millisecond
	// fencingTokensPerEpoch is the number of fencing tokens that one leader can
	// issue.
	fencingTokensPerEpoch = 1 << 24
	// firstEpoch is the epoch of a leader that has no predecessor.
	firstEpoch = 1
)

// lease is a range of keys with the state of this leader's grants for it.
type lease struct {
	first, last  uint16
	owner        Incarnation
	fencingToken int64
	// granted reports whether the owner accepted a grant of this leader.
	granted bool
	// renewable reports whether this incarnation of the owner accepted the
	// fencing token.
	renewable bool
	// persisted reports whether the record in the store contains the range as
	// it is here.
	persisted bool
	// inherited reports whether an earlier leader may have granted the range to
	// the owner.
	inherited bool
	// lastSent is the latest time at which a grant may have reached the owner.
	// lastConnected is the same for grants that may have opened a connection,
	// which another incarnation of the owner may have accepted.
	lastSent      time.Time
	lastConnected time.Time
	ownerEnded    bool
	lastGranted   time.Time
	lastAttempt   time.Time
	failingSince  time.Time
	inFlight      bool
	handover      string
	former        []*formerOwner
}

// formerOwner is an owner that may still hold a range.
type formerOwner struct {
	// lease is the state of the former owner's grants. The lease is renewed
	// until the store has the record of the change.
	lease           *lease
	lastAttempt     time.Time
	releaseInFlight bool
	released        bool
}

// Target is a target as the leader sees it.
type Target struct {
	Incarnation
	Service string
	Slots   int
	// Draining targets lose their keys.
	Draining bool
}

// Leader decides on owners and leases at the leading host. It is not safe for
// concurrent use.
type Leader struct {
	record *Assignment
	// leaseDuration is the duration of the leases that this leader grants.
	leaseDuration time.Duration
	services      map[string][]*lease
	// predecessorNewLeasesUntil is the time from which no earlier leader can
	// start a lease. predecessorLeasesUntil is the time by which all leases
	// that an earlier leader can renew have expired.
	predecessorNewLeasesUntil time.Time
	predecessorLeasesUntil    time.Time
	// noPredecessor reports that there was no earlier leader, or that its
	// process is proved to have ended.
	noPredecessor bool
	tokensIssued  int64
	fenced        bool
	dirty         bool
}

// NewLeader returns a leader for the record that made this host the leader. If
// no record preceded it, the record has no services. Targets accept leases of
// up to targetMaxLease. now is the time at which the store had acknowledged the
// record.
func NewLeader(record *Assignment, targetMaxLease time.Duration, now time.Time) *Leader {
	l := &Leader{
		record: record, leaseDuration: min(MaxLeaseDuration, targetMaxLease), services: make(map[string][]*lease),
		predecessorNewLeasesUntil: now.Add(MaxProofAgeForNewLease + orderTimeout),
		predecessorLeasesUntil:    now.Add(MaxProofAgeForRenewal + orderTimeout + leaseExpiryBound),
		noPredecessor:             record.Epoch == firstEpoch,
	}
	for service, ranges := range record.Services {
		for _, r := range ranges {
			l.services[service] = append(l.services[service], l.inheritedLease(r))
		}
	}
	return l
}

func (l *Leader) inheritedLease(r Range) *lease {
	p := &lease{first: r.First, last: r.Last, owner: r.Owner, fencingToken: l.nextFencingToken(), inherited: true, persisted: true}
	for _, target := range r.Former {
		former := &lease{first: r.First, last: r.Last, owner: target, fencingToken: l.nextFencingToken(), inherited: true, persisted: true}
		p.former = append(p.former, &formerOwner{lease: former})
	}
	return p
}

func (l *Leader) nextFencingToken() int64 {
	l.tokensIssued++
	return l.record.Epoch*fencingTokensPerEpoch + l.tokensIssued
}

// Epoch returns the epoch of the record that made this host the leader.
func (l *Leader) Epoch() int64 { return l.record.Epoch }

// Fenced reports whether a target has accepted an order of a later leader.
func (l *Leader) Fenced() bool { return l.fenced }

// PredecessorEnded records that the previous leader's process sent its last
// grant before the given time. The leases of that process expire by themselves,
// orderTimeout plus leaseExpiryBound after that time at the latest.
func (l *Leader) PredecessorEnded(at time.Time) {
	l.noPredecessor = true
	if at.Before(l.predecessorNewLeasesUntil) {
		l.predecessorNewLeasesUntil = at
	}
	if expiry := at.Add(orderTimeout + leaseExpiryBound); expiry.Before(l.predecessorLeasesUntil) {
		l.predecessorLeasesUntil = expiry
	}
}

// restartFreesAt returns the time from which a restart of the owner proves that
// none of its incarnations holds the range.
func (l *Leader) restartFreesAt(p *lease) time.Time {
	var at time.Time
	if !p.lastConnected.IsZero() {
		at = p.lastConnected.Add(leaseExpiryBound)
	}
	if p.inherited {
		at = clock.Later(at, l.predecessorNewLeasesUntil.Add(leaseExpiryBound))
	}
	return at
}

// expiresAt returns the time by which the owner's leases on a range have
// expired.
func (l *Leader) expiresAt(p *lease) time.Time {
	var expiry time.Time
	if !p.lastSent.IsZero() {
		expiry = p.lastSent.Add(leaseExpiryBound)
	}
	switch {
	case p.inherited && !p.granted:
		// An earlier leader may still renew the lease.
		expiry = clock.Later(expiry, l.predecessorLeasesUntil)
	case p.inherited:
		// The owner refuses renewals of earlier leaders, but if it has
		// restarted since, the new incarnation may have accepted a lease from
		// one.
		expiry = clock.Later(expiry, l.predecessorNewLeasesUntil.Add(leaseExpiryBound))
	}
	return expiry
}

// DropFormerOwners removes former owners that no longer hold any keys. It
// reports whether the record has to be written.
func (l *Leader) DropFormerOwners(targets map[string]Target, now time.Time) bool {
	for _, leases := range l.services {
		for _, p := range leases {
			n := len(p.former)
			if !p.persisted {
				continue
			}
			p.former = slices.DeleteFunc(p.former, func(f *formerOwner) bool { return l.canDrop(f, targets, now) })
			if len(p.former) != n {
				l.dirty = true
			}
		}
	}
	return l.dirty
}

// canDrop reports whether a former owner no longer holds its range.
func (l *Leader) canDrop(f *formerOwner, targets map[string]Target, now time.Time) bool {
	if f.lease.inFlight {
		return false
	}
	return f.released || !now.Before(l.expiresAt(f.lease)) ||
		!now.Before(l.restartFreesAt(f.lease)) && hasRestarted(f.lease.owner, targets)
}

// hasRestarted reports whether a later incarnation of the target has started.
func hasRestarted(target Incarnation, targets map[string]Target) bool {
	t, ok := targets[target.Target]
	return ok && t.Born > target.Born
}

// Record returns the current assignment, to be written to the store.
func (l *Leader) Record() *Assignment {
	a := *l.record
	a.Services = make(map[string][]Range, len(l.services))
	for service, leases := range l.services {
		for _, p := range leases {
			r := Range{First: p.first, Last: p.last, Owner: p.owner}
			for _, f := range p.former {
				r.Former = append(r.Former, f.lease.owner)
			}
			a.Services[service] = append(a.Services[service], r)
		}
	}
	return &a
}

// MarkPersisted records that the store contains the assignment, which must be
// the one that Record returns now.
func (l *Leader) MarkPersisted(a *Assignment) {
	l.record = a
	l.dirty = false
	for _, leases := range l.services {
		for _, p := range leases {
			p.persisted = true
		}
	}
}

// Assigned reports whether the keys of a service have owners.
func (l *Leader) Assigned(service string) bool { return len(l.services[service]) > 0 }

// PredecessorLeasesInForce reports whether leases of the previous leader may
// still be in force.
func (l *Leader) PredecessorLeasesInForce(now time.Time) bool {
	return !l.noPredecessor && now.Before(l.predecessorLeasesUntil)
}

// Dirty reports whether the assignment has changes that are not in the store.
func (l *Leader) Dirty() bool { return l.dirty }

// noNewPredecessorLeases reports whether no earlier leader can start a lease
// any more. Until then, moves take long and optional moves are not started.
func (l *Leader) noNewPredecessorLeases(now time.Time) bool {
	return l.noPredecessor || !now.Before(l.predecessorNewLeasesUntil)
}

// Move changes the owner of a range of keys, splitting the leases at its ends.
// It returns false and changes nothing if part of the range has an order in
// flight or a former owner.
func (l *Leader) Move(service string, first, last uint16, to Incarnation, now time.Time) bool {
	for _, p := range l.services[service] {
		if p.last >= first && p.first <= last && (p.inFlight || len(p.former) > 0) {
			return false
		}
	}
	l.split(service, first)
	if last < Keys-1 {
		l.split(service, last+1)
	}
	for _, p := range l.services[service] {
		if p.first >= first && p.last <= last && p.owner != to {
			l.changeOwner(p, to)
		}
	}
	return true
}

func (l *Leader) changeOwner(p *lease, to Incarnation) {
	previous := *p
	holdsNothing := p.lastSent.IsZero() && !p.inherited || p.ownerEnded
	*p = lease{first: p.first, last: p.last, owner: to, fencingToken: l.nextFencingToken(), inherited: p.inherited && !p.granted}
	if !holdsNothing {
		p.former = []*formerOwner{{lease: &previous}}
	}
	l.dirty = true
}

// split divides the lease that contains a key, so that a lease starts at the
// key.
func (l *Leader) split(service string, at uint16) {
	leases := l.services[service]
	for i, p := range leases {
		if p.first >= at || p.last < at {
			continue
		}
		right := *p
		right.first = at
		p.last = at - 1
		l.services[service] = slices.Insert(leases, i+1, &right)
		return
	}
}
