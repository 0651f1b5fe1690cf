package plan

import (
	"testing"

	"pineturn/core/member"
	"pineturn/core/message"
	"pineturn/core/record"
	"pineturn/core/shard"
)

// leavingLeads plans a round in which the leaseholder of both targets is
// leaving and another host is ready, and returns the targets led anew.
func (r *rig) leavingLeads() map[string]bool {
	r.t.Helper()
	other := record.Incarnation{Host: "host-2", Run: 1}
	if !r.state.Members().Has(other) {
		r.fold(record.Op{Join: &record.Join{Member: record.Member{Incarnation: other}, Expect: 1}})
	}
	tracker := member.New(r.self, member.DefaultSuspicion, r.now)
	tracker.Sync(r.state.Members(), r.now)
	tracker.RecordPong(message.Pong{From: other, Next: r.state.Next(), Ready: true}, r.now, r.now)
	acting := func(record.Target) (record.Incarnation, bool) { return record.Incarnation{}, false }
	led := map[string]bool{}
	for _, op := range r.planner.Propose(Input{State: r.state, Tracker: tracker, Now: r.now, Leaving: true, ActingLeaseholder: acting}) {
		if op.Lead != nil {
			led[op.Lead.Target.Name] = true
		}
	}
	return led
}

func TestLeavingLeaseholder(t *testing.T) {
	piece := shard.ID{Service: "desk", Group: "all", Index: 0}
	assertLed := func(t *testing.T, led map[string]bool, name string, want bool) {
		t.Helper()
		if got := led[name]; got != want {
			t.Errorf("target %s led anew: got %v, want %v", name, got, want)
		}
	}
	t.Run("hands over its targets", func(t *testing.T) {
		led := newRig(t).leavingLeads()
		assertLed(t, led, "a", true)
		assertLed(t, led, "b", true)
	})
	t.Run("keeps a target that shards are moving to", func(t *testing.T) {
		r := newRig(t)
		r.fold(record.Op{Assign: &record.Assign{Shard: piece, Target: "b", Expect: 1}})
		led := r.leavingLeads()
		assertLed(t, led, "a", true)
		assertLed(t, led, "b", false)
		r.fold(record.Op{Settle: &record.Settle{Shard: piece, Epoch: 2}})
		assertLed(t, r.leavingLeads(), "b", true)
	})
}
