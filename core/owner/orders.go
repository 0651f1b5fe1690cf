package owner

import (
	"maps"
	"slices"
	"time"
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
	Kind         Kind
	Service      string
	First        uint16
	Last         uint16
	Target       Incarnation
	FencingToken int64
	// LeaseDuration is how long a granted lease lasts from its arrival.
	LeaseDuration time.Duration
	Handover      string
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
	// TargetEnded says that another target has the address, so that this one ended.
	TargetEnded bool
	Handover    string
}

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
			Kind: Release, Service: service, First: p.first, Last: p.last, Target: f.lease.owner, FencingToken: f.lease.fence, lease: p, former: f,
		})
	}
	return orders
}

// mayRelease reports whether an answered release proves that a range is free:
// not while a leader before might still start or renew a lease there.
func (l *Leader) mayRelease(p *lease, now time.Time) bool {
	return l.alone || !p.inherited && l.calm(now)
}

func (l *Leader) grant(service string, p *lease, targets map[string]Target, sure bool, now time.Time) (Order, bool) {
	t, known := targets[p.owner.Target]
	if p.busy || !p.written || !p.renewable && !sure || !known || t.Draining && !p.renewable || len(p.former) > 0 || t.Born != p.owner.Born {
		return Order{}, false
	}
	if now.Sub(p.tried) < retryAfter || (p.granted && now.Sub(p.answered) < l.renewAfter()) {
		return Order{}, false
	}
	p.busy, p.tried = true, now
	order := Order{
		Kind: Grant, Service: service, First: p.first, Last: p.last, Target: p.owner, FencingToken: p.fence, LeaseDuration: l.hold,
		Renewal: p.renewable, lease: p,
	}
	if !p.granted {
		order.Handover = p.handover
	}
	return order, true
}

// renewAfter is the time after which a lease is renewed.
func (l *Leader) renewAfter() time.Duration {
	return time.Duration(renewShare * float64(l.hold))
}

// HandleOutcome notes the outcome of an order that ended now.
func (l *Leader) HandleOutcome(o Order, out Outcome, now time.Time) {
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
	case out.TargetEnded && o.Target == p.owner:
		p.ended = true
		p.failing = now.Add(-unreachableAfter - time.Nanosecond)
	case out.Done && o.FencingToken == p.fence && o.Target == p.owner:
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
	if !out.Done && !out.TargetEnded {
		return
	}
	o.former.done = true
	if out.Handover != "" {
		o.lease.handover = out.Handover
	}
}
