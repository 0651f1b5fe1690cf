package owner

import (
	"fmt"
	"testing"
	"time"
)

// restartPlay is a model in which t0 starts again, beside leaders that may not learn of it for a while.
type restartPlay struct {
	*model
	// unanswered is the number of rounds in which releases get no answer, released that of the releases answered.
	unanswered, released int
}

// newRestartPlay returns a play of which the leader has renewed its leases for a time.
func newRestartPlay(t *testing.T, renewed time.Duration, unanswered int) *restartPlay {
	t.Helper()
	m := &restartPlay{unanswered: unanswered, model: newModel(func(format string, args ...any) {
		t.Helper()
		t.Fatalf(format, args...)
	})}
	m.play(renewed)
	return m
}

// play lets all leaders run for a time. Grants are answered.
func (m *restartPlay) play(d time.Duration) {
	for end := m.now.Add(d); m.now.Before(end); m.advance(modelStep) {
		for _, l := range m.leaders {
			m.tick(l)
			m.answerGrants(l)
		}
	}
}

// playDrained lets all leaders run until all leases have had the time to move.
func (m *restartPlay) playDrained() {
	m.targets["t0"].draining = true
	m.writeEntries(0)
	m.play(MaxProofAgeForRenewal + 3*leaseExpiryBound)
}

func (m *restartPlay) answerGrants(l *modelLeader) {
	answers := false
	for _, flight := range append([]*orderInFlight(nil), l.inFlight...) {
		if flight.order.Kind == Release && m.unanswered > 0 {
			answers = true
			continue
		}
		if flight.order.Kind == Release {
			m.released++
		}
		m.deliver(flight, answered)
	}
	if answers {
		m.unanswered--
	}
}

// wantMoved checks that t0 holds nothing any more and all keys have an owner.
func (m *restartPlay) wantMoved(t *testing.T) {
	t.Helper()
	m.wantLeased(t, true)
	for block, until := range m.targets["t0"].leasedUntil {
		if m.now.Before(until) {
			t.Fatalf("owner of keys from %d at the end: got t0, which drains, want another", block*modelBlockKeys)
		}
	}
}

// restartSilently starts t0 again. It writes nothing to the store for a time.
func (m *restartPlay) restartSilently(d time.Duration) {
	t := m.targets["t0"]
	*t = modelTarget{id: t.id, born: t.born + 1, clockFactor: t.clockFactor, alive: true, silentUntil: m.now.Add(d)}
}

// wantOneOwnerAndMove plays a restart of t0 with each of some durations, at all phases of a renewal, and with some numbers
// of rounds in which releases get no answer. Then t0 drains. No two targets may have held a key, and all must have moved.
func wantOneOwnerAndMove(t *testing.T, durations []time.Duration, play func(m *restartPlay, d time.Duration)) {
	t.Helper()
	const renewed = 40 * modelStep
	for _, d := range durations {
		for phase := range 10 {
			for _, unanswered := range []int{0, 2, 40} {
				t.Run(fmt.Sprintf("%v, phase %d, %d rounds of releases unanswered", d, phase, unanswered), func(t *testing.T) {
					m := newRestartPlay(t, renewed+time.Duration(phase)*modelStep, unanswered)
					play(m, d)
					m.playDrained()
					m.wantMoved(t)
				})
			}
		}
	}
}

// TestRestartWithoutStore guards against two owners of a key: the leader renews leases of a target that has started
// again while the store is away, on the connection that the new incarnation has accepted, and takes them for those
// of the earlier one.
func TestRestartWithoutStore(t *testing.T) {
	outages := []time.Duration{2 * time.Second, 5 * time.Second, 7 * time.Second, 12 * time.Second}
	wantOneOwnerAndMove(t, outages, func(m *restartPlay, outage time.Duration) {
		m.away = true
		m.restart(m.targets["t0"])
		m.play(outage)
		m.away = false
	})
}

// TestRestartBeforeEntry is TestRestartWithoutStore for a target that is cut off from the store, of which the earlier
// entry stays until it lapses.
func TestRestartBeforeEntry(t *testing.T) {
	silences := []time.Duration{modelStep, modelEntryLifetime - modelStep, 2 * modelEntryLifetime}
	wantOneOwnerAndMove(t, silences, func(m *restartPlay, silent time.Duration) {
		m.restartSilently(silent)
		m.play(silent)
	})
}

// TestRestartBesideEarlierLeader guards against two owners of a key: a leader that is cut off renews leases of a target
// that has started again, and the next leader takes them for those of the earlier incarnation.
func TestRestartBesideEarlierLeader(t *testing.T) {
	takenOver := []time.Duration{modelStep, time.Second, 3 * time.Second}
	wantOneOwnerAndMove(t, takenOver, func(m *restartPlay, later time.Duration) {
		m.newest().disconnected = true
		m.restart(m.targets["t0"])
		m.play(later)
		m.takeOver()
	})
}

