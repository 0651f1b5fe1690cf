package lease

import (
	"sort"
	"time"

	"pineturn/core/record"
	"pineturn/core/route"
	"pineturn/core/shard"
)

// Order is a message to be sent to a target: a grant or, if StatusOnly is set, a
// request for the target's status that grants nothing. Its result has to be passed
// to exactly one call of RecordResponse or RecordFailure.
type Order struct {
	Target     record.Target
	Address    string
	StatusOnly bool
	// Incarnation is the incarnation of the target that the order is for.
	Incarnation string
	// Token is the fencing token of the leaseholder.
	Token uint64
	// SetVersion is the version of the granted set of shards.
	SetVersion uint64
	// Renew is set if the order extends the set that the target already holds;
	// Shards is then empty.
	Renew bool
	// ExpiresUs is the end of the grant as a reading of the target's clock, in
	// microseconds.
	ExpiresUs int64
	Shards    []Grant

	grants *grantSet
}

// Grant is one shard of an order. Except lists the keys of its range that have
// shards of their own.
type Grant struct {
	Shard  shard.ID
	Epoch  uint64
	Except []string
}

// Response is the response of a target to an order.
type Response struct {
	Incarnation string
	// ClockUs is a reading of the target's clock, in microseconds.
	ClockUs int64
	Health  string
	// SetVersion is the version of the set of shards that the target holds.
	SetVersion uint64
	// Refused is the reason why the target refused the order, empty if the
	// target accepted it.
	Refused string
}

// Orders returns the orders that are due at now. A target has at most one order in
// flight.
func (t *Table) Orders(now time.Time) []Order {
	t.mu.Lock()
	defer t.mu.Unlock()
	var orders []Order
	for _, l := range t.sortedTargets() {
		if l.orderInFlight || l.address == "" {
			continue
		}
		if !l.orderDue && now.Sub(l.orderedAt) < t.options.RenewalInterval {
			continue
		}
		order := t.order(l, now)
		l.orderInFlight, l.orderDue, l.orderedAt = true, false, now
		orders = append(orders, order)
	}
	return orders
}

func (t *Table) order(l *targetLease, now time.Time) Order {
	order := Order{Target: l.id, Address: l.address, Token: l.token, Incarnation: l.incarnation}
	expiry := l.freshAt.Add(t.options.MaxGrantDuration)
	if !l.statusCurrent || expiry.Sub(now) < minGrantTime {
		order.StatusOnly = true
		return order
	}
	shards := l.grantedShards()
	grants := &grantSet{version: l.version, shards: shards, latestExpiry: expiry}
	order.ExpiresUs = route.DeadlineUs(l.clockUs, l.clockAt, expiry)
	grants.earliestExpiry = l.earliestReading(order.ExpiresUs)
	if l.accepted != nil && l.accepted.version == l.version && equal(l.accepted.shards, shards) {
		order.Renew = true
	} else {
		l.version++
		grants.version = l.version
		order.Shards = grantList(shards)
	}
	order.SetVersion = grants.version
	order.grants = grants
	l.outstanding = append(l.outstanding, grants)
	return order
}

// grantedShards returns the shards to grant: the desired shards, and the shards
// that the target is losing but that still have requests in flight.
func (l *targetLease) grantedShards() map[shard.ID]grantedShard {
	shards := make(map[shard.ID]grantedShard, len(l.desired))
	for id, item := range l.desired {
		shards[id] = item
	}
	if l.accepted == nil {
		return shards
	}
	for id, item := range l.accepted.shards {
		if _, ok := shards[id]; !ok && l.requestsByShard[id] > 0 {
			shards[id] = item
		}
	}
	return shards
}

// earliestReading returns the earliest time, by this host's clock, at which the
// target's clock may read us microseconds, allowing for clock drift.
func (l *targetLease) earliestReading(us int64) time.Time {
	remaining := time.Duration(us-l.clockUs) * time.Microsecond
	return l.clockSentAt.Add(time.Duration(float64(remaining) / (1 + route.MaxClockDrift)))
}

func grantList(shards map[shard.ID]grantedShard) []Grant {
	list := make([]Grant, 0, len(shards))
	for id, item := range shards {
		list = append(list, Grant{Shard: id, Epoch: item.epoch, Except: item.except})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Shard.Less(list[j].Shard) })
	return list
}

// leaseOf returns the held target that an order belongs to, or nil if this host
// has lost the lease since, even if it acquired the lease again.
func (t *Table) leaseOf(order Order) *targetLease {
	l := t.targets[order.Target]
	if l == nil || order.Token < l.firstToken {
		return nil
	}
	return l
}

