package plan

import (
	"testing"

	"pineturn/core/member"
	"pineturn/core/message"
	"pineturn/core/record"
	"pineturn/core/shard"
)

// reassignedTargets plans a round in which the leaseholder of both targets is
// leaving and another host is ready. It returns the targets for which a
// leaseholder is proposed.
func (f *fixture) reassignedTargets() map[string]bool {
	f.t.Helper()
	other := record.Incarnation{Host: "host-2", Run: 1}
	if !f.state.Members().Has(other) {
		f.fold(record.Op{Join: &record.Join{Member: record.Member{Incarnation: other}, Expect: 1}})
	}
	tracker := member.New(f.self, member.DefaultSuspicion, f.now)
	tracker.Sync(f.state.Members(), f.now)
	tracker.RecordPong(message.Pong{From: other, Next: f.state.Next(), Ready: true}, f.now, f.now)
	acting := func(record.Target) (record.Incarnation, bool) { return record.Incarnation{}, false }
	reassigned := map[string]bool{}
	for _, op := range f.planner.Propose(Input{State: f.state, Tracker: tracker, Now: f.now, Leaving: true, PromisedLeaseholder: acting}) {
		if op.Lead != nil {
			reassigned[op.Lead.Target.Name] = true
		}
	}
	return reassigned
}

func TestLeavingLeaseholder(t *testing.T) {
	movedShard := shard.ID{Service: "desk", Group: "all", Index: 0}
	assertReassigned := func(t *testing.T, reassigned map[string]bool, name string, want bool) {
		t.Helper()
		if got := reassigned[name]; got != want {
			t.Errorf("target %s has a new leaseholder: got %v, want %v", name, got, want)
		}
	}
	t.Run("hands over its targets", func(t *testing.T) {
		reassigned := newFixture(t).reassignedTargets()
		assertReassigned(t, reassigned, "a", true)
		assertReassigned(t, reassigned, "b", true)
	})
	t.Run("keeps a target that shards are moving to", func(t *testing.T) {
		f := newFixture(t)
		f.fold(record.Op{Assign: &record.Assign{Shard: movedShard, Target: "b", Expect: 1}})
		reassigned := f.reassignedTargets()
		assertReassigned(t, reassigned, "a", true)
		assertReassigned(t, reassigned, "b", false)
		f.fold(record.Op{Settle: &record.Settle{Shard: movedShard, Epoch: 2}})
		assertReassigned(t, f.reassignedTargets(), "b", true)
	})
}
