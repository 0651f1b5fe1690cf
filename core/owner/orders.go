package owner

import (
	"maps"
	"slices"
	"time"

	"pineturn/core/clock"
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
	// Handover is the data that the former owner returned when it released the
	// keys. Only targets interpret it.
	Handover string
	// Renewal orders are sent only on a connection that is already open. Another
	// incarnation of the target can receive them only if it has accepted that connection.
	Renewal bool
	state   *rangeState
	former  *formerOwner
}

// Outcome is the outcome of an order.
type Outcome struct {
	// Done reports that the target executed the order, Fenced that the target
	// has accepted a higher fencing token.
	Done   bool
	Fenced bool
	// Unsent reports that nothing has reached the target, Refused that a response shows
	// that the order was not executed.
	Unsent  bool
	Refused bool
	// TargetEnded reports that another target has the address, so that the
	// addressed one has ended.
	TargetEnded bool
	// ConnectedAt is when the connection was opened on which the order was sent. If it is
	// zero, a renewal counts as sent on the connection of the grant before, any other grant
	// on one that was just opened.
	ConnectedAt time.Time
	Handover    string
}

// Responded reports whether the target has responded to the order.
func (o Outcome) Responded() bool { return o.Done || o.Fenced || o.Refused || o.TargetEnded }

// connectedAt returns the latest time at which the connection of an order that ended at a time may have been
// opened, or the zero time if it is the connection of the order before.
func (o Outcome) connectedAt(order Order, end time.Time) time.Time {
	if o.ConnectedAt.IsZero() && !order.Renewal {
		return end
	}
	return o.ConnectedAt
}

// Orders returns the orders that are due for ranges that the record in the
// store contains. The calling code may call Orders only within
// MaxProofAgeForRenewal of the last proof of leadership. mayStartLeases reports whether that proof is
// younger than MaxProofAgeForNewLease. The calling code passes the outcome of each
// order to HandleOutcome.
func (l *Leader) Orders(targets map[string]Target, mayStartLeases bool, now time.Time) []Order {
	var orders []Order
	for _, service := range slices.Sorted(maps.Keys(l.services)) {
		for _, r := range l.services[service] {
			orders = append(orders, l.formerOwnerRenewals(service, r, targets, now)...)
			orders = append(orders, l.releaseOrders(service, r, targets, now)...)
			orders = append(orders, l.probeOrders(service, r, targets, now)...)
			if !l.mayGrant(r, now) {
				continue
			}
			if order, ok := l.grantOrder(service, r, targets, mayStartLeases, now); ok {
				orders = append(orders, order)
			}
		}
	}
	return orders
}

// formerOwnerRenewals returns renewals for the former owners of a range whose
// change of owner is not persisted yet: until then no other target can take
// over the keys.
func (l *Leader) formerOwnerRenewals(service string, r *rangeState, targets map[string]Target, now time.Time) []Order {
	if r.persisted {
		return nil
	}
	var orders []Order
	for _, f := range r.former {
		if !f.state.renewable {
			continue
		}
		if order, ok := l.grantOrder(service, f.state, targets, false, now); ok {
			orders = append(orders, order)
		}
	}
	return orders
}

func (l *Leader) releaseOrders(service string, r *rangeState, targets map[string]Target, now time.Time) []Order {
	var orders []Order
	for _, f := range r.former {
		if _, known := targets[f.state.owner.Target]; !known || !f.mayBeReleased(r, now) || !l.mayRelease(r, now) {
			continue
		}
		f.releaseInFlight, f.lastAttempt = true, now
		orders = append(orders, Order{
			Kind: Release, Service: service, First: r.first, Last: r.last, Target: f.state.owner, FencingToken: f.state.fencingToken, state: r, former: f,
		})
	}
	return orders
}

// mayBeReleased reports whether a release of a range may be sent to a former owner now: none is under way, it is not known
// to hold nothing, and the range does not go to its own next incarnation.
func (f *formerOwner) mayBeReleased(r *rangeState, now time.Time) bool {
	if f.releaseInFlight || f.released || f.ended || f.state.inFlight {
		return false
	}
	return r.persisted && !r.succeeds(f.state) && now.Sub(f.lastAttempt) >= orderRetryInterval
}

