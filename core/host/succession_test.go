package host

import (
	"testing"
	"time"

	"pineturn/core/lease"
	"pineturn/core/message"
	"pineturn/core/record"
	"pineturn/core/shard"
)

// trio is three hosts that have folded the same log: a leads t0, and b and c
// are its deputies.
type trio struct {
	t       *testing.T
	now     time.Time
	seq     uint64
	records []message.Record
	a, b, c *Host
}

var (
	trioTarget = record.Target{Service: "vault", Name: "t0"}
	trioShard  = shard.ID{Service: "vault", Group: "all", Index: 0}
)

func newTrio(t *testing.T) *trio {
	tr := &trio{t: t, now: time.Unix(1000, 0)}
	var members []record.Member
	for _, name := range []string{"a", "b", "c"} {
		members = append(members, record.Member{Incarnation: record.Incarnation{Host: name, Run: 1}, Domain: name})
	}
	tr.a, tr.b, tr.c = New(members[0], Options{}, tr.now), New(members[1], Options{}, tr.now), New(members[2], Options{}, tr.now)
	tr.write(record.Op{Files: &record.Files{Changes: []record.FileChange{{Name: "a.yaml", Content: []byte(modelConfig)}}}})
	for i, member := range members {
		tr.write(record.Op{Join: &record.Join{Member: member, Expect: uint64(i)}})
	}
	tr.write(
		record.Op{Lead: &record.Lead{
			Target: trioTarget, Holder: members[0].Incarnation,
			Deputies: []record.Incarnation{members[1].Incarnation, members[2].Incarnation},
		}},
		record.Op{Assign: &record.Assign{Shard: trioShard, Target: "t0"}},
	)
	for _, h := range []*Host{tr.a, tr.b, tr.c} {
		tr.read(h)
	}
	tr.beat(tr.a, tr.b, tr.c)
	return tr
}

// write appends a record that no host has read yet.
func (tr *trio) write(ops ...record.Op) {
	tr.t.Helper()
	tr.seq++
	writer := record.Incarnation{Host: "operator", Run: 1}
	data, err := record.Encode(record.Batch{Version: 1, ID: record.ID{Writer: writer, Seq: tr.seq}, Ops: ops})
	if err != nil {
		tr.t.Fatal(err)
	}
	tr.records = append(tr.records, message.Record{Offset: uint64(len(tr.records)), Data: data})
}

// read has a host read the log to its end.
func (tr *trio) read(h *Host) {
	tr.t.Helper()
	if _, err := h.Fold(tr.records, tr.now); err != nil {
		tr.t.Fatal(err)
	}
	h.OnLogRead(h.Next(), tr.now, tr.now)
}

// beat has the given hosts exchange heartbeats.
func (tr *trio) beat(hosts ...*Host) {
	for _, asking := range hosts {
		for _, other := range hosts {
			if other != asking {
				asking.OnPong(other.OnPing(tr.now), tr.now, tr.now)
			}
		}
	}
}

// lose lets time pass in which a is silent and nobody reads the log.
func (tr *trio) lose() {
	for range 20 {
		tr.now = tr.now.Add(100 * time.Millisecond)
		tr.beat(tr.b, tr.c)
	}
}

// ask returns the promise that b asks for.
func (tr *trio) ask() message.Promise {
	tr.t.Helper()
	candidacies := tr.b.Candidacies(tr.now)
	if len(candidacies) != 1 {
		tr.t.Fatalf("got %d candidacies, want 1", len(candidacies))
	}
	return candidacies[0]
}

func wantMade(t *testing.T, h *Host, ask message.Promise, now time.Time, want bool) {
	t.Helper()
	if got := h.OnPromise(ask, now).Made; got != want {
		t.Errorf("promise made: got %v, want %v", got, want)
	}
}

