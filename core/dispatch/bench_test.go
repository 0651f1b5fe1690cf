package dispatch

import (
	"context"
	"testing"

	"pineturn/core/message"
)

// benchmarkHandle sends requests through ingress and leaseholder to a target that
// responds immediately.
func benchmarkHandle(b *testing.B, host int, newRequest func(string) *message.Request) {
	c := newCluster(b, 3, 3)
	c.target = c.respondUncounted
	req := newRequest("r1")
	ctx := context.Background()
	b.ReportAllocs()
	for b.Loop() {
		response, failure := c.hosts[host].ingress.Handle(ctx, "payoutledger", "seller-1", req)
		if failure != nil {
			b.Fatal(failure)
		}
		_ = response.Body.Close()
	}
}

func BenchmarkHandle(b *testing.B) {
	b.Run("local", func(b *testing.B) { benchmarkHandle(b, 0, read) })
	b.Run("forwarded", func(b *testing.B) { benchmarkHandle(b, 1, read) })
	b.Run("stored response", func(b *testing.B) { benchmarkHandle(b, 1, payout) })
}
