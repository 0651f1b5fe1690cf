package capacity

import (
	"fmt"
	"testing"
	"time"

	"pineturn/core/host"
	"pineturn/core/member"
	"pineturn/core/message"
	"pineturn/core/outcome"
	"pineturn/core/plan"
	"pineturn/core/record"
	"pineturn/core/shard"
)

// memberCounts lists the numbers of members for the benchmarks of member.Tracker.
var memberCounts = []int{3, 30, 300}

// BenchmarkConfirmed checks once when a majority last confirmed this host.
func BenchmarkConfirmed(b *testing.B) {
	benchmarkTracker(b, func(t *member.Tracker, c *cluster) bool {
		_, ok := t.ConfirmedAt(c.state.Members(), c.state.Next(), start, nil)
		return ok
	})
}

// BenchmarkFoldedByMajority checks once whether a majority has folded the last
// record.
func BenchmarkFoldedByMajority(b *testing.B) {
	benchmarkTracker(b, func(t *member.Tracker, c *cluster) bool {
		return t.FoldedByMajority(c.state.Members(), c.state.Next()-1, c.state.Next())
	})
}

// BenchmarkLost checks once whether a member is lost whose last reply is 1 s old.
func BenchmarkLost(b *testing.B) {
	benchmarkTracker(b, func(t *member.Tracker, c *cluster) bool {
		return !t.Lost(c.state.Members(), incarnation(1), start.Add(time.Second))
	})
}

func benchmarkTracker(b *testing.B, check func(t *member.Tracker, c *cluster) bool) {
	b.Helper()
	for _, count := range memberCounts {
		b.Run(fmt.Sprintf("hosts=%d", count), func(b *testing.B) {
			c := newCluster(b, size{count, 30, 100})
			t := c.tracker(start)
			b.ReportAllocs()
			for b.Loop() {
				if !check(t, c) {
					b.Fatal("check returned false, want true")
				}
			}
		})
	}
}

// newHost returns host 0 of a cluster, confirmed by all other members at start.
func newHost(b *testing.B, c *cluster) *host.Host {
	b.Helper()
	h := host.New(c.state.Members().Current()[0], host.Options{}, start)
	if _, err := h.Fold(c.records(), start); err != nil {
		b.Fatal(err)
	}
	h.OnLogRead(h.Next(), start, start)
	heartbeats(h, c, start)
	return h
}

// heartbeats passes the heartbeat replies of all other members to h at now.
func heartbeats(h *host.Host, c *cluster, now time.Time) {
	for i := 1; i < c.size.hosts; i++ {
		h.OnPong(pong(i, h.Next()), now, now)
	}
}

// BenchmarkHeartbeats processes one round of heartbeat replies of all members,
// including the resulting confirmations.
func BenchmarkHeartbeats(b *testing.B) {
	for _, s := range []size{{3, 30, 100}, {12, 30, 100}, {12, 300, 100}, {12, 3000, 100}, {30, 30, 100}, {300, 30, 100}, {300, 300, 100}} {
		b.Run(s.String(), func(b *testing.B) {
			c := newCluster(b, s)
			h := newHost(b, c)
			now := start
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(member.DefaultInterval)
				heartbeats(h, c, now)
			}
			b.ReportMetric(float64(h.HeldTargetCount()), "targets")
		})
	}
}

// BenchmarkAct determines the messages that are due, as a host does 100 times per
// second.
func BenchmarkAct(b *testing.B) {
	for _, s := range []size{{12, 10, 100}, {12, 100, 1000}, {12, 1000, 10_000}, {12, 1000, 100_000}} {
		b.Run(s.String(), func(b *testing.B) {
			c := newCluster(b, s)
			h := newHost(b, c)
			now := start
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(10 * time.Millisecond)
				orders, _ := h.DueMessages(now)
				acceptOrders(h.Leases(), orders)
			}
			b.ReportMetric(float64(h.HeldTargetCount()), "targets")
		})
	}
}

