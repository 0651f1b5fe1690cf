package capacity

import (
	"testing"
	"time"

	"pineturn/core/lease"
	"pineturn/core/record"
)

// tableSizes lists the cluster sizes for the benchmarks of lease.Table. Each has 12
// hosts, so this host is the leaseholder of 1/12 of the targets.
var tableSizes = []size{{12, 30, 100}, {12, 30, 1000}, {12, 30, 10_000}, {12, 300, 10_000}, {12, 300, 100_000}, {12, 3000, 10_000}}

// newTable returns the lease table of host 0 after its targets have accepted
// their grants.
func newTable(b *testing.B, c *cluster) *lease.Table {
	b.Helper()
	t := lease.New(incarnation(0), lease.Options{MaxGrantDuration: 10_000 * time.Hour})
	t.Sync(c.state, start)
	for _, held := range t.HeldTargets() {
		t.RecordFreshness(held.Target, start)
	}
	t.UpdateGuards(c.tracker(start), c.state.Members(), start)
	for range 3 {
		acceptOrders(t, t.Orders(start))
	}
	return t
}

// acceptOrders records that the targets accepted the orders at start.
func acceptOrders(t *lease.Table, orders []lease.Order) {
	for _, order := range orders {
		t.RecordResponse(order, lease.Response{Incarnation: "a", ClockUs: 1e6, Health: "ok", SetVersion: order.SetVersion}, start, start)
	}
}

// BenchmarkSync updates a table after a record that concerns none of its targets,
// which is the case for most records.
func BenchmarkSync(b *testing.B) { benchmarkSync(b, drainOp) }

// BenchmarkSyncMove updates a table after a shard has moved.
func BenchmarkSyncMove(b *testing.B) { benchmarkSync(b, assignOp) }

// benchmarkSync updates a table after each record with an operation from next.
func benchmarkSync(b *testing.B, next func(c *cluster, i int) record.Op) {
	for _, s := range tableSizes {
		b.Run(s.String(), func(b *testing.B) {
			c := newCluster(b, s)
			t := newTable(b, c)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				b.StopTimer()
				c.apply(c.encode(next(c, i)))
				b.StartTimer()
				t.Sync(c.state, start)
			}
		})
	}
}

// BenchmarkOrders creates the renewal orders of all held targets and records their
// acceptance.
func BenchmarkOrders(b *testing.B) {
	for _, s := range tableSizes {
		b.Run(s.String(), func(b *testing.B) {
			t := newTable(b, newCluster(b, s))
			now := start
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(lease.DefaultRenewalInterval)
				orders := t.Orders(now)
				if len(orders) == 0 || !orders[0].Renew {
					b.Fatalf("got %d orders, want renewals", len(orders))
				}
				acceptOrders(t, orders)
			}
			b.ReportMetric(float64(len(t.HeldTargets())), "targets")
		})
	}
}

// BenchmarkOrdersIdle checks for orders while none is due, as a host does 100 times
// per second.
func BenchmarkOrdersIdle(b *testing.B) {
	for _, s := range tableSizes {
		b.Run(s.String(), func(b *testing.B) {
			t := newTable(b, newCluster(b, s))
			b.ReportAllocs()
			for b.Loop() {
				if got := len(t.Orders(start)); got != 0 {
					b.Fatalf("got %d orders, want 0", got)
				}
			}
		})
	}
}

// BenchmarkPermit admits and completes one request.
func BenchmarkPermit(b *testing.B) {
	for _, s := range tableSizes {
		b.Run(s.String(), func(b *testing.B) {
			c := newCluster(b, s)
			t := newTable(b, c)
			id := c.size.shard(0)
			epoch := c.state.Shard(id).Epoch
			b.ReportAllocs()
			for b.Loop() {
				permit, to, refused := t.Permit(id, epoch, "key-1", start)
				if refused != nil {
					b.Fatal(refused)
				}
				t.EndRequest(to, permit.Token, id, "key-1", time.Millisecond, start)
			}
		})
	}
}

// BenchmarkStatuses lists the statuses of the held targets, as is done for each
// report.
func BenchmarkStatuses(b *testing.B) {
	for _, s := range tableSizes {
		b.Run(s.String(), func(b *testing.B) {
			t := newTable(b, newCluster(b, s))
			b.ReportAllocs()
			for b.Loop() {
				t.Statuses(start)
			}
		})
	}
}