// RecordResponse records the response, received at now, to an order that was sent at
// sentAt.
func (t *Table) RecordResponse(order Order, response Response, sentAt, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.leaseOf(order)
	if l == nil {
		return
	}
	l.orderInFlight = false
	l.dropExpired(now)
	if l.address != order.Address {
		return
	}
	if response.Incarnation != l.incarnation {
		l.resetGrants(response.Incarnation)
	}
	wasCurrent := l.statusCurrent
	l.clockUs, l.clockSentAt, l.clockAt = response.ClockUs, sentAt, now
	l.health, l.respondedAt, l.statusCurrent = response.Health, now, true
	l.updateDraining(now)
	if order.StatusOnly {
		l.orderDue = l.orderDue || !wasCurrent
		return
	}
	if order.Incarnation != response.Incarnation {
		l.orderDue = true
		return
	}
	l.removeOutstanding(order.grants)
	if response.Refused != "" {
		l.handleRefusal(response.Refused)
		return
	}
	l.accepted = order.grants
	if l.checked && order.Token == l.token {
		l.guarded = true
	}
}

// resetGrants discards the grants of an earlier incarnation of the target, which
// no longer runs.
func (l *targetLease) resetGrants(incarnation string) {
	l.incarnation = incarnation
	l.accepted = nil
	l.outstanding = nil
	l.orderDue = true
}

// removeOutstanding removes the grants of an order that has a response, or that was
// not sent, from the outstanding ones.
func (l *targetLease) removeOutstanding(grants *grantSet) {
	for i, other := range l.outstanding {
		if other == grants {
			l.outstanding = append(l.outstanding[:i], l.outstanding[i+1:]...)
			return
		}
	}
}

// handleRefusal handles an order that the target refused. If the target does not
// hold the set that was to be renewed, the next order contains the full set.
func (l *targetLease) handleRefusal(reason string) {
	if reason == RefusedUnknownSet {
		l.accepted = nil
		l.orderDue = true
	}
}

// RefusedUnknownSet is the reason with which a target refuses to renew a set that
// it does not hold.
const RefusedUnknownSet = "unknown-set"

// RecordFailure records that an order has no response. If sent is set, the target
// may have received the order, so its grant counts until it has expired. The next
// order only requests the status, so that no grant is extended without the target's current
// status.
func (t *Table) RecordFailure(order Order, sent bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.leaseOf(order)
	if l == nil {
		return
	}
	l.orderInFlight = false
	if order.grants != nil && !sent {
		l.removeOutstanding(order.grants)
	}
	l.statusCurrent = false
	l.dropExpired(now)
}

// dropExpired removes the outstanding grants that have expired at now.
func (l *targetLease) dropExpired(now time.Time) {
	var remaining []*grantSet
	for _, other := range l.outstanding {
		if now.Before(other.latestExpiry) {
			remaining = append(remaining, other)
		}
	}
	l.outstanding = remaining
}

// Status is the status of a held target. The state dump writes its fields under
// their Go names.
type Status struct {
	Target record.Target
	Term   uint64
	Level  int
	// Guarded is set once no grant of an earlier leaseholder can be in force.
	Guarded bool
	// Alive is set if the target responded within the suspicion time. Lost is set
	// if it has not responded for the suspicion time since its latest response or
	// since this host became its leaseholder.
	Alive bool
	Lost  bool
	// Health is the health that the target reported in its latest response.
	Health string
	// Left is the minimum time left until the accepted grant expires.
	Left time.Duration
	// Shards is the number of shards of the accepted grant.
	Shards int
	// Pending is the number of shards whose handover to the target is not settled.
	Pending int
}

// Statuses lists the status of each held target, sorted by service and name.
func (t *Table) Statuses(now time.Time) []Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Status
	for _, l := range t.sortedTargets() {
		status := Status{
			Target: l.id, Term: l.term, Level: l.level, Guarded: l.guarded, Health: l.health, Pending: len(l.handovers),
			Alive: t.alive(l, now), Lost: t.lost(l, now),
		}
		if l.accepted != nil {
			status.Left = max(0, l.accepted.earliestExpiry.Sub(now))
			status.Shards = len(l.accepted.shards)
		}
		list = append(list, status)
	}
	return list
}

func (t *Table) alive(l *targetLease, now time.Time) bool {
	return !l.respondedAt.IsZero() && now.Sub(l.respondedAt) < t.options.SuspicionTime
}

func (t *Table) lost(l *targetLease, now time.Time) bool {
	last := l.respondedAt
	if last.Before(l.createdAt) {
		last = l.createdAt
	}
	return now.Sub(last) >= t.options.SuspicionTime
}
