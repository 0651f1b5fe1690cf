package dedup

import (
	"fmt"
	"testing"
	"time"

	"pineturn/core/clock"
	"pineturn/core/message"
	"pineturn/core/outcome"
	"pineturn/core/record"
	"pineturn/core/shard"
)

var (
	self    = record.Incarnation{Host: "host-1", Run: 1}
	other   = record.Incarnation{Host: "host-2", Run: 1}
	third   = record.Incarnation{Host: "host-3", Run: 1}
	shardID = shard.ID{Service: "payoutledger", Group: "all", Index: 0}
	allKeys = message.IDQuery{Service: "payoutledger", High: 1<<64 - 1}
)

const window = time.Minute

type replies = map[record.Incarnation][]message.RememberedID

func request(id string) Request {
	return Request{Service: "payoutledger", Key: "seller-1", ID: id, Window: window}
}

// newWitness returns a message that asks a host to remember id r1.
func newWitness() message.Witness {
	return message.Witness{Target: record.Target{Service: "payoutledger"}, Request: "r1", Window: window}
}

func newTable(options Options) (*Table, *clock.Fake) {
	source := clock.NewFake(time.Unix(1_000_000, 0))
	table := New(source, options)
	table.Collect(self, shardID, 1, 1, table.NewQuery(allKeys), replies{})
	return table, source
}

func begin(t *testing.T, table *Table, id string) *Claim {
	t.Helper()
	claim, response, failure := table.Begin(request(id), shardID, 1, 1)
	if claim == nil {
		t.Fatalf("got %v, %v, want a claim", response, failure)
	}
	return claim
}

func checkRefused(t *testing.T, table *Table, id string, want outcome.Outcome, reason outcome.Reason) {
	t.Helper()
	_, _, got := table.Begin(request(id), shardID, 1, 1)
	if got == nil || got.Outcome != want || got.Reason != reason {
		t.Errorf("got %v, want %v %s", got, want, reason)
	}
}

func checkRemembered(t *testing.T, table *Table, leaseholder record.Incarnation, want int) {
	t.Helper()
	if got := len(table.RememberedIDs(leaseholder, allKeys).Requests); got != want {
		t.Errorf("got %d remembered ids, want %d", got, want)
	}
}

// TestBegin guards against a second send of a request that is in flight or may have run, and
// against the refusal of a request that was not run.
func TestBegin(t *testing.T) {
	t.Run("in flight", func(t *testing.T) {
		table, _ := newTable(Options{})
		begin(t, table, "r1")
		checkRefused(t, table, "r1", outcome.Unknown, outcome.Duplicate)
	})
	t.Run("may have run", func(t *testing.T) {
		table, _ := newTable(Options{})
		begin(t, table, "r1").Finish(outcome.Unknown, nil)
		checkRefused(t, table, "r1", outcome.Unknown, outcome.Duplicate)
	})
	t.Run("not run", func(t *testing.T) {
		table, _ := newTable(Options{})
		begin(t, table, "r1").Finish(outcome.NotRun, nil)
		begin(t, table, "r1")
	})
	t.Run("stored response", func(t *testing.T) {
		table, _ := newTable(Options{})
		begin(t, table, "r1").Finish(outcome.Done, &Response{Status: 200, Body: []byte("paid")})
		_, response, failure := table.Begin(request("r1"), shardID, 1, 1)
		if failure != nil || response == nil || string(response.Body) != "paid" {
			t.Errorf("got %v, %v, want the stored response", response, failure)
		}
	})
	t.Run("window", func(t *testing.T) {
		table, source := newTable(Options{})
		begin(t, table, "r1").Finish(outcome.Done, nil)
		source.Advance(window - 1)
		checkRefused(t, table, "r1", outcome.Unknown, outcome.Duplicate)
		source.Advance(1)
		begin(t, table, "r1")
	})
	t.Run("in flight after the window", func(t *testing.T) {
		table, source := newTable(Options{})
		begin(t, table, "r1")
		source.Advance(2 * window)
		checkRefused(t, table, "r1", outcome.Unknown, outcome.Duplicate)
	})
	t.Run("full", func(t *testing.T) {
		table, _ := newTable(Options{MaxIDs: 2})
		for i := range 2 {
			begin(t, table, fmt.Sprint(i)).Finish(outcome.Done, nil)
		}
		checkRefused(t, table, "r1", outcome.NotRun, outcome.Overloaded)
		if table.Forward(request("r2"), other) != nil {
			t.Error("got a claim, want none")
		}
	})
	t.Run("another epoch or term", func(t *testing.T) {
		table, _ := newTable(Options{})
		for _, another := range []ownership{{1, 2}, {2, 1}} {
			_, _, got := table.Begin(request("r1"), shardID, another.epoch, another.token)
			if got == nil || got.Reason != outcome.NotReady || got.Outcome != outcome.NotRun {
				t.Errorf("got %v, want not ready", got)
			}
		}
	})
}

