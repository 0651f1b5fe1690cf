package owner

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The model runs leaders, a store and targets with messages that are delayed or
// lost, and checks after each grant that no other target holds the keys.
//
// A grant that has reached a target may be applied at any later moment until its lease
// has ended, which is counted from the arrival: after releases, after newer grants, and
// after the process that sent it was killed. The target refuses it only if it has
// accepted a grant with a higher fencing token on one of the keys since its start.

const (
	modelService = "records"
	modelStep    = 200 * time.Millisecond
	// modelOrderTimeout bounds the time that an order is in flight: after that
	// the sender gives up and closes its connection.
	modelOrderTimeout = time.Second
	// maxModelLeaders bounds the changes of leader in one run.
	maxModelLeaders = 6
	// modelFirstEra is the era of a store that has lost nothing yet.
	modelFirstEra = 1
)

type modelLeader struct {
	*Leader
	// era is the store's era in which the leader claimed.
	era          int64
	lastProof    time.Time
	disconnected bool
	// stopped is set once the leader has read the record of a later one, or its process
	// was killed.
	stopped  bool
	killedAt time.Time
	// view is what the leader knows of the targets, and connections are the connections on
	// which it sends them grants. Leaders of one process share the connections.
	view        storeView
	connections connections
	// inFlight holds the orders without an outcome.
	inFlight []*orderInFlight
}

type orderInFlight struct {
	order  Order
	sent   time.Time
	leader *modelLeader
	// arrived is when the order reached its target, which may apply it late; zero if it
	// has not.
	arrived time.Time
	// born is the incarnation that it reached.
	born int64
	// connectedAt is when the connection was opened on which it was sent, zero if on none.
	connectedAt time.Time
}

type model struct {
	// t is nil outside of rapid's tests.
	t *rapid.T
	// fail reports that a rule is broken.
	fail func(format string, args ...any)
	// pending holds the grants that targets may apply late.
	pending []*orderInFlight
	now     time.Time
	record  *Assignment
	// era rises by one each time the store comes back from an older copy. stored holds the
	// records in the store, written all that ever were, also those that the store lost.
	era       int64
	stored    []*Assignment
	history   []*Assignment
	processes int
	targets   map[string]*modelTarget
	// entries holds what the targets have written to the store. While the store is away, it
	// can't be read or written.
	entries map[string]modelEntry
	away    bool
	leaders []*modelLeader
	loads   *Loads
}

func newModel(fail func(format string, args ...any)) *model {
	m := &model{fail: fail, now: time.Unix(1000, 0), targets: make(map[string]*modelTarget), entries: make(map[string]modelEntry), record: &Assignment{}, era: modelFirstEra}
	m.stored = []*Assignment{m.record}
	for i := range 4 {
		id := fmt.Sprint("t", i)
		m.targets[id] = &modelTarget{id: id, born: 1, clockFactor: 1 + 0.02*float64(i%2), alive: true}
	}
	m.loads = NewLoads(m.now)
	m.writeEntries(0)
	m.takeOver()
	// With all four targets, ranges start at multiples of modelBlockKeys.
	m.tick(m.newest())
	return m
}

// takeOver makes a new process the leader. The previous one may continue for a
// while.
func (m *model) takeOver() { m.takeOverFrom(m.record) }

func (m *model) takeOverFrom(known *Assignment) {
	m.processes++
	m.lead(fmt.Sprint("process ", m.processes), known)
}

// lead makes a process the leader, on top of the record that it knows.
func (m *model) lead(process string, known *Assignment) {
	m.write(known.NextLeader(process, LeaderProcess{Incarnation: process}, m.era))
	m.leaders = append(m.leaders, &modelLeader{
		Leader: NewLeader(m.record, MaxLeaseDuration, m.now), lastProof: m.now, era: m.era, connections: m.connectionsOf(process),
	})
}

// connectionsOf returns the connections of a process.
func (m *model) connectionsOf(process string) connections {
	for _, l := range m.leaders {
		if l.record.LeaderIncarnation == process {
			return l.connections
		}
	}
	return make(connections)
}

