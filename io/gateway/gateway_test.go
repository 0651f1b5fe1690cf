package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"pineturn/io/standin/keyholder"
	"pineturn/io/standin/platformstore"
)

// TestResponses guards against responses that belong to another request, are unsigned or
// truncated, and against payouts that run twice, while targets respond incorrectly,
// refuse requests or do not respond.
func TestResponses(t *testing.T) {
	t.Parallel()
	c := newTestCluster(t)
	first, second := c.addTarget("c1", plainService), c.addTarget("c2", plainService)
	payouts := c.addTarget("p1", orderService)
	h := c.addHost("host-1")
	client := newClient(t)
	eventually(t, "targets are known", 3*time.Second, func() bool {
		return c.call(client, h, "GET", "/cover/x", -1, "").status == 200 && c.call(client, h, "POST", "/payout/x", -1, "b").status == 200
	})
	setBoth := func(m keyholder.Fault) {
		first.SetFault(m)
		second.SetFault(m)
	}
	t.Run("response belongs to the request", func(t *testing.T) {
		got := c.call(client, h, "GET", "/cover/a%2Fb?x=1&y", -1, "")
		wantStatus(t, got, http.StatusOK)
		wantOwnResponse(t, got)
		runs := c.audit.Runs()
		if got, want := runs[len(runs)-1].Path, "/cover/a%2Fb?x=1&y"; got != want {
			t.Errorf("path at the target: got %q, want %q", got, want)
		}
	})
	t.Run("no route", func(t *testing.T) {
		wantStatus(t, c.call(client, h, "GET", "/nowhere/", -1, ""), http.StatusNotFound)
	})
	t.Run("body", func(t *testing.T) {
		body := strings.Repeat("b", 300<<10)
		wantStatus(t, c.call(client, h, "POST", "/payout/big", -1, body), http.StatusOK)
		runs := c.audit.Runs()
		if got := runs[len(runs)-1].Body; got != body {
			t.Errorf("body at the target: got %d bytes, want %d", len(got), len(body))
		}
	})
	t.Run("invalid responses from one target", func(t *testing.T) {
		for _, m := range []keyholder.Fault{{Unsigned: true}, {Cut: true}, {Extra: true}, {Fail: true}} {
			first.SetFault(m)
			for range 20 {
				got := c.call(client, h, "GET", "/cover/x", -1, "")
				wantOwnResponse(t, got)
			}
		}
		setBoth(keyholder.Fault{})
	})
	t.Run("refused by all targets", func(t *testing.T) {
		setBoth(keyholder.Fault{Shed: true})
		before := len(c.audit.Runs())
		got := c.call(client, h, "GET", "/cover/x", -1, "")
		wantStatus(t, got, http.StatusServiceUnavailable)
		if got.header.Get("Retry-After") == "" {
			t.Errorf("Retry-After: got none, want one")
		}
		if got := len(c.audit.Runs()); got != before {
			t.Errorf("runs of a refused request: got %d, want 0", got-before)
		}
		setBoth(keyholder.Fault{})
	})
	t.Run("payout without a response", func(t *testing.T) {
		payouts.SetFault(keyholder.Fault{Silent: true})
		got := c.call(client, h, "POST", "/payout/x", -1, "b")
		wantStatus(t, got, http.StatusGatewayTimeout)
		if got.latency > 1300*time.Millisecond {
			t.Errorf("response at the route's timeout of 1 s: got it after %v, want at most 1.3 s", got.latency)
		}
		payouts.SetFault(keyholder.Fault{})
	})
	t.Run("silent target", func(t *testing.T) {
		first.SetFault(keyholder.Fault{Silent: true})
		for range 6 {
			wantStatus(t, c.call(client, h, "GET", "/cover/x", -1, ""), http.StatusOK)
		}
		setBoth(keyholder.Fault{})
	})
	wantPayoutsAtMostOnce(t, c.audit.Runs())
}

// TestPayoutsWithExtraResponses guards against a response that is returned for another
// request because the target sent an extra response on the connection.
func TestPayoutsWithExtraResponses(t *testing.T) {
	t.Parallel()
	c := newTestCluster(t)
	payouts := c.addTarget("p1", orderService)
	h := c.addHost("host-1")
	payouts.SetFault(keyholder.Fault{Extra: true})
	client := newClient(t)
	eventually(t, "target is known", 3*time.Second, func() bool { return c.call(client, h, "POST", "/payout/x", -1, "b").status == 200 })
	for range 50 {
		wantOwnResponse(t, c.call(client, h, "POST", "/payout/x", -1, "b"))
	}
	wantPayoutsAtMostOnce(t, c.audit.Runs())
}

