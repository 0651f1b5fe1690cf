package gateway

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pineturn/core/feature"
	"pineturn/io/proxy"
)

// TestHolderEnds guards against keyed requests that are lost, or that wait, when the host that holds
// the queues of their owners is killed or stops.
func TestHolderEnds(t *testing.T) {
	t.Parallel()
	const maxWait = 500 * time.Millisecond
	for name, end := range map[string]func(*testCluster, *testing.T, *host){
		"killed": (*testCluster).end, "stopped": func(_ *testCluster, _ *testing.T, h *host) { h.stop() },
	} {
		t.Run(name, func(t *testing.T) {
			c := &pathCluster{testCluster: newTestCluster(t)}
			c.slots = 16
			for i := range 4 {
				c.addTarget(fmt.Sprint("k", i), keyedService)
			}
			var relayed atomic.Int64
			for i := range 4 {
				c.hosts = append(c.hosts, c.addHostIn("a", fmt.Sprint("host-", i), func(g *Gateway) {
					g.proxy.OwnerQueue = feature.New(feature.On, 0, nil).Enabled
					// Otherwise hosts have no extra retries in their first 10 s.
					g.budget.MarkRestarted(g.started.Add(-time.Minute))
					g.proxy.HandleRecord = func(r proxy.RequestRecord) {
						if r.Via != "" && r.Reason == "answered" {
							relayed.Add(1)
						}
					}
				}))
			}
			client, kind := newClient(t), requestKind{service: keyedService, method: "GET", path: "/records/x", keyed: true}
			eventually(t, "all hosts serve all keys and know their part of the retry budget", 10*time.Second, func() bool {
				for _, h := range c.hosts {
					if h.gateway.hosts.Hosts() > len(c.hosts) {
						return false
					}
					for n := range 8 {
						if c.callKind(client, h, kind, n).status != http.StatusOK {
							return false
						}
					}
				}
				return leaderIndex(c.hosts) >= 0
			})
			_, ended := c.leaderAndNext()
			tries, done := make(chan firstTry, 10000), make(chan struct{})
			var senders sync.WaitGroup
			for i, h := range c.hosts {
				if h == ended {
					continue
				}
				senders.Go(func() {
					for n := i; ; n += len(c.hosts) {
						select {
						case <-done:
							return
						case <-time.After(3 * time.Millisecond):
						}
						tries <- c.callKind(client, h, kind, n)
					}
				})
			}
			time.Sleep(500 * time.Millisecond)
			end(c.testCluster, t, ended)
			time.Sleep(1500 * time.Millisecond)
			close(done)
			senders.Wait()
			close(tries)
			count := 0
			for try := range tries {
				count++
				if try.status != http.StatusOK || try.latency > maxWait {
					t.Errorf("request %s: got status %d, error %v after %v, want it served within %v", try.id, try.status, try.err, try.latency, maxWait)
				}
			}
			if relayed.Load() < int64(count/4) {
				t.Errorf("requests that were answered over a holder: got %d of %d, want most of them", relayed.Load(), count)
			}
		})
	}
}
