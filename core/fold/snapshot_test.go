package fold

import (
	"errors"
	"fmt"
	"slices"
	"testing"

	"github.com/cespare/xxhash/v2"
	"pgregory.net/rapid"

	"pineturn/core/record"
	"pineturn/core/shard"
)

type fataler interface {
	Helper()
	Fatal(args ...any)
}

// restored is the state that a snapshot of s restores, of the same digest.
func restored(t fataler, s *State) *State {
	t.Helper()
	data, digest, err := s.Encode()
	if err != nil {
		t.Fatal(err)
	}
	out, err := Restore(data, digest)
	if err != nil {
		t.Fatal(err)
	}
	if _, got, err := out.Encode(); got != digest || err != nil {
		t.Fatal(fmt.Sprintf("digest after Restore: got %x and %v, want %x", got, err, digest))
	}
	return out
}

func TestRestore(t *testing.T) {
	j := newJournal(t)
	data, digest, err := j.state.Encode()
	if err != nil {
		t.Fatal(err)
	}
	t.Run("a wrong digest is refused", func(t *testing.T) {
		if _, err := Restore(data, digest+1); !errors.Is(err, ErrDigestMismatch) {
			t.Fatalf("got %v, want %v", err, ErrDigestMismatch)
		}
	})
	t.Run("a part of a snapshot is refused", func(t *testing.T) {
		part := data[:len(data)/2]
		if _, err := Restore(part, xxhash.Sum64(part)); err == nil {
			t.Fatal("got no error, want one")
		}
	})
	t.Run("a host of another digest says that it diverged", func(t *testing.T) {
		checkpoint := record.Op{Checkpoint: &record.Checkpoint{}}
		assertApplied(t, j.apply(checkpoint))
		mark := j.state.Checkpoints()[0]
		checkpoint.Checkpoint = &record.Checkpoint{BeforeNext: mark.Next, BeforeDigest: mark.Digest}
		assertApplied(t, j.apply(checkpoint))
		assertEqual(t, "diverged", j.state.Diverged(), false)
		checkpoint.Checkpoint.BeforeDigest++
		assertApplied(t, j.apply(checkpoint))
		assertEqual(t, "diverged", j.state.Diverged(), true)
	})
}

// drawOp draws an operation that often fits the state.
func drawOp(t *rapid.T, s *State) record.Op {
	keys := []string{"", "", "", "yard", "gate", "lane"}
	host := rapid.SampledFrom([]string{"h1", "h2", "h3"})
	id := shard.ID{Service: "desk", Group: "all", Index: rapid.IntRange(0, 3).Draw(t, "index")}
	if id.Key = rapid.SampledFrom(keys).Draw(t, "key"); id.Key != "" {
		id.Index = shard.IndexOf(id.Key, 4)
	}
	target := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "target")
	near := func(current uint64) uint64 { return current + rapid.SampledFrom([]uint64{0, 0, 0, 1}).Draw(t, "off") }
	switch rapid.IntRange(0, 10).Draw(t, "kind") {
	case 0, 1, 2:
		return assign(id, target, near(s.Shard(id).Epoch))
	case 3:
		return settle(id, near(s.Shard(id).Epoch))
	case 4:
		return split(id, near(s.Shard(id.Parent()).Epoch))
	case 5:
		return merge(id, near(s.Shard(id).Epoch))
	case 6:
		return join(host.Draw(t, "host"), near(s.Members().Epoch()))
	case 7:
		return leave(host.Draw(t, "host"), near(s.Members().Epoch()))
	case 8:
		return lead(host.Draw(t, "host"), near(s.Target(record.Target{Service: "desk", Name: "a"}).Term))
	case 9:
		return record.Op{Drain: &record.Drain{Target: record.Target{Service: "desk", Name: target}, On: id.Index%2 == 0}}
	}
	name := rapid.SampledFrom([]string{"10-desk.yaml", "20-x.yaml"}).Draw(t, "file")
	return drawFile(t, s, name, near)
}

func drawFile(t *rapid.T, s *State, name string, near func(uint64) uint64) record.Op {
	version := near(s.files[name].Version)
	content := rapid.SampledFrom([]string{
		deskFile, deskFile + "# changed\n", otherLayout, "", "services: {desk: {queue: 7}}", "services: 3",
	}).Draw(t, "content")
	if content == "" {
		return remove(name, version)
	}
	return put(name, version, content)
}

// drawRecord draws a record: malformed, repeated or new.
func drawRecord(t *rapid.T, s *State) []byte {
	if rapid.IntRange(0, 20).Draw(t, "malformed") == 20 {
		return rapid.SliceOf(rapid.Byte()).Draw(t, "bytes")
	}
	batch := record.Batch{Version: record.Version, ID: record.ID{
		Writer: hostRun(rapid.SampledFrom([]string{"w1", "w2"}).Draw(t, "writer"), rapid.Uint64Range(1, 2).Draw(t, "run")),
		Seq:    rapid.Uint64Range(s.Next()/2, s.Next()+1).Draw(t, "seq"),
	}}
	for range rapid.IntRange(1, 3).Draw(t, "ops") {
		batch.Ops = append(batch.Ops, drawOp(t, s))
	}
	data, err := record.Encode(batch)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// checkRecord checks what one record may do to the state.
func checkRecord(t *rapid.T, s *State, data []byte) {
	before, epochs := contentOf(t, s), map[shard.ID]uint64{}
	for id, owned := range s.Shards() {
		epochs[id] = owned.Epoch
	}
	_, results, err := s.Apply(s.Next(), data)
	applied := 0
	for _, result := range results {
		if result.Err == nil {
			applied++
		}
	}
	if after := contentOf(t, s); (err != nil || applied == 0) && after != before {
		t.Fatalf("got content %x after a void record, want %x", after, before)
	}
	for id, epoch := range epochs {
		owned, ok := s.Shards()[id]
		if ok && owned.Epoch < epoch || !ok && s.Shard(id.Parent()).Epoch <= epoch {
			t.Fatalf("shard %s: got a state behind epoch %d, want none", id, epoch)
		}
	}
}

// TestFoldFromSnapshot checks that a state restored at any offset folds the
// rest to the same state as one that folded all.
func TestFoldFromSnapshot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		whole := New()
		var late *State
		at := rapid.IntRange(0, 20).Draw(t, "snapshot")
		records := rapid.IntRange(1, 40).Draw(t, "records")
		first := record.Batch{Version: record.Version, Ops: []record.Op{put("10-desk.yaml", 0, deskFile)}}
		data, err := record.Encode(first)
		if err != nil {
			t.Fatal(err)
		}
		for i := range records {
			if i == at {
				late = restored(t, whole)
			}
			checkRecord(t, whole, data)
			if late != nil {
				checkRecord(t, late, data)
			}
			data = drawRecord(t, whole)
		}
		if late == nil {
			return
		}
		_, want, _ := whole.Encode()
		if _, got, _ := late.Encode(); got != want {
			t.Fatalf("digest of the late state: got %x, want %x", got, want)
		}
		for index := range 4 {
			id := shard.ID{Service: "desk", Group: "all", Index: index}
			if got, want := late.HotKeys(id), whole.HotKeys(id); !slices.Equal(got, want) {
				t.Fatalf("hot keys of %s in the late state: got %v, want %v", id, got, want)
			}
		}
	})
}