// BenchmarkPropose runs one round of proposals on the host that plans, which runs
// 40 rounds per second. Reports and heartbeat replies arrive every 10 rounds and
// are not timed.
func BenchmarkPropose(b *testing.B) {
	for _, s := range planSizes {
		b.Run(s.String(), func(b *testing.B) {
			c := newCluster(b, s)
			h := newHost(b, c)
			report := c.report()
			h.OnReport(report, start)
			now := start
			b.ReportAllocs()
			for i := 1; b.Loop(); i++ {
				now = now.Add(25 * time.Millisecond)
				if i%10 == 0 {
					b.StopTimer()
					heartbeats(h, c, now)
					h.OnReport(report, now)
					b.StartTimer()
				}
				h.Propose(now)
			}
		})
	}
}

// BenchmarkRoute computes the route of one request.
func BenchmarkRoute(b *testing.B) {
	for _, s := range []size{{12, 10, 100}, {12, 100, 1000}, {12, 1000, 10_000}, {12, 1000, 100_000}} {
		b.Run(s.String(), func(b *testing.B) {
			h := newHost(b, newCluster(b, s))
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				_, refused := h.Route(service(0), keys[i%len(keys)])
				assertRouted(b, refused)
			}
		})
	}
}

var keys = func() []string {
	var list []string
	for i := range 1024 {
		list = append(list, fmt.Sprintf("key-%d", i))
	}
	return list
}()

func assertRouted(b *testing.B, refused *outcome.Error) {
	b.Helper()
	if refused != nil {
		b.Fatal(refused)
	}
}

// BenchmarkHostFold folds a record in a host, including the updates of its state,
// tracker and lease table.
func BenchmarkHostFold(b *testing.B) {
	for _, s := range foldSizes {
		b.Run(s.String(), func(b *testing.B) {
			c := newCluster(b, s)
			h := newHost(b, c)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				b.StopTimer()
				offset, data := c.state.Next(), c.encode(assignOp(c, i))
				c.apply(data)
				b.StartTimer()
				if _, err := h.Fold([]message.Record{{Offset: offset, Data: data}}, start); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// planSizes lists the cluster sizes for the benchmarks of the planner.
var planSizes = []size{{12, 3, 100}, {12, 30, 1000}, {12, 300, 1000}, {12, 300, 10_000}, {12, 300, 100_000}, {120, 300, 1000}}

// report returns a report in which every target of the cluster is alive.
func (c *cluster) report() message.Report {
	shards := map[record.Target][]shard.ID{}
	for i := range c.size.shards {
		id := c.size.owner(i, 0)
		shards[id] = append(shards[id], c.size.shard(i))
	}
	var report message.Report
	for i := range c.size.targets {
		id := c.size.target(i)
		entry := message.TargetReport{Target: id, Term: c.state.Target(id).Term, Alive: true}
		for _, owned := range shards[id] {
			entry.Shards = append(entry.Shards, message.ShardLoad{Shard: owned, Load: 0.01})
		}
		report.Targets = append(report.Targets, entry)
	}
	return report
}

// BenchmarkRound plans one round of a cluster in which nothing has to change.
func BenchmarkRound(b *testing.B) {
	for _, s := range planSizes {
		b.Run(s.String(), func(b *testing.B) {
			c := newCluster(b, s)
			p := plan.New(incarnation(0))
			report := c.report()
			in := plan.Input{State: c.state, Now: start, PromisedLeaseholder: noLeaseholder}
			b.ReportAllocs()
			for b.Loop() {
				b.StopTimer()
				in.Now = in.Now.Add(time.Second)
				in.Tracker = c.tracker(in.Now)
				p.RecordReport(report, in.Now)
				b.StartTimer()
				p.Propose(in)
			}
		})
	}
}

func noLeaseholder(record.Target) (record.Incarnation, bool) { return record.Incarnation{}, false }
