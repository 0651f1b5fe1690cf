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
	self  = record.Incarnation{Host: "host-1", Run: 1}
	other = record.Incarnation{Host: "host-2", Run: 1}
	third = record.Incarnation{Host: "host-3", Run: 1}
	part  = shard.ID{Service: "payoutledger", Group: "all", Index: 0}
	whole = message.IDQuery{Service: "payoutledger", High: 1<<64 - 1}
)

const window = time.Minute

type answers = map[record.Incarnation][]message.RememberedID

func request(id string) Request {
	return Request{Service: "payoutledger", Key: "seller-1", ID: id, Window: window}
}

// newAsk asks a host to remember an id.
func newAsk() message.Witness {
	return message.Witness{Target: record.Target{Service: "payoutledger"}, Request: "r1", Window: window}
}

func newMemory(options Options) (*Table, *clock.Fake) {
	source := clock.NewFake(time.Unix(1_000_000, 0))
	memory := New(source, options)
	memory.Collect(self, part, 1, 1, memory.Question(whole), answers{})
	return memory, source
}

func begin(t *testing.T, m *Table, id string) *Claim {
	t.Helper()
	claim, kept, failure := m.Begin(request(id), part, 1, 1)
	if claim == nil {
		t.Fatalf("got %v, %v, want a claim", kept, failure)
	}
	return claim
}

func checkRefused(t *testing.T, m *Table, id string, want outcome.Outcome, reason outcome.Reason) {
	t.Helper()
	_, _, got := m.Begin(request(id), part, 1, 1)
	if got == nil || got.Outcome != want || got.Reason != reason {
		t.Errorf("got %v, want %v %s", got, want, reason)
	}
}

func checkRecalled(t *testing.T, m *Table, asker record.Incarnation, want int) {
	t.Helper()
	if got := len(m.RememberedIDs(asker, whole).Requests); got != want {
		t.Errorf("got %d ids recalled, want %d", got, want)
	}
}

func TestBegin(t *testing.T) {
	t.Run("in flight", func(t *testing.T) {
		m, _ := newMemory(Options{})
		begin(t, m, "r1")
		checkRefused(t, m, "r1", outcome.Unknown, outcome.Duplicate)
	})
	t.Run("may have run", func(t *testing.T) {
		m, _ := newMemory(Options{})
		begin(t, m, "r1").Finish(outcome.Unknown, nil)
		checkRefused(t, m, "r1", outcome.Unknown, outcome.Duplicate)
	})
	t.Run("not run", func(t *testing.T) {
		m, _ := newMemory(Options{})
		begin(t, m, "r1").Finish(outcome.NotRun, nil)
		begin(t, m, "r1")
	})
	t.Run("kept answer", func(t *testing.T) {
		m, _ := newMemory(Options{})
		begin(t, m, "r1").Finish(outcome.Done, &Answer{Status: 200, Body: []byte("paid")})
		_, kept, failure := m.Begin(request("r1"), part, 1, 1)
		if failure != nil || kept == nil || string(kept.Body) != "paid" {
			t.Errorf("got %v, %v, want the kept answer", kept, failure)
		}
	})
	t.Run("window", func(t *testing.T) {
		m, source := newMemory(Options{})
		begin(t, m, "r1").Finish(outcome.Done, nil)
		source.Advance(window - 1)
		checkRefused(t, m, "r1", outcome.Unknown, outcome.Duplicate)
		source.Advance(1)
		begin(t, m, "r1")
	})
	t.Run("in flight after the window", func(t *testing.T) {
		m, source := newMemory(Options{})
		begin(t, m, "r1")
		source.Advance(2 * window)
		checkRefused(t, m, "r1", outcome.Unknown, outcome.Duplicate)
	})
	t.Run("full", func(t *testing.T) {
		m, _ := newMemory(Options{Most: 2})
		for i := range 2 {
			begin(t, m, fmt.Sprint(i)).Finish(outcome.Done, nil)
		}
		checkRefused(t, m, "r1", outcome.NotRun, outcome.Overloaded)
		if m.Forward(request("r2"), other) != nil {
			t.Error("got a claim, want none")
		}
	})
	t.Run("another tenure", func(t *testing.T) {
		m, _ := newMemory(Options{})
		for _, tenure := range []tenure{{1, 2}, {2, 1}} {
			_, _, got := m.Begin(request("r1"), part, tenure.epoch, tenure.term)
			if got == nil || got.Reason != outcome.NotReady || got.Outcome != outcome.NotRun {
				t.Errorf("got %v, want not ready", got)
			}
		}
	})
}

