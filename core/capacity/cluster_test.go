package capacity

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"pineturn/core/fold"
	"pineturn/core/member"
	"pineturn/core/message"
	"pineturn/core/record"
	"pineturn/core/shard"
)

const (
	group = "all"
	// maxShardsPerService is the maximum number of shards of a service.
	maxShardsPerService = 4000
	// targetsPerFile is the maximum number of targets in a configuration file.
	targetsPerFile = 100
	// opsPerRecord is the maximum number of operations in a record of newCluster.
	opsPerRecord = 500
	domains      = 4
)

// start is the initial time of the clock of every benchmark.
var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// size is the number of hosts, targets and shards of a cluster.
type size struct {
	hosts, targets, shards int
}

func (s size) String() string {
	return fmt.Sprintf("hosts=%d/targets=%d/shards=%d", s.hosts, s.targets, s.shards)
}

// services returns the number of services of the cluster.
func (s size) services() int { return (s.shards + maxShardsPerService - 1) / maxShardsPerService }

// target returns target i. Targets are distributed over the services in turn.
func (s size) target(i int) record.Target {
	return record.Target{Service: service(i % s.services()), Name: fmt.Sprintf("target-%d", i)}
}

// shard returns shard i. Shards are distributed over the services in turn.
func (s size) shard(i int) shard.ID {
	return shard.ID{Service: service(i % s.services()), Group: group, Index: i / s.services()}
}

// owner returns the owner of shard i after the given number of moves.
func (s size) owner(i, moves int) record.Target {
	first, step := i%s.services(), s.services()
	count := (s.targets - first + step - 1) / step
	return s.target(first + (i/step+moves)%count*step)
}

// cluster is the state of one cluster, which is a group of hosts with a common log, and
// that log.
type cluster struct {
	tb    testing.TB
	size  size
	state *fold.State
	log   [][]byte
	seq   uint64
}

// newCluster returns a cluster in which every target has a leaseholder and every shard
// has an owner.
func newCluster(tb testing.TB, s size) *cluster {
	tb.Helper()
	c := &cluster{tb: tb, size: s, state: fold.New()}
	for _, change := range files(s) {
		c.mustApply(record.Op{Files: &record.Files{Author: "bench", Changes: []record.FileChange{change}}})
	}
	for i := range s.hosts {
		c.mustApply(record.Op{Join: &record.Join{Member: memberAt(i), Expect: uint64(i)}})
	}
	var ops []record.Op
	for i := range s.targets {
		ops = append(ops, lead(s, i, 0))
	}
	for i := range s.shards {
		ops = append(ops, assign(s, i, 0, 0))
	}
	c.mustApply(ops...)
	return c
}

// mustApply folds operations and fails the benchmark if one of them is void.
func (c *cluster) mustApply(ops ...record.Op) {
	c.tb.Helper()
	for len(ops) > 0 {
		count := min(len(ops), opsPerRecord)
		for i, result := range c.apply(c.encode(ops[:count]...)) {
			if result.Err != nil {
				c.tb.Fatalf("operation %d: %v %v", i, result.Err, result.Faults)
			}
		}
		ops = ops[count:]
	}
}

func (c *cluster) encode(ops ...record.Op) []byte {
	c.tb.Helper()
	c.seq++
	id := record.ID{Writer: record.Incarnation{Host: "host-0", Run: 1}, Seq: c.seq}
	data, err := record.Encode(record.Batch{Version: record.Version, ID: id, Ops: ops})
	if err != nil {
		c.tb.Fatal(err)
	}
	return data
}

func (c *cluster) apply(data []byte) []fold.Result {
	c.tb.Helper()
	_, results, err := c.state.Apply(c.state.Next(), data)
	if err != nil {
		c.tb.Fatal(err)
	}
	c.log = append(c.log, data)
	return results
}

// records returns the log of the cluster as records that hosts send to each other.
func (c *cluster) records() []message.Record {
	list := make([]message.Record, len(c.log))
	for i, data := range c.log {
		list[i] = message.Record{Offset: uint64(i), Data: data}
	}
	return list
}

func files(s size) []record.FileChange {
	var list []record.FileChange
	for first := 0; first < s.targets; first += targetsPerFile {
		var text strings.Builder
		text.WriteString("services:\n")
		for serviceIndex := range s.services() {
			targets := ""
			for i := first; i < min(first+targetsPerFile, s.targets); i++ {
				if i%s.services() == serviceIndex {
					targets += fmt.Sprintf("      %s: {address: \"127.0.%d.%d:9001\", domain: %s, slots: 4, connections: 60}\n",
						s.target(i).Name, i/250, i%250+1, domain(i+1))
				}
			}
			if targets != "" {
				fmt.Fprintf(&text, "  %s:\n    targets:\n%s", service(serviceIndex), targets)
			}
			if targets != "" && first == 0 {
				shards := (s.shards - serviceIndex + s.services() - 1) / s.services()
				fmt.Fprintf(&text, "    groups:\n      %s: {keys: \"*\", shards: %d}\n", group, shards)
			}
		}
		list = append(list, record.FileChange{Name: fmt.Sprintf("%04d.yaml", first/targetsPerFile), Content: []byte(text.String())})
	}
	return list
}

func service(i int) string { return fmt.Sprintf("ledger-%d", i) }

func domain(i int) string { return fmt.Sprintf("domain-%d", i%domains) }

func incarnation(i int) record.Incarnation {
	return record.Incarnation{Host: fmt.Sprintf("host-%d", i), Run: uint64(start.UnixMicro())}
}

func memberAt(i int) record.Member {
	return record.Member{Incarnation: incarnation(i), Address: fmt.Sprintf("127.1.%d.%d:7100", i/250, i%250+1), Domain: domain(i)}
}

func lead(s size, i int, expect uint64) record.Op {
	op := &record.Lead{Target: s.target(i), Leaseholder: incarnation(i % s.hosts), Expect: expect}
	for next := 1; next <= 2 && next < s.hosts; next++ {
		op.Deputies = append(op.Deputies, incarnation((i+next)%s.hosts))
	}
	return record.Op{Lead: op}
}

func assign(s size, i, moves int, expect uint64) record.Op {
	return record.Op{Assign: &record.Assign{Shard: s.shard(i), Target: s.owner(i, moves).Name, Expect: expect, Why: "imbalance"}}
}

// tracker returns the tracker of host 0, which has received a reply from every
// other member of the cluster at now.
func (c *cluster) tracker(now time.Time) *member.Tracker {
	t := member.New(incarnation(0), member.DefaultSuspicion, now)
	t.Sync(c.state.Members(), now)
	for i := 1; i < c.size.hosts; i++ {
		t.RecordPong(pong(i, c.state.Next()), now, now)
	}
	return t
}

func pong(i int, next uint64) message.Pong {
	return message.Pong{From: incarnation(i), Next: next, Ready: true, ConfigVersion: 1}
}

// heapBytes returns the size of the heap in bytes after garbage collection.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}