// TestConfigurationInForce guards against hosts that keep an outdated configuration after
// the store's history has expired or the store did not respond, and against a return to
// an older version.
func TestConfigurationInForce(t *testing.T) {
	t.Parallel()
	c := newTestCluster(t)
	c.addTarget("c1", plainService)
	hosts := []*host{c.addHost("host-1"), c.addHost("host-2")}
	client := newClient(t)
	inForce := func(version int) func() bool {
		return func() bool {
			for _, h := range hosts {
				if c.call(client, h, "GET", fmt.Sprintf("/v%d/", version), -1, "").status != http.StatusOK {
					return false
				}
			}
			return true
		}
	}
	eventually(t, "version 1", 3*time.Second, inForce(1))
	t.Run("a new version", func(t *testing.T) {
		c.configure(2)
		eventually(t, "version 2", 2*time.Second, inForce(2))
	})
	t.Run("an older version is published later", func(t *testing.T) {
		c.configure(1)
		time.Sleep(300 * time.Millisecond)
		if !inForce(2)() {
			t.Error("version 2: got an older one in force, want none")
		}
	})
	t.Run("history expired", func(t *testing.T) {
		c.configure(3)
		c.store.ExpireAll()
		eventually(t, "version 3", 2*time.Second, inForce(3))
	})
	t.Run("after the store did not respond", func(t *testing.T) {
		c.store.SetFault(platformstore.Fault{Mode: "silent"})
		time.Sleep(3 * time.Second)
		c.configure(4)
		c.store.SetFault(platformstore.Fault{})
		eventually(t, "version 4", 2*time.Second, inForce(4))
	})
	t.Run("store does not respond to one host", func(t *testing.T) {
		ip, _, _ := strings.Cut(hosts[0].front, ":")
		c.store.SetFault(platformstore.Fault{Mode: "silent", Hosts: []string{ip}})
		time.Sleep(500 * time.Millisecond)
		c.configure(5)
		eventually(t, "version 5 at the other host", 2*time.Second, func() bool {
			return c.call(client, hosts[1], "GET", "/v5/", -1, "").status == http.StatusOK
		})
		c.store.SetFault(platformstore.Fault{})
	})
}

// TestInvalidTargetEntries guards against invalid entries in the store that prevent
// a host from reading the entries of its targets.
func TestInvalidTargetEntries(t *testing.T) {
	t.Parallel()
	c := newTestCluster(t)
	for i, entry := range []string{
		`{`, `[]`, `{"address":7}`, `{"address":"127.0.0.1:1","info":{"service":"coverdesk"}}`,
		`{"address":"127.0.0.1:1","info":{"service":"coverdesk","zone":"a","capacity":"2"},"status":{"state":"ready","sequence":1,"warmup_left_s":0}}`,
		`{"address":"127.0.0.1:1","info":{"service":"coverdesk","zone":"a","capacity":2},"status":{"state":"asleep","sequence":1,"warmup_left_s":0}}`,
		`{"address":"127.0.0.1:1","born":1.5,"info":{"service":"coverdesk","zone":"a","capacity":2},"status":{"state":"ready","sequence":1,"warmup_left_s":0}}`,
	} {
		c.store.PutTarget(fmt.Sprint("foreign", i), []byte(entry))
	}
	c.addTarget("c1", plainService)
	h := c.addHost("host-1")
	if got := len(h.gateway.targets.Entries("")); got != 1 {
		t.Errorf("targets: got %d, want 1", got)
	}
	wantStatus(t, c.call(newClient(t), h, "GET", "/cover/x", -1, ""), http.StatusOK)
}

// newKeyedCluster returns a cluster with three targets that own keys and three
// hosts. served reports whether a host serves requests for keys of all ranges.
func newKeyedCluster(t *testing.T) (*testCluster, []*host, func(h *host) bool) {
	c := newTestCluster(t)
	for i := range 3 {
		c.addTarget(fmt.Sprint("k", i), keyedService)
	}
	var hosts []*host
	for i := range 3 {
		hosts = append(hosts, c.addHost(fmt.Sprint("host-", i)))
	}
	client := newClient(t)
	served := func(h *host) bool { return c.servesKeys(client, h) }
	for _, h := range hosts {
		eventually(t, "all keys are served", 8*time.Second, func() bool { return served(h) })
	}
	return c, hosts, served
}

// servesKeys reports whether a host serves requests for keys of all parts of the key space.
func (c *testCluster) servesKeys(client *http.Client, h *host) bool {
	for key := 0; key < 1<<16; key += 4096 {
		if c.call(client, h, "GET", "/records/x", key, "").status != http.StatusOK {
			return false
		}
	}
	return true
}

func leaderIndex(hosts []*host) int {
	for i, h := range hosts {
		if h.gateway.coordinator.Leading() {
			return i
		}
	}
	return -1
}

