package proxy

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"pineturn/core/owner"
	"pineturn/core/peers"
	"pineturn/core/routing"
)

const testKey = 5

// keyed returns the headers of a request for testKey, with further ones.
func keyed(more http.Header) http.Header {
	h := http.Header{"X-Shard-Key": {"5"}}
	for name, values := range more {
		h[name] = values
	}
	return h
}

// newKeyedProxy is like newTestProxy for a service with keys, which all belong to the target t1 in
// the failure domain of this host. It counts the requests to the target, which handler responds to.
func newKeyedProxy(t testing.TB, version int64, handler http.HandlerFunc, hosts ...peers.Host) (p *Proxy, received *atomic.Int64) {
	t.Helper()
	p = newTestProxy(version, hosts...)
	catalog := p.catalog.(*testCatalog)
	config := *catalog.table.Config()
	config.Services = map[string]routing.Service{testService: {Name: testService, Keyed: true}}
	catalog.table = routing.NewTable(&config)
	setOwner(p, "t1")
	received = &atomic.Int64{}
	newTestTarget(t, p, "t1", func(w http.ResponseWriter, r *http.Request) {
		received.Add(1)
		handler(w, r)
	})
	p.OwnerQueue = func() bool { return true }
	return p, received
}

func setOwner(p *Proxy, target string) {
	p.catalog.(*testCatalog).assignment = &owner.Assignment{Services: map[string][]owner.Range{
		testService: {{Last: owner.Keys - 1, Owner: owner.Incarnation{Target: target}}},
	}}
}

// holding returns a host as one that holds the queues of failure domain a: this host has no cores.
func holding(h peers.Host) peers.Host {
	h.Domain, h.Cores = "a", 1
	return h
}

func assertCount(t *testing.T, what string, got *atomic.Int64, want int64) {
	t.Helper()
	if n := got.Load(); n != want {
		t.Errorf("%s: got %d, want %d", what, n, want)
	}
}

// TestRelayToHolder guards against requests for the owner of a key that are lost, run twice or
// reported untruly by the host that holds the owner's queue and by the one that relays to it.
func TestRelayToHolder(t *testing.T) {
	for _, c := range []struct {
		name, path, target, sends string
		status                    int
		outcome                   relayOutcome
		// direct is the number of requests that are then sent directly.
		direct int64
		want   int
	}{
		{name: "response of the owner", path: "/write/1", status: 200, outcome: relayResponded, want: 200},
		{name: "error response of the owner", path: "/write/1", status: 500, outcome: relayResponded, want: 500},
		{name: "refusal", path: "/read/1", status: 503, outcome: relayRefused, want: 503},
		{name: "refusal for another owner", path: "/write/1", target: "t2", status: 503, outcome: relayRefused, direct: 1, want: 200},
		{name: "holder is detached", path: "/write/1", status: 503, outcome: relayDetached, direct: 1, want: 200},
		{name: "holder stops", path: "/write/1", status: 503, outcome: relayUnavailable, direct: 1, want: 200},
		{name: "idempotent request failed", path: "/read/1", status: 502, outcome: relayFailed, direct: 1, want: 200},
		{name: "idempotent request failed in its last attempt", path: "/read/1", sends: "2", status: 502, outcome: relayFailed, want: 502},
		{name: "other request failed", path: "/write/1", status: 502, outcome: relayFailed, want: 502},
		{name: "unknown outcome", path: "/write/1", status: 503, outcome: "", want: 502},
	} {
		t.Run(c.name, func(t *testing.T) {
			holder := newPeer(t, "a", c.status, c.outcome)
			holder.target, holder.sends = c.target, c.sends
			p, direct := newKeyedProxy(t, 7, respond(http.StatusOK), holding(holder.Host))
			w := get(p.Handler(), c.path, keyed(nil))
			assertStatus(t, w, c.want)
			assertReceived(t, holder, 1)
			assertCount(t, "requests sent directly", direct, c.direct)
			if got := w.Header().Get("Retry-After"); c.want == http.StatusServiceUnavailable && got != "0.250" {
				t.Errorf("Retry-After: got %q, want the holder's 0.250", got)
			}
		})
	}
}

