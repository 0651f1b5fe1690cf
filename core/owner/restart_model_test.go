package owner

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// stepRestart takes the store away or brings it back, starts a target again that may not reach the store, or lets all
// leaders run for a while. Random steps alone hardly ever renew a lease again and again on one connection.
func (m *model) stepRestart() {
	switch rapid.IntRange(0, 9).Draw(m.t, "restart") {
	case 0:
		m.away = !m.away
	case 1:
		t := m.targets[rapid.SampledFrom([]string{"t0", "t1"}).Draw(m.t, "restarted")]
		silent := time.Duration(rapid.IntRange(0, 20).Draw(m.t, "steps until its first entry")) * modelStep
		*t = modelTarget{id: t.id, born: t.born + 1, clockFactor: t.clockFactor, alive: true, silentUntil: m.now.Add(silent)}
		m.writeEntries(0)
	case 2, 3, 4:
		for range rapid.IntRange(1, 20).Draw(m.t, "rounds") {
			m.round()
		}
	case 5:
		t := m.targets[rapid.SampledFrom([]string{"t0", "t1"}).Draw(m.t, "drains")]
		t.draining = !t.draining
	default:
		m.step()
	}
}

// round lets all leaders run once, and targets carry out their orders. Some releases get no answer.
func (m *model) round() {
	releases := rapid.Bool().Draw(m.t, "releases are answered")
	for _, l := range m.leaders {
		m.tick(l)
		for _, flight := range append([]*orderInFlight(nil), l.inFlight...) {
			if flight.arrived.IsZero() && (flight.order.Kind == Grant || releases) {
				m.deliver(flight, answered)
			}
		}
	}
	m.advance(modelStep)
}

// TestOneOwnerWithRestarts checks the rules of TestOneOwner while targets start again that leaders can't see: the store
// is away or the leader is cut off from it, or the target is. It guards against leases of such a target that its leader
// takes for those of the earlier incarnation.
func TestOneOwnerWithRestarts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t.Fatalf)
		m.t = t
		for range rapid.IntRange(20, 100).Draw(t, "length") {
			m.stepRestart()
		}
	})
}