// TestKeyOwnership guards against keys that are not served, or that two targets own at
// the same time, after a target drains, ends or is added.
func TestKeyOwnership(t *testing.T) {
	t.Parallel()
	c, hosts, served := newKeyedCluster(t)
	t.Run("target drains", func(t *testing.T) {
		c.store.PutTarget("k0", c.targets["k0"].Entry(2, true))
		drainStart := time.Now()
		eventually(t, "all keys are served", 4*time.Second, func() bool { return served(hosts[0]) && served(hosts[1]) })
		time.Sleep(2 * time.Second)
		for _, run := range c.audit.Runs() {
			if run.Target == "k0" && run.At.Sub(drainStart) > 2*time.Second {
				t.Errorf("run at a draining target: got one after %v, want none after 2 s", run.At.Sub(drainStart))
			}
		}
	})
	t.Run("target ends", func(t *testing.T) {
		c.targets["k1"].end()
		c.audit.ReleaseAll("k1")
		c.store.PutTarget("k1", nil)
		eventually(t, "all keys are served", 8*time.Second, func() bool { return served(hosts[2]) })
	})
	t.Run("target is added", func(t *testing.T) {
		c.addTarget("k3", keyedService)
		eventually(t, "the new target holds keys", 5*time.Second, func() bool { return c.audit.Owners()["k3"] })
		eventually(t, "all keys are served", 4*time.Second, func() bool { return served(hosts[1]) })
	})
	wantOneOwner(t, c.audit)
}

// TestLeaderStops guards against keys that are not served, or that two targets own, while
// another host takes over from the stopped leader.
func TestLeaderStops(t *testing.T) {
	t.Parallel()
	c, hosts, served := newKeyedCluster(t)
	leader := leaderIndex(hosts)
	if leader < 0 {
		t.Fatal("leader: got none, want one")
	}
	hosts[leader].stop()
	other := hosts[(leader+1)%len(hosts)]
	eventually(t, "another host leads", 5*time.Second, func() bool { return leaderIndex(hosts) >= 0 && leaderIndex(hosts) != leader })
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if !served(other) {
			t.Fatal("keys while the leader changes: got a refusal, want all served")
		}
	}
	wantOneOwner(t, c.audit)
}

// TestStoreDown guards against keys that are not served, or that two targets own, while
// the store is down.
func TestStoreDown(t *testing.T) {
	t.Parallel()
	c, hosts, served := newKeyedCluster(t)
	c.store.SetFault(platformstore.Fault{Mode: "busy"})
	for end := time.Now().Add(8 * time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		if !served(hosts[0]) {
			t.Fatal("keys while the store is down: got a refusal, want all served")
		}
	}
	c.store.SetFault(platformstore.Fault{})
	wantOneOwner(t, c.audit)
}

// TestStopWithSilentTarget guards against a stopping host that closes the
// connection of a request to which its target never responds. The caller must get
// a response before the host ends.
func TestStopWithSilentTarget(t *testing.T) {
	t.Parallel()
	c := newTestCluster(t)
	c.callerTimeout = 20 * time.Second
	silentTarget := c.addTarget("c1", plainService)
	h := c.addHost("host-1")
	client := newClient(t)
	client.Timeout = c.callerTimeout
	eventually(t, "target is known", 3*time.Second, func() bool { return c.call(client, h, "GET", "/cover/x", -1, "").status == 200 })
	silentTarget.SetFault(keyholder.Fault{Silent: true})
	responses := make(chan response, 1)
	go func() { responses <- c.call(client, h, "GET", "/"+slowRoute+"/x", -1, "") }()
	time.Sleep(100 * time.Millisecond)
	h.stop()
	wantStatus(t, <-responses, http.StatusBadGateway)
}

// TestStopUnderLoad guards against a stopping host that closes the connection of a
// request that has reached a target, and against a host that does not end in time.
func TestStopUnderLoad(t *testing.T) {
	t.Parallel()
	c := newTestCluster(t)
	c.addTarget("c1", plainService)
	c.addTarget("p1", orderService)
	h := c.addHost("host-1")
	client := newClient(t)
	eventually(t, "targets are known", 3*time.Second, func() bool { return c.call(client, h, "POST", "/payout/x", -1, "b").status == 200 })
	done := make(chan struct{})
	var callers sync.WaitGroup
	var connClosed sync.Map
	for i := range 4 {
		callers.Add(1)
		go func() {
			defer callers.Done()
			client := newClient(t)
			for {
				select {
				case <-done:
					return
				default:
				}
				path, method := "/cover/x", "GET"
				if i%2 == 0 {
					path, method = "/payout/x", "POST"
				}
				got := c.call(client, h, method, path, -1, "b")
				if got.err != nil {
					// The connection was closed while the request was being sent.
					// Such a request must not have reached a target.
					connClosed.Store(got.id, true)
					return
				}
				wantStatus(t, got, http.StatusOK)
			}
		}()
	}
	time.Sleep(500 * time.Millisecond)
	h.stop()
	eventually(t, "host is not ready", time.Second, func() bool { return !h.isReady() })
	select {
	case err := <-h.done:
		h.done <- err
	case <-time.After(6 * time.Second):
		t.Error("host: still running 6 s after its stop, want it ended")
	}
	close(done)
	callers.Wait()
	for _, run := range c.audit.Runs() {
		if _, ok := connClosed.Load(run.ID); ok {
			t.Errorf("%s: connection closed after the request reached a target, want a response", run.ID)
		}
	}
	wantPayoutsAtMostOnce(t, c.audit.Runs())
}
