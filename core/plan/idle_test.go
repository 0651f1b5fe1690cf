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

const idleConfig = `
services:
  desk:
    targets:
      a: {address: "127.0.0.21:9001", domain: pos-a, slots: 2, connections: 10}
      b: {address: "127.0.0.22:9001", domain: pos-b, slots: 2, connections: 10}
    groups:
      all: {keys: "*", shards: 4}
`

// fixture plans for a cluster of one host and two targets that own two shards
// each.
type fixture struct {
	t       *testing.T
	state   *fold.State
	planner *Planner
	now     time.Time
	self    record.Incarnation
	seq     uint64
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	self := record.Incarnation{Host: "host-1", Run: 1}
	f := &fixture{t: t, state: fold.New(), planner: New(self), now: time.Unix(1_000_000, 0), self: self}
	f.fold(record.Op{Files: &record.Files{Changes: []record.FileChange{{Name: "a.yaml", Content: []byte(idleConfig)}}}})
	f.fold(record.Op{Join: &record.Join{Member: record.Member{Incarnation: self}}})
	for _, name := range []string{"a", "b"} {
		f.fold(record.Op{Lead: &record.Lead{Target: record.Target{Service: "desk", Name: name}, Leaseholder: self}})
	}
	for i, name := range []string{"a", "a", "b", "b"} {
		f.fold(record.Op{Assign: &record.Assign{Shard: shard.ID{Service: "desk", Group: "all", Index: i}, Target: name}})
	}
	f.report(false)
	return f
}

func (f *fixture) fold(op record.Op) {
	f.t.Helper()
	f.seq++
	id := record.ID{Writer: f.self, Seq: f.seq}
	data, err := record.Encode(record.Batch{Version: record.Version, ID: id, Ops: []record.Op{op}})
	if err != nil {
		f.t.Fatal(err)
	}
	if _, results, err := f.state.Apply(f.state.Next(), data); err != nil || results[0].Err != nil {
		f.t.Fatalf("got %v and %v, want the operation applied", err, results)
	}
}

// report records a report in which target a is lost or alive and target b is
// alive.
func (f *fixture) report(lost bool) {
	f.planner.RecordReport(message.Report{Targets: []message.TargetReport{
		{Target: record.Target{Service: "desk", Name: "a"}, Term: 1, Alive: !lost, Lost: lost},
		{Target: record.Target{Service: "desk", Name: "b"}, Term: 1, Alive: true},
	}}, f.now)
}

// assertMoves plans one round after a pause and checks the number of proposed
// moves.
func (f *fixture) assertMoves(pause time.Duration, want int) {
	f.t.Helper()
	f.now = f.now.Add(pause)
	tracker := member.New(f.self, member.DefaultSuspicion, f.now)
	tracker.Sync(f.state.Members(), f.now)
	acting := func(record.Target) (record.Incarnation, bool) { return record.Incarnation{}, false }
	got := 0
	for _, op := range f.planner.Propose(Input{State: f.state, Tracker: tracker, Now: f.now, PromisedLeaseholder: acting}) {
		if op.Assign != nil {
			got++
		}
	}
	if got != want {
		f.t.Fatalf("got %d moves, want %d", got, want)
	}
}

func TestIdleRounds(t *testing.T) {
	const shortPause = time.Millisecond
	t.Run("a lost target's shards move at once after an idle round", func(t *testing.T) {
		f := newFixture(t)
		f.assertMoves(0, 0)
		f.report(true)
		f.assertMoves(shortPause, 2)
	})
	t.Run("moves are proposed again until they are folded", func(t *testing.T) {
		f := newFixture(t)
		f.report(true)
		f.assertMoves(0, 2)
		f.assertMoves(shortPause, 2)
	})
	t.Run("a drain moves shards at once after an idle round", func(t *testing.T) {
		f := newFixture(t)
		f.assertMoves(0, 0)
		f.fold(record.Op{Drain: &record.Drain{Target: record.Target{Service: "desk", Name: "a"}, On: true}})
		f.assertMoves(shortPause, 2)
	})
	t.Run("an outdated report ends the idle state", func(t *testing.T) {
		f := newFixture(t)
		f.assertMoves(maxReportAge-shortPause, 0)
		if round := f.planner.lastRounds["desk"]; !round.idle || !round.conditions[0].known {
			t.Fatalf("got %+v, want an idle round with known targets", round)
		}
		f.assertMoves(2*shortPause, 0)
		if round := f.planner.lastRounds["desk"]; round.conditions[0].known {
			t.Fatalf("got %+v, want a round with unknown targets", round)
		}
	})
}
