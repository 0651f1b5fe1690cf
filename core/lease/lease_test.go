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
	self    = record.Incarnation{Host: "h1", Run: 1}
	target1 = record.Target{Service: "vault", Name: "t1"}
	target2 = record.Target{Service: "vault", Name: "t2"}
	shard1  = shard.ID{Service: "vault", Group: "all", Index: 0}
	start   = time.Unix(1000, 0)
)

const files = `services:
  vault:
    targets:
      t1: {address: "127.0.0.1:9001", domain: a, slots: 2, connections: 10}
      t2: {address: "127.0.0.1:9002", domain: b, slots: 2, connections: 10}
    groups:
      all: {keys: "*", shards: 1}
`

// fixture drives one table with a controlled clock.
type fixture struct {
	t     *testing.T
	state *fold.State
	table *Table
	now   time.Time
	seq   uint64
	// clock is the reading of the target's clock at start, in microseconds.
	clock int64
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{t: t, state: fold.New(), table: New(self, Options{}), now: start, clock: 5_000_000}
	f.fold(
		record.Op{Files: &record.Files{Changes: []record.FileChange{{Name: "a.yaml", Content: []byte(files)}}}},
		record.Op{Join: &record.Join{Member: record.Member{Incarnation: self, Address: "127.0.0.1:7000", Domain: "a"}}},
		record.Op{Lead: &record.Lead{Target: target1, Leaseholder: self}},
		record.Op{Assign: &record.Assign{Shard: shard1, Target: "t1"}},
	)
	return f
}

// fold applies one batch of operations to the state and fails the test if any of
// them is void.
func (f *fixture) fold(ops ...record.Op) {
	f.t.Helper()
	f.seq++
	data, err := record.Encode(record.Batch{Version: 1, ID: record.ID{Writer: self, Seq: f.seq}, Ops: ops})
	if err != nil {
		f.t.Fatal(err)
	}
	_, results, err := f.state.Apply(f.state.Next(), data)
	if err != nil {
		f.t.Fatal(err)
	}
	for i, result := range results {
		if result.Err != nil {
			f.t.Fatalf("operation %d: got %v, want it applied", i, result.Err)
		}
	}
	f.table.Sync(f.state, f.now)
}

// nextOrder advances the clock by one renewal interval and returns the order that
// is due for target. Orders for other targets fail unsent.
func (f *fixture) nextOrder(target record.Target) Order {
	f.t.Helper()
	f.now = f.now.Add(DefaultRenewalInterval)
	var found *Order
	for _, order := range f.table.Orders(f.now) {
		if order.Target == target {
			found = &order
			continue
		}
		f.table.RecordFailure(order, false, f.now)
	}
	if found == nil {
		f.t.Fatalf("no order for %s is due", target)
	}
	return *found
}

// accept records the target's acceptance of an order, one millisecond after the
// order was sent.
func (f *fixture) accept(order Order) {
	sent := f.now
	f.now = f.now.Add(time.Millisecond)
	clock := f.clock + f.now.Sub(start).Microseconds()
	f.table.RecordResponse(order, Response{Incarnation: "i1", ClockUs: clock, Health: "ok", SetVersion: order.SetVersion}, sent, f.now)
}

// establishGrant requests the status of a target, records a proof of freshness, and has the target
// accept a grant, which it returns.
func (f *fixture) establishGrant(target record.Target) Order {
	f.t.Helper()
	if order := f.nextOrder(target); order.StatusOnly {
		f.accept(order)
	} else {
		f.table.RecordFailure(order, false, f.now)
	}
	f.table.RecordFreshness(target, f.now)
	order := f.nextOrder(target)
	if order.StatusOnly {
		f.accept(order)
		order = f.nextOrder(target)
	}
	f.accept(order)
	return order
}

func (f *fixture) wantPermit(key string, want outcome.Reason) {
	f.t.Helper()
	_, _, refused := f.table.Permit(shard1, f.state.Shard(shard1).Epoch, key, f.now)
	got := outcome.Reason("")
	if refused != nil {
		got = refused.Reason
	}
	if got != want {
		f.t.Errorf("permit at %v: got %q, want %q", f.now.Sub(start), got, want)
	}
}

func (f *fixture) wantReleased(want bool) {
	f.t.Helper()
	list, ok := f.table.ReleasedShards(message.ReleaseQuery{Target: target1, Next: f.state.Next(), Shards: []shard.ID{shard1}}, f.now)
	if got := ok && len(list) == 1; got != want {
		f.t.Errorf("released at %v: got %v, want %v", f.now.Sub(start), got, want)
	}
}

