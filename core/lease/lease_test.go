package lease

import (
	"testing"
	"time"

	"pineturn/core/fold"
	"pineturn/core/message"
	"pineturn/core/outcome"
	"pineturn/core/record"
	"pineturn/core/shard"
)

var (
	self  = record.Incarnation{Host: "h1", Run: 1}
	first = record.Target{Service: "vault", Name: "t1"}
	other = record.Target{Service: "vault", Name: "t2"}
	piece = shard.ID{Service: "vault", Group: "all", Index: 0}
	epoch = time.Unix(1000, 0)
)

const files = `services:
  vault:
    targets:
      t1: {address: "127.0.0.1:9001", domain: a, slots: 2, connections: 10}
      t2: {address: "127.0.0.1:9002", domain: b, slots: 2, connections: 10}
    groups:
      all: {keys: "*", shards: 1}
`

// rig drives one table by hand.
type rig struct {
	t     *testing.T
	state *fold.State
	table *Table
	now   time.Time
	seq   uint64
	// clock is the reading of the target's clock at epoch, in microseconds.
	clock int64
}

func newRig(t *testing.T) *rig {
	r := &rig{t: t, state: fold.New(), table: New(self, Options{}), now: epoch, clock: 5_000_000}
	r.fold(
		record.Op{Files: &record.Files{Changes: []record.FileChange{{Name: "a.yaml", Content: []byte(files)}}}},
		record.Op{Join: &record.Join{Member: record.Member{Incarnation: self, Address: "127.0.0.1:7000", Domain: "a"}}},
		record.Op{Lead: &record.Lead{Target: first, Holder: self}},
		record.Op{Assign: &record.Assign{Shard: piece, Target: "t1"}},
	)
	return r
}

// fold appends operations, all of which must take effect.
func (r *rig) fold(ops ...record.Op) {
	r.t.Helper()
	r.seq++
	data, err := record.Encode(record.Batch{Version: 1, ID: record.ID{Writer: self, Seq: r.seq}, Ops: ops})
	if err != nil {
		r.t.Fatal(err)
	}
	_, results, err := r.state.Apply(r.state.Next(), data)
	if err != nil {
		r.t.Fatal(err)
	}
	for i, result := range results {
		if result.Void != nil {
			r.t.Fatalf("operation %d: got %v, want it applied", i, result.Void)
		}
	}
	r.table.Sync(r.state, r.now)
}

// order takes the one order that is due for a target.
func (r *rig) order(target record.Target) Order {
	r.t.Helper()
	r.now = r.now.Add(DefaultRenewal)
	var found *Order
	for _, order := range r.table.Orders(r.now) {
		if order.Target == target {
			found = &order
			continue
		}
		r.table.RecordFailure(order, false, r.now)
	}
	if found == nil {
		r.t.Fatalf("no order for %s is due", target)
	}
	return *found
}

// answer has the target accept an order, a millisecond after it was sent.
func (r *rig) answer(order Order) {
	sent := r.now
	r.now = r.now.Add(time.Millisecond)
	clock := r.clock + r.now.Sub(epoch).Microseconds()
	r.table.RecordAnswer(order, Answer{Incarnation: "i1", ClockUs: clock, Health: "ok", Set: order.Set}, sent, r.now)
}

// grant probes a target, proves freshness, and has a grant accepted.
func (r *rig) grant(target record.Target) Order {
	r.t.Helper()
	if order := r.order(target); order.Probe {
		r.answer(order)
	} else {
		r.table.RecordFailure(order, false, r.now)
	}
	r.table.RecordFreshness(target, r.now)
	order := r.order(target)
	if order.Probe {
		r.answer(order)
		order = r.order(target)
	}
	r.answer(order)
	return order
}

func (r *rig) wantPermit(key string, want outcome.Reason) {
	r.t.Helper()
	_, _, refused := r.table.Permit(piece, r.state.Shard(piece).Epoch, key, r.now)
	got := outcome.Reason("")
	if refused != nil {
		got = refused.Reason
	}
	if got != want {
		r.t.Errorf("permit at %v: got %q, want %q", r.now.Sub(epoch), got, want)
	}
}

func (r *rig) wantReleased(want bool) {
	r.t.Helper()
	list, ok := r.table.ReleasedShards(message.ReleaseQuery{Target: first, Next: r.state.Next(), Shards: []shard.ID{piece}}, r.now)
	if got := ok && len(list) == 1; got != want {
		r.t.Errorf("released at %v: got %v, want %v", r.now.Sub(epoch), got, want)
	}
}

