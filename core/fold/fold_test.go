package fold

import (
	"errors"
	"testing"

	"pineturn/core/record"
	"pineturn/core/shard"
)

const deskFile = `
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

// journal folds records that it makes up, in their order.
type journal struct {
	t     *testing.T
	state *State
	seq   uint64
}

var deskShard = shard.ID{Service: "desk", Group: "all", Index: shard.IndexOf("yard", 4)}

func newJournal(t *testing.T) *journal {
	t.Helper()
	j := &journal{t: t, state: New()}
	assertApplied(t, j.apply(put("10-desk.yaml", 0, deskFile)))
	return j
}

func encode(t *testing.T, id record.ID, ops ...record.Op) []byte {
	t.Helper()
	data, err := record.Encode(record.Batch{Version: record.Version, ID: id, Ops: ops})
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func (j *journal) apply(op record.Op) Result {
	j.t.Helper()
	j.seq++
	return j.applyAs(record.ID{Writer: hostRun("w", 1), Seq: j.seq}, op)
}

func (j *journal) applyAs(id record.ID, op record.Op) Result {
	j.t.Helper()
	_, results, err := j.state.Apply(j.state.Next(), encode(j.t, id, op))
	if err != nil || len(results) != 1 {
		j.t.Fatalf("got %d results and %v, want 1 and no error", len(results), err)
	}
	return results[0]
}

// content is the encoded state without what every record changes.
func (j *journal) content() uint64 {
	j.t.Helper()
	return contentOf(j.t, j.state)
}

func contentOf(t interface{ Fatal(args ...any) }, s *State) uint64 {
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

func put(name string, expect uint64, content string) record.Op {
	return record.Op{Files: &record.Files{Changes: []record.FileChange{{Name: name, Expect: expect, Content: []byte(content)}}}}
}

func remove(name string, expect uint64) record.Op {
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
	return record.Op{Lead: &record.Lead{Target: target, Holder: hostRun(holder, 1), Expect: expect, Deputies: deputies}}
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

// assertVoid folds an operation that must be void and change nothing.
func assertVoid(t *testing.T, j *journal, op record.Op, want error) {
	t.Helper()
	before := j.content()
	got := j.apply(op)
	if !errors.Is(got.Err, want) {
		t.Fatalf("got %v, want %v", got.Err, want)
	}
	if after := j.content(); after != before {
		t.Fatalf("got content %x after a void operation, want %x", after, before)
	}
}

func assertEqual[T comparable](t *testing.T, what string, got, want T) {
	t.Helper()
	if got != want {
		t.Fatalf("%s: got %v, want %v", what, got, want)
	}
}

func TestApply(t *testing.T) {
	t.Run("a gap is refused and folds nothing", func(t *testing.T) {
		j := newJournal(t)
		_, _, err := j.state.Apply(j.state.Next()+1, encode(t, record.ID{}, join("h1", 0)))
		if !errors.Is(err, ErrGap) {
			t.Fatalf("got %v, want %v", err, ErrGap)
		}
		assertEqual(t, "next", j.state.Next(), 1)
	})
	t.Run("a malformed record is void and folding goes on", func(t *testing.T) {
		j := newJournal(t)
		if _, _, err := j.state.Apply(j.state.Next(), []byte{0xff}); err == nil {
			t.Fatal("got no error, want one")
		}
		assertApplied(t, j.apply(join("h1", 0)))
	})
	t.Run("a batch that was folded before is void", func(t *testing.T) {
		j := newJournal(t)
		id := record.ID{Writer: hostRun("x", 2), Seq: 5}
		assertApplied(t, j.applyAs(id, join("h1", 0)))
		for _, again := range []record.ID{id, {Writer: id.Writer, Seq: 4}, {Writer: hostRun("x", 1), Seq: 9}} {
			got := j.applyAs(again, join("h2", 1))
			if !errors.Is(got.Err, ErrDuplicate) {
				t.Fatalf("%v: got %v, want %v", again, got.Err, ErrDuplicate)
			}
		}
		assertApplied(t, j.applyAs(record.ID{Writer: hostRun("x", 3), Seq: 1}, join("h2", 1)))
	})
}

func TestFiles(t *testing.T) {
	t.Run("of two racing edits one wins", func(t *testing.T) {
		j := newJournal(t)
		version := j.state.Files()[0].Version
		assertApplied(t, j.apply(put("10-desk.yaml", version, deskFile+"# one\n")))
		assertVoid(t, j, put("10-desk.yaml", version, deskFile+"# other\n"), ErrStale)
		got := j.apply(put("10-desk.yaml", version, deskFile))
		assertEqual(t, "current version", got.Current, j.state.Files()[0].Version)
	})
	t.Run("a refused change changes nothing", func(t *testing.T) {
		j := newJournal(t)
		assertVoid(t, j, put("20-wrong.yaml", 0, "services: {desk: {tiemout: 1s}}"), ErrRefused)
		assertVoid(t, j, remove("30-none.yaml", 0), ErrInvalid)
		both := put("20-good.yaml", 0, "services: {desk: {queue: 3}}")
		both.Files.Changes = append(both.Files.Changes, put("10-desk.yaml", 9, deskFile).Files.Changes...)
		assertVoid(t, j, both, ErrStale)
	})
	t.Run("a layout can't change, also after the service was removed", func(t *testing.T) {
		j := newJournal(t)
		assertVoid(t, j, put("10-desk.yaml", 1, otherLayout), ErrRefused)
		assertApplied(t, j.apply(remove("10-desk.yaml", 1)))
		assertVoid(t, j, put("10-desk.yaml", 0, otherLayout), ErrRefused)
		j.state = restored(t, j.state)
		assertVoid(t, j, put("10-desk.yaml", 0, otherLayout), ErrRefused)
		assertApplied(t, j.apply(put("10-desk.yaml", 0, deskFile)))
	})
}

func TestShards(t *testing.T) {
	t.Run("an assignment replaces the epoch that it names", func(t *testing.T) {
		j := newJournal(t)
		assertVoid(t, j, assign(deskShard, "a", 1), ErrStale)
		assertApplied(t, j.apply(assign(deskShard, "a", 0)))
		assertVoid(t, j, assign(deskShard, "b", 0), ErrStale)
		assertVoid(t, j, assign(deskShard, "d", 1), ErrInvalid)
		assertApplied(t, j.apply(assign(deskShard, "b", 1)))
		owned := j.state.Shard(deskShard)
		assertEqual(t, "owner", owned.Target, "b")
		assertEqual(t, "epoch", owned.Epoch, 2)
		assertEqual(t, "former owners", len(owned.Former), 1)
	})
	t.Run("former owners stay until they are settled", func(t *testing.T) {
		j := newJournal(t)
		for expect, target := range []string{"a", "b", "c"} {
			assertApplied(t, j.apply(assign(deskShard, target, uint64(expect))))
		}
		assertEqual(t, "former owners", len(j.state.Shard(deskShard).Former), 2)
		assertVoid(t, j, settle(deskShard, 2), ErrStale)
		assertApplied(t, j.apply(settle(deskShard, 3)))
		assertEqual(t, "former owners", len(j.state.Shard(deskShard).Former), 0)
	})
	t.Run("a hot key is split off and returned under a higher epoch", func(t *testing.T) {
		j := newJournal(t)
		hot := deskShard
		hot.Key = "yard"
		other := hot
		other.Index = (hot.Index + 1) % 4
		assertVoid(t, j, assign(hot, "a", 0), ErrInvalid)
		assertApplied(t, j.apply(assign(deskShard, "a", 0)))
		assertVoid(t, j, split(other, 0), ErrInvalid)
		assertVoid(t, j, split(hot, 0), ErrStale)
		assertApplied(t, j.apply(split(hot, 1)))
		assertVoid(t, j, split(hot, 1), ErrInvalid)
		found, _, _ := j.state.Locate("desk", "yard")
		assertEqual(t, "shard of the key", found, hot)
		assertApplied(t, j.apply(assign(hot, "b", 1)))
		assertVoid(t, j, merge(hot, 2), ErrInvalid)
		assertApplied(t, j.apply(assign(hot, "a", 2)))
		assertVoid(t, j, merge(hot, 3), ErrInvalid)
		assertApplied(t, j.apply(settle(hot, 3)))
		assertVoid(t, j, merge(hot, 2), ErrStale)
		assertApplied(t, j.apply(merge(hot, 3)))
		found, _, _ = j.state.Locate("desk", "yard")
		assertEqual(t, "shard of the key", found, deskShard)
		assertEqual(t, "epoch", j.state.Shard(deskShard).Epoch, 4)
	})
}

func TestMembership(t *testing.T) {
	t.Run("changes by one member, by the epoch that it names", func(t *testing.T) {
		j := newJournal(t)
		assertApplied(t, j.apply(join("h1", 0)))
		assertVoid(t, j, join("h2", 0), ErrStale)
		assertVoid(t, j, join("h1", 1), ErrInvalid)
		assertApplied(t, j.apply(join("h2", 1)))
		assertEqual(t, "members before", len(j.state.Members().Previous()), 1)
		assertEqual(t, "members", len(j.state.Members().Current()), 2)
		assertVoid(t, j, leave("h3", 2), ErrInvalid)
		assertVoid(t, j, leave("h1", 1), ErrStale)
		assertApplied(t, j.apply(leave("h1", 2)))
		assertEqual(t, "members before", len(j.state.Members().Previous()), 2)
		assertEqual(t, "h1 is a member", j.state.Members().Has(hostRun("h1", 1)), false)
	})
	t.Run("a reset leaves its writer alone", func(t *testing.T) {
		j := newJournal(t)
		assertApplied(t, j.apply(join("h1", 0)))
		reset := record.Op{Reset: &record.Reset{Member: record.Member{Incarnation: hostRun("h9", 1)}}}
		assertVoid(t, j, reset, ErrStale)
		reset.Reset.Expect = 1
		assertApplied(t, j.apply(reset))
		assertEqual(t, "members", len(j.state.Members().Current()), 1)
		assertEqual(t, "members before", len(j.state.Members().Previous()), 0)
	})
	t.Run("only members lead, under a term that grows", func(t *testing.T) {
		j := newJournal(t)
		assertVoid(t, j, lead("h1", 0), ErrInvalid)
		assertApplied(t, j.apply(join("h1", 0)))
		assertApplied(t, j.apply(lead("h1", 0)))
		assertVoid(t, j, lead("h1", 0), ErrStale)
		assertVoid(t, j, lead("h1", 1, hostRun("h1", 1)), ErrInvalid)
		assertVoid(t, j, lead("h1", 1, hostRun("h2", 1)), ErrInvalid)
		assertApplied(t, j.apply(join("h2", 1)))
		assertApplied(t, j.apply(lead("h1", 1, hostRun("h2", 1))))
		assertEqual(t, "first term", j.state.Target(record.Target{Service: "desk", Name: "a"}).FirstTerm, 1)
	})
}
