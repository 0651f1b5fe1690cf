package owner

import (
	"maps"
	"slices"
	"time"
)

// Kind is the kind of an order.
type Kind int

// Order kinds.
const (
	// Grant starts or renews a lease.
	Grant Kind = iota
	// Release ends a lease.
	Release
)

// Order is a grant or a release to be sent to a target.
type Order struct {
	Kind         Kind
	Service      string
	First        uint16
	Last         uint16
	Target       Incarnation
	FencingToken int64
	// LeaseDuration is the duration of a granted lease, counted from the
	// arrival of the order.
	LeaseDuration time.Duration
	Handover      string
	// Renewal orders are sent only on a connection that is already open, so
	// that no other incarnation of the target can receive them.
	Renewal bool
	lease   *lease
	former  *formerOwner
}

// Outcome is the outcome of an order.
type Outcome struct {
	// Done reports that the target executed the order, Fenced that the target
	// has accepted a higher fencing token.
	Done   bool
	Fenced bool
	// Unsent reports that nothing has reached the target.
	Unsent bool
	// TargetEnded reports that another target has the address, so that the
	// addressed one has ended.
	TargetEnded bool
	Handover    string
}

// Orders returns the orders that are due for ranges that the record in the
// store contains. Callers may call Orders only within MaxProofAgeForRenewal of
// the last proof of leadership. mayStartLeases reports whether that proof is
// younger than MaxProofAgeForNewLease. Callers pass the outcome of each order
// to HandleOutcome.
func (l *Leader) Orders(targets map[string]Target, mayStartLeases bool, now time.Time) []Order {
	var orders []Order
	for _, service := range slices.Sorted(maps.Keys(l.services)) {
		for _, p := range l.services[service] {
			orders = append(orders, l.formerOwnerRenewals(service, p, targets, now)...)
			orders = append(orders, l.releaseOrders(service, p, targets, now)...)
			if order, ok := l.grantOrder(service, p, targets, mayStartLeases, now); ok {
				orders = append(orders, order)
			}
		}
	}
	return orders
}

// formerOwnerRenewals returns renewals for the former owners of a lease whose
// change of owner is not persisted yet: until then no other target can take
// over the keys.
func (l *Leader) formerOwnerRenewals(service string, p *lease, targets map[string]Target, now time.Time) []Order {
	if p.persisted {
		return nil
	}
	var orders []Order
	for _, f := range p.former {
		if !f.lease.renewable {
			continue
		}
		if order, ok := l.grantOrder(service, f.lease, targets, false, now); ok {
			orders = append(orders, order)
		}
	}
	return orders
}

func (l *Leader) releaseOrders(service string, p *lease, targets map[string]Target, now time.Time) []Order {
	var orders []Order
	for _, f := range p.former {
		_, known := targets[f.lease.owner.Target]
		if f.releaseInFlight || f.released || f.lease.inFlight || !p.persisted || !known || now.Sub(f.lastAttempt) < orderRetryInterval || !l.mayRelease(p, now) {
			continue
		}
		f.releaseInFlight, f.lastAttempt = true, now
		orders = append(orders, Order{
			Kind: Release, Service: service, First: p.first, Last: p.last, Target: f.lease.owner, FencingToken: f.lease.fencingToken, lease: p, former: f,
		})
	}
	return orders
}

// mayRelease reports whether the response to a release proves that a range is
// free. It does not while an earlier leader can start or renew a lease on the
// range.
func (l *Leader) mayRelease(p *lease, now time.Time) bool {
	return l.noPredecessor || !p.inherited && l.noNewPredecessorLeases(now)
}

func (l *Leader) grantOrder(service string, p *lease, targets map[string]Target, mayStartLeases bool, now time.Time) (Order, bool) {
	t, known := targets[p.owner.Target]
	if p.inFlight || !p.persisted || !p.renewable && !mayStartLeases || !known || t.Draining && !p.renewable || len(p.former) > 0 || t.Born != p.owner.Born {
		return Order{}, false
	}
	if now.Sub(p.lastAttempt) < orderRetryInterval || (p.granted && now.Sub(p.lastGranted) < l.renewInterval()) {
		return Order{}, false
	}
	p.inFlight, p.lastAttempt = true, now
	order := Order{
		Kind: Grant, Service: service, First: p.first, Last: p.last, Target: p.owner, FencingToken: p.fencingToken, LeaseDuration: l.leaseDuration,
		Renewal: p.renewable, lease: p,
	}
	if !p.granted {
		order.Handover = p.handover
	}
	return order, true
}

// renewInterval returns the time after which a lease is renewed.
func (l *Leader) renewInterval() time.Duration {
	return time.Duration(renewFraction * float64(l.leaseDuration))
}

// HandleOutcome applies the outcome of an order that ended at now.
func (l *Leader) HandleOutcome(o Order, outcome Outcome, now time.Time) {
	if o.Kind == Release {
		l.handleRelease(o, outcome)
		return
	}
	p := o.lease
	p.inFlight = false
	if !outcome.Unsent {
		p.lastSent = now
	}
	if !outcome.Unsent && !o.Renewal {
		p.lastConnected = now
	}
	switch {
	case outcome.TargetEnded && o.Target == p.owner:
		p.ownerEnded = true
		p.failingSince = now.Add(-unreachableAfter - time.Nanosecond)
	case outcome.Done && o.FencingToken == p.fencingToken && o.Target == p.owner:
		p.granted, p.renewable, p.lastGranted, p.failingSince, p.handover = true, true, now, time.Time{}, ""
	case outcome.Fenced:
		l.fenced = true
	case !outcome.Done:
		if p.failingSince.IsZero() {
			p.failingSince = now
		}
		// The target may have restarted and the connection may have closed, so
		// the next grant must not be sent as a renewal.
		p.fencingToken = l.nextFencingToken()
		p.renewable = false
		if o.Renewal && outcome.Unsent {
			p.lastAttempt = time.Time{}
		}
	}
}

func (l *Leader) handleRelease(o Order, outcome Outcome) {
	o.former.releaseInFlight = false
	if !outcome.Done && !outcome.TargetEnded {
		return
	}
	o.former.released = true
	if outcome.Handover != "" {
		o.lease.handover = outcome.Handover
	}
}