// TestRestartAfterLaterLeader is TestRestartBesideEarlierLeader for a target that has accepted a grant of the later
// leader before it starts again.
func TestRestartAfterLaterLeader(t *testing.T) {
	restarted := []time.Duration{modelStep, time.Second, 2 * time.Second}
	wantOneOwnerAndMove(t, restarted, func(m *restartPlay, later time.Duration) {
		m.newest().disconnected = true
		m.takeOver()
		m.play(later)
		m.restart(m.targets["t0"])
	})
}

// TestRestartedTwice is TestRestartAfterLaterLeader for a target that starts again twice. The keys stay with it the
// first time.
func TestRestartedTwice(t *testing.T) {
	var between []time.Duration
	for steps := range 6 {
		between = append(between, time.Duration(steps)*modelStep)
	}
	wantOneOwnerAndMove(t, between, func(m *restartPlay, d time.Duration) {
		m.newest().disconnected = true
		m.takeOver()
		m.play(modelStep)
		m.restart(m.targets["t0"])
		m.play(d)
		m.restart(m.targets["t0"])
	})
}

// TestProbeOnLaterConnection guards against two owners of a key after the store has lost records: the renewal that is
// to show that no lost leader has moved the keys is accepted by an incarnation that no such leader can have reached.
func TestProbeOnLaterConnection(t *testing.T) {
	for _, c := range []struct {
		name  string
		later time.Duration
		want  bool
	}{
		{name: "connection of the lease", want: true},
		{name: "later connection", later: time.Millisecond, want: false},
	} {
		t.Run(c.name, func(t *testing.T) {
			l, view, _ := newCluster(t, 4)
			record := l.Record().NextLeader("a", LeaderProcess{Incarnation: "1"}, 2)
			now := testStart.Add(time.Second)
			l = l.Succeed(record, testStart, now)
			now = now.Add(MaxProofAgeForNewLease + orderTimeout)
			probes := l.Orders(view, true, now)
			if len(probes) == 0 {
				t.Fatal("renewals under the token of the earlier era: got none, want some")
			}
			for _, o := range probes {
				l.HandleOutcome(o, Outcome{Done: true, ConnectedAt: testStart.Add(c.later)}, now)
			}
			grants := l.Orders(view, true, now)
			if got := len(grants) > 0; got != c.want {
				t.Errorf("ranges are granted after the renewals: got %t, want %t", got, c.want)
			}
		})
	}
}

// TestKeysOfRestartedTarget guards against keys without an owner after a target has started again: the later
// incarnation is granted the keys at once, as nobody but itself can hold them, and none of its leases is released.
func TestKeysOfRestartedTarget(t *testing.T) {
	// most is the longest time without an owner: a round to see the entry, one to write the record, and one to grant.
	const most = 3 * modelStep
	for _, c := range []struct {
		name string
		// before happens when the leases have been renewed for a time, and after when the target has started again.
		before, after func(m *restartPlay)
	}{
		{name: "seen at once"},
		{name: "seen after an outage of the store", before: func(m *restartPlay) { m.away = true }, after: func(m *restartPlay) {
			m.play(5 * time.Second)
			m.away = false
			m.writeEntries(0)
		}},
		{name: "beside an earlier leader", before: func(m *restartPlay) {
			m.newest().disconnected = true
			m.takeOver()
			m.play(modelStep)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			for _, renewed := range []time.Duration{modelStep, 8 * time.Second} {
				m := newRestartPlay(t, renewed, 0)
				if c.before != nil {
					c.before(m)
				}
				m.restart(m.targets["t0"])
				if c.after != nil {
					c.after(m)
				}
				m.play(most)
				m.wantLeased(t, true)
				if m.released > 0 {
					t.Errorf("releases: got %d, want none", m.released)
				}
				m.playDrained()
				m.wantMoved(t)
			}
		})
	}
}

// TestNoProbeOnConnectionAfterProof guards against two owners of a key after the store has lost records: the owner's
// connection was opened after the last proof, so that its incarnation may not have seen the tokens of a lost leader.
func TestNoProbeOnConnectionAfterProof(t *testing.T) {
	for _, c := range []struct {
		name  string
		proof time.Time
		want  bool
	}{
		{name: "opened at the proof", proof: testStart, want: true},
		{name: "opened after the proof", proof: testStart.Add(-time.Millisecond), want: false},
	} {
		t.Run(c.name, func(t *testing.T) {
			l, view, _ := newCluster(t, 4)
			record := l.Record().NextLeader("a", LeaderProcess{Incarnation: "1"}, 2)
			now := testStart.Add(time.Second)
			next := l.Succeed(record, c.proof, now)
			if got := len(next.Orders(view, true, now.Add(MaxProofAgeForNewLease+orderTimeout))) > 0; got != c.want {
				t.Errorf("renewals under the token of the earlier era: got %t, want %t", got, c.want)
			}
		})
	}
}