// write stores a record.
func (m *model) write(a *Assignment) {
	m.record = a
	m.stored, m.history = append(m.stored, a), append(m.history, a)
}

// leadAgain makes the process of an earlier leader the leader once more, if it has stepped
// down and can account for its grants.
func (m *model) leadAgain(l *modelLeader) {
	if process := l.record.LeaderIncarnation; m.accounted(process) {
		m.lead(process, m.record)
	}
}

// accounted reports whether a process has stepped down, awaits no response to a grant and has
// got none to one that may still be applied. A process that was killed never does.
func (m *model) accounted(process string) bool {
	for _, l := range m.leaders {
		if l.record.LeaderIncarnation != process {
			continue
		}
		grants := slices.ContainsFunc(l.inFlight, func(f *orderInFlight) bool { return f.order.Kind == Grant })
		if !l.stopped || !l.killedAt.IsZero() || grants || m.now.Before(l.UnaccountedUntil()) {
			return false
		}
	}
	return true
}

// stepDown makes a leader read the record of a later one. The newest leader knows of
// it if it has the record of its own claim, and the process of the stopped leader can
// account for all grants.
func (m *model) stepDown(l *modelLeader) {
	if l == m.newest() || !l.killedAt.IsZero() || !m.newest().killedAt.IsZero() {
		return
	}
	l.stopped = true
	if process := l.record.LeaderIncarnation; m.accounted(process) {
		m.newest().PredecessorEnded(process, m.now)
	}
}

// stop makes a leader read the record of a later one, which then learns which of its grants targets may
// still apply, if none awaits a response.
func (m *model) stop(l *modelLeader) {
	if l == m.newest() || !l.killedAt.IsZero() || !m.newest().killedAt.IsZero() {
		return
	}
	l.stopped = true
	var all []UnaccountedGrant
	process := l.record.LeaderIncarnation
	for _, l := range m.leaders {
		if l.record.LeaderIncarnation != process {
			continue
		}
		inFlight := slices.ContainsFunc(l.inFlight, func(f *orderInFlight) bool { return f.order.Kind == Grant })
		grants, complete := l.UnaccountedGrants(m.now)
		if !l.stopped || !l.killedAt.IsZero() || inFlight || !complete {
			return
		}
		all = append(all, grants...)
	}
	m.newest().PredecessorStopped(process, m.now, all)
}

// kill ends a leader's process. Orders that it has sent may still arrive.
func (m *model) kill(l *modelLeader) {
	if m.writes(l) || l.stopped {
		return
	}
	l.stopped, l.killedAt = true, m.now
}

// proveKilled lets the newest leader know of a leader whose process was killed.
func (m *model) proveKilled(l *modelLeader) {
	if !l.killedAt.IsZero() {
		m.newest().PredecessorKilled(l.record.LeaderIncarnation, l.killedAt)
	}
}

func (m *model) newest() *modelLeader { return m.leaders[len(m.leaders)-1] }

// writes reports whether a leader is the one that the store's record names in the present
// era.
func (m *model) writes(l *modelLeader) bool { return l == m.newest() && l.era == m.era }

// tick runs one round of a leader. Only the newest leader can write to the
// store and renew its proof of leadership.
func (m *model) tick(l *modelLeader) {
	if l.stopped {
		return
	}
	m.readStore(l)
	targets := l.view.targets(m.now)
	l.DropFormerOwners(targets, m.now)
	if m.writes(l) && !l.disconnected && !m.away {
		l.lastProof = m.now
		l.Assign(modelService, targets, m.loads, m.now)
		l.DropFormerOwners(targets, m.now)
		l.Merge(modelService)
		if l.Unsaved() && m.written() {
			m.write(l.Record())
			l.MarkPersisted(m.record)
		}
	}
	m.send(l)
}

// send sends the orders of a leader that are due.
func (m *model) send(l *modelLeader) {
	if l.stopped || m.now.Sub(l.lastProof) >= MaxProofAgeForRenewal {
		return
	}
	for _, o := range l.Orders(l.view.targets(m.now), m.now.Sub(l.lastProof) < MaxProofAgeForNewLease, m.now) {
		l.inFlight = append(l.inFlight, &orderInFlight{order: o, sent: m.now, leader: l})
	}
}

