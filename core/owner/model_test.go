package owner

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The model runs leaders, a store and targets with messages that are delayed or
// lost, and checks after each grant that no other target holds the keys.

const (
	modelService = "records"
	modelStep    = 200 * time.Millisecond
	// modelOrderTimeout bounds the time that an order is in flight: after that
	// the sender gives up and closes its connection.
	modelOrderTimeout = time.Second
)

type modelTarget struct {
	id            string
	born          int64
	clockFactor   float64
	alive         bool
	draining      bool
	fencingTokens [Keys / modelBlockKeys]int64
	leasedUntil   [Keys / modelBlockKeys]time.Time
}

// modelBlockKeys is the number of adjacent keys that the model treats as one.
const modelBlockKeys = 1024

type modelLeader struct {
	*Leader
	lastProof    time.Time
	disconnected bool
	// stopped is set once the leader has read the record of a later one.
	stopped bool
	// inFlight holds the orders without an outcome.
	inFlight []*orderInFlight
}

type orderInFlight struct {
	order  Order
	sent   time.Time
	leader *modelLeader
}

type model struct {
	t       *rapid.T
	now     time.Time
	record  *Assignment
	targets map[string]*modelTarget
	leaders []*modelLeader
	loads   *Loads
}

func newModel(t *rapid.T) *model {
	m := &model{t: t, now: time.Unix(1000, 0), targets: make(map[string]*modelTarget), record: &Assignment{}}
	for i := range 4 {
		id := fmt.Sprint("t", i)
		m.targets[id] = &modelTarget{id: id, born: 1, clockFactor: 1 + 0.02*float64(i%2), alive: true}
	}
	m.loads = NewLoads(m.now)
	m.takeOver()
	// With all four targets, ranges start at multiples of modelBlockKeys.
	m.tick(m.newest())
	return m
}

func (m *model) targetViews() map[string]Target {
	views := make(map[string]Target)
	for id, t := range m.targets {
		views[id] = Target{Incarnation: Incarnation{Target: id, Born: t.born}, Service: modelService, Slots: 2, Draining: t.draining}
	}
	return views
}

// takeOver makes a new process the leader. The previous one may continue for a
// while.
func (m *model) takeOver() {
	name := fmt.Sprint("process ", m.record.Epoch+1)
	m.record = m.record.NextLeader(name, LeaderProcess{Incarnation: name})
	m.leaders = append(m.leaders, &modelLeader{Leader: NewLeader(m.record, MaxLeaseDuration, m.now), lastProof: m.now})
}

// stepDown makes a leader read the record of a later one. The newest leader knows of
// it if it has the record of its own claim and the stopped leader awaits no response
// to a grant.
func (m *model) stepDown(l *modelLeader) {
	if l == m.newest() {
		return
	}
	l.stopped = true
	for _, flight := range l.inFlight {
		if flight.order.Kind == Grant {
			return
		}
	}
	m.newest().PredecessorEnded(l.record.LeaderIncarnation, m.now)
}

func (m *model) newest() *modelLeader { return m.leaders[len(m.leaders)-1] }

// tick runs one round of a leader. Only the newest leader can write to the
// store and renew its proof of leadership.
func (m *model) tick(l *modelLeader) {
	targets := m.targetViews()
	newest := l == m.newest()
	if newest && !l.disconnected {
		l.lastProof = m.now
		l.Assign(modelService, targets, m.loads, m.now)
		l.DropFormerOwners(targets, m.now)
		l.Merge(modelService)
		if l.Unsaved() {
			m.record = l.Record()
			l.MarkPersisted(m.record)
		}
	}
	if l.stopped || m.now.Sub(l.lastProof) >= MaxProofAgeForRenewal {
		return
	}
	for _, o := range l.Orders(targets, m.now.Sub(l.lastProof) < MaxProofAgeForNewLease, m.now) {
		l.inFlight = append(l.inFlight, &orderInFlight{order: o, sent: m.now, leader: l})
	}
}

