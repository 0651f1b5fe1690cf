package proxy

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"testing"

	"pineturn/core/placement"
)

// TestDetachedServices guards against a host that other hosts take for detached, or not,
// against what its probes have shown: rounds of several services that end at the same time
// must not overwrite each other's result.
func TestDetachedServices(t *testing.T) {
	const services, rounds = 8, 300
	p := newTestProxy(7)
	for i := range services {
		service := fmt.Sprint("service-", i)
		p.targets.Put(placement.Entry{ID: "t-" + service, Service: service, Address: "127.0.0.1:1", Slots: 1}, p.clock.Now())
	}
	p.pool.Dial = func(context.Context, string, string) (net.Conn, error) { return nil, errors.New("cut") }
	for range rounds {
		p.reach = newTestProxy(7).reach
		p.peers.SetDetached(nil)
		var done sync.WaitGroup
		for i := range services {
			done.Go(func() { p.probe(t.Context(), fmt.Sprint("service-", i)) })
		}
		done.Wait()
		if got, want := p.peers.Self().Detached, p.reach.LostServices(); !slices.Equal(got, want) {
			t.Fatalf("detached services: got %v, want %v", got, want)
		}
	}
}