// TestPermit guards against requests that are sent without a grant in force, under the shard
// of another key, or to a target that has drained for longer than DrainGrace.
func TestPermit(t *testing.T) {
	t.Run("without a grant", func(t *testing.T) {
		newFixture(t).wantPermit("k", outcome.LeaseLost)
	})
	t.Run("under a grant", func(t *testing.T) {
		f := newFixture(t)
		f.establishGrant(target1)
		f.wantPermit("k", "")
	})
	t.Run("after the grant has expired, as after a pause of the host", func(t *testing.T) {
		f := newFixture(t)
		f.establishGrant(target1)
		f.now = f.now.Add(DefaultMaxGrantDuration)
		f.wantPermit("k", outcome.LeaseLost)
	})
	t.Run("for a key with its own shard", func(t *testing.T) {
		f := newFixture(t)
		f.establishGrant(target1)
		hotShard := shard1
		hotShard.Key = "k"
		f.fold(record.Op{Split: &record.Split{Shard: hotShard, Expect: 1}})
		f.wantPermit("k", outcome.NotLeaseholder)
		f.wantPermit("l", "")
	})
	t.Run("for a draining target", func(t *testing.T) {
		f := newFixture(t)
		f.establishGrant(target1)
		f.fold(record.Op{Drain: &record.Drain{Target: target1, On: true}})
		f.wantPermit("k", "")
		for end := f.now.Add(DrainGrace); f.now.Before(end); {
			f.table.RecordFreshness(target1, f.now)
			f.accept(f.nextOrder(target1))
		}
		f.wantPermit("k", outcome.Draining)
	})
}

// TestOrders guards against grants that outlast their proof of freshness, and against grants
// to a target that has not responded to its latest order.
func TestOrders(t *testing.T) {
	t.Run("no grant without a proof of freshness", func(t *testing.T) {
		f := newFixture(t)
		f.accept(f.nextOrder(target1))
		if got := f.nextOrder(target1).StatusOnly; !got {
			t.Errorf("got a grant, want an order for the status only")
		}
	})
	t.Run("no grant beyond the proof of freshness", func(t *testing.T) {
		f := newFixture(t)
		f.accept(f.nextOrder(target1))
		fresh := f.now
		f.table.RecordFreshness(target1, fresh)
		f.now = f.now.Add(DefaultMaxGrantDuration / 2)
		order := f.nextOrder(target1)
		end := f.clock + fresh.Add(DefaultMaxGrantDuration).Sub(start).Microseconds()
		if order.StatusOnly || order.ExpiresUs > end {
			t.Errorf("got status only %v, expiry %d, want a grant until at most %d", order.StatusOnly, order.ExpiresUs, end)
		}
	})
	t.Run("only a status request after an order without a response", func(t *testing.T) {
		f := newFixture(t)
		f.establishGrant(target1)
		f.table.RecordFreshness(target1, f.now)
		f.table.RecordFailure(f.nextOrder(target1), true, f.now)
		if got := f.nextOrder(target1).StatusOnly; !got {
			t.Errorf("got a grant, want an order for the status only")
		}
	})
}

