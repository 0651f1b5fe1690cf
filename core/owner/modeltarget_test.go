package owner

import (
	"slices"
	"time"

	"pineturn/core/clock"
)

// The targets of the model, and what becomes of the orders that reach them.

type modelTarget struct {
	id          string
	born        int64
	clockFactor float64
	alive       bool
	draining    bool
	// silentUntil is the time until which the target writes nothing to the store.
	silentUntil   time.Time
	fencingTokens [Keys / modelBlockKeys]int64
	leasedUntil   [Keys / modelBlockKeys]time.Time
}

// modelBlockKeys is the number of adjacent keys that the model treats as one.
const modelBlockKeys = 1024

// delivery is what happens to an order that reaches its target.
type delivery int

const (
	answered delivery = iota
	// unanswered: it is carried out, but the response is lost.
	unanswered
	// late: a grant stays at the target, which may apply it later.
	late
)

// deliver delivers an order to its target.
func (m *model) deliver(flight *orderInFlight, how delivery) {
	t := m.targets[flight.order.Target.Target]
	outcome := Outcome{}
	switch {
	case flight.order.Kind == Grant && !flight.connect(t, m.now):
		outcome.Unsent = true
	case !t.alive:
		outcome.Unsent = true
	case flight.order.Kind == Grant && how == late:
		flight.arrived, flight.born = m.now, t.born
		m.pending = append(m.pending, flight)
		return
	case flight.order.Kind == Grant:
		outcome.Done, outcome.Fenced = m.grant(t, flight.order, m.now)
	default:
		t.release(flight.order)
		outcome.Done = true
	}
	if how != answered {
		outcome = Outcome{}
	}
	m.end(flight, outcome, m.now)
}

// deliverAll delivers all orders of a leader that have not arrived.
func (m *model) deliverAll(l *modelLeader, how delivery) {
	for _, flight := range slices.Clone(l.inFlight) {
		if flight.arrived.IsZero() && m.now.Sub(flight.sent) <= modelOrderTimeout {
			m.deliver(flight, how)
		}
	}
}

// end ends an order that is in flight. A leader whose process was killed learns nothing.
func (m *model) end(flight *orderInFlight, outcome Outcome, at time.Time) {
	l := flight.leader
	i := slices.Index(l.inFlight, flight)
	if i < 0 {
		return
	}
	l.inFlight = slices.Delete(l.inFlight, i, i+1)
	outcome.ConnectedAt = flight.connectedAt
	if !outcome.Responded() {
		delete(l.connections, flight.order.Target)
	}
	if l.killedAt.IsZero() {
		l.HandleOutcome(flight.order, outcome, at)
	}
}

// applyLate makes a target apply a grant that has arrived earlier. An incarnation that
// has ended does not, and one whose time has passed has no effect. If the sender still
// awaits the response, it gets one unless that is lost.
func (m *model) applyLate(flight *orderInFlight, responded bool) {
	m.pending = slices.DeleteFunc(m.pending, func(p *orderInFlight) bool { return p == flight })
	t := m.targets[flight.order.Target.Target]
	if !t.alive || t.born != flight.born || !m.now.Before(t.leaseEnd(flight.arrived)) {
		return
	}
	outcome := Outcome{}
	outcome.Done, outcome.Fenced = m.grant(t, flight.order, flight.arrived)
	if responded {
		m.end(flight, outcome, m.now)
	}
}

// leaseEnd returns when a lease ends by the target's clock whose grant has arrived at a
// time.
func (t *modelTarget) leaseEnd(arrived time.Time) time.Time {
	return arrived.Add(time.Duration(float64(MaxLeaseDuration) * t.clockFactor))
}

func (m *model) grant(t *modelTarget, o Order, arrived time.Time) (done, fenced bool) {
	for block := int(o.First) / modelBlockKeys; block <= int(o.Last)/modelBlockKeys; block++ {
		if t.fencingTokens[block] > o.FencingToken {
			return false, true
		}
	}
	for block := int(o.First) / modelBlockKeys; block <= int(o.Last)/modelBlockKeys; block++ {
		t.fencingTokens[block] = o.FencingToken
		t.leasedUntil[block] = clock.Later(t.leasedUntil[block], t.leaseEnd(arrived))
		m.checkSingleOwner(t, block)
	}
	return true, false
}

func (m *model) checkSingleOwner(owner *modelTarget, block int) {
	for _, other := range m.targets {
		if other != owner && other.alive && m.now.Before(other.leasedUntil[block]) {
			m.fail("keys from %d: got owners %s and %s, want one", block*modelBlockKeys, owner.id, other.id)
		}
		if other != owner && other.fencingTokens[block] >= owner.fencingTokens[block] {
			m.fail("keys from %d: got fencing token %d at %s after %d at %s, want a higher one",
				block*modelBlockKeys, owner.fencingTokens[block], owner.id, other.fencingTokens[block], other.id)
		}
	}
}

func (t *modelTarget) release(o Order) {
	for block := int(o.First) / modelBlockKeys; block <= int(o.Last)/modelBlockKeys; block++ {
		if t.fencingTokens[block] <= o.FencingToken {
			t.leasedUntil[block] = time.Time{}
		}
	}
}

// restart starts a new incarnation of a target, which holds no leases.
func (m *model) restart(t *modelTarget) {
	*t = modelTarget{id: t.id, born: t.born + 1, clockFactor: t.clockFactor, alive: true}
	m.writeEntries(0)
}