func TestForward(t *testing.T) {
	t.Run("not run", func(t *testing.T) {
		m, _ := newMemory(Options{})
		m.Forward(request("r1"), other).Finish(outcome.NotRun, nil)
		checkRecalled(t, m, third, 0)
	})
	t.Run("not run beside another attempt", func(t *testing.T) {
		m, _ := newMemory(Options{})
		first, second := m.Forward(request("r1"), other), m.Forward(request("r1"), other)
		first.Finish(outcome.NotRun, nil)
		checkRecalled(t, m, third, 1)
		second.Finish(outcome.Unknown, nil)
		checkRecalled(t, m, third, 1)
	})
	t.Run("only to the asker", func(t *testing.T) {
		m, _ := newMemory(Options{})
		m.Forward(request("r1"), other)
		checkRecalled(t, m, other, 0)
		m.Forward(request("r1"), third)
		checkRecalled(t, m, other, 1)
	})
	t.Run("not run there, then to the asker, as a witness taken back", func(t *testing.T) {
		m, _ := newMemory(Options{})
		ask := newAsk()
		first := m.Forward(request("r1"), third)
		m.Witness(ask)
		first.Finish(outcome.NotRun, nil)
		m.Forward(request("r1"), other)
		ask.Window = 0
		m.Witness(ask)
		checkRecalled(t, m, other, 0)
		checkRecalled(t, m, third, 1)
	})
	t.Run("not run there, then run here", func(t *testing.T) {
		m, _ := newMemory(Options{})
		ask := newAsk()
		first := m.Forward(request("r1"), other)
		m.Witness(ask)
		first.Finish(outcome.NotRun, nil)
		begin(t, m, "r1").Finish(outcome.Done, nil)
		ask.Window = 0
		m.Witness(ask)
		checkRecalled(t, m, other, 1)
	})
	t.Run("to this host itself", func(t *testing.T) {
		m, _ := newMemory(Options{})
		m.Forward(request("r1"), self)
		begin(t, m, "r1")
	})
	t.Run("elsewhere, then here", func(t *testing.T) {
		m, _ := newMemory(Options{})
		m.Forward(request("r1"), other)
		m.Collect(self, part, 1, 1, m.Question(whole), answers{})
		checkRefused(t, m, "r1", outcome.Unknown, outcome.Duplicate)
	})
}

func TestWitness(t *testing.T) {
	m, _ := newMemory(Options{})
	ask := newAsk()
	for _, want := range []bool{false, true} {
		if got, ok := m.Witness(ask); !ok || got.Known != want {
			t.Errorf("got %v, %v, want known %v", got, ok, want)
		}
	}
	checkRecalled(t, m, other, 1)
	ask.Window = 0
	m.Witness(ask)
	checkRecalled(t, m, other, 0)
}

// TestWitnessAskedAgain replays a take-back that is overtaken by a new ask for
// the same id.
func TestWitnessAskedAgain(t *testing.T) {
	m, _ := newMemory(Options{})
	ask := newAsk()
	ask.Sender, ask.Sequence = third, 1
	m.Witness(ask)
	again := ask
	again.Sequence = 2
	m.Witness(again)
	ask.Window = 0
	m.Witness(ask)
	checkRecalled(t, m, other, 1)
	again.Window = 0
	m.Witness(again)
	checkRecalled(t, m, other, 0)
}

