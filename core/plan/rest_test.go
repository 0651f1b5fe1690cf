package plan

import (
	"testing"
	"time"

	"pineturn/core/fold"
	"pineturn/core/member"
	"pineturn/core/message"
	"pineturn/core/record"
	"pineturn/core/shard"
)

const restFile = `
services:
  desk:
    targets:
      a: {address: "127.0.0.21:9001", domain: pos-a, slots: 2, connections: 10}
      b: {address: "127.0.0.22:9001", domain: pos-b, slots: 2, connections: 10}
    groups:
      all: {keys: "*", shards: 4}
`

// rig plans for a cell of one host and two targets that own two shards each.
type rig struct {
	t       *testing.T
	state   *fold.State
	planner *Planner
	now     time.Time
	self    record.Incarnation
	seq     uint64
}

func newRig(t *testing.T) *rig {
	t.Helper()
	self := record.Incarnation{Host: "host-1", Run: 1}
	r := &rig{t: t, state: fold.New(), planner: New(self), now: time.Unix(1_000_000, 0), self: self}
	r.fold(record.Op{Files: &record.Files{Changes: []record.FileChange{{Name: "a.yaml", Content: []byte(restFile)}}}})
	r.fold(record.Op{Join: &record.Join{Member: record.Member{Incarnation: self}}})
	for _, name := range []string{"a", "b"} {
		r.fold(record.Op{Lead: &record.Lead{Target: record.Target{Service: "desk", Name: name}, Holder: self}})
	}
	for i, name := range []string{"a", "a", "b", "b"} {
		r.fold(record.Op{Assign: &record.Assign{Shard: shard.ID{Service: "desk", Group: "all", Index: i}, Target: name}})
	}
	r.report(false)
	return r
}

func (r *rig) fold(op record.Op) {
	r.t.Helper()
	r.seq++
	id := record.ID{Writer: r.self, Seq: r.seq}
	data, err := record.Encode(record.Batch{Version: record.Version, ID: id, Ops: []record.Op{op}})
	if err != nil {
		r.t.Fatal(err)
	}
	if _, results, err := r.state.Apply(r.state.Next(), data); err != nil || results[0].Err != nil {
		r.t.Fatalf("got %v and %v, want the operation applied", err, results)
	}
}

// report tells the planner how target a stands; b is alive.
func (r *rig) report(lost bool) {
	r.planner.RecordReport(message.Report{Targets: []message.TargetReport{
		{Target: record.Target{Service: "desk", Name: "a"}, Term: 1, Alive: !lost, Lost: lost},
		{Target: record.Target{Service: "desk", Name: "b"}, Term: 1, Alive: true},
	}}, r.now)
}

// assertMoves plans one round after a pause.
func (r *rig) assertMoves(pause time.Duration, want int) {
	r.t.Helper()
	r.now = r.now.Add(pause)
	tracker := member.New(r.self, member.DefaultSuspicion, r.now)
	tracker.Sync(r.state.Members(), r.now)
	acting := func(record.Target) (record.Incarnation, bool) { return record.Incarnation{}, false }
	got := 0
	for _, op := range r.planner.Propose(Input{State: r.state, Tracker: tracker, Now: r.now, ActingLeaseholder: acting}) {
		if op.Assign != nil {
			got++
		}
	}
	if got != want {
		r.t.Fatalf("got %d moves, want %d", got, want)
	}
}

func TestRest(t *testing.T) {
	const moment = time.Millisecond
	t.Run("a lost target's shards move at once after an idle round", func(t *testing.T) {
		r := newRig(t)
		r.assertMoves(0, 0)
		r.report(true)
		r.assertMoves(moment, 2)
	})
	t.Run("moves are proposed again until they are folded", func(t *testing.T) {
		r := newRig(t)
		r.report(true)
		r.assertMoves(0, 2)
		r.assertMoves(moment, 2)
	})
	t.Run("a drain moves shards at once after an idle round", func(t *testing.T) {
		r := newRig(t)
		r.assertMoves(0, 0)
		r.fold(record.Op{Drain: &record.Drain{Target: record.Target{Service: "desk", Name: "a"}, On: true}})
		r.assertMoves(moment, 2)
	})
	t.Run("a report that grows too old ends the rest", func(t *testing.T) {
		r := newRig(t)
		r.assertMoves(reportAge-moment, 0)
		if rests := r.planner.rounds["desk"]; !rests.idle || !rests.conditions[0].known {
			t.Fatalf("got %+v, want an idle round with known targets", rests)
		}
		r.assertMoves(2*moment, 0)
		if rests := r.planner.rounds["desk"]; rests.conditions[0].known {
			t.Fatalf("got %+v, want a round with unknown targets", rests)
		}
	})
}
