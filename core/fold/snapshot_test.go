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

type testReporter interface {
	Helper()
	Fatal(args ...any)
}

// restored encodes s and returns the state restored from the snapshot. It checks
// that both have the same digest.
func restored(t testReporter, s *State) *State {
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
	l := newTestLog(t)
	data, digest, err := l.state.Encode()
	if err != nil {
		t.Fatal(err)
	}
	t.Run("a wrong digest is refused", func(t *testing.T) {
		if _, err := Restore(data, digest+1); !errors.Is(err, ErrDigestMismatch) {
			t.Fatalf("got %v, want %v", err, ErrDigestMismatch)
		}
	})
	t.Run("a truncated snapshot is refused", func(t *testing.T) {
		part := data[:len(data)/2]
		if _, err := Restore(part, xxhash.Sum64(part)); err == nil {
			t.Fatal("got no error, want one")
		}
	})
	t.Run("a different digest at a checkpoint is reported as divergence", func(t *testing.T) {
		checkpoint := record.Op{Checkpoint: &record.Checkpoint{}}
		assertApplied(t, l.apply(checkpoint))
		previous := l.state.Checkpoints()[0]
		checkpoint.Checkpoint = &record.Checkpoint{BeforeNext: previous.Next, BeforeDigest: previous.Digest}
		assertApplied(t, l.apply(checkpoint))
		assertEqual(t, "diverged", l.state.Diverged(), false)
		checkpoint.Checkpoint.BeforeDigest++
		assertApplied(t, l.apply(checkpoint))
		assertEqual(t, "diverged", l.state.Diverged(), true)
	})
}

// drawOp draws an operation that is often valid in the state.
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
		deskConfig, deskConfig + "# changed\n", otherLayout, "", "services: {desk: {queue: 7}}", "services: 3",
	}).Draw(t, "content")
	if content == "" {
		return removeFile(name, version)
	}
	return putFile(name, version, content)
}

// drawRecord draws a record, which may be malformed or a duplicate.
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

// checkRecord folds a record and checks that a void record does not change the
// state and that the epoch of no shard decreases, also when a hot key is merged
// into its range shard.
func checkRecord(t *rapid.T, s *State, data []byte) {
	before, epochs := contentDigestOf(t, s), map[shard.ID]uint64{}
	for id, current := range s.Shards() {
		epochs[id] = current.Epoch
	}
	_, results, err := s.Apply(s.Next(), data)
	applied := 0
	for _, result := range results {
		if result.Err == nil {
			applied++
		}
	}
	if after := contentDigestOf(t, s); (err != nil || applied == 0) && after != before {
		t.Fatalf("content digest after a void record: got %x, want %x", after, before)
	}
	for id, epoch := range epochs {
		current, ok := s.Shards()[id]
		if ok && current.Epoch < epoch || !ok && s.Shard(id.Parent()).Epoch <= epoch {
			t.Fatalf("shard %s: epoch decreased from %d, or did not increase in a merge", id, epoch)
		}
	}
}

// TestFoldFromSnapshot checks that a state restored from a snapshot at any offset
// equals a state that folded all records, after folding the remaining ones.
func TestFoldFromSnapshot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		full := New()
		var resumed *State
		snapshotAt := rapid.IntRange(0, 20).Draw(t, "snapshot")
		records := rapid.IntRange(1, 40).Draw(t, "records")
		first := record.Batch{Version: record.Version, Ops: []record.Op{putFile("10-desk.yaml", 0, deskConfig)}}
		data, err := record.Encode(first)
		if err != nil {
			t.Fatal(err)
		}
		for i := range records {
			if i == snapshotAt {
				resumed = restored(t, full)
			}
			checkRecord(t, full, data)
			if resumed != nil {
				checkRecord(t, resumed, data)
			}
			data = drawRecord(t, full)
		}
		if resumed == nil {
			return
		}
		_, want, _ := full.Encode()
		if _, got, _ := resumed.Encode(); got != want {
			t.Fatalf("digest of the restored state: got %x, want %x", got, want)
		}
		for index := range 4 {
			id := shard.ID{Service: "desk", Group: "all", Index: index}
			if got, want := resumed.HotKeys(id), full.HotKeys(id); !slices.Equal(got, want) {
				t.Fatalf("hot keys of %s in the restored state: got %v, want %v", id, got, want)
			}
		}
	})
}