func TestPermit(t *testing.T) {
	t.Run("without a grant", func(t *testing.T) {
		newRig(t).wantPermit("k", outcome.LeaseLost)
	})
	t.Run("under a grant", func(t *testing.T) {
		r := newRig(t)
		r.grant(first)
		r.wantPermit("k", "")
	})
	t.Run("after the grant, as after a pause", func(t *testing.T) {
		r := newRig(t)
		r.grant(first)
		r.now = r.now.Add(DefaultLife)
		r.wantPermit("k", outcome.LeaseLost)
	})
	t.Run("of a key that is a shard of its own", func(t *testing.T) {
		r := newRig(t)
		r.grant(first)
		hot := piece
		hot.Key = "k"
		r.fold(record.Op{Split: &record.Split{Shard: hot, Expect: 1}})
		r.wantPermit("k", outcome.NotLeaseholder)
		r.wantPermit("l", "")
	})
	t.Run("of a leaving target", func(t *testing.T) {
		r := newRig(t)
		r.grant(first)
		r.fold(record.Op{Drain: &record.Drain{Target: first, On: true}})
		r.wantPermit("k", "")
		for end := r.now.Add(DrainGrace); r.now.Before(end); {
			r.table.RecordFreshness(first, r.now)
			r.answer(r.order(first))
		}
		r.wantPermit("k", outcome.Draining)
	})
}

func TestOrders(t *testing.T) {
	t.Run("no grant without a proof of freshness", func(t *testing.T) {
		r := newRig(t)
		r.answer(r.order(first))
		if got := r.order(first).Probe; !got {
			t.Errorf("got a grant, want a probe")
		}
	})
	t.Run("no grant for longer than the proof", func(t *testing.T) {
		r := newRig(t)
		r.answer(r.order(first))
		fresh := r.now
		r.table.RecordFreshness(first, fresh)
		r.now = r.now.Add(DefaultLife / 2)
		order := r.order(first)
		end := r.clock + fresh.Add(DefaultLife).Sub(epoch).Microseconds()
		if order.Probe || order.ExpiresUs > end {
			t.Errorf("got probe %v, expiry %d, want a grant until at most %d", order.Probe, order.ExpiresUs, end)
		}
	})
	t.Run("a probe after an order without an answer", func(t *testing.T) {
		r := newRig(t)
		r.grant(first)
		r.table.RecordFreshness(first, r.now)
		r.table.RecordFailure(r.order(first), true, r.now)
		if got := r.order(first).Probe; !got {
			t.Errorf("got a grant, want a probe")
		}
	})
}

