package owner

import (
	"maps"
	"slices"
	"time"
)

// Times of leases.
const (
	// Hold is how long a lease lasts.
	Hold = 4 * time.Second
	// renewAfter is the time after which a lease is renewed.
	renewAfter = 1800 * time.Millisecond
	// retryAfter is the time between tries of an order without an answer.
	retryAfter = 300 * time.Millisecond
	// FreshFor is how long a host goes on renewing leases after it last proved
	// that it leads. It covers outages of the store.
	FreshFor = 12 * time.Second
	// SureFor is the age of the last proof of leading up to which a host starts
	// leases. Past it, the host renews leases on open connections only: another
	// life of a target may have begun, with nothing left of the fencing tokens.
	SureFor = 1500 * time.Millisecond
	// orderTime bounds how long an order is on its way.
	orderTime = time.Second
	// lapse is the time after which a lease has ended by every clock: targets'
	// clocks run up to 2% slow, and an order may wait on its way.
	lapse = Hold + Hold/50 + 400*time.Millisecond
	// unreachableAfter is how long a target's renewals fail before its keys are
	// moved elsewhere.
	unreachableAfter = 2500 * time.Millisecond
	// fencesAnEpoch is the number of fencing tokens of one leader.
	fencesAnEpoch = 1 << 24
	// firstEpoch is the epoch of a leader that follows no other.
	firstEpoch = 1
)

// Kind is the kind of an order.
type Kind int

// Kinds of orders.
const (
	// Grant starts or renews a lease.
	Grant Kind = iota
	// Release ends one.
	Release
)

// Order is what a target is to be told.
type Order struct {
	Kind     Kind
	Service  string
	First    uint16
	Last     uint16
	Target   Holder
	Fence    int64
	Handover string
	// Renewal orders are sent only on a connection that was open before, as
	// another life of the target must not take them.
	Renewal bool
	lease   *lease
	former  *formerHolder
}

// Outcome is how an order ended.
type Outcome struct {
	// Done says that the target carried it out, Fenced that it has seen a
	// higher fencing token.
	Done   bool
	Fenced bool
	// Unsent says that nothing has reached the target.
	Unsent bool
	// Gone says that another target has the address, so that this one ended.
	Gone     bool
	Handover string
}

// lease is a range with what this leader knows of its grants.
type lease struct {
	first, last uint16
	owner       Holder
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
	Holder
	Service string
	Slots   int
	// Leaving targets lose their keys.
	Leaving bool
}