// TestNoRelayToHolder guards against a hop that nobody has asked for or that would be a second one.
func TestNoRelayToHolder(t *testing.T) {
	relayed := keyed(http.Header{headerRelayVersion: {"7"}, headerRelaySends: {"0"}, headerRelayService: {testService}})
	for _, c := range []struct {
		name    string
		header  http.Header
		change  func(*Proxy)
		relayed bool
		holder  int
	}{
		{name: "keyed", header: keyed(nil), holder: 1},
		{name: "no key"},
		{name: "feature is off", header: keyed(nil), change: func(p *Proxy) { p.OwnerQueue = func() bool { return false } }},
		{name: "relayed", header: relayed, relayed: true},
		{name: "holder in backoff", header: keyed(nil), change: func(p *Proxy) {
			for _, h := range p.peers.Hosts(p.clock.Now()) {
				p.peers.MarkFailed(h.Address, p.clock.Now())
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			holder := newPeer(t, "a", http.StatusOK, relayResponded)
			p, direct := newKeyedProxy(t, 7, respond(http.StatusOK), holding(holder.Host))
			if c.change != nil {
				c.change(p)
			}
			handler := p.Handler()
			if c.relayed {
				handler = p.RelayHandler()
			}
			if got := get(handler, "/write/1", c.header).Code; got != http.StatusOK {
				t.Errorf("status: got %d, want 200", got)
			}
			assertReceived(t, holder, c.holder)
			assertCount(t, "requests sent directly", direct, int64(1-c.holder))
		})
	}
}

// deadHolder returns a host that ends each connection once it has read a request, or that never
// answers.
func deadHolder(t *testing.T, silent bool) peers.Host {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if silent {
			<-r.Context().Done()
		}
		panic(http.ErrAbortHandler)
	}))
	t.Cleanup(server.Close)
	return holding(peers.Host{Address: strings.TrimPrefix(server.URL, "http://"), Incarnation: "1"})
}

// TestHolderEnds guards against requests that wait for a holder that was killed or is paused, and
// against one that may have run there and is sent again.
func TestHolderEnds(t *testing.T) {
	killed := holding(newPeer(t, "a", http.StatusOK, relayResponded).Host)
	killed.Address = "127.0.0.1:1"
	for _, c := range []struct {
		name, path string
		holder     peers.Host
		within     time.Duration
		direct     int64
		want       int
	}{
		{name: "killed before", path: "/write/1", holder: killed, within: 300 * time.Millisecond, direct: 1, want: 200},
		{name: "killed meanwhile", path: "/read/1", holder: deadHolder(t, false), within: 300 * time.Millisecond, direct: 1, want: 200},
		{name: "killed meanwhile, not idempotent", path: "/write/1", holder: deadHolder(t, false), within: 300 * time.Millisecond, want: 502},
		{name: "paused", path: "/read/1", holder: deadHolder(t, true), within: 700 * time.Millisecond, direct: 1, want: 200},
		{name: "paused, not idempotent", path: "/write/1", holder: deadHolder(t, true), within: 1200 * time.Millisecond, want: 504},
	} {
		t.Run(c.name, func(t *testing.T) {
			p, direct := newKeyedProxy(t, 7, respond(http.StatusOK), c.holder)
			started := time.Now()
			assertStatus(t, get(p.Handler(), c.path, keyed(nil)), c.want)
			if took := time.Since(started); took > c.within {
				t.Errorf("response: got it after %v, want it within %v", took, c.within)
			}
			assertCount(t, "requests sent directly", direct, c.direct)
			assertStatus(t, get(p.Handler(), "/write/1", keyed(nil)), http.StatusOK)
			assertCount(t, "requests sent directly after the next one", direct, c.direct+1)
		})
	}
}

// newHolder runs a host that holds the queue of the owner t1, and one that relays to it.
func newHolder(t *testing.T, handler http.HandlerFunc) (ingress, holder *Proxy, received *atomic.Int64) {
	t.Helper()
	holder, received = newKeyedProxy(t, 7, handler)
	server := httptest.NewServer(holder.RelayHandler())
	t.Cleanup(server.Close)
	ingress, direct := newKeyedProxy(t, 7, respond(http.StatusTeapot), holding(peers.Host{Address: strings.TrimPrefix(server.URL, "http://"), Incarnation: "1"}))
	t.Cleanup(func() { assertCount(t, "requests sent directly", direct, 0) })
	return ingress, holder, received
}

