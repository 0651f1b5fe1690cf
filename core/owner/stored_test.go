package owner

import (
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// spreadingModel is the model with a newest leader that moves several ranges in a round, and goes
// on to change the assignment before it has read its last write back.
type spreadingModel struct {
	*model
	written *Assignment
	writer  *modelLeader
}

// round moves some ranges, as a round of rebalancing does.
func (m *spreadingModel) round() {
	l := m.newest()
	if l.stopped || l.disconnected || !m.writes(l) {
		return
	}
	for range rapid.IntRange(0, 4).Draw(m.t, "moves") {
		first := uint16(rapid.IntRange(0, Keys/modelBlockKeys-1).Draw(m.t, "first moved") * modelBlockKeys)
		t := m.targets[rapid.SampledFrom([]string{"t0", "t1", "t2", "t3"}).Draw(m.t, "receiver")]
		if l.noNewPredecessorLeases(m.now) {
			l.Move(modelService, first, first+modelBlockKeys-1, Incarnation{Target: t.id, Born: t.born}, m.now)
		}
	}
	l.DropFormerOwners(m.targetViews(), m.now)
}

// store writes the assignment.
func (m *spreadingModel) store() {
	if l := m.newest(); l.Unsaved() && !l.stopped && !l.disconnected && m.writes(l) {
		l.lastProof = m.now
		m.write(l.Record())
		m.written, m.writer = m.record, l
	}
}

// readBack lets the newest leader read its last write back.
func (m *spreadingModel) readBack() {
	l := m.newest()
	if m.written == nil || m.writer != l || m.record != m.written || l.stopped {
		return
	}
	l.MarkStored(m.written)
	if reflect.DeepEqual(m.written, l.Record()) {
		l.MarkPersisted(l.Record())
	}
	m.written = nil
}

// sendOrders lets the newest leader send orders for what is persisted.
func (m *spreadingModel) sendOrders() {
	l := m.newest()
	if l.stopped || m.now.Sub(l.lastProof) >= MaxProofAgeForRenewal {
		return
	}
	for _, o := range l.Orders(m.targetViews(), m.now.Sub(l.lastProof) < MaxProofAgeForNewLease, m.now) {
		l.inFlight = append(l.inFlight, &orderInFlight{order: o, sent: m.now, leader: l})
	}
}

// TestOneOwnerWhileSpreading checks what TestOneOwner does, where ranges change between the write of
// the assignment and its read.
func TestOneOwnerWhileSpreading(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &spreadingModel{model: newModel(t.Fatalf)}
		m.t = t
		for range rapid.IntRange(20, 150).Draw(t, "length") {
			switch rapid.IntRange(0, 8).Draw(t, "spreading") {
			case 0, 1:
				m.round()
			case 2:
				m.store()
			case 3:
				m.readBack()
			case 4:
				m.sendOrders()
			default:
				m.step()
			}
		}
	})
}

// TestStoredWhileChanging guards against a move that waits for a write of its own because another
// range has changed since the one that contains it.
func TestStoredWhileChanging(t *testing.T) {
	l, targets, _ := newCluster(t, 4)
	now := testStart.Add(time.Second)
	to := targets[targetID(0)].Incarnation
	move := func(first uint16) {
		if !l.Move(testService, first, first+9, to, now) {
			t.Fatalf("move of key %d: got none, want one", first)
		}
	}
	releases := func() (firsts []uint16) {
		for _, o := range l.Orders(targets, true, now) {
			if o.Kind == Release {
				firsts = append(firsts, o.First)
			}
		}
		return firsts
	}
	moved, changed := l.services[testService][1].first, l.services[testService][2].first
	move(moved)
	written := l.Record()
	move(changed)
	l.MarkStored(written)
	if got, want := releases(), []uint16{moved}; !reflect.DeepEqual(got, want) {
		t.Errorf("releases after the first write: got %v, want %v", got, want)
	}
	if !l.Unsaved() {
		t.Error("second move: got a saved assignment, want one to be written")
	}
	t.Run("keeps its owner while a former one is not in the store", func(t *testing.T) {
		l.MarkStored(&Assignment{Services: map[string][]Range{testService: {{Last: Keys - 1, Owner: to}}}})
		if got := releases(); len(got) > 0 {
			t.Errorf("releases: got %v, want none", got)
		}
	})
}