// TestReleased guards against a shard that is reported as released while the target may
// still hold it, and against one that is never released.
func TestReleased(t *testing.T) {
	move := record.Op{Assign: &record.Assign{Shard: shard1, Target: "t2", Expect: 1}}
	t.Run("not while the target holds the shard", func(t *testing.T) {
		f := newFixture(t)
		f.establishGrant(target1)
		f.wantReleased(false)
		f.fold(move)
		f.wantReleased(false)
	})
	t.Run("once the target has accepted a set without the shard", func(t *testing.T) {
		f := newFixture(t)
		f.establishGrant(target1)
		f.fold(move)
		f.table.RecordFreshness(target1, f.now)
		f.accept(f.nextOrder(target1))
		f.wantReleased(true)
	})
	t.Run("not while a request is in flight", func(t *testing.T) {
		f := newFixture(t)
		f.establishGrant(target1)
		permit, target, _ := f.table.Permit(shard1, 1, "k", f.now)
		f.fold(move)
		f.table.RecordFreshness(target1, f.now)
		f.accept(f.nextOrder(target1))
		f.wantReleased(false)
		f.table.EndRequest(target, permit.Token, shard1, "k", 0, f.now)
		f.table.RecordFreshness(target1, f.now)
		f.accept(f.nextOrder(target1))
		f.wantReleased(true)
	})
	t.Run("once a request permitted under an earlier term has ended", func(t *testing.T) {
		f := newFixture(t)
		f.establishGrant(target1)
		permit, target, _ := f.table.Permit(shard1, 1, "k", f.now)
		f.fold(record.Op{Lead: &record.Lead{Target: target1, Leaseholder: self, Expect: 1}})
		f.fold(move)
		f.table.EndRequest(target, permit.Token, shard1, "k", 0, f.now)
		f.establishGrant(target1)
		f.wantReleased(true)
	})
	t.Run("not a hot key while a request sent before its split is in flight", func(t *testing.T) {
		f := newFixture(t)
		f.establishGrant(target1)
		permit, target, _ := f.table.Permit(shard1, 1, "k", f.now)
		hotShard := shard1
		hotShard.Key = "k"
		f.fold(record.Op{Split: &record.Split{Shard: hotShard, Expect: 1}})
		f.fold(record.Op{Assign: &record.Assign{Shard: hotShard, Target: "t2", Expect: 1}})
		f.table.RecordFreshness(target1, f.now)
		f.accept(f.nextOrder(target1))
		query := message.ReleaseQuery{Target: target1, Next: f.state.Next(), Shards: []shard.ID{hotShard}}
		if got, _ := f.table.ReleasedShards(query, f.now); len(got) != 0 {
			t.Errorf("got %v released with a request in flight, want none", got)
		}
		f.table.EndRequest(target, permit.Token, shard1, "k", 0, f.now)
		if got, _ := f.table.ReleasedShards(query, f.now); len(got) != 1 {
			t.Errorf("got %v released, want the hot key", got)
		}
	})
	t.Run("after an order without a response, once its grant has expired", func(t *testing.T) {
		f := newFixture(t)
		f.accept(f.nextOrder(target1))
		f.table.RecordFreshness(target1, f.now)
		f.table.RecordFailure(f.nextOrder(target1), true, f.now)
		f.fold(move)
		f.wantReleased(false)
		f.now = f.now.Add(DefaultMaxGrantDuration)
		f.wantReleased(true)
	})
	t.Run("at once when the target has restarted", func(t *testing.T) {
		f := newFixture(t)
		f.establishGrant(target1)
		f.fold(move)
		order := f.nextOrder(target1)
		f.table.RecordResponse(order, Response{Incarnation: "i2", ClockUs: 1, Refused: "wrong-incarnation"}, f.now, f.now)
		f.wantReleased(true)
	})
	t.Run("not by a host that has folded less than the sender", func(t *testing.T) {
		f := newFixture(t)
		query := message.ReleaseQuery{Target: target1, Next: f.state.Next() + 1, Shards: []shard.ID{shard1}}
		if _, ok := f.table.ReleasedShards(query, f.now); ok {
			t.Errorf("got a reply, want none")
		}
	})
	t.Run("not by a successor before the guard is passed", func(t *testing.T) {
		f := newFixture(t)
		otherHost := record.Incarnation{Host: "h2", Run: 1}
		f.fold(record.Op{Join: &record.Join{Member: record.Member{Incarnation: otherHost}, Expect: 1}})
		f.fold(record.Op{Lead: &record.Lead{Target: target1, Leaseholder: otherHost, Expect: 1}})
		f.fold(record.Op{Lead: &record.Lead{Target: target1, Leaseholder: self, Expect: 2}})
		f.fold(move)
		f.wantReleased(false)
	})
}

// TestTermChangeWhileOrderInFlight guards against a lost response or an old token when the
// same leaseholder gets a new term while an order is in flight: the next order has to be a
// grant under the new token.
func TestTermChangeWhileOrderInFlight(t *testing.T) {
	f := newFixture(t)
	f.establishGrant(target1)
	f.table.RecordFreshness(target1, f.now)
	order := f.nextOrder(target1)
	f.fold(record.Op{Lead: &record.Lead{Target: target1, Leaseholder: self, Expect: 1}})
	f.accept(order)
	f.table.RecordFreshness(target1, f.now)
	if next := f.nextOrder(target1); next.StatusOnly || next.Token <= order.Token {
		t.Errorf("got status only %v of token %d, want a grant with a token above %d", next.StatusOnly, next.Token, order.Token)
	}
}

// TestHandover guards against two owners and against an early settle. The new owner of a
// shard is granted the shard only after the former owner has released it, and the handover
// settles only after the new owner has accepted the grant.
func TestHandover(t *testing.T) {
	f := newFixture(t)
	f.establishGrant(target1)
	f.fold(
		record.Op{Lead: &record.Lead{Target: target2, Leaseholder: self}},
		record.Op{Assign: &record.Assign{Shard: shard1, Target: "t2", Expect: 1}},
	)
	if order := f.establishGrant(target2); len(order.Shards) != 0 {
		t.Fatalf("got %d shards granted before the release, want 0", len(order.Shards))
	}
	f.establishGrant(target1)
	f.table.ReleaseQueries(f.now, func(record.Target) bool { return true })
	f.accept(f.nextOrder(target2))
	f.table.RecordFreshness(target2, f.now)
	order := f.nextOrder(target2)
	if len(order.Shards) != 1 {
		t.Fatalf("got %d shards granted after the release, want 1", len(order.Shards))
	}
	if got := len(f.table.SettleOps(f.now)); got != 0 {
		t.Errorf("got %d settles before the grant is accepted, want 0", got)
	}
	f.accept(order)
	if got := len(f.table.SettleOps(f.now)); got != 1 {
		t.Errorf("got %d settles, want 1", got)
	}
}
