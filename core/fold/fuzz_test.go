package fold

import (
	"testing"

	"github.com/cespare/xxhash/v2"

	"pineturn/core/record"
)

// seedOps are operations of every kind, in an order in which they fit.
func seedOps() []record.Op {
	hot := deskShard
	hot.Key = "yard"
	return []record.Op{
		put("10-desk.yaml", 0, deskFile), join("h1", 0), join("h2", 1), lead("h1", 0, hostRun("h2", 1)),
		assign(deskShard, "a", 0), split(hot, 1), assign(hot, "b", 1), settle(hot, 2), assign(hot, "a", 2), settle(hot, 3),
		merge(hot, 3), {Drain: &record.Drain{Target: record.Target{Service: "desk", Name: "b"}, On: true}},
		{Checkpoint: &record.Checkpoint{}}, leave("h2", 2),
		{Reset: &record.Reset{Member: record.Member{Incarnation: hostRun("h3", 1)}, Expect: 3}}, remove("10-desk.yaml", 1),
	}
}

// seeded returns the encoded seeds, each of which takes effect after the others.
func seeded(t testing.TB) [][]byte {
	t.Helper()
	state := New()
	var list [][]byte
	for i, op := range seedOps() {
		data, err := record.Encode(record.Batch{
			Version: record.Version, ID: record.ID{Writer: hostRun("w", 1), Seq: uint64(i + 1)}, Ops: []record.Op{op},
		})
		if err != nil {
			t.Fatal(err)
		}
		if _, results, err := state.Apply(state.Next(), data); err != nil || results[0].Err != nil {
			t.Fatalf("seed %d: got %v and %v, want applied", i, err, results[0])
		}
		list = append(list, data)
	}
	return list
}

// FuzzApply folds any bytes as a record, alone and after records that fit.
func FuzzApply(f *testing.F) {
	seeds := seeded(f)
	for i, seed := range seeds {
		f.Add(i, seed)
		f.Add(0, seed)
	}
	f.Fuzz(func(t *testing.T, after int, data []byte) {
		state := New()
		for _, seed := range seeds[:max(0, min(after, len(seeds)))] {
			if _, _, err := state.Apply(state.Next(), seed); err != nil {
				t.Fatal(err)
			}
		}
		next := state.Next()
		_, _, err := state.Apply(next, data)
		assertEqual(t, "next offset", state.Next(), next+1)
		if err == nil {
			restored(t, state)
		}
	})
}

// FuzzRestore restores any bytes as a snapshot of the right digest, and folds
// records after it.
func FuzzRestore(f *testing.F) {
	state := New()
	seeds := seeded(f)
	for _, seed := range seeds {
		if _, _, err := state.Apply(state.Next(), seed); err != nil {
			f.Fatal(err)
		}
		data, _, err := state.Encode()
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
		f.Add(data[:len(data)/2])
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		state, err := Restore(data, xxhash.Sum64(data))
		if err != nil {
			return
		}
		for _, seed := range seeds {
			if _, _, err := state.Apply(state.Next(), seed); err != nil {
				t.Fatal(err)
			}
		}
	})
}
