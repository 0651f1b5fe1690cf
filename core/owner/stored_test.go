package owner

import (
	"reflect"
	"slices"
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

// serve has the newest leader send its orders until they lead to no others, and targets answer them.
func (m *spreadingModel) serve() {
	l := m.newest()
	for range 2 {
		m.send(l)
		m.deliverAll(l, answered)
		if !l.stopped {
			l.DropFormerOwners(m.targetViews(), m.now)
		}
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
				m.serve()
			default:
				m.step()
			}
		}
	})
}

// TestStoredWhileChanging guards against a move that waits for a write of its own because another
// range has changed since the one that contains it, and against one that does not wait for its own.
func TestStoredWhileChanging(t *testing.T) {
	l, targets, _ := newCluster(t, 4)
	now, to := testStart.Add(time.Second), targets[targetID(0)].Incarnation
	wantReleases := func(stored *Assignment, want ...uint16) {
		t.Helper()
		l.MarkStored(stored)
		var got []uint16
		for _, o := range l.Orders(targets, true, now) {
			if o.Kind == Release {
				got = append(got, o.First)
			}
		}
		if !slices.Equal(got, want) || !l.Unsaved() {
			t.Errorf("releases: got %v, unsaved %t, want %v and a change to be written", got, l.Unsaved(), want)
		}
	}
	var written *Assignment
	moved, changed := l.services[testService][1].first, l.services[testService][2].first
	for _, first := range []uint16{moved, changed} {
		written = l.Record()
		if !l.Move(testService, first, first+9, to, now) {
			t.Fatalf("move of key %d: got none, want one", first)
		}
	}
	wantReleases(written, moved)
	// A record without the former owner: a later leader would not know of it.
	wantReleases(&Assignment{Services: map[string][]Range{testService: {{Last: Keys - 1, Owner: to}}}})
}