func TestPromises(t *testing.T) {
	t.Run("made while the log is down and the leaseholder lost", func(t *testing.T) {
		tr := newTrio(t)
		tr.lose()
		ask := tr.ask()
		wantMade(t, tr.c, ask, tr.now, true)
		if !tr.b.OnPromiseReply(tr.c.Self().Incarnation, ask, message.PromiseReply{Made: true}, tr.now) {
			t.Errorf("got no takeover by a majority's promises, want one")
		}
	})
	t.Run("not asked for while the leaseholder answers", func(t *testing.T) {
		tr := newTrio(t)
		for range 20 {
			tr.now = tr.now.Add(100 * time.Millisecond)
			tr.beat(tr.a, tr.b, tr.c)
		}
		if got := tr.b.Candidacies(tr.now); len(got) != 0 {
			t.Errorf("got candidacies %v, want none", got)
		}
	})
	t.Run("refused by a host that reads the log", func(t *testing.T) {
		tr := newTrio(t)
		tr.lose()
		ask := tr.ask()
		tr.read(tr.c)
		wantMade(t, tr.c, ask, tr.now, false)
	})
	t.Run("refused by a host that hears the leaseholder", func(t *testing.T) {
		tr := newTrio(t)
		tr.lose()
		ask := tr.ask()
		tr.beat(tr.a, tr.c)
		wantMade(t, tr.c, ask, tr.now, false)
	})
	t.Run("refused to a deputy that knows less of the log", func(t *testing.T) {
		tr := newTrio(t)
		tr.write(record.Op{Assign: &record.Assign{Shard: trioShard, Target: "t1", Expect: 1}})
		tr.read(tr.c)
		tr.lose()
		wantMade(t, tr.c, tr.ask(), tr.now, false)
	})
	t.Run("refused for a term that is over", func(t *testing.T) {
		tr := newTrio(t)
		tr.lose()
		ask := tr.ask()
		ask.Term++
		wantMade(t, tr.c, ask, tr.now, false)
	})
}

func TestPromisedHostsConfirmNoLowerLevel(t *testing.T) {
	tr := newTrio(t)
	tr.lose()
	wantMade(t, tr.c, tr.ask(), tr.now, true)
	before := tr.a.Leases().FreshUntil(trioTarget)
	tr.beat(tr.a, tr.b, tr.c)
	if got := tr.a.Leases().FreshUntil(trioTarget); got.After(before) {
		t.Errorf("got the former leaseholder confirmed until %v, want no later than %v", got, before)
	}
}

func TestLeadsLeaveOutWhatADeputyTookOver(t *testing.T) {
	tr := newTrio(t)
	tr.lose()
	if got, want := tr.a.HeldTargetCount(), 1; got != want {
		t.Errorf("before: got %d, want %d", got, want)
	}
	wantMade(t, tr.c, tr.ask(), tr.now, true)
	tr.beat(tr.a, tr.b, tr.c)
	if got, want := tr.a.HeldTargetCount(), 0; got != want {
		t.Errorf("after: got %d, want %d", got, want)
	}
}

// moveAway has a fold that the shard moves to t1, and t0 accept a set without.
func (tr *trio) moveAway() message.ReleaseQuery {
	tr.t.Helper()
	tr.write(record.Op{Assign: &record.Assign{Shard: trioShard, Target: "t1", Expect: 1}})
	tr.read(tr.a)
	for range 3 {
		tr.now = tr.now.Add(lease.DefaultRenewal)
		tr.a.Leases().RecordFreshness(trioTarget, tr.now)
		orders, _ := tr.a.DueMessages(tr.now)
		for _, order := range orders {
			answer := lease.Answer{Incarnation: "i", ClockUs: 1, Health: "ok", Set: order.Set}
			tr.a.Leases().RecordAnswer(order, answer, tr.now, tr.now)
		}
	}
	return message.ReleaseQuery{Target: trioTarget, Next: tr.a.Next(), Shards: []shard.ID{trioShard}}
}

func TestReleases(t *testing.T) {
	wantReleased := func(t *testing.T, tr *trio, ask message.ReleaseQuery, want bool) {
		t.Helper()
		if got := len(tr.a.OnRelease(ask, tr.now).Shards) == 1; got != want {
			t.Errorf("released: got %v, want %v", got, want)
		}
	}
	t.Run("not before a majority knows the move", func(t *testing.T) {
		tr := newTrio(t)
		ask := tr.moveAway()
		wantReleased(t, tr, ask, false)
		tr.read(tr.b)
		tr.beat(tr.a, tr.b)
		wantReleased(t, tr, ask, true)
	})
	t.Run("not when a majority has promised itself to a deputy", func(t *testing.T) {
		tr := newTrio(t)
		tr.lose()
		wantMade(t, tr.c, tr.ask(), tr.now, true)
		ask := tr.moveAway()
		tr.read(tr.b)
		tr.read(tr.c)
		tr.beat(tr.a, tr.b, tr.c)
		wantReleased(t, tr, ask, false)
	})
	t.Run("not by counting hosts that run no more", func(t *testing.T) {
		tr := newTrio(t)
		ask := tr.moveAway()
		tr.a.OnReplaced(tr.b.Self().Incarnation, tr.now)
		tr.a.OnReplaced(tr.c.Self().Incarnation, tr.now)
		wantReleased(t, tr, ask, false)
	})
}
