package gateway

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pineturn/core/peers"
)

// TestPeers guards against hosts, the leader among them, that don't know of each other
// or learn late that one of them is detached, also after a change of leader.
func TestPeers(t *testing.T) {
	t.Parallel()
	c := newTestCluster(t)
	var hosts []*host
	for i := range 3 {
		hosts = append(hosts, c.addHost(fmt.Sprint("host-", i)))
	}
	// knows reports whether a host has all the others in its state dump.
	knows := func(h *host, hosts []*host) bool {
		listed := h.gateway.dump().Peers
		for _, other := range hosts {
			if self := other.gateway.peers.Self(); other != h && !slices.ContainsFunc(listed, self.Equal) {
				return false
			}
		}
		return true
	}
	wantKnown := func(t *testing.T, hosts []*host, within time.Duration) {
		t.Helper()
		eventually(t, "all hosts know the others", within, func() bool {
			for _, h := range hosts {
				if !knows(h, hosts) {
					return false
				}
			}
			return true
		})
	}
	t.Run("started", func(t *testing.T) { wantKnown(t, hosts, 5*time.Second) })
	for _, h := range hosts {
		t.Run(h.gateway.settings.Name+" is detached", func(t *testing.T) {
			h.gateway.peers.SetDetached([]string{keyedService})
			wantKnown(t, hosts, 700*time.Millisecond)
		})
	}
	t.Run("no host is picked for the service", func(t *testing.T) {
		for _, h := range hosts {
			if got, ok := h.gateway.peers.Pick(keyedService, nil, h.gateway.clock.Now()); ok {
				t.Errorf("host for a service that all are detached from: got %v, want none", got)
			}
			if got, ok := h.gateway.peers.Pick(plainService, nil, h.gateway.clock.Now()); !ok || got.Address == peerAddress(h.gateway.settings) {
				t.Errorf("host for another service: got %v, %t, want another host", got, ok)
			}
		}
	})
	t.Run("the leader stops", func(t *testing.T) {
		leader := leaderIndex(hosts)
		if leader < 0 {
			t.Fatal("leader: got none, want one")
		}
		hosts[leader].stop()
		left := slices.Delete(slices.Clone(hosts), leader, leader+1)
		eventually(t, "another host leads", 5*time.Second, func() bool { return leaderIndex(left) >= 0 })
		left[0].gateway.peers.SetDetached(nil)
		wantKnown(t, left, 5*time.Second)
		stopped := func(h peers.Host) bool { return h.Address == peerAddress(hosts[leader].gateway.settings) }
		for _, h := range left {
			eventually(t, "the stopped host is forgotten", 15*time.Second, func() bool {
				return !slices.ContainsFunc(h.gateway.dump().Peers, stopped)
			})
		}
	})
}
