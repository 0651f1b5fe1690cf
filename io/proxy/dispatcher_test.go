package proxy

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"pineturn/core/budget"
	"pineturn/core/peers"
)

// newDispatching is like newTestProxy with a target, whose requests it counts, and with requests relayed
// to hosts that select targets. This host has no cores, so that it is not one of them.
func newDispatching(t testing.TB, version int64, handler http.HandlerFunc, hosts ...peers.Host) (p *Proxy, received *atomic.Int64) {
	t.Helper()
	p = newTestProxy(version, hosts...)
	p.Dispatches = func() bool { return true }
	received = &atomic.Int64{}
	newTestTarget(t, p, "t1", func(w http.ResponseWriter, r *http.Request) {
		received.Add(1)
		handler(w, r)
	})
	return p, received
}

// retriesOf returns how many retries a host has for its requests: one for one that came just now.
func retriesOf(p *Proxy) int {
	n := 0
	for p.budget.Spend(testService, p.clock.Now()) {
		n++
	}
	return n
}

// TestDispatch guards against requests that are relayed though nobody has asked for it, that are lost
// with the host that selects their target, and that count twice, or never, for the retry budget.
func TestDispatch(t *testing.T) {
	for _, c := range []struct {
		name           string
		version        int64
		change         func(ingress, dispatcher *Proxy, host peers.Host)
		direct, atHost int
	}{
		{"relayed", 7, func(*Proxy, *Proxy, peers.Host) {}, 0, 1},
		{"feature is off", 7, func(p, _ *Proxy, _ peers.Host) { p.Dispatches = func() bool { return false } }, 1, 0},
		{"dispatcher in backoff", 7, func(p, _ *Proxy, h peers.Host) { p.peers.MarkFailed(h.Address, p.clock.Now()) }, 1, 0},
		{"dispatcher stops", 7, func(_, d *Proxy, _ peers.Host) { d.RefuseRelayed() }, 1, 0},
		{"dispatcher is detached", 7, func(_, d *Proxy, _ peers.Host) { detach(d) }, 1, 0},
		{"dispatcher has an older configuration", 6, func(*Proxy, *Proxy, peers.Host) {}, 1, 0},
		{"dispatcher has a newer configuration", 8, func(*Proxy, *Proxy, peers.Host) {}, 1, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			dispatcher, atHost := newDispatching(t, c.version, respond(http.StatusOK))
			server := httptest.NewServer(dispatcher.RelayHandler())
			t.Cleanup(server.Close)
			host := holderAt(server)
			ingress, direct := newDispatching(t, 7, respond(http.StatusOK), host)
			for _, p := range []*Proxy{ingress, dispatcher} {
				p.budget = budget.New(10, 0, 10*time.Second, oneHost(p.clock.Now()))
			}
			c.change(ingress, dispatcher, host)
			assertStatus(t, get(ingress.Handler(), "/write/1", nil), http.StatusOK)
			assertCount(t, "requests sent directly", direct, c.direct)
			assertCount(t, "requests sent by the dispatcher", atHost, c.atHost)
			if got := retriesOf(ingress); got != c.direct {
				t.Errorf("retries of the ingress for the request: got %d, want %d", got, c.direct)
			}
			if got := retriesOf(dispatcher); got != c.atHost {
				t.Errorf("retries of the dispatcher for the request: got %d, want %d", got, c.atHost)
			}
		})
	}
	t.Run("dispatcher has been killed", func(t *testing.T) {
		p, direct := newDispatching(t, 7, respond(http.StatusOK), holding(peers.Host{Address: "127.0.0.1:1"}))
		assertStatus(t, get(p.Handler(), "/write/1", nil), http.StatusOK)
		assertCount(t, "requests sent directly", direct, 1)
	})
	t.Run("an older build has counted the request", func(t *testing.T) {
		p, _ := newDispatching(t, 7, respond(http.StatusOK))
		p.budget = budget.New(10, 0, 10*time.Second, oneHost(p.clock.Now()))
		header := http.Header{headerRelayVersion: {"7"}, headerRelaySends: {"0"}, headerRelayService: {testService}}
		if got := get(p.RelayHandler(), "/write/1", header).Code; got != http.StatusOK {
			t.Errorf("status: got %d, want 200", got)
		}
		if got := retriesOf(p); got != 0 {
			t.Errorf("retries for the request: got %d, want none", got)
		}
	})
}

// TestPausedDispatcher guards against requests that wait for a host that is paused.
func TestPausedDispatcher(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
	t.Cleanup(server.Close)
	p, direct := newDispatching(t, 7, respond(http.StatusOK), holderAt(server))
	assertStatus(t, get(p.Handler(), "/read/1", nil), http.StatusOK)
	assertCount(t, "requests sent directly", direct, 1)
}