// Leader decides for the host that leads. It is not safe for concurrent use.
type Leader struct {
	record   *Assignment
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

// Lead starts a leader from the record that made it one. The record before it
// may be nil. Now is when the store had acknowledged the record.
func Lead(record *Assignment, now time.Time) *Leader {
	l := &Leader{
		record: record, services: make(map[string][]*lease),
		quiet: now.Add(SureFor + orderTime), guard: now.Add(FreshFor + orderTime + lapse),
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
		at = latest(at, l.quiet.Add(lapse))
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
		free = latest(free, l.guard)
	case p.inherited:
		// The owner refuses renewals of a leader before, but a life that began
		// since may have taken a lease of it.
		free = latest(free, l.quiet.Add(lapse))
	}
	return free
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Settle drops former owners that no longer hold anything, and reports whether
// the record has to be written.
func (l *Leader) Settle(targets map[string]Target, now time.Time) bool {
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
func ended(h Holder, targets map[string]Target) bool {
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

// Written notes that the store's record is the one that Record returns now.
func (l *Leader) Written(a *Assignment) {
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

// Waits reports whether leases of the leader before may still be in force.
func (l *Leader) Waits(now time.Time) bool { return !l.alone && now.Before(l.guard) }

// Dirty reports whether the store's record is behind.
func (l *Leader) Dirty() bool { return l.dirty }

// Orders returns the orders that are due for ranges that the store's record
// has. It is called only within FreshFor of the last proof that the host leads,
// sure says that it is within SureFor. Each order's outcome goes to Ended.
func (l *Leader) Orders(targets map[string]Target, sure bool, now time.Time) []Order {
	var orders []Order
	for _, service := range slices.Sorted(maps.Keys(l.services)) {
		for _, p := range l.services[service] {
			orders = append(orders, l.renewals(service, p, targets, now)...)
			orders = append(orders, l.releases(service, p, targets, now)...)
			if order, ok := l.grant(service, p, targets, sure, now); ok {
				orders = append(orders, order)
			}
		}
	}
	return orders
}

// renewals keep the former owner's lease while the record of the change is not
// written: until then no one else may take over.
func (l *Leader) renewals(service string, p *lease, targets map[string]Target, now time.Time) []Order {
	if p.written {
		return nil
	}
	var orders []Order
	for _, f := range p.former {
		if !f.lease.renewable {
			continue
		}
		if order, ok := l.grant(service, f.lease, targets, false, now); ok {
			orders = append(orders, order)
		}
	}
	return orders
}

func (l *Leader) releases(service string, p *lease, targets map[string]Target, now time.Time) []Order {
	var orders []Order
	for _, f := range p.former {
		_, known := targets[f.lease.owner.Target]
		if f.busy || f.done || f.lease.busy || !p.written || !known || now.Sub(f.tried) < retryAfter || !l.mayRelease(p, now) {
			continue
		}
		f.busy, f.tried = true, now
		orders = append(orders, Order{
			Kind: Release, Service: service, First: p.first, Last: p.last, Target: f.lease.owner, Fence: f.lease.fence, lease: p, former: f,
		})
	}
	return orders
}

// mayRelease reports whether an answered release proves that a range is free:
// not while a leader before might still start or renew a lease there.
func (l *Leader) mayRelease(p *lease, now time.Time) bool {
	return l.alone || !p.inherited && l.calm(now)
}

// calm reports whether no leader before can start a lease any more. Until then
// a move takes long, so that none is begun for choice.
func (l *Leader) calm(now time.Time) bool { return l.alone || !now.Before(l.quiet) }

func (l *Leader) grant(service string, p *lease, targets map[string]Target, sure bool, now time.Time) (Order, bool) {
	t, known := targets[p.owner.Target]
	if p.busy || !p.written || !p.renewable && !sure || !known || t.Leaving && !p.renewable || len(p.former) > 0 || t.Born != p.owner.Born {
		return Order{}, false
	}
	if now.Sub(p.tried) < retryAfter || (p.granted && now.Sub(p.answered) < renewAfter) {
		return Order{}, false
	}
	p.busy, p.tried = true, now
	order := Order{
		Kind: Grant, Service: service, First: p.first, Last: p.last, Target: p.owner, Fence: p.fence,
		Renewal: p.renewable, lease: p,
	}
	if !p.granted {
		order.Handover = p.handover
	}
	return order, true
}

// Ended notes the outcome of an order that ended now.
func (l *Leader) Ended(o Order, out Outcome, now time.Time) {
	if o.Kind == Release {
		l.releaseEnded(o, out)
		return
	}
	p := o.lease
	p.busy = false
	if !out.Unsent {
		p.sent = now
	}
	if !out.Unsent && !o.Renewal {
		p.opened = now
	}
	switch {
	case out.Gone && o.Target == p.owner:
		p.ended = true
		p.failing = now.Add(-unreachableAfter - time.Nanosecond)
	case out.Done && o.Fence == p.fence && o.Target == p.owner:
		p.granted, p.renewable, p.answered, p.failing, p.handover = true, true, now, time.Time{}, ""
	case out.Fenced:
		l.fenced = true
	case !out.Done:
		if p.failing.IsZero() {
			p.failing = now
		}
		// The connection may have ended with that life of the target, so that
		// the next grant must not pass for a renewal.
		p.fence = l.nextFence()
		p.renewable = false
		if o.Renewal && out.Unsent {
			p.tried = time.Time{}
		}
	}
}

func (l *Leader) releaseEnded(o Order, out Outcome) {
	o.former.busy = false
	if !out.Done && !out.Gone {
		return
	}
	o.former.done = true
	if out.Handover != "" {
		o.lease.handover = out.Handover
	}
}

// Move has a range change its owner. The range is split off the leases that it
// lies in. It returns false while any part of it is still on its way.
func (l *Leader) Move(service string, first, last uint16, to Holder, now time.Time) bool {
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

func (l *Leader) hand(p *lease, to Holder) {
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
