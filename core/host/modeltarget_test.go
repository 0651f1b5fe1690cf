package host

import (
	"fmt"
	"time"

	"pineturn/core/lease"
)

type simTarget struct {
	m           *model
	name        string
	index       int
	run         int
	clockRate   float64
	checked     bool
	term        uint64
	setVersion  uint64
	granted     []lease.Grant
	expiresUs   int64
	frozenUntil time.Duration
	queued      []func()
	draining    bool
	startedAt   time.Duration
}

func (t *simTarget) clock() int64 {
	return int64(float64((t.m.now - t.startedAt).Microseconds()) * t.clockRate)
}

func (t *simTarget) step() {
	if t.m.now < t.frozenUntil {
		return
	}
	queued := t.queued
	t.queued = nil
	for _, run := range queued {
		run()
	}
}

// restart drops the target's state. Its clock starts again at zero.
func (t *simTarget) restart() {
	t.run++
	t.granted, t.expiresUs, t.setVersion, t.term, t.queued, t.frozenUntil = nil, 0, 0, 0, nil, 0
	t.startedAt = t.m.now
}

// deliver handles an order when it arrives, or once the target is no longer
// frozen.
func (t *simTarget) deliver(run func()) {
	if t.m.now < t.frozenUntil {
		t.queued = append(t.queued, run)
		return
	}
	run()
}

func (t *simTarget) handleOrder(order lease.Order) lease.Response {
	respond := func(refused string) lease.Response {
		health := "ok"
		if t.draining {
			health = "draining"
		}
		return lease.Response{Incarnation: t.incarnation(), ClockUs: t.clock(), Health: health, SetVersion: t.setVersion, Refused: refused}
	}
	switch {
	case order.StatusOnly:
		return respond("")
	case order.Incarnation != t.incarnation():
		return respond("wrong-incarnation")
	case t.checked && order.Token < t.term:
		return respond("stale-term")
	case order.ExpiresUs <= t.clock():
		return respond("expired")
	case order.Renew && order.SetVersion != t.setVersion:
		return respond(lease.RefusedUnknownSet)
	}
	t.term = max(t.term, order.Token)
	t.expiresUs = order.ExpiresUs
	t.setVersion = order.SetVersion
	if !order.Renew {
		t.granted = order.Shards
	}
	return respond("")
}

func (t *simTarget) incarnation() string { return fmt.Sprintf("%s.%d", t.name, t.run) }
