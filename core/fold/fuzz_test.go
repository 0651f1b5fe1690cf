package fold

import (
	"testing"

	"github.com/cespare/xxhash/v2"

	"pineturn/core/record"
)

// seedOps returns operations of every kind, in an order in which each takes
// effect.
func seedOps() []record.Op {
	hot := deskShard
	hot.Key = "yard"
	return []record.Op{
		putFile("10-desk.yaml", 0, deskConfig), join("h1", 0), join("h2", 1), lead("h1", 0, hostRun("h2", 1)),
		assign(deskShard, "a", 0), split(hot, 1), assign(hot, "b", 1), settle(hot, 2), assign(hot, "a", 2), settle(hot, 3),
		merge(hot, 3), {Drain: &record.Drain{Target: record.Target{Service: "desk", Name: "b"}, On: true}},
		{Checkpoint: &record.Checkpoint{}}, leave("h2", 2),
		{Reset: &record.Reset{Member: record.Member{Incarnation: hostRun("h3", 1)}, Expect: 3}}, removeFile("10-desk.yaml", 1),
	}
}

// encodedSeeds returns the operations of seedOps as one record each, and checks
// that each takes effect after the ones before it.
func encodedSeeds(t testing.TB) [][]byte {
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

// FuzzApply folds arbitrary bytes as a record, in the empty state and after some
// of the seed records.
func FuzzApply(f *testing.F) {
	seeds := encodedSeeds(f)
	for i, seed := range seeds {
		f.Add(i, seed)
		f.Add(0, seed)
	}
	f.Fuzz(func(t *testing.T, count int, data []byte) {
		state := New()
		for _, seed := range seeds[:max(0, min(count, len(seeds)))] {
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

// FuzzRestore restores arbitrary bytes as a snapshot with a matching digest, and
// folds the seed records in the restored state.
func FuzzRestore(f *testing.F) {
	state := New()
	seeds := encodedSeeds(f)
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