func TestReleased(t *testing.T) {
	move := record.Op{Assign: &record.Assign{Shard: piece, Target: "t2", Expect: 1}}
	t.Run("not while the target holds it", func(t *testing.T) {
		r := newRig(t)
		r.grant(first)
		r.wantReleased(false)
		r.fold(move)
		r.wantReleased(false)
	})
	t.Run("once the target has accepted a set without it", func(t *testing.T) {
		r := newRig(t)
		r.grant(first)
		r.fold(move)
		r.table.RecordFreshness(first, r.now)
		r.answer(r.order(first))
		r.wantReleased(true)
	})
	t.Run("not while a request is in flight", func(t *testing.T) {
		r := newRig(t)
		r.grant(first)
		permit, target, _ := r.table.Permit(piece, 1, "k", r.now)
		r.fold(move)
		r.table.RecordFreshness(first, r.now)
		r.answer(r.order(first))
		r.wantReleased(false)
		r.table.Done(target, permit.Term, piece, "k", 0, r.now)
		r.table.RecordFreshness(first, r.now)
		r.answer(r.order(first))
		r.wantReleased(true)
	})
	t.Run("once a request that began under an earlier term has ended", func(t *testing.T) {
		r := newRig(t)
		r.grant(first)
		permit, target, _ := r.table.Permit(piece, 1, "k", r.now)
		r.fold(record.Op{Lead: &record.Lead{Target: first, Holder: self, Expect: 1}})
		r.fold(move)
		r.table.Done(target, permit.Term, piece, "k", 0, r.now)
		r.grant(first)
		r.wantReleased(true)
	})
	t.Run("not a key whose request went out before it was split off", func(t *testing.T) {
		r := newRig(t)
		r.grant(first)
		permit, target, _ := r.table.Permit(piece, 1, "k", r.now)
		hot := piece
		hot.Key = "k"
		r.fold(record.Op{Split: &record.Split{Shard: hot, Expect: 1}})
		r.fold(record.Op{Assign: &record.Assign{Shard: hot, Target: "t2", Expect: 1}})
		r.table.RecordFreshness(first, r.now)
		r.answer(r.order(first))
		question := message.ReleaseQuery{Target: first, Next: r.state.Next(), Shards: []shard.ID{hot}}
		if got, _ := r.table.ReleasedShards(question, r.now); len(got) != 0 {
			t.Errorf("got %v released with a request in flight, want none", got)
		}
		r.table.Done(target, permit.Term, piece, "k", 0, r.now)
		if got, _ := r.table.ReleasedShards(question, r.now); len(got) != 1 {
			t.Errorf("got %v released, want the hot key", got)
		}
	})
	t.Run("after an order without an answer, once it has lapsed", func(t *testing.T) {
		r := newRig(t)
		r.answer(r.order(first))
		r.table.RecordFreshness(first, r.now)
		r.table.RecordFailure(r.order(first), true, r.now)
		r.fold(move)
		r.wantReleased(false)
		r.now = r.now.Add(DefaultLife)
		r.wantReleased(true)
	})
	t.Run("at once when the target has restarted", func(t *testing.T) {
		r := newRig(t)
		r.grant(first)
		r.fold(move)
		order := r.order(first)
		r.table.RecordAnswer(order, Answer{Incarnation: "i2", ClockUs: 1, Refused: "wrong-incarnation"}, r.now, r.now)
		r.wantReleased(true)
	})
	t.Run("not by a host that has folded less than the asker", func(t *testing.T) {
		r := newRig(t)
		question := message.ReleaseQuery{Target: first, Next: r.state.Next() + 1, Shards: []shard.ID{piece}}
		if _, ok := r.table.ReleasedShards(question, r.now); ok {
			t.Errorf("got an answer, want none")
		}
	})
	t.Run("not by a successor before the guard is passed", func(t *testing.T) {
		r := newRig(t)
		stranger := record.Incarnation{Host: "h2", Run: 1}
		r.fold(record.Op{Join: &record.Join{Member: record.Member{Incarnation: stranger}, Expect: 1}})
		r.fold(record.Op{Lead: &record.Lead{Target: first, Holder: stranger, Expect: 1}})
		r.fold(record.Op{Lead: &record.Lead{Target: first, Holder: self, Expect: 2}})
		r.fold(move)
		r.wantReleased(false)
	})
}

func TestTermChangesWhileAnOrderIsOut(t *testing.T) {
	r := newRig(t)
	r.grant(first)
	r.table.RecordFreshness(first, r.now)
	order := r.order(first)
	r.fold(record.Op{Lead: &record.Lead{Target: first, Holder: self, Expect: 1}})
	r.answer(order)
	r.table.RecordFreshness(first, r.now)
	if next := r.order(first); next.Probe || next.Term <= order.Term {
		t.Errorf("got probe %v of token %d, want a grant above token %d", next.Probe, next.Term, order.Term)
	}
}

func TestHandover(t *testing.T) {
	r := newRig(t)
	r.grant(first)
	r.fold(
		record.Op{Lead: &record.Lead{Target: other, Holder: self}},
		record.Op{Assign: &record.Assign{Shard: piece, Target: "t2", Expect: 1}},
	)
	if order := r.grant(other); len(order.Shards) != 0 {
		t.Fatalf("got %d shards granted before the release, want 0", len(order.Shards))
	}
	r.grant(first)
	r.table.ReleaseQueries(r.now, func(record.Target) bool { return true })
	r.answer(r.order(other))
	r.table.RecordFreshness(other, r.now)
	order := r.order(other)
	if len(order.Shards) != 1 {
		t.Fatalf("got %d shards granted after the release, want 1", len(order.Shards))
	}
	if got := len(r.table.SettleOps(r.now)); got != 0 {
		t.Errorf("got %d settles before the grant is accepted, want 0", got)
	}
	r.answer(order)
	if got := len(r.table.SettleOps(r.now)); got != 1 {
		t.Errorf("got %d settles, want 1", got)
	}
}
