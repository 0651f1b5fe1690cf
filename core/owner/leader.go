package owner

import (
	"slices"
	"time"

	"pineturn/core/clock"
)

// Times of leases.
const (
	// MaxLeaseDuration is how long a lease lasts, where targets accept as much.
	MaxLeaseDuration = 4 * time.Second
	// renewShare is the share of a lease's time after which it is renewed.
	renewShare = 0.45
	// retryAfter is the time between tries of an order without an answer.
	retryAfter = 300 * time.Millisecond
	// MaxProofAgeForRenewal is how long a host goes on renewing leases after it last proved
	// that it leads. It covers outages of the store.
	MaxProofAgeForRenewal = 12 * time.Second
	// MaxProofAgeForNewLease is the age of the last proof of leading up to which a host starts
	// leases. Past it, the host renews leases on open connections only: another
	// life of a target may have begun, with nothing left of the fencing tokens.
	MaxProofAgeForNewLease = 1500 * time.Millisecond
	// orderTime bounds how long an order is on its way.
	orderTime = time.Second
	// lapse is the time after which a lease of any leader has ended by every
	// clock: targets' clocks run up to 2% slow, and an order may wait on its way.
	lapse = MaxLeaseDuration + MaxLeaseDuration/50 + 400*time.Millisecond
	// unreachableAfter is how long a target's renewals fail before its keys are
	// moved elsewhere.
	unreachableAfter = 2500 * time.Millisecond
	// fencesAnEpoch is the number of fencing tokens of one leader.
	fencesAnEpoch = 1 << 24
	// firstEpoch is the epoch of a leader that follows no other.
	firstEpoch = 1
)

// lease is a range with what this leader knows of its grants.
type lease struct {
	first, last uint16
	owner       Incarnation
	fence       int64
	// granted says that the owner accepted a grant of this leader.
	granted bool
	// renewable says that the fencing token was accepted by this life of the
	// owner.
	renewable bool
	// written says that the store's record has the range as it is here.
	written bool
	// inherited says that a leader before may have granted it to the owner.
	inherited bool
	// sent is when a grant may last have reached the owner, opened when one may
	// have that opened a connection, so that another life may have taken it.
	sent     time.Time
	opened   time.Time
	ended    bool
	answered time.Time
	tried    time.Time
	failing  time.Time
	busy     bool
	handover string
	former   []*formerHolder
}

// formerHolder is an owner that may still hold a range.
type formerHolder struct {
	// lease is what this leader knows of its grants. It is renewed until the
	// store has the record of the change.
	lease *lease
	tried time.Time
	busy  bool
	done  bool
}

// Target is what the leader knows of a target.
type Target struct {
	Incarnation
	Service string
	Slots   int
	// Draining targets lose their keys.
	Draining bool
}

// Leader decides for the host that leads. It is not safe for concurrent use.
type Leader struct {
	record *Assignment
	// hold is how long this leader's leases last.
	hold     time.Duration
	services map[string][]*lease
	// quiet is when every lease that a leader before may start has been
	// started, guard when all that it may renew have ended.
	quiet time.Time
	guard time.Time
	// alone says that the process that led before is proved to have ended.
	alone  bool
	fences int64
	fenced bool
	dirty  bool
}

// NewLeader starts a leader from the record that made it one. The record before it
// may be nil. Targets grant leases of up to longest. Now is when the store had
// acknowledged the record.
func NewLeader(record *Assignment, longest time.Duration, now time.Time) *Leader {
	l := &Leader{
		record: record, hold: min(MaxLeaseDuration, longest), services: make(map[string][]*lease),
		quiet: now.Add(MaxProofAgeForNewLease + orderTime), guard: now.Add(MaxProofAgeForRenewal + orderTime + lapse),
		alone: record.Epoch == firstEpoch,
	}
	for service, ranges := range record.Services {
		for _, r := range ranges {
			l.services[service] = append(l.services[service], l.inherit(r))
		}
	}
	return l
}

func (l *Leader) inherit(r Range) *lease {
	p := &lease{first: r.First, last: r.Last, owner: r.Owner, fence: l.nextFence(), inherited: true, written: true}
	for _, h := range r.Former {
		former := &lease{first: r.First, last: r.Last, owner: h, fence: l.nextFence(), inherited: true, written: true}
		p.former = append(p.former, &formerHolder{lease: former})
	}
	return p
}

func (l *Leader) nextFence() int64 {
	l.fences++
	return l.record.Epoch*fencesAnEpoch + l.fences
}

