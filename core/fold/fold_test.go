package fold

import (
	"errors"
	"testing"

	"pineturn/core/record"
	"pineturn/core/shard"
)

const deskConfig = `
services:
  desk:
    targets:
      a: {address: "127.0.0.21:9001", domain: pos-a, slots: 2, connections: 10}
      b: {address: "127.0.0.22:9001", domain: pos-b, slots: 2, connections: 10}
      c: {address: "127.0.0.23:9001", domain: pos-c, slots: 2, connections: 10}
    groups:
      all: {keys: "*", shards: 4}
`

const otherLayout = `
services:
  desk:
    targets:
      a: {address: "127.0.0.21:9001", domain: pos-a, slots: 2, connections: 10}
    groups:
      all: {keys: "*", shards: 8}
`

// testLog encodes operations as records and folds them in order.
type testLog struct {
	t     *testing.T
	state *State
	seq   uint64
}

var deskShard = shard.ID{Service: "desk", Group: "all", Index: shard.IndexOf("yard", 4)}

func newTestLog(t *testing.T) *testLog {
	t.Helper()
	l := &testLog{t: t, state: New()}
	assertApplied(t, l.apply(putFile("10-desk.yaml", 0, deskConfig)))
	return l
}

func encode(t *testing.T, id record.ID, ops ...record.Op) []byte {
	t.Helper()
	data, err := record.Encode(record.Batch{Version: record.Version, ID: id, Ops: ops})
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func (l *testLog) apply(op record.Op) Result {
	l.t.Helper()
	l.seq++
	return l.applyAs(record.ID{Writer: hostRun("w", 1), Seq: l.seq}, op)
}

func (l *testLog) applyAs(id record.ID, op record.Op) Result {
	l.t.Helper()
	_, results, err := l.state.Apply(l.state.Next(), encode(l.t, id, op))
	if err != nil || len(results) != 1 {
		l.t.Fatalf("got %d results and %v, want 1 and no error", len(results), err)
	}
	return results[0]
}

// contentDigest returns the digest of the state without the next offset and the
// writers, which every record changes.
func (l *testLog) contentDigest() uint64 {
	l.t.Helper()
	return contentDigestOf(l.t, l.state)
}

func contentDigestOf(t interface{ Fatal(args ...any) }, s *State) uint64 {
	copied := *s
	copied.next, copied.writers = 0, nil
	_, digest, err := copied.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return digest
}

func hostRun(name string, run uint64) record.Incarnation {
	return record.Incarnation{Host: name, Run: run}
}

func putFile(name string, expect uint64, content string) record.Op {
	return record.Op{Files: &record.Files{Changes: []record.FileChange{{Name: name, Expect: expect, Content: []byte(content)}}}}
}

func removeFile(name string, expect uint64) record.Op {
	return record.Op{Files: &record.Files{Changes: []record.FileChange{{Name: name, Expect: expect, Remove: true}}}}
}

func assign(id shard.ID, target string, expect uint64) record.Op {
	return record.Op{Assign: &record.Assign{Shard: id, Target: target, Expect: expect}}
}

func join(name string, expect uint64) record.Op {
	return record.Op{Join: &record.Join{Member: record.Member{Incarnation: hostRun(name, 1)}, Expect: expect}}
}

func leave(name string, expect uint64) record.Op {
	return record.Op{Leave: &record.Leave{Incarnation: hostRun(name, 1), Expect: expect}}
}

func lead(holder string, expect uint64, deputies ...record.Incarnation) record.Op {
	target := record.Target{Service: "desk", Name: "a"}
	return record.Op{Lead: &record.Lead{Target: target, Leaseholder: hostRun(holder, 1), Expect: expect, Deputies: deputies}}
}

func split(id shard.ID, expect uint64) record.Op {
	return record.Op{Split: &record.Split{Shard: id, Expect: expect}}
}

func merge(id shard.ID, expect uint64) record.Op {
	return record.Op{Merge: &record.Merge{Shard: id, Expect: expect}}
}

func settle(id shard.ID, epoch uint64) record.Op {
	return record.Op{Settle: &record.Settle{Shard: id, Epoch: epoch}}
}

func assertApplied(t *testing.T, got Result) {
	t.Helper()
	if got.Err != nil {
		t.Fatalf("got %v %v, want applied", got.Err, got.Faults)
	}
}

// assertVoid folds an operation and checks that it is void with the given error
// and does not change the state.
func assertVoid(t *testing.T, l *testLog, op record.Op, want error) {
	t.Helper()
	before := l.contentDigest()
	got := l.apply(op)
	if !errors.Is(got.Err, want) {
		t.Fatalf("got %v, want %v", got.Err, want)
	}
	if after := l.contentDigest(); after != before {
		t.Fatalf("content digest after a void operation: got %x, want %x", after, before)
	}
}

func assertEqual[T comparable](t *testing.T, what string, got, want T) {
	t.Helper()
	if got != want {
		t.Fatalf("%s: got %v, want %v", what, got, want)
	}
}

// TestApply guards against states that differ between hosts, and operations that take
// effect twice: records after a gap, malformed records and repeated batches.
func TestApply(t *testing.T) {
	t.Run("a record after a gap is refused and not folded", func(t *testing.T) {
		l := newTestLog(t)
		_, _, err := l.state.Apply(l.state.Next()+1, encode(t, record.ID{}, join("h1", 0)))
		if !errors.Is(err, ErrGap) {
			t.Fatalf("got %v, want %v", err, ErrGap)
		}
		assertEqual(t, "next", l.state.Next(), 1)
	})
	t.Run("a malformed record is void and the next one is folded", func(t *testing.T) {
		l := newTestLog(t)
		if _, _, err := l.state.Apply(l.state.Next(), []byte{0xff}); err == nil {
			t.Fatal("got no error, want one")
		}
		assertApplied(t, l.apply(join("h1", 0)))
	})
	t.Run("a batch that was already folded is void", func(t *testing.T) {
		l := newTestLog(t)
		id := record.ID{Writer: hostRun("x", 2), Seq: 5}
		assertApplied(t, l.applyAs(id, join("h1", 0)))
		for _, again := range []record.ID{id, {Writer: id.Writer, Seq: 4}, {Writer: hostRun("x", 1), Seq: 9}} {
			got := l.applyAs(again, join("h2", 1))
			if !errors.Is(got.Err, ErrDuplicate) {
				t.Fatalf("%v: got %v, want %v", again, got.Err, ErrDuplicate)
			}
		}
		assertApplied(t, l.applyAs(record.ID{Writer: hostRun("x", 3), Seq: 1}, join("h2", 1)))
	})
}

// TestFiles guards against lost edits of configuration files, refused changes that take
// effect in part, and a changed layout whose shards former owners may still hold.
func TestFiles(t *testing.T) {
	t.Run("only one of two concurrent edits takes effect", func(t *testing.T) {
		l := newTestLog(t)
		version := l.state.Files()[0].Version
		assertApplied(t, l.apply(putFile("10-desk.yaml", version, deskConfig+"# one\n")))
		assertVoid(t, l, putFile("10-desk.yaml", version, deskConfig+"# other\n"), ErrStale)
		got := l.apply(putFile("10-desk.yaml", version, deskConfig))
		assertEqual(t, "current version", got.Current, l.state.Files()[0].Version)
	})
	t.Run("a refused change has no effect", func(t *testing.T) {
		l := newTestLog(t)
		assertVoid(t, l, putFile("20-wrong.yaml", 0, "services: {desk: {tiemout: 1s}}"), ErrRefused)
		assertVoid(t, l, removeFile("30-none.yaml", 0), ErrInvalid)
		both := putFile("20-good.yaml", 0, "services: {desk: {queue: 3}}")
		both.Files.Changes = append(both.Files.Changes, putFile("10-desk.yaml", 9, deskConfig).Files.Changes...)
		assertVoid(t, l, both, ErrStale)
	})
	t.Run("a layout can't change, even after the service was removed", func(t *testing.T) {
		l := newTestLog(t)
		assertVoid(t, l, putFile("10-desk.yaml", 1, otherLayout), ErrRefused)
		assertApplied(t, l.apply(removeFile("10-desk.yaml", 1)))
		assertVoid(t, l, putFile("10-desk.yaml", 0, otherLayout), ErrRefused)
		l.state = restored(t, l.state)
		assertVoid(t, l, putFile("10-desk.yaml", 0, otherLayout), ErrRefused)
		assertApplied(t, l.apply(putFile("10-desk.yaml", 0, deskConfig)))
	})
}

// TestShards guards against assignments that are based on an outdated epoch, former owners
// that are dropped before they released a shard, and epochs that a merge or split repeats.
func TestShards(t *testing.T) {
	t.Run("an assignment takes effect only at the expected epoch", func(t *testing.T) {
		l := newTestLog(t)
		assertVoid(t, l, assign(deskShard, "a", 1), ErrStale)
		assertApplied(t, l.apply(assign(deskShard, "a", 0)))
		assertVoid(t, l, assign(deskShard, "b", 0), ErrStale)
		assertVoid(t, l, assign(deskShard, "d", 1), ErrInvalid)
		assertApplied(t, l.apply(assign(deskShard, "b", 1)))
		current := l.state.Shard(deskShard)
		assertEqual(t, "owner", current.Target, "b")
		assertEqual(t, "epoch", current.Epoch, 2)
		assertEqual(t, "former owners", len(current.Former), 1)
	})
	t.Run("former owners are kept until the shard is settled", func(t *testing.T) {
		l := newTestLog(t)
		for expect, target := range []string{"a", "b", "c"} {
			assertApplied(t, l.apply(assign(deskShard, target, uint64(expect))))
		}
		assertEqual(t, "former owners", len(l.state.Shard(deskShard).Former), 2)
		assertVoid(t, l, settle(deskShard, 2), ErrStale)
		assertApplied(t, l.apply(settle(deskShard, 3)))
		assertEqual(t, "former owners", len(l.state.Shard(deskShard).Former), 0)
	})
	t.Run("a hot key is split off and merged back under a higher epoch", func(t *testing.T) {
		l := newTestLog(t)
		hot := deskShard
		hot.Key = "yard"
		other := hot
		other.Index = (hot.Index + 1) % 4
		assertVoid(t, l, assign(hot, "a", 0), ErrInvalid)
		assertApplied(t, l.apply(assign(deskShard, "a", 0)))
		assertVoid(t, l, split(other, 0), ErrInvalid)
		assertVoid(t, l, split(hot, 0), ErrStale)
		assertApplied(t, l.apply(split(hot, 1)))
		assertVoid(t, l, split(hot, 1), ErrInvalid)
		found, _, _ := l.state.Locate("desk", "yard")
		assertEqual(t, "shard of the key", found, hot)
		assertApplied(t, l.apply(assign(hot, "b", 1)))
		assertVoid(t, l, merge(hot, 2), ErrInvalid)
		assertApplied(t, l.apply(assign(hot, "a", 2)))
		assertVoid(t, l, merge(hot, 3), ErrInvalid)
		assertApplied(t, l.apply(settle(hot, 3)))
		assertVoid(t, l, merge(hot, 2), ErrStale)
		assertApplied(t, l.apply(merge(hot, 3)))
		found, _, _ = l.state.Locate("desk", "yard")
		assertEqual(t, "shard of the key", found, deskShard)
		assertEqual(t, "epoch", l.state.Shard(deskShard).Epoch, 4)
	})
}

// TestMembership guards against concurrent membership changes that both take effect, and
// leaseholders that are no members or are based on an outdated term.
func TestMembership(t *testing.T) {
	t.Run("changes by one member, at the expected epoch", func(t *testing.T) {
		l := newTestLog(t)
		assertApplied(t, l.apply(join("h1", 0)))
		assertVoid(t, l, join("h2", 0), ErrStale)
		assertVoid(t, l, join("h1", 1), ErrInvalid)
		assertApplied(t, l.apply(join("h2", 1)))
		assertEqual(t, "previous members", len(l.state.Members().Previous()), 1)
		assertEqual(t, "members", len(l.state.Members().Current()), 2)
		assertVoid(t, l, leave("h3", 2), ErrInvalid)
		assertVoid(t, l, leave("h1", 1), ErrStale)
		assertApplied(t, l.apply(leave("h1", 2)))
		assertEqual(t, "previous members", len(l.state.Members().Previous()), 2)
		assertEqual(t, "h1 is a member", l.state.Members().Has(hostRun("h1", 1)), false)
	})
	t.Run("a reset leaves its writer as the only member", func(t *testing.T) {
		l := newTestLog(t)
		assertApplied(t, l.apply(join("h1", 0)))
		reset := record.Op{Reset: &record.Reset{Member: record.Member{Incarnation: hostRun("h9", 1)}}}
		assertVoid(t, l, reset, ErrStale)
		reset.Reset.Expect = 1
		assertApplied(t, l.apply(reset))
		assertEqual(t, "members", len(l.state.Members().Current()), 1)
		assertEqual(t, "previous members", len(l.state.Members().Previous()), 0)
	})
	t.Run("only members become leaseholders, under increasing terms", func(t *testing.T) {
		l := newTestLog(t)
		assertVoid(t, l, lead("h1", 0), ErrInvalid)
		assertApplied(t, l.apply(join("h1", 0)))
		assertApplied(t, l.apply(lead("h1", 0)))
		assertVoid(t, l, lead("h1", 0), ErrStale)
		assertVoid(t, l, lead("h1", 1, hostRun("h1", 1)), ErrInvalid)
		assertVoid(t, l, lead("h1", 1, hostRun("h2", 1)), ErrInvalid)
		assertApplied(t, l.apply(join("h2", 1)))
		assertApplied(t, l.apply(lead("h1", 1, hostRun("h2", 1))))
		assertEqual(t, "first term", l.state.Target(record.Target{Service: "desk", Name: "a"}).FirstTerm, 1)
	})
}