// TestTwoHosts guards against what one host does for a request and two would do twice or not at
// all.
func TestTwoHosts(t *testing.T) {
	t.Run("loads of keys and targets are counted once", func(t *testing.T) {
		ingress, holder, received := newHolder(t, respond(http.StatusOK))
		assertStatus(t, get(ingress.Handler(), "/write/1", keyed(nil)), http.StatusOK)
		assertCount(t, "requests to the owner", received, 1)
		if r := ingress.Report(false); len(r.Counts) != 0 || len(r.Processing) != 0 {
			t.Errorf("report of the relaying host: got %+v, want nothing", r)
		}
		if r := holder.Report(false); len(r.Counts) != 1 || r.Counts[0].Key != testKey || len(r.Processing) != 1 {
			t.Errorf("report of the holder: got %+v, want one key and one target", r)
		}
	})
	t.Run("both hosts log the id", func(t *testing.T) {
		ingress, holder, _ := newHolder(t, respond(http.StatusOK))
		var records [2]RequestRecord
		for i, p := range []*Proxy{ingress, holder} {
			p.HandleRecord = func(r RequestRecord) { records[i] = r }
		}
		get(ingress.Handler(), "/write/1", keyed(nil))
		if in, at := records[0], records[1]; in.ID != "r1" || in.Via == "" || in.Relayed || at.ID != "r1" || !at.Relayed || in.Sends != 1 || in.Target != "t1" {
			t.Errorf("records: got %+v and %+v, want one of a relaying host and one of a holder", in, at)
		}
	})
	t.Run("the objective counts from the first host", func(t *testing.T) {
		_, holder, _ := newHolder(t, respond(http.StatusOK))
		for _, x := range []struct {
			age  string
			want time.Duration
		}{{"450", 450 * time.Millisecond}, {"", 0}, {"x", 0}, {"-5", 0}} {
			r := httptest.NewRequest(http.MethodGet, "/read/1", nil)
			r.Host, r.Header = testHost, keyed(http.Header{headerRelayVersion: {"7"}, headerRelaySends: {"0"}, headerRelayService: {testService}, headerRelayElapsed: {x.age}})
			message, err := holder.decodeRelayed(t.Context(), r)
			if err != nil {
				t.Fatal(err)
			}
			q := message.(*request)
			first, _ := holder.queues.arrive(q)
			if got := q.started.Sub(first); got != x.want {
				t.Errorf("age of a request that is stated as %q ms old: got %v, want %v", x.age, got, x.want)
			}
		}
	})
	t.Run("loads that targets report count at both hosts", func(t *testing.T) {
		ingress, _, _ := newHolder(t, func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("X-Backend-Load", "3,4,4")
			respond(http.StatusOK)(w, r)
		})
		get(ingress.Handler(), "/read/1", keyed(nil))
		if load, _ := ingress.targets.OwnerLoad("t1", ingress.clock.Now()); load.OtherHosts < 5 || load.OtherHosts > 6 {
			t.Errorf("requests at the owner, as known to the relaying host: got %.1f, want the 6 beside its own", load.OtherHosts)
		}
	})
	t.Run("attempts of both hosts count", func(t *testing.T) {
		ingress, _, received := newHolder(t, func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("X-Not-Executed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		})
		assertStatus(t, get(ingress.Handler(), "/write/1", keyed(nil)), http.StatusServiceUnavailable)
		assertCount(t, "requests to the owner", received, 2)
	})
	t.Run("a cancelled request leaves the owner", func(t *testing.T) {
		arrived, left := make(chan struct{}), make(chan struct{})
		ingress, _, _ := newHolder(t, func(_ http.ResponseWriter, r *http.Request) {
			close(arrived)
			<-r.Context().Done()
			close(left)
		})
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			r := httptest.NewRequestWithContext(ctx, http.MethodGet, "/write/1", nil)
			r.Host, r.Header = testHost, keyed(http.Header{"X-Request-Id": {"r1"}})
			ingress.Handler().ServeHTTP(httptest.NewRecorder(), r)
		}()
		<-arrived
		cancel()
		select {
		case <-left:
		case <-time.After(500 * time.Millisecond):
			t.Error("the owner still has the request 0.5 s after it was cancelled")
		}
	})
	t.Run("configurations differ", func(t *testing.T) {
		for _, version := range []int64{6, 8} {
			holder, _ := newKeyedProxy(t, version, respond(http.StatusTeapot))
			server := httptest.NewServer(holder.RelayHandler())
			t.Cleanup(server.Close)
			ingress, direct := newKeyedProxy(t, 7, respond(http.StatusOK), holding(peers.Host{Address: strings.TrimPrefix(server.URL, "http://"), Incarnation: "1"}))
			assertStatus(t, get(ingress.Handler(), "/write/1", keyed(nil)), http.StatusOK)
			assertCount(t, "requests sent directly", direct, 1)
		}
	})
}