// Epoch returns the epoch that the leader was made in.
func (l *Leader) Epoch() int64 { return l.record.Epoch }

// Fenced reports whether a target has seen a later leader.
func (l *Leader) Fenced() bool { return l.fenced }

// PredecessorEnded notes that the process that led before sent its last grant
// before a moment: leases of it end by themselves one lapse later.
func (l *Leader) PredecessorEnded(at time.Time) {
	l.alone = true
	if at.Before(l.quiet) {
		l.quiet = at
	}
	if free := at.Add(orderTime + lapse); free.Before(l.guard) {
		l.guard = free
	}
}

// provableAt returns from when on another life of the owner proves that no life
// of it holds the range.
func (l *Leader) provableAt(p *lease) time.Time {
	var at time.Time
	if !p.opened.IsZero() {
		at = p.opened.Add(lapse)
	}
	if p.inherited {
		at = clock.Later(at, l.quiet.Add(lapse))
	}
	return at
}

// freeAt returns when the owner's hold on a range has ended at the latest.
func (l *Leader) freeAt(p *lease) time.Time {
	var free time.Time
	if !p.sent.IsZero() {
		free = p.sent.Add(lapse)
	}
	switch {
	case p.inherited && !p.granted:
		// A leader before may still renew the lease.
		free = clock.Later(free, l.guard)
	case p.inherited:
		// The owner refuses renewals of a leader before, but a life that began
		// since may have taken a lease of it.
		free = clock.Later(free, l.quiet.Add(lapse))
	}
	return free
}

// DropFormerOwners drops former owners that no longer hold anything, and reports whether
// the record has to be written.
func (l *Leader) DropFormerOwners(targets map[string]Target, now time.Time) bool {
	for _, leases := range l.services {
		for _, p := range leases {
			n := len(p.former)
			if !p.written {
				continue
			}
			p.former = slices.DeleteFunc(p.former, func(f *formerHolder) bool { return l.isFree(f, targets, now) })
			if len(p.former) != n {
				l.dirty = true
			}
		}
	}
	return l.dirty
}

// isFree reports whether a former owner holds its range no more.
func (l *Leader) isFree(f *formerHolder, targets map[string]Target, now time.Time) bool {
	if f.lease.busy {
		return false
	}
	return f.done || !now.Before(l.freeAt(f.lease)) ||
		!now.Before(l.provableAt(f.lease)) && ended(f.lease.owner, targets)
}

// ended reports whether a life of a target is over, as another one has begun.
func ended(h Incarnation, targets map[string]Target) bool {
	t, ok := targets[h.Target]
	return ok && t.Born > h.Born
}

// Record returns the assignment as it now stands, for the store.
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

// MarkPersisted notes that the store's record is the one that Record returns now.
func (l *Leader) MarkPersisted(a *Assignment) {
	l.record = a
	l.dirty = false
	for _, leases := range l.services {
		for _, p := range leases {
			p.written = true
		}
	}
}

// Assigned reports whether a service's keys have owners.
func (l *Leader) Assigned(service string) bool { return len(l.services[service]) > 0 }

// PredecessorLeasesInForce reports whether leases of the leader before may still be in force.
func (l *Leader) PredecessorLeasesInForce(now time.Time) bool { return !l.alone && now.Before(l.guard) }

// Dirty reports whether the store's record is behind.
func (l *Leader) Dirty() bool { return l.dirty }

// calm reports whether no leader before can start a lease any more. Until then
// a move takes long, so that none is begun for choice.
func (l *Leader) calm(now time.Time) bool { return l.alone || !now.Before(l.quiet) }

// Move has a range change its owner. The range is split off the leases that it
// lies in. It returns false while any part of it is still on its way.
func (l *Leader) Move(service string, first, last uint16, to Incarnation, now time.Time) bool {
	for _, p := range l.services[service] {
		if p.last >= first && p.first <= last && (p.busy || len(p.former) > 0) {
			return false
		}
	}
	l.split(service, first)
	if last < Keys-1 {
		l.split(service, last+1)
	}
	for _, p := range l.services[service] {
		if p.first >= first && p.last <= last && p.owner != to {
			l.hand(p, to)
		}
	}
	return true
}

func (l *Leader) hand(p *lease, to Incarnation) {
	prior := *p
	never := p.sent.IsZero() && !p.inherited || p.ended
	*p = lease{first: p.first, last: p.last, owner: to, fence: l.nextFence(), inherited: p.inherited && !p.granted}
	if !never {
		p.former = []*formerHolder{{lease: &prior}}
	}
	l.dirty = true
}

// split makes a lease begin at a key.
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