// mayRelease reports whether the response to a release can prove that a range is
// free (releaseProvesFree). It does not while an earlier leader can start or renew a
// lease on the range.
func (l *Leader) mayRelease(r *rangeState, now time.Time) bool {
	return l.noPredecessor || !r.inherited && l.noNewPredecessorLeases(now)
}

func (l *Leader) grantOrder(service string, r *rangeState, targets map[string]Target, mayStartLeases bool, now time.Time) (Order, bool) {
	t, known := targets[r.owner.Target]
	if known && t.Incarnation == r.owner {
		r.ranAt = clock.Later(r.ranAt, now.Add(-t.Staleness))
	}
	if r.inFlight || !r.persisted || !r.renewable && !mayStartLeases || !known || t.Draining && !r.renewable && !r.unconfirmed() || len(r.former) > 0 || t.Born != r.owner.Born {
		return Order{}, false
	}
	if now.Sub(r.lastAttempt) < orderRetryInterval || (r.granted && now.Sub(r.lastGranted) < l.renewInterval()) {
		return Order{}, false
	}
	r.inFlight, r.lastAttempt = true, now
	order := Order{
		Kind: Grant, Service: service, First: r.first, Last: r.last, Target: r.owner, FencingToken: r.fencingToken, LeaseDuration: l.leaseDuration,
		Renewal: r.renewable, state: r,
	}
	if !r.granted {
		order.Handover = r.handoverData
	}
	return order, true
}

// renewInterval returns the time after which a lease is renewed.
func (l *Leader) renewInterval() time.Duration {
	return time.Duration(renewFraction * float64(l.leaseDuration))
}

// HandleOutcome applies the outcome of an order that ended at now.
func (l *Leader) HandleOutcome(o Order, outcome Outcome, now time.Time) {
	if outcome.TargetEnded {
		l.recordEnded(o.Target, now)
	}
	if o.Kind == Release {
		l.handleRelease(o, outcome)
		return
	}
	if o.FencingToken < l.record.Epoch*fencingTokensPerEpoch {
		l.handleEarlierGrant(o, outcome, now)
		return
	}
	r := o.state
	r.inFlight = false
	mayHaveArrived := !outcome.Unsent && !outcome.Refused && !outcome.Fenced
	if mayHaveArrived {
		r.lastSent = now
		r.connectedAt = clock.Later(r.connectedAt, outcome.connectedAt(o, now))
	}
	if !outcome.UnaccountedUntil(now).IsZero() {
		r.unaccounted = now
	}
	switch {
	case outcome.TargetEnded && o.Target == r.owner:
		r.ownerEnded = true
		r.failingSince = now.Add(-unreachableAfter - time.Nanosecond)
	case outcome.Done && o.FencingToken == r.fencingToken && o.Target == r.owner:
		r.granted, r.renewable, r.lastGranted, r.failingSince, r.handoverData = true, true, now, time.Time{}, ""
		r.acceptedAt, r.unaccounted = r.lastAttempt, time.Time{}
	case outcome.Fenced:
		l.fenced = true
	case !outcome.Done:
		if r.failingSince.IsZero() {
			r.failingSince = now
		}
		// The target may have restarted and the connection may have closed, so
		// the next grant must not be sent as a renewal.
		r.fencingToken = l.nextFencingToken()
		r.renewable = false
		if o.Renewal && outcome.Unsent {
			r.lastAttempt = time.Time{}
		}
	}
}

// handleRelease applies the outcome of a release. A target with keys never refuses one, so a refusal
// comes from another target, which has the address of one that has ended.
func (l *Leader) handleRelease(o Order, outcome Outcome) {
	o.former.releaseInFlight = false
	o.former.released = o.former.released || outcome.Done
	o.former.ended = o.former.ended || outcome.TargetEnded || outcome.Refused
	if !outcome.Done {
		return
	}
	if outcome.Handover != "" {
		o.state.handoverData = outcome.Handover
	}
}
