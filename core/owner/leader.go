package owner

import (
	"slices"
	"time"

	"pineturn/core/clock"
	"pineturn/core/ratelimit"
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
	// without a response.
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
	// endedRetention is how long a target, at whose address another one has answered, gets no keys.
	endedRetention = 30 * time.Second
	// fencingTokensPerEpoch is the number of fencing tokens that one leader can
	// issue.
	fencingTokensPerEpoch = 1 << 24
)

// rangeState is a range of keys with the state of this leader's grants for it.
type rangeState struct {
	first, last uint16
	// service is the service whose keys these are.
	service      string
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
	lastSent time.Time
	// connectedAt is the latest time at which a connection was opened on which a grant may
	// have reached the owner. ranAt is the latest time at which the owner is known to have
	// run. A connection that was opened after that may be another incarnation's.
	connectedAt, ranAt time.Time
	// unaccounted is the end of the latest grant without an outcome that the owner may
	// still apply; zero if there is none. The owner refuses it once it has accepted a
	// later one, whose fencing token is higher.
	unaccounted time.Time
	ownerEnded  bool
	lastGranted time.Time
	// acceptedAt is when the latest grant that the owner accepted was sent.
	acceptedAt   time.Time
	lastAttempt  time.Time
	failingSince time.Time
	// movedAt is when this leader last changed the owner; zero if it has not.
	movedAt  time.Time
	inFlight bool
	// handoverData is the data that the former owner returned when it released the
	// range. It is passed to the owner with the first grant. Only targets interpret
	// it.
	handoverData string
	former       []*formerOwner
	// confirmed reports that no leader whose record is lost has granted the range to
	// another target. probe is the proof of that under way, nil if there is none.
	confirmed bool
	probe     *probe
}

// formerOwner is an owner that may still hold a range.
type formerOwner struct {
	// state is the state of the former owner's grants. The lease is renewed
	// until the store has the record of the change.
	state           *rangeState
	lastAttempt     time.Time
	releaseInFlight bool
	// released reports that the owner answered a release, ended that another target
	// has its address: it has named itself or refused the release.
	released bool
	ended    bool
}

// Target is a target as the leader sees it.
type Target struct {
	Incarnation
	Service string
	Slots   int
	// Staleness is how long ago the incarnation is last known to have run: a later one may
	// run that the store does not show yet. Zero is now.
	Staleness time.Duration
	// Draining targets lose their keys.
	Draining bool
	// WarmingUp targets have started recently and are slow.
	WarmingUp bool
	// Limit is the limit of requests a second that the target has named.
	Limit ratelimit.Limit
}

// Leader decides on owners and leases at the leading host. It is not safe for
// concurrent use.
type Leader struct {
	record *Assignment
	// leaseDuration is the duration of the leases that this leader grants.
	leaseDuration time.Duration
	services      map[string][]*rangeState
	// predecessorNewLeasesUntil is the time from which no grant of an earlier leader
	// that starts a lease can arrive. predecessorLeasesUntil is the time by which all
	// leases that an earlier leader can renew have expired.
	predecessorNewLeasesUntil time.Time
	predecessorLeasesUntil    time.Time
	// predecessors are the earlier leaders whose grants targets may still apply. Those
	// in killed are proved to have ended, but not to have known the outcome of each of
	// their grants. lastArrival is the latest time at which a grant of a leader that has
	// ended can have arrived.
	predecessors []LeaderProcess
	killed       map[string]bool
	// stopped holds, of those that are proved to send no more grants, the grants that targets
	// may still apply.
	stopped     map[string][]UnaccountedGrant
	lastArrival time.Time
	// noPredecessor reports that there was no earlier leader, or that all are
	// proved to have ended. predecessorsAccounted reports that none was killed either.
	noPredecessor         bool
	predecessorsAccounted bool
	tokensIssued          int64
	// endedAt is when another target has last answered at the address of a target.
	endedAt map[Incarnation]time.Time
	fenced  bool
	unsaved bool
	// incomplete reports that there may be earlier leaders that no record names.
	incomplete bool
	// fine reports whether the initial assignment consists of many small ranges.
	fine bool
	// unaccounted is the end of the latest grant of this process under an earlier epoch
	// that a target may still apply; zero if there is none.
	unaccounted time.Time
}

// NewLeader returns a leader for the record that made this host the leader. If
// no record preceded it, the record has no services. Targets accept leases of
// up to targetMaxLease. now is the time at which the store had acknowledged the
// record.
func NewLeader(record *Assignment, targetMaxLease time.Duration, now time.Time) *Leader {
	l := &Leader{
		record: record, leaseDuration: min(MaxLeaseDuration, targetMaxLease), services: make(map[string][]*rangeState),
		predecessorNewLeasesUntil: now.Add(MaxProofAgeForNewLease + orderTimeout),
		predecessorLeasesUntil:    now.Add(MaxProofAgeForRenewal + orderTimeout + leaseExpiryBound),
		noPredecessor:             record.hasNoPredecessor(),
		predecessorsAccounted:     record.hasNoPredecessor(),
		incomplete:                record.Incomplete,
		predecessors:              slices.Clone(record.Earlier),
		killed:                    make(map[string]bool),
		stopped:                   make(map[string][]UnaccountedGrant),
		endedAt:                   make(map[Incarnation]time.Time),
		lastArrival:               now,
	}
	for service, ranges := range record.Services {
		for _, r := range ranges {
			l.services[service] = append(l.services[service], l.inheritedRange(service, r))
		}
	}
	return l
}

