package gateway

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"pineturn/core/feature"
	"pineturn/io/proxy"
	"pineturn/io/standin/keyholder"
)

// TestStopsAroundRelayedRequest guards against a planned stop of a host, or of both, that ends a
// request which one of them has relayed to the other, although its target responds in time.
func TestStopsAroundRelayedRequest(t *testing.T) {
	t.Parallel()
	const (
		// work is the processing time of the request.
		work = 4 * time.Second
		// between is the time between the stops of two hosts.
		between = 1500 * time.Millisecond
	)
	for name, stop := range map[string]func(ingress, holder *host){
		"holder":  func(_, holder *host) { holder.stop() },
		"ingress": func(ingress, _ *host) { ingress.stop() },
		"holder first": func(ingress, holder *host) {
			holder.stop()
			time.Sleep(between)
			ingress.stop()
		},
		"ingress first": func(ingress, holder *host) {
			ingress.stop()
			time.Sleep(between)
			holder.stop()
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newTestCluster(t)
			c.callerTimeout = 10 * time.Second
			owner := c.addTarget("k0", keyedService)
			relayed := make(chan proxy.RequestRecord, 100)
			for i := range 2 {
				c.addHostIn("a", fmt.Sprint("host-", i), func(g *Gateway) {
					g.proxy.OwnerQueue = feature.New(feature.On, 0, nil).Enabled
					g.proxy.HandleRecord = func(r proxy.RequestRecord) {
						if r.Via != "" {
							relayed <- r
						}
					}
				})
			}
			client := newClient(t)
			client.Timeout = c.callerTimeout
			var ingress, holder *host
			eventually(t, "one host relays to the other", 8*time.Second, func() bool {
				for i, h := range c.hosts {
					if c.call(client, h, "GET", "/records/x", 5, "").status == http.StatusOK && len(relayed) > 0 {
						ingress, holder = h, c.hosts[1-i]
						<-relayed
						return true
					}
				}
				return false
			})
			owner.SetFault(keyholder.Fault{SlowFactor: float64(work / (5 * time.Millisecond))})
			before := len(owner.Arrivals())
			responses := make(chan response, 1)
			go func() { responses <- c.call(client, ingress, "GET", "/"+slowRecordsRoute+"/x", 5, "") }()
			eventually(t, "the owner has the request", time.Second, func() bool { return len(owner.Arrivals()) > before })
			stop(ingress, holder)
			got := <-responses
			wantStatus(t, got, http.StatusOK)
			wantOwnResponse(t, got)
			if n := len(owner.Arrivals()) - before; n != 1 {
				t.Errorf("sends of the request to its owner: got %d, want 1", n)
			}
		})
	}
}
