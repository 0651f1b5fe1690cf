package lease

import (
	"sort"
	"time"

	"pineturn/core/record"
	"pineturn/core/route"
	"pineturn/core/shard"
)

// Order is what to send to a target: a grant, or a question for its status
// when Probe is set. It is answered by exactly one call of Answer or Fail.
type Order struct {
	Target      record.Target
	Address     string
	Probe       bool
	Incarnation string
	Term        uint64
	Set         uint64
	Renew       bool
	ExpiresUs   int64
	Shards      []Grant

	sent *set
}

// Grant is one shard of an order.
type Grant struct {
	Shard  shard.ID
	Epoch  uint64
	Except []string
}

// Answer is what a target answers to an order.
type Answer struct {
	Incarnation string
	ClockUs     int64
	Health      string
	Set         uint64
	// Refused is the target's reason when it didn't accept the order.
	Refused string
}

// Orders returns the orders that are due at now, at most one under way for
// each target.
func (t *Table) Orders(now time.Time) []Order {
	t.mu.Lock()
	defer t.mu.Unlock()
	var orders []Order
	for _, h := range t.sorted() {
		if h.busy || h.address == "" {
			continue
		}
		if !h.dirty && now.Sub(h.ordered) < t.options.Renewal {
			continue
		}
		order := t.order(h, now)
		h.busy, h.dirty, h.ordered = true, false, now
		orders = append(orders, order)
	}
	return orders
}

func (t *Table) order(h *held, now time.Time) Order {
	order := Order{Target: h.id, Address: h.address, Term: h.token, Incarnation: h.incarnation}
	end := h.fresh.Add(t.options.Life)
	if !h.trusted || end.Sub(now) < minLeft {
		order.Probe = true
		return order
	}
	shards := h.granted()
	sent := &set{version: h.version, shards: shards, late: end}
	order.ExpiresUs = route.DeadlineUs(h.clockUs, h.clockAt, end)
	sent.until = h.earliest(order.ExpiresUs)
	if h.acked != nil && h.acked.version == h.version && equal(h.acked.shards, shards) {
		order.Renew = true
	} else {
		h.version++
		sent.version = h.version
		order.Shards = grants(shards)
	}
	order.Set = sent.version
	order.sent = sent
	h.unacked = append(h.unacked, sent)
	return order
}

// granted is what the target is to hold now: the wanted shards, and those on
// their way out that still have requests in flight.
func (h *held) granted() map[shard.ID]entry {
	shards := make(map[shard.ID]entry, len(h.wanted))
	for id, item := range h.wanted {
		shards[id] = item
	}
	if h.acked == nil {
		return shards
	}
	for id, item := range h.acked.shards {
		if _, ok := shards[id]; !ok && h.active[id] > 0 {
			shards[id] = item
		}
	}
	return shards
}

// earliest is the first instant at which the target's clock may read us.
func (h *held) earliest(us int64) time.Time {
	left := time.Duration(us-h.clockUs) * time.Microsecond
	return h.clockSent.Add(time.Duration(float64(left) / (1 + route.MaxClockDrift)))
}

func grants(shards map[shard.ID]entry) []Grant {
	list := make([]Grant, 0, len(shards))
	for id, item := range shards {
		list = append(list, Grant{Shard: id, Epoch: item.epoch, Except: item.except})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Shard.Less(list[j].Shard) })
	return list
}

// current returns the held target that an order belongs to, or nil when this
// host has lost or regained the target since.
func (t *Table) current(order Order) *held {
	h := t.targets[order.Target]
	if h == nil || order.Term < h.born {
		return nil
	}
	return h
}

// RecordAnswer records what a target answered to an order that was sent at sent.
func (t *Table) RecordAnswer(order Order, answer Answer, sent, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.current(order)
	if h == nil {
		return
	}
	h.busy = false
	h.dropLapsed(now)
	if h.address != order.Address {
		return
	}
	if answer.Incarnation != h.incarnation {
		h.restarted(answer.Incarnation)
	}
	wasTrusted := h.trusted
	h.clockUs, h.clockSent, h.clockAt = answer.ClockUs, sent, now
	h.health, h.answered, h.trusted = answer.Health, now, true
	h.noteLeaving(now)
	if order.Probe {
		h.dirty = h.dirty || !wasTrusted
		return
	}
	if order.Incarnation != answer.Incarnation {
		h.dirty = true
		return
	}
	h.acknowledge(order.sent)
	if answer.Refused != "" {
		h.refused(answer.Refused)
		return
	}
	h.acked = order.sent
	if h.checked && order.Term == h.token {
		h.guarded = true
	}
}

// restarted forgets what an earlier run of the target held.
func (h *held) restarted(incarnation string) {
	h.incarnation = incarnation
	h.acked = nil
	h.unacked = nil
	h.dirty = true
}

// acknowledge takes an order that was answered, or not sent, off the list of
// those without an answer.
func (h *held) acknowledge(sent *set) {
	for i, other := range h.unacked {
		if other == sent {
			h.unacked = append(h.unacked[:i], h.unacked[i+1:]...)
			return
		}
	}
}

// refused acts on an order that the target did not take. A set that it does
// not know is sent whole next time.
func (h *held) refused(reason string) {
	if reason == RefusedUnknownSet {
		h.acked = nil
		h.dirty = true
	}
}

// RefusedUnknownSet is a target's reason against renewing a set that it does
// not hold.
const RefusedUnknownSet = "unknown-set"

// RecordFailure records that an order got no answer. Unless it certainly was not sent,
// its grant counts until it has lapsed. The next order is a question for the
// target's status, so that nothing is extended blindly.
func (t *Table) RecordFailure(order Order, sent bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.current(order)
	if h == nil {
		return
	}
	h.busy = false
	if order.sent != nil && !sent {
		h.acknowledge(order.sent)
	}
	h.trusted = false
	h.dropLapsed(now)
}

func (h *held) dropLapsed(now time.Time) {
	var rest []*set
	for _, other := range h.unacked {
		if now.Before(other.late) {
			rest = append(rest, other)
		}
	}
	h.unacked = rest
}

// Status is what this host knows of a target that it is the leaseholder of.
type Status struct {
	Target  record.Target
	Term    uint64
	Level   int
	Guarded bool
	// Alive reports an answer within the suspicion time, Lost the lack of one
	// for as long.
	Alive   bool
	Lost    bool
	Health  string
	Left    time.Duration
	Shards  int
	Pending int
}

// Statuses lists the held targets in order.
func (t *Table) Statuses(now time.Time) []Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Status
	for _, h := range t.sorted() {
		status := Status{
			Target: h.id, Term: h.term, Level: h.level, Guarded: h.guarded, Health: h.health, Pending: len(h.pending),
			Alive: t.alive(h, now), Lost: t.lost(h, now),
		}
		if h.acked != nil {
			status.Left = max(0, h.acked.until.Sub(now))
			status.Shards = len(h.acked.shards)
		}
		list = append(list, status)
	}
	return list
}

func (t *Table) alive(h *held, now time.Time) bool {
	return !h.answered.IsZero() && now.Sub(h.answered) < t.options.Suspicion
}

func (t *Table) lost(h *held, now time.Time) bool {
	last := h.answered
	if last.Before(h.created) {
		last = h.created
	}
	return now.Sub(last) >= t.options.Suspicion
}