func (l *Leader) inheritedRange(service string, stored Range) *rangeState {
	r := &rangeState{service: service, first: stored.First, last: stored.Last, owner: stored.Owner, fencingToken: l.nextFencingToken(), inherited: true, persisted: true}
	for _, target := range stored.Former {
		former := &rangeState{service: service, first: stored.First, last: stored.Last, owner: target, fencingToken: l.nextFencingToken(), inherited: true, persisted: true}
		r.former = append(r.former, &formerOwner{state: former})
	}
	return r
}

func (l *Leader) nextFencingToken() int64 {
	l.tokensIssued++
	return l.record.Epoch*fencingTokensPerEpoch + l.tokensIssued
}

// Epoch returns the epoch of the record that made this host the leader.
func (l *Leader) Epoch() int64 { return l.record.Epoch }

// Fenced reports whether a target has accepted an order of a later leader.
func (l *Leader) Fenced() bool { return l.fenced }

// Predecessors returns the earlier leaders that may still send grants.
func (l *Leader) Predecessors(now time.Time) []LeaderProcess {
	if !now.Before(l.predecessorLeasesUntil) {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(l.predecessors), func(p LeaderProcess) bool { return l.killed[p.Incarnation] })
}

// PredecessorEnded records that an earlier leader sent its last grant before the
// given time and that none of its grants may be applied later than the leases that the
// targets then held: it has read the record of a later leader, awaits no response to a
// grant, and its UnaccountedUntil has passed.
func (l *Leader) PredecessorEnded(incarnation string, at time.Time) {
	known := len(l.predecessors)
	l.predecessors = slices.DeleteFunc(l.predecessors, func(p LeaderProcess) bool { return p.Incarnation == incarnation })
	if len(l.predecessors) < known {
		l.endPredecessor(at)
	}
}

// PredecessorKilled records that the process of an earlier leader had ended at the given
// time. Grants that it sent may still arrive for orderTimeout, and targets may apply them
// until their leases end.
func (l *Leader) PredecessorKilled(incarnation string, at time.Time) {
	known := slices.ContainsFunc(l.predecessors, func(p LeaderProcess) bool { return p.Incarnation == incarnation })
	if !known || l.killed[incarnation] {
		return
	}
	l.killed[incarnation] = true
	l.endPredecessor(at.Add(orderTimeout))
}

// PredecessorStopped records that an earlier leader sent its last grant before the given time, and that
// targets may apply none of its grants late but those in grants: it has read the record of a later leader
// and awaits no response to a grant. It returns false if that was known.
func (l *Leader) PredecessorStopped(incarnation string, at time.Time, grants []UnaccountedGrant) bool {
	known := slices.ContainsFunc(l.predecessors, func(p LeaderProcess) bool { return p.Incarnation == incarnation })
	if _, stopped := l.stopped[incarnation]; !known || stopped {
		return false
	}
	l.stopped[incarnation] = grants
	l.endPredecessor(at)
	return true
}

// sendsGrants reports whether an earlier leader may still send grants.
func (l *Leader) sendsGrants(p LeaderProcess) bool {
	_, stopped := l.stopped[p.Incarnation]
	return !stopped && !l.killed[p.Incarnation]
}

// endPredecessor records that the last grant of an earlier leader arrived before a time.
// Once that is known of all earlier leaders, none can renew a lease any more, and their
// leases expire by themselves, leaseExpiryBound after the last of these times at the
// latest.
func (l *Leader) endPredecessor(lastArrival time.Time) {
	l.lastArrival = clock.Later(l.lastArrival, lastArrival)
	if l.incomplete || slices.ContainsFunc(l.predecessors, l.sendsGrants) {
		return
	}
	l.noPredecessor, l.predecessorsAccounted = true, len(l.predecessors) == 0
	l.predecessorNewLeasesUntil = clock.Earlier(l.predecessorNewLeasesUntil, l.lastArrival)
	l.predecessorLeasesUntil = clock.Earlier(l.predecessorLeasesUntil, l.lastArrival.Add(leaseExpiryBound))
}

// Record returns the current assignment, to be written to the store.
func (l *Leader) Record() *Assignment {
	a := *l.record
	a.Earlier, a.Incomplete = slices.Clone(l.predecessors), l.incomplete
	a.Services = make(map[string][]Range, len(l.services))
	for service, ranges := range l.services {
		for _, r := range ranges {
			stored := Range{First: r.first, Last: r.last, Owner: r.owner}
			for _, f := range r.former {
				stored.Former = append(stored.Former, f.state.owner)
			}
			a.Services[service] = append(a.Services[service], stored)
		}
	}
	return &a
}

// MarkPersisted records that the store contains the assignment, which must be
// the one that Record returns now.
func (l *Leader) MarkPersisted(a *Assignment) {
	l.record = a
	l.unsaved = false
	for _, ranges := range l.services {
		for _, r := range ranges {
			r.persisted = true
		}
	}
}

// Assigned reports whether the keys of a service have owners.
func (l *Leader) Assigned(service string) bool { return len(l.services[service]) > 0 }

// Unsaved reports whether the assignment has changes that are not in the store.
func (l *Leader) Unsaved() bool { return l.unsaved }

// noNewPredecessorLeases reports whether no earlier leader can start a lease
// any more. Optional moves are not started before that, because moves take long
// until then.
func (l *Leader) noNewPredecessorLeases(now time.Time) bool {
	return l.noPredecessor || !now.Before(l.predecessorNewLeasesUntil)
}
