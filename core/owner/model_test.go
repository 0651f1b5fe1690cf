package owner

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The model joins leaders, a store and targets with messages that are late or
// lost, and checks after each grant that no other target holds the keys.

const (
	modelService = "records"
	modelStep    = 200 * time.Millisecond
	// orderLife bounds how long an order may be on its way: the sender gives it
	// up then and closes its connection.
	orderLife = time.Second
)

type modelTarget struct {
	id    string
	born  int64
	slow  float64
	alive bool
	drain bool
	fence [Keys / modelGrain]int64
	until [Keys / modelGrain]time.Time
}

// modelGrain is the number of neighbouring keys that the model treats as one.
const modelGrain = 1024

type modelLeader struct {
	*Leader
	fresh time.Time
	cut   bool
	// flights are orders without an outcome.
	flights []*flight
}

type flight struct {
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
		m.targets[id] = &modelTarget{id: id, born: 1, slow: 1 + 0.02*float64(i%2), alive: true}
	}
	m.loads = NewLoads(m.now)
	m.takeOver()
	// With all four targets, ranges begin at multiples of the grain.
	m.tick(m.newest())
	return m
}

func (m *model) view() map[string]Target {
	view := make(map[string]Target)
	for id, t := range m.targets {
		view[id] = Target{Incarnation: Incarnation{Target: id, Born: t.born}, Service: modelService, Slots: 2, Draining: t.drain}
	}
	return view
}

// takeOver has a new process lead; the one before may go on for a while.
func (m *model) takeOver() {
	a := *m.record
	a.Epoch++
	m.record = &a
	m.leaders = append(m.leaders, &modelLeader{Leader: NewLeader(&a, MaxLeaseDuration, m.now), fresh: m.now})
}

func (m *model) newest() *modelLeader { return m.leaders[len(m.leaders)-1] }

// tick has a leader do what is due. Only the newest one can write, and only it
// is proved to lead.
func (m *model) tick(l *modelLeader) {
	view := m.view()
	newest := l == m.newest()
	if newest && !l.cut {
		l.fresh = m.now
		l.Assign(modelService, view, m.loads, m.now)
		l.DropFormerOwners(view, m.now)
		if l.Dirty() {
			m.record = l.Record()
			l.MarkPersisted(m.record)
		}
	}
	if m.now.Sub(l.fresh) >= MaxProofAgeForRenewal {
		return
	}
	for _, o := range l.Orders(view, m.now.Sub(l.fresh) < MaxProofAgeForNewLease, m.now) {
		l.flights = append(l.flights, &flight{order: o, sent: m.now, leader: l})
	}
}

// deliver has an order reach its target, which may lose the answer.
func (m *model) deliver(l *modelLeader, i int, answered bool) {
	f := l.flights[i]
	l.flights = append(l.flights[:i], l.flights[i+1:]...)
	t := m.targets[f.order.Target.Target]
	out := Outcome{}
	switch {
	case !t.alive:
		out.Unsent = true
	case f.order.Renewal && t.born != f.order.Target.Born:
		// The connection has ended with that life.
		out.Unsent = true
	case f.order.Kind == Grant:
		out.Done, out.Fenced = m.grant(t, f.order)
	default:
		t.release(f.order)
		out.Done = true
	}
	if !answered {
		out = Outcome{}
	}
	l.HandleOutcome(f.order, out, m.now)
}

func (m *model) grant(t *modelTarget, o Order) (done, fenced bool) {
	for g := int(o.First) / modelGrain; g <= int(o.Last)/modelGrain; g++ {
		if t.fence[g] > o.FencingToken {
			return false, true
		}
	}
	for g := int(o.First) / modelGrain; g <= int(o.Last)/modelGrain; g++ {
		t.fence[g] = o.FencingToken
		t.until[g] = m.now.Add(time.Duration(float64(MaxLeaseDuration) * t.slow))
		m.checkSole(t, g)
	}
	return true, false
}

func (m *model) checkSole(holder *modelTarget, g int) {
	for _, other := range m.targets {
		if other != holder && other.alive && m.now.Before(other.until[g]) {
			m.t.Fatalf("keys from %d: got owners %s and %s, want one", g*modelGrain, holder.id, other.id)
		}
		if other != holder && other.fence[g] >= holder.fence[g] {
			m.t.Fatalf("keys from %d: got fencing token %d at %s after %d at %s, want a higher one",
				g*modelGrain, holder.fence[g], holder.id, other.fence[g], other.id)
		}
	}
}

func (t *modelTarget) release(o Order) {
	for g := int(o.First) / modelGrain; g <= int(o.Last)/modelGrain; g++ {
		if t.fence[g] <= o.FencingToken {
			t.until[g] = time.Time{}
		}
	}
}

// advance moves time on; orders that are too old end without an answer.
func (m *model) advance(d time.Duration) {
	m.now = m.now.Add(d)
	for _, l := range m.leaders {
		for i := 0; i < len(l.flights); i++ {
			if m.now.Sub(l.flights[i].sent) > orderLife {
				f := l.flights[i]
				l.flights = append(l.flights[:i], l.flights[i+1:]...)
				l.HandleOutcome(f.order, Outcome{}, m.now)
				i--
			}
		}
	}
}

// restart begins another life of a target, which holds nothing.
func (m *model) restart(t *modelTarget) {
	*t = modelTarget{id: t.id, born: t.born + 1, slow: t.slow, alive: true}
}

func (m *model) act() {
	switch rapid.IntRange(0, 11).Draw(m.t, "act") {
	case 0, 1, 2:
		m.advance(time.Duration(rapid.IntRange(1, 10).Draw(m.t, "steps")) * modelStep)
	case 3, 4, 5:
		for _, l := range m.leaders {
			m.tick(l)
		}
	case 6, 7, 8:
		l := rapid.SampledFrom(m.leaders).Draw(m.t, "leader")
		answered := rapid.IntRange(0, 4).Draw(m.t, "answered") > 0
		for len(l.flights) > 0 && m.now.Sub(l.flights[0].sent) <= orderLife {
			m.deliver(l, 0, answered)
		}
	case 9:
		if len(m.leaders) < 4 {
			m.takeOver()
		}
	case 10:
		l := rapid.SampledFrom(m.leaders).Draw(m.t, "cut")
		l.cut = !l.cut
	case 11:
		m.disturbTarget()
	}
}

func (m *model) disturbTarget() {
	t := m.targets[rapid.SampledFrom([]string{"t0", "t1", "t2", "t3"}).Draw(m.t, "target")]
	switch rapid.IntRange(0, 3).Draw(m.t, "disturbance") {
	case 0:
		t.alive = false
	case 1:
		m.restart(t)
	case 2:
		t.drain = !t.drain
	case 3:
		first := uint16(rapid.IntRange(0, Keys/modelGrain-1).Draw(m.t, "first") * modelGrain)
		m.newest().Move(modelService, first, first+modelGrain-1, Incarnation{Target: t.id, Born: t.born}, m.now)
	}
}

// TestOneOwner checks that no two targets hold a key, and that fencing tokens
// rise, whatever is late, lost, cut off or started again.
func TestOneOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		for range rapid.IntRange(20, 150).Draw(t, "length") {
			m.act()
		}
	})
}