// deliver delivers an order to its target. If responded is false, the
// response is lost.
func (m *model) deliver(l *modelLeader, i int, responded bool) {
	flight := l.inFlight[i]
	l.inFlight = append(l.inFlight[:i], l.inFlight[i+1:]...)
	t := m.targets[flight.order.Target.Target]
	outcome := Outcome{}
	switch {
	case !t.alive:
		outcome.Unsent = true
	case flight.order.Renewal && t.born != flight.order.Target.Born:
		// The connection closed when that incarnation ended.
		outcome.Unsent = true
	case flight.order.Kind == Grant:
		outcome.Done, outcome.Fenced = m.grant(t, flight.order)
	default:
		t.release(flight.order)
		outcome.Done = true
	}
	if !responded {
		outcome = Outcome{}
	}
	l.HandleOutcome(flight.order, outcome, m.now)
}

func (m *model) grant(t *modelTarget, o Order) (done, fenced bool) {
	for block := int(o.First) / modelBlockKeys; block <= int(o.Last)/modelBlockKeys; block++ {
		if t.fencingTokens[block] > o.FencingToken {
			return false, true
		}
	}
	for block := int(o.First) / modelBlockKeys; block <= int(o.Last)/modelBlockKeys; block++ {
		t.fencingTokens[block] = o.FencingToken
		t.leasedUntil[block] = m.now.Add(time.Duration(float64(MaxLeaseDuration) * t.clockFactor))
		m.checkSingleOwner(t, block)
	}
	return true, false
}

func (m *model) checkSingleOwner(owner *modelTarget, block int) {
	for _, other := range m.targets {
		if other != owner && other.alive && m.now.Before(other.leasedUntil[block]) {
			m.t.Fatalf("keys from %d: got owners %s and %s, want one", block*modelBlockKeys, owner.id, other.id)
		}
		if other != owner && other.fencingTokens[block] >= owner.fencingTokens[block] {
			m.t.Fatalf("keys from %d: got fencing token %d at %s after %d at %s, want a higher one",
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

// advance moves the clock. Orders older than modelOrderTimeout end without a
// response.
func (m *model) advance(d time.Duration) {
	m.now = m.now.Add(d)
	for _, l := range m.leaders {
		for i := 0; i < len(l.inFlight); i++ {
			if m.now.Sub(l.inFlight[i].sent) > modelOrderTimeout {
				flight := l.inFlight[i]
				l.inFlight = append(l.inFlight[:i], l.inFlight[i+1:]...)
				l.HandleOutcome(flight.order, Outcome{}, m.now)
				i--
			}
		}
	}
}

// restart starts a new incarnation of a target, which holds no leases.
func (m *model) restart(t *modelTarget) {
	*t = modelTarget{id: t.id, born: t.born + 1, clockFactor: t.clockFactor, alive: true}
}

func (m *model) step() {
	switch rapid.IntRange(0, 13).Draw(m.t, "action") {
	case 0, 1, 2:
		m.advance(time.Duration(rapid.IntRange(1, 10).Draw(m.t, "steps")) * modelStep)
	case 3, 4, 5:
		for _, l := range m.leaders {
			m.tick(l)
		}
	case 6, 7, 8:
		l := rapid.SampledFrom(m.leaders).Draw(m.t, "leader")
		responded := rapid.IntRange(0, 4).Draw(m.t, "responded") > 0
		for len(l.inFlight) > 0 && m.now.Sub(l.inFlight[0].sent) <= modelOrderTimeout {
			m.deliver(l, 0, responded)
		}
	case 9:
		if len(m.leaders) < 4 {
			m.takeOver()
		}
	case 10:
		l := rapid.SampledFrom(m.leaders).Draw(m.t, "disconnected")
		l.disconnected = !l.disconnected
	case 11:
		m.injectTargetFault()
	case 12, 13:
		m.stepDown(rapid.SampledFrom(m.leaders).Draw(m.t, "stopped"))
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
// replaced, and targets fail, drain or restart.
func TestOneOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		for range rapid.IntRange(20, 150).Draw(t, "length") {
			m.step()
		}
	})
}
