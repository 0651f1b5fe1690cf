package gateway

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"pineturn/io/standin/platformstore"
)

const (
	// updateBound is the operators' bound on a change that reaches all hosts, and
	// unstableBound what they add to it while the store refuses some of them.
	updateBound   = 2 * time.Second
	unstableBound = 5 * time.Second
)

// TestChangeAtRefusedHosts guards against hosts that the store refuses and that keep an
// outdated configuration, because the leader is refused as well and they do not learn of the
// next one.
func TestChangeAtRefusedHosts(t *testing.T) {
	if os.Getenv("PINETURN_RUN_RED") == "" {
		t.Skip("listed in KNOWN-RED.txt")
	}
	for _, mode := range []string{"busy", "many", "reset", "silent"} {
		t.Run(mode, func(t *testing.T) {
			t.Parallel()
			c := newPathCluster(t)
			c.awaitServed(t)
			leader := leaderIndex(c.hosts)
			refused := []*host{c.hosts[leader], c.hosts[(leader+1)%len(c.hosts)]}
			var addresses []string
			for _, h := range refused {
				ip, _, _ := strings.Cut(h.front, ":")
				addresses = append(addresses, ip)
			}
			c.store.SetFault(platformstore.Fault{Mode: mode, Hosts: addresses})
			eventually(t, "a host leads that the store serves", updateBound+unstableBound, func() bool {
				now := leaderIndex(c.hosts)
				return now >= 0 && now != leader && now != (leader+1)%len(c.hosts)
			})
			time.Sleep(time.Second)
			c.configure(2)
			client := newClient(t)
			for _, h := range refused {
				eventually(t, fmt.Sprint("version 2 at ", h.gateway.settings.Name), updateBound+unstableBound, func() bool {
					return c.call(client, h, "GET", "/v2/", -1, "").status == http.StatusOK
				})
			}
		})
	}
}