// TestForward guards against forwarded ids that are not reported to a new leaseholder, and
// against ids that stay in use after the outcome not run.
func TestForward(t *testing.T) {
	t.Run("not run", func(t *testing.T) {
		table, _ := newTable(Options{})
		table.Forward(request("r1"), other).Finish(outcome.NotRun, nil)
		checkRemembered(t, table, third, 0)
	})
	t.Run("not run, with another attempt in flight", func(t *testing.T) {
		table, _ := newTable(Options{})
		first, second := table.Forward(request("r1"), other), table.Forward(request("r1"), other)
		first.Finish(outcome.NotRun, nil)
		checkRemembered(t, table, third, 1)
		second.Finish(outcome.Unknown, nil)
		checkRemembered(t, table, third, 1)
	})
	t.Run("only to the querying leaseholder", func(t *testing.T) {
		table, _ := newTable(Options{})
		table.Forward(request("r1"), other)
		checkRemembered(t, table, other, 0)
		table.Forward(request("r1"), third)
		checkRemembered(t, table, other, 1)
	})
	t.Run("not run, then to the querying leaseholder, with a revoked witness", func(t *testing.T) {
		table, _ := newTable(Options{})
		witness := newWitness()
		first := table.Forward(request("r1"), third)
		table.Witness(witness)
		first.Finish(outcome.NotRun, nil)
		table.Forward(request("r1"), other)
		witness.Window = 0
		table.Witness(witness)
		checkRemembered(t, table, other, 0)
		checkRemembered(t, table, third, 1)
	})
	t.Run("not run at the leaseholder, then run by this host", func(t *testing.T) {
		table, _ := newTable(Options{})
		witness := newWitness()
		first := table.Forward(request("r1"), other)
		table.Witness(witness)
		first.Finish(outcome.NotRun, nil)
		begin(t, table, "r1").Finish(outcome.Done, nil)
		witness.Window = 0
		table.Witness(witness)
		checkRemembered(t, table, other, 1)
	})
	t.Run("to this host itself", func(t *testing.T) {
		table, _ := newTable(Options{})
		table.Forward(request("r1"), self)
		begin(t, table, "r1")
	})
	t.Run("forwarded, then begun here", func(t *testing.T) {
		table, _ := newTable(Options{})
		table.Forward(request("r1"), other)
		table.Collect(self, shardID, 1, 1, table.NewQuery(allKeys), replies{})
		checkRefused(t, table, "r1", outcome.Unknown, outcome.Duplicate)
	})
}

// TestWitness guards against replicated ids that are not remembered, or are remembered after
// their revocation.
func TestWitness(t *testing.T) {
	table, _ := newTable(Options{})
	witness := newWitness()
	for _, want := range []bool{false, true} {
		if got, ok := table.Witness(witness); !ok || got.Known != want {
			t.Errorf("got %v, %v, want known %v", got, ok, want)
		}
	}
	checkRemembered(t, table, other, 1)
	witness.Window = 0
	table.Witness(witness)
	checkRemembered(t, table, other, 0)
}

// TestLateRevocation guards against a revocation that arrives after a later witness message
// for the same id and removes it.
func TestLateRevocation(t *testing.T) {
	table, _ := newTable(Options{})
	witness := newWitness()
	witness.Sender, witness.Sequence = third, 1
	table.Witness(witness)
	again := witness
	again.Sequence = 2
	table.Witness(again)
	witness.Window = 0
	table.Witness(witness)
	checkRemembered(t, table, other, 1)
	again.Window = 0
	table.Witness(again)
	checkRemembered(t, table, other, 0)
}

