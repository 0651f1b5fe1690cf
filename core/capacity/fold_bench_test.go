package capacity

import (
	"bytes"
	"fmt"
	"runtime"
	"testing"

	"pineturn/core/fold"
	"pineturn/core/record"
)

// stateSizes lists the cluster sizes for the benchmarks of snapshots. It varies one
// dimension at a time.
var stateSizes = []size{
	{12, 30, 100}, {12, 30, 1000}, {12, 30, 10_000}, {12, 30, 100_000},
	{12, 300, 1000}, {12, 3000, 1000},
	{120, 30, 1000}, {1200, 30, 1000},
}

// BenchmarkState restores a state from a snapshot. B/state is the memory of the
// state and B/image the size of the snapshot, both in bytes.
func BenchmarkState(b *testing.B) {
	for _, s := range stateSizes {
		b.Run(s.String(), func(b *testing.B) {
			data, digest, err := newCluster(b, s).state.Encode()
			if err != nil {
				b.Fatal(err)
			}
			before := heapBytes()
			restored, err := fold.Restore(data, digest)
			if err != nil {
				b.Fatal(err)
			}
			after := heapBytes()
			b.ResetTimer()
			for b.Loop() {
				if _, err := fold.Restore(data, digest); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(after-before, "B/state")
			b.ReportMetric(float64(len(data)), "B/image")
			runtime.KeepAlive(restored)
		})
	}
}

// BenchmarkEncode encodes a state, as every host does at each checkpoint record.
func BenchmarkEncode(b *testing.B) {
	for _, s := range stateSizes {
		b.Run(s.String(), func(b *testing.B) {
			c := newCluster(b, s)
			b.ReportAllocs()
			for b.Loop() {
				if _, _, err := c.state.Encode(); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// foldSizes lists the cluster sizes for the benchmarks that fold single records.
var foldSizes = []size{{12, 30, 1000}, {12, 300, 10_000}, {120, 3000, 100_000}}

// BenchmarkFold folds records of one operation, for several kinds of operation.
// B/record is the size of a record in bytes.
func BenchmarkFold(b *testing.B) {
	kinds := map[string]func(c *cluster, i int) record.Op{
		"assign": assignOp, "settle": settleOp, "lead": leadOp, "member": memberOp, "drain": drainOp,
	}
	for kind, next := range kinds {
		for _, s := range foldSizes {
			b.Run(kind+"/"+s.String(), func(b *testing.B) { benchmarkFold(b, newCluster(b, s), next) })
		}
	}
}

func benchmarkFold(b *testing.B, c *cluster, next func(c *cluster, i int) record.Op) {
	recordBytes := 0
	for i := 0; b.Loop(); i++ {
		data := c.encode(next(c, i))
		recordBytes += len(data)
		if _, results, err := c.state.Apply(c.state.Next(), data); err != nil || results[0].Err != nil {
			b.Fatal(err, results[0].Err)
		}
	}
	b.ReportMetric(float64(recordBytes)/float64(b.N), "B/record")
}

func assignOp(c *cluster, i int) record.Op {
	index := i % c.size.shards
	return assign(c.size, index, i/c.size.shards+1, c.state.Shard(c.size.shard(index)).Epoch)
}

func settleOp(c *cluster, i int) record.Op {
	id := c.size.shard(i % c.size.shards)
	return record.Op{Settle: &record.Settle{Shard: id, Epoch: c.state.Shard(id).Epoch}}
}

func leadOp(c *cluster, i int) record.Op {
	index := i % c.size.targets
	return lead(c.size, index, c.state.Target(c.size.target(index)).Term)
}

// memberOp returns a join and a leave of the same host in turn.
func memberOp(c *cluster, i int) record.Op {
	members := c.state.Members()
	if i%2 == 0 {
		return record.Op{Join: &record.Join{Member: memberAt(c.size.hosts), Expect: members.Epoch()}}
	}
	return record.Op{Leave: &record.Leave{Incarnation: incarnation(c.size.hosts), Expect: members.Epoch()}}
}

func drainOp(c *cluster, i int) record.Op {
	return record.Op{Drain: &record.Drain{Target: c.size.target(i % c.size.targets), On: i%2 == 0}}
}

// BenchmarkFiles folds a change of one configuration file. B/file is the memory of
// the state per file of 100 targets, in bytes.
func BenchmarkFiles(b *testing.B) {
	for _, count := range []int{1, 10, 100} {
		b.Run(fmt.Sprintf("files=%d", count), func(b *testing.B) {
			before := heapBytes()
			c := newCluster(b, size{12, targetsPerFile * count, 100})
			stateBytes := heapBytes() - before
			change := files(c.size)[count-1]
			for i := 0; b.Loop(); i++ {
				op := &record.Files{Changes: []record.FileChange{{
					Name: change.Name, Expect: c.version(change.Name), Content: append(bytes.Clone(change.Content), []byte(fmt.Sprintf("# %d\n", i))...),
				}}}
				if results := c.apply(c.encode(record.Op{Files: op})); results[0].Err != nil {
					b.Fatal(results[0].Err, results[0].Faults)
				}
			}
			b.ReportMetric(stateBytes/float64(count), "B/file")
		})
	}
}

func (c *cluster) version(name string) uint64 {
	for _, file := range c.state.Files() {
		if file.Name == name {
			return file.Version
		}
	}
	return 0
}
