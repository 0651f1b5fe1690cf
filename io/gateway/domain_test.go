package gateway

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"pineturn/io/standin/platformstore"
)

const (
	// domainBound is the bound on drains of failure domains in these tests, domainMoved the time
	// from the request within which all keys have moved, and domainDuration that of a drain.
	domainBound    = 3 * time.Second
	domainMoved    = 2500 * time.Millisecond
	domainDuration = 5 * time.Second
	// storeHead is the time from a request until the hosts have read it.
	storeHead = 100 * time.Millisecond
)

// domainCluster is a cluster with targets of each service in two failure domains, of which b can
// be drained.
type domainCluster struct {
	*testCluster
	// drainable are the targets in domain b.
	drainable []*target
	hosts     []*host
}

func newDomainCluster(t *testing.T) *domainCluster {
	t.Helper()
	c := &domainCluster{testCluster: newTestCluster(t)}
	for _, kind := range requestKinds {
		for i := range 2 {
			c.addTargetIn("a", fmt.Sprint(kind.service, "-a", i), kind.service)
			c.drainable = append(c.drainable, c.addTargetIn("b", fmt.Sprint(kind.service, "-b", i), kind.service))
		}
	}
	for i := range 3 {
		c.start(fmt.Sprint("host-", i))
	}
	eventually(t, "all keys are served", 10*time.Second, func() bool {
		client := newClient(t)
		return !slices.ContainsFunc(c.hosts, func(h *host) bool { return !c.servesKeys(client, h) })
	})
	return c
}

func (c *domainCluster) start(name string) {
	c.hosts = append(c.hosts, c.addHostIn("a", name, func(g *Gateway) { g.catalog.SetDomainDrainBound(domainBound) }))
}

// TestDrainedDomain guards against requests that reach targets of a failure domain later than the
// bound after the operator's request, from hosts that were there, that start meanwhile or that
// lead next, and against keys that stay there.
func TestDrainedDomain(t *testing.T) {
	for _, c := range []struct {
		name string
		// disturb is called right after the request.
		disturb func(c *domainCluster)
		served  bool
	}{
		{"a host starts, the log expires", func(c *domainCluster) {
			c.store.ExpireAll()
			c.start("host-9")
		}, true},
		{"leader stops", func(c *domainCluster) { c.hosts[leaderIndex(c.hosts)].stop() }, false},
		{"store busy", func(c *domainCluster) {
			time.Sleep(storeHead)
			c.store.SetFault(platformstore.Fault{Mode: "busy"})
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := newDomainCluster(t)
			finish := d.startLoad(d.hosts, light)
			time.Sleep(settleTime)
			asked := time.Now()
			d.store.Drain("b")
			c.disturb(d)
			time.Sleep(domainDuration - time.Since(asked))
			tries, ended := finish(), time.Now()
			d.store.SetFault(platformstore.Fault{})
			for _, x := range d.drainable {
				wantNoArrivals(t, x, asked.Add(domainBound), ended)
			}
			if c.served {
				for _, kind := range requestKinds {
					wantShare(t, tries, kind.service, asked.Add(domainMoved), ended)
				}
			}
			wantPayoutsAtMostOnce(t, d.audit.Runs())
			wantOneOwner(t, d.audit)
		})
	}
}

// TestAllDomainsDrained guards against requests that are held, or sent, when no target is left,
// and against targets that stay empty once they are taken back.
func TestAllDomainsDrained(t *testing.T) {
	c := newDomainCluster(t)
	c.store.Drain("a")
	c.store.Drain("b")
	time.Sleep(domainBound)
	client := newClient(t)
	for _, kind := range requestKinds {
		got := c.callKind(client, c.hosts[0], kind, 1)
		wantStatus(t, got.response, http.StatusServiceUnavailable)
		if got.latency > 50*time.Millisecond || got.header.Get("Retry-After") == "" {
			t.Errorf("%s: got a refusal after %v with Retry-After %q, want one at once with it", kind.service, got.latency, got.header.Get("Retry-After"))
		}
	}
	if got := c.hosts[0].gateway.dump().DrainedDomains; len(got) != 2 || got[0].Domain != "a" {
		t.Errorf("state: got %+v, want both domains", got)
	}
	c.store.EndDrain("a")
	c.store.EndDrain("b")
	for n, kind := range requestKinds {
		eventually(t, kind.service+" serves", 5*time.Second, func() bool {
			return c.callKind(client, c.hosts[0], kind, n).status == http.StatusOK
		})
	}
}
