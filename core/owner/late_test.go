package owner

import (
	"testing"
	"time"
)

// lateGrant is a model in which the first range is granted to t0.
type lateGrant struct {
	*model
	// moved is when the range was moved to t1.
	moved time.Time
}

func newLateGrant(t *testing.T) *lateGrant {
	t.Helper()
	return &lateGrant{model: newModel(func(format string, args ...any) {
		t.Helper()
		t.Fatalf(format, args...)
	})}
}

// grantLate lets the orders of a leader arrive: the one for the first range will be applied
// late, the others are answered.
func (m *lateGrant) grantLate(l *modelLeader) {
	for _, flight := range append([]*orderInFlight(nil), l.inFlight...) {
		if flight.order.First == 0 {
			m.deliver(flight, late)
		} else {
			m.deliver(flight, answered)
		}
	}
}

// run ticks the newest leader and answers its orders.
func (m *lateGrant) run() {
	m.tick(m.newest())
	m.deliverAll(m.newest(), answered)
}

// moveToT1 moves the first range to t1 and carries out the orders that follow.
func (m *lateGrant) moveToT1() {
	m.moved = m.now
	first, _ := m.record.Find(modelService, 0)
	m.newest().Move(modelService, first.First, first.Last, Incarnation{Target: "t1", Born: 1}, m.now)
	for range 3 {
		m.run()
		m.advance(orderRetryInterval)
	}
}

// wantOwner checks that t1 gets the first range, after the late grant has been applied,
// and not later than a time after the move.
func (m *lateGrant) wantOwner(t *testing.T, within time.Duration) {
	t.Helper()
	if len(m.pending) != 1 {
		t.Fatalf("grants that may be applied late: got %d, want 1", len(m.pending))
	}
	m.applyLate(m.pending[0], false)
	for !m.now.Before(m.targets["t1"].leasedUntil[0]) {
		if got := m.now.Sub(m.moved); got > within {
			t.Fatalf("time without an owner: got over %v, want at most %v", got, within)
		}
		m.run()
		m.advance(modelStep)
	}
}

// TestLateGrant guards against two targets that hold the same keys: a target may apply a
// grant without a response after it has answered a release of these keys.
func TestLateGrant(t *testing.T) {
	skipRed(t)
	t.Run("own grant unanswered before the release", func(t *testing.T) {
		m := newLateGrant(t)
		m.deliverAll(m.newest(), answered)
		m.advance(2 * time.Second)
		m.tick(m.newest())
		m.grantLate(m.newest())
		m.advance(modelOrderTimeout + time.Millisecond)
		m.moveToT1()
		m.wantOwner(t, leaseExpiryBound+2*modelStep)
	})
	for _, c := range []struct {
		name  string
		ended func(m *lateGrant, l *modelLeader)
	}{
		{name: "grant in flight when the earlier leader is killed", ended: func(m *lateGrant, l *modelLeader) {
			m.kill(l)
			m.proveKilled(l)
		}},
		{name: "grant unanswered when the earlier leader steps down", ended: func(m *lateGrant, l *modelLeader) {
			m.advance(modelOrderTimeout + time.Millisecond)
			m.stepDown(l)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := newLateGrant(t)
			first := m.newest()
			m.grantLate(first)
			m.takeOver()
			c.ended(m, first)
			m.moveToT1()
			m.wantOwner(t, MaxProofAgeForRenewal+orderTimeout+leaseExpiryBound+2*modelStep)
		})
	}
	t.Run("grant of a leader that is cut off reaches a new incarnation", func(t *testing.T) {
		m := newLateGrant(t)
		first := m.newest()
		m.takeOver()
		m.run()
		m.restart(m.targets["t0"])
		m.targets["t0"].draining = true
		m.advance(4 * modelStep)
		m.grantLate(first)
		m.advance(MaxProofAgeForNewLease)
		m.advance(modelStep)
		m.moveToT1()
		m.wantOwner(t, MaxProofAgeForRenewal+orderTimeout+leaseExpiryBound+2*modelStep)
	})
}