// TestRepairOfAnEarlierUse replays a repair that is overtaken by the next
// attempt of the same request: it is about the earlier use of the id.
func TestRepairOfAnEarlierUse(t *testing.T) {
	m, _ := newMemory(Options{})
	first := m.Forward(request("r1"), other)
	asks := m.Copies(nil, false)
	if len(asks) != 1 {
		t.Fatalf("ids to copy: got %d, want 1", len(asks))
	}
	if _, ok := m.Asking(asks[0], third); !ok {
		t.Error("ask before the end of the attempt: got none, want one")
	}
	first.Finish(outcome.NotRun, nil)
	m.Forward(request("r1"), third)
	if _, ok := m.Asking(asks[0], third); ok {
		t.Error("ask for the earlier use: got one, want none")
	}
	if m.Copied(asks[0], third) {
		t.Error("copy of the earlier use: got it kept, want it taken back")
	}
}

func TestCollect(t *testing.T) {
	listed := []message.RememberedID{{Request: "r1", Left: window}}
	t.Run("learns", func(t *testing.T) {
		m, _ := newMemory(Options{})
		m.Collect(self, part, 1, 1, m.Question(whole), answers{other: listed})
		checkRefused(t, m, "r1", outcome.Unknown, outcome.Duplicate)
		if !m.Collected("payoutledger", "r1") {
			t.Error("got not collected, want collected")
		}
	})
	t.Run("frees what its source no longer remembers", func(t *testing.T) {
		m, _ := newMemory(Options{})
		m.Collect(self, part, 1, 1, m.Question(whole), answers{other: listed})
		m.Collect(self, part, 1, 1, m.Question(whole), answers{other: nil})
		begin(t, m, "r1")
	})
	t.Run("keeps what a lost source remembered", func(t *testing.T) {
		m, _ := newMemory(Options{})
		m.Collect(self, part, 1, 1, m.Question(whole), answers{other: listed})
		m.Collect(self, part, 1, 1, m.Question(whole), answers{third: nil})
		checkRefused(t, m, "r1", outcome.Unknown, outcome.Duplicate)
	})
	t.Run("full", func(t *testing.T) {
		m, _ := newMemory(Options{Most: 1})
		begin(t, m, "r0").Finish(outcome.Done, nil)
		if m.Collect(self, part, 1, 1, m.Question(whole), answers{other: listed}) {
			t.Error("got complete, want not")
		}
		checkRefused(t, m, "r0", outcome.NotRun, outcome.NotReady)
	})
	t.Run("other keys", func(t *testing.T) {
		m, _ := newMemory(Options{})
		begin(t, m, "r1").Finish(outcome.Done, nil)
		hash := shard.Hash("seller-1")
		ask := message.IDQuery{Service: "payoutledger", Low: hash + 1, High: 1<<64 - 1}
		if got := len(m.RememberedIDs(other, ask).Requests); got != 0 {
			t.Errorf("got %d ids, want 0", got)
		}
	})
}

// TestLateAnswers replays answers to an earlier question that arrive after those
// to a later one.
func TestLateAnswers(t *testing.T) {
	m, _ := newMemory(Options{})
	earlier, later := m.Question(whole), m.Question(whole)
	m.Collect(self, part, 1, 1, later, answers{other: nil})
	m.Collect(self, part, 1, 1, earlier, answers{other: {{Request: "r1", Left: window}}})
	begin(t, m, "r1")
}

func BenchmarkBegin(b *testing.B) {
	m, _ := newMemory(Options{Most: 1 << 20})
	b.ReportAllocs()
	for b.Loop() {
		claim, _, failure := m.Begin(request("r1"), part, 1, 1)
		if failure != nil {
			b.Fatal(failure)
		}
		claim.Finish(outcome.NotRun, nil)
	}
}