// written reports whether a record reaches the store. Until it does, its changes count
// for its leader alone.
func (m *model) written() bool {
	return m.t == nil || rapid.IntRange(0, 7).Draw(m.t, "written") > 0
}

// advance moves the clock. Orders without a response end modelOrderTimeout after they
// were sent.
func (m *model) advance(d time.Duration) {
	m.now = m.now.Add(d)
	m.writeEntries(d)
	for _, l := range m.leaders {
		for _, flight := range slices.Clone(l.inFlight) {
			if m.now.Sub(flight.sent) > modelOrderTimeout {
				m.end(flight, Outcome{}, flight.sent.Add(modelOrderTimeout))
			}
		}
	}
}

func (m *model) step() {
	switch rapid.IntRange(0, 20).Draw(m.t, "action") {
	case 0, 1, 2:
		m.advance(time.Duration(rapid.IntRange(1, 10).Draw(m.t, "steps")) * modelStep)
	case 3, 4, 5:
		for _, l := range m.leaders {
			m.tick(l)
		}
	case 6, 7, 8:
		l := rapid.SampledFrom(m.leaders).Draw(m.t, "leader")
		how := answered
		if rapid.IntRange(0, 4).Draw(m.t, "responded") == 0 {
			how = unanswered
		}
		m.deliverAll(l, how)
	case 9:
		switch l := rapid.SampledFrom(m.leaders).Draw(m.t, "leader again"); {
		case m.away || len(m.leaders) >= maxModelLeaders:
		case rapid.Bool().Draw(m.t, "new process"):
			m.takeOver()
		default:
			m.leadAgain(l)
		}
	case 10:
		l := rapid.SampledFrom(m.leaders).Draw(m.t, "disconnected")
		l.disconnected = !l.disconnected
	case 11:
		m.injectTargetFault()
	case 12, 13:
		m.stepDown(rapid.SampledFrom(m.leaders).Draw(m.t, "stopped"))
	case 14:
		m.stop(rapid.SampledFrom(m.leaders).Draw(m.t, "stopped with grants under way"))
	default:
		m.stepLate()
	}
}

// stepLate lets a grant arrive that may be applied late, applies one, or kills a leader.
func (m *model) stepLate() {
	switch rapid.IntRange(0, 7).Draw(m.t, "late") {
	case 0, 1:
		l := rapid.SampledFrom(m.leaders).Draw(m.t, "leader of late grants")
		m.deliverAll(l, late)
	case 2, 3, 4, 5:
		if len(m.pending) > 0 {
			flight := rapid.SampledFrom(m.pending).Draw(m.t, "pending")
			m.applyLate(flight, rapid.Bool().Draw(m.t, "responded late"))
		}
	case 6:
		m.kill(rapid.SampledFrom(m.leaders).Draw(m.t, "killed"))
	case 7:
		for _, l := range m.leaders {
			m.proveKilled(l)
		}
	}
}

func (m *model) injectTargetFault() {
	t := m.targets[rapid.SampledFrom([]string{"t0", "t1", "t2", "t3"}).Draw(m.t, "target")]
	switch rapid.IntRange(0, 3).Draw(m.t, "fault") {
	case 0:
		t.alive = false
	case 1:
		m.restart(t)
	case 2:
		t.draining = !t.draining
	case 3:
		first := uint16(rapid.IntRange(0, Keys/modelBlockKeys-1).Draw(m.t, "first") * modelBlockKeys)
		m.newest().Move(modelService, first, first+modelBlockKeys-1, Incarnation{Target: t.id, Born: t.born}, m.now)
	}
}

// TestOneOwner checks that no two targets hold a key and that fencing tokens
// increase, while messages are delayed or lost, leaders are disconnected or
// replaced or killed, and targets fail, drain, restart or apply grants late.
func TestOneOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t.Fatalf)
		m.t = t
		for range rapid.IntRange(20, 150).Draw(t, "length") {
			m.step()
		}
	})
}
