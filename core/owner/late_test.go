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

func (m *lateGrant) move(first, last uint16, to string) {
	if !m.newest().Move(modelService, first, last, Incarnation{Target: to, Born: 1}, m.now) {
		m.fail("move of the range from %d: got false, want true", first)
	}
}

// moveToT1 moves the first range to t1 and carries out the orders that follow.
func (m *lateGrant) moveToT1() {
	m.moved = m.now
	first, _ := m.newest().Record().Find(modelService, 0)
	m.move(first.First, first.Last, "t1")
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
	t.Run("own grant unanswered and a later one accepted before the release", func(t *testing.T) {
		m := newLateGrant(t)
		m.deliverAll(m.newest(), answered)
		m.advance(2 * time.Second)
		m.tick(m.newest())
		m.grantLate(m.newest())
		m.advance(modelOrderTimeout + time.Millisecond)
		m.run()
		m.moveToT1()
		m.wantOwner(t, 4*modelStep)
	})
	t.Run("own grant unanswered before the range is divided", func(t *testing.T) {
		m := newLateGrant(t)
		m.deliverAll(m.newest(), answered)
		m.advance(2 * time.Second)
		m.tick(m.newest())
		m.grantLate(m.newest())
		m.advance(modelOrderTimeout + time.Millisecond)
		first, _ := m.record.Find(modelService, 0)
		m.move(modelBlockKeys, first.Last, "t2")
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
		{name: "grant unanswered when the earlier leader stops and names it", ended: func(m *lateGrant, l *modelLeader) {
			m.advance(modelOrderTimeout + time.Millisecond)
			m.stop(l)
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

// wantReleased checks that the first range has no former owner any more as soon as the
// release has been answered.
func wantReleased(t *testing.T, l *Leader, view map[string]Target, now time.Time) {
	t.Helper()
	answerReleases(l, view, Outcome{Done: true}, now)
	dropped := l.DropFormerOwners(view, now)
	if len(dropped) == 0 || dropped[0].Reason != Released {
		t.Errorf("former owners dropped after the answer to a release: got %v, want one, released", dropped)
	}
}

// TestNoExtraWait guards against keys without an owner for the sake of late grants where
// the outcome of each grant is known.
func TestNoExtraWait(t *testing.T) {
	t.Run("move with answered orders", func(t *testing.T) {
		l, view, _ := newCluster(t, 4)
		moveFirstRange(t, l, testStart)
		wantReleased(t, l, view, testStart)
	})
	t.Run("move after a grant that was not carried out", func(t *testing.T) {
		for _, outcome := range []Outcome{{Unsent: true}, {Refused: true}} {
			l, view, _ := newCluster(t, 4)
			now := testStart.Add(l.renewInterval())
			for _, o := range l.Orders(view, true, now) {
				l.HandleOutcome(o, outcome, now)
			}
			moveFirstRange(t, l, now)
			wantReleased(t, l, view, now)
		}
	})
	t.Run("move after a grant without a response and one that was accepted", func(t *testing.T) {
		l, view, _ := newCluster(t, 4)
		now := testStart.Add(l.renewInterval())
		for _, o := range l.Orders(view, true, now) {
			l.HandleOutcome(o, Outcome{}, now)
		}
		now = now.Add(orderRetryInterval)
		completeOrders(t, l, view, now)
		moveFirstRange(t, l, now)
		wantReleased(t, l, view, now)
	})
	t.Run("takeover after a step-down", func(t *testing.T) {
		l, view := newSuccessor(t)
		l.PredecessorEnded("1", testStart)
		moveFirstRange(t, l, testStart)
		wantReleased(t, l, view, testStart)
	})
	t.Run("takeover from a leader that is cut off", func(t *testing.T) {
		l, view := newSuccessor(t)
		now := testStart.Add(MaxProofAgeForNewLease + orderTimeout)
		completeOrders(t, l, view, testStart)
		completeOrders(t, l, view, now)
		moveFirstRange(t, l, now)
		wantReleased(t, l, view, now)
	})
}

// newSuccessor returns a leader that follows process 1, which may still send grants.
func newSuccessor(t *testing.T) (*Leader, map[string]Target) {
	t.Helper()
	first, view, _ := newCluster(t, 4)
	record := first.Record()
	record.LeaderIncarnation = "1"
	return NewLeader(record.NextLeader("b", LeaderProcess{Incarnation: "2"}, 0), MaxLeaseDuration, testStart), view
}

// TestKilledPredecessor guards against two owners after two changes of leader: the record
// names a leader that was killed until targets can apply none of its grants, though it is
// queried no more.
func TestKilledPredecessor(t *testing.T) {
	l, _ := newSuccessor(t)
	l.PredecessorKilled("1", testStart)
	if got := len(l.Predecessors(testStart)); got != 0 {
		t.Errorf("earlier leaders to query: got %d, want 0", got)
	}
	expired := testStart.Add(orderTimeout + leaseExpiryBound)
	for _, c := range []struct {
		at   time.Time
		want int
	}{{at: expired.Add(-time.Nanosecond), want: 1}, {at: expired, want: 0}} {
		l.DropFormerOwners(nil, c.at)
		if got := len(l.Record().Earlier); got != c.want {
			t.Errorf("earlier leaders in the record after %v: got %d, want %d", c.at.Sub(testStart), got, c.want)
		}
	}
}

// TestDrainingOwnerAfterTakeover guards against keys without an owner while a new leader
// waits for grants of one that was killed: a draining owner keeps its keys until it has
// accepted a grant that makes it refuse them.
func TestDrainingOwnerAfterTakeover(t *testing.T) {
	l, view := newSuccessor(t)
	l.PredecessorKilled("1", testStart)
	draining := view["t01"]
	draining.Draining = true
	view["t01"] = draining
	loads := NewLoads(testStart)
	owned := func() int {
		n := 0
		for _, r := range l.Record().Services[testService] {
			if r.Owner.Target == "t01" {
				n++
			}
		}
		return n
	}
	want := owned()
	now := testStart
	for _, at := range []time.Duration{0, l.renewInterval()} {
		now = testStart.Add(at)
		l.Assign(testService, view, loads, now)
		if got := owned(); got != want {
			t.Errorf("ranges of the draining owner after %v: got %d, want %d", at, got, want)
		}
		completeOrders(t, l, view, now)
	}
	l.Assign(testService, view, loads, now)
	if got := owned(); got != 0 {
		t.Errorf("ranges of the draining owner after the renewal: got %d, want 0", got)
	}
	l.MarkPersisted(l.Record())
	wantReleased(t, l, view, now)
}

// TestMergedProof guards against a joined range that counts as proved by what only one of
// its parts has shown.
func TestMergedProof(t *testing.T) {
	earlier, later := testStart, testStart.Add(time.Second)
	for _, x := range [][2]rangeState{
		{{acceptedAt: earlier, unaccounted: later}, {acceptedAt: later, unaccounted: earlier}},
		{{acceptedAt: later, unaccounted: earlier}, {acceptedAt: earlier, unaccounted: later}},
	} {
		left, right := x[0], x[1]
		left.absorb(&right)
		if !left.acceptedAt.Equal(earlier) || !left.unaccounted.Equal(later) {
			t.Errorf("accepted and unaccounted: got %v and %v, want %v and %v", left.acceptedAt, left.unaccounted, earlier, later)
		}
	}
}