// TestRepairOfReleasedID guards against a repair of the replicas of an id that applies to the
// next attempt of the same request, after the id was released in the meantime.
func TestRepairOfReleasedID(t *testing.T) {
	table, _ := newTable(Options{})
	first := table.Forward(request("r1"), other)
	requests := table.WitnessMessages(nil, false)
	if len(requests) != 1 {
		t.Fatalf("ids to replicate: got %d, want 1", len(requests))
	}
	if _, ok := table.AddWitness(requests[0], third); !ok {
		t.Error("witness message before the end of the attempt: got none, want one")
	}
	first.Finish(outcome.NotRun, nil)
	table.Forward(request("r1"), third)
	if _, ok := table.AddWitness(requests[0], third); ok {
		t.Error("witness message for the released id: got one, want none")
	}
	if table.SetReplica(requests[0], third) {
		t.Error("replica of the released id: got it recorded, want it revoked")
	}
}

// TestCollect guards against collected ids that are forgotten while a lost host may have sent
// the request, or are kept after their source has released them.
func TestCollect(t *testing.T) {
	listed := []message.RememberedID{{Request: "r1", Left: window}}
	t.Run("adds collected ids", func(t *testing.T) {
		table, _ := newTable(Options{})
		table.Collect(self, shardID, 1, 1, table.NewQuery(allKeys), replies{other: listed})
		checkRefused(t, table, "r1", outcome.Unknown, outcome.Duplicate)
		if !table.OnlyCollected("payoutledger", "r1") {
			t.Error("got not only collected, want only collected")
		}
	})
	t.Run("releases ids that their source no longer remembers", func(t *testing.T) {
		table, _ := newTable(Options{})
		table.Collect(self, shardID, 1, 1, table.NewQuery(allKeys), replies{other: listed})
		table.Collect(self, shardID, 1, 1, table.NewQuery(allKeys), replies{other: nil})
		begin(t, table, "r1")
	})
	t.Run("keeps the ids of a lost source", func(t *testing.T) {
		table, _ := newTable(Options{})
		table.Collect(self, shardID, 1, 1, table.NewQuery(allKeys), replies{other: listed})
		table.Collect(self, shardID, 1, 1, table.NewQuery(allKeys), replies{third: nil})
		checkRefused(t, table, "r1", outcome.Unknown, outcome.Duplicate)
	})
	t.Run("full", func(t *testing.T) {
		table, _ := newTable(Options{MaxIDs: 1})
		begin(t, table, "r0").Finish(outcome.Done, nil)
		if table.Collect(self, shardID, 1, 1, table.NewQuery(allKeys), replies{other: listed}) {
			t.Error("got true from Collect of a full table, want false")
		}
		checkRefused(t, table, "r0", outcome.NotRun, outcome.NotReady)
	})
	t.Run("other keys", func(t *testing.T) {
		table, _ := newTable(Options{})
		begin(t, table, "r1").Finish(outcome.Done, nil)
		hash := shard.Hash("seller-1")
		query := message.IDQuery{Service: "payoutledger", Low: hash + 1, High: 1<<64 - 1}
		if got := len(table.RememberedIDs(other, query).Requests); got != 0 {
			t.Errorf("got %d ids, want 0", got)
		}
	})
}

// TestLateReplies guards against replies to an earlier query that arrive after those to a
// later one and replace them.
func TestLateReplies(t *testing.T) {
	table, _ := newTable(Options{})
	earlier, later := table.NewQuery(allKeys), table.NewQuery(allKeys)
	table.Collect(self, shardID, 1, 1, later, replies{other: nil})
	table.Collect(self, shardID, 1, 1, earlier, replies{other: {{Request: "r1", Left: window}}})
	begin(t, table, "r1")
}

func BenchmarkBegin(b *testing.B) {
	table, _ := newTable(Options{MaxIDs: 1 << 20})
	b.ReportAllocs()
	for b.Loop() {
		claim, _, failure := table.Begin(request("r1"), shardID, 1, 1)
		if failure != nil {
			b.Fatal(failure)
		}
		claim.Finish(outcome.NotRun, nil)
	}
}
