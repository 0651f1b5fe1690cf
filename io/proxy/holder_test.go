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

// holderAt returns a server as a host that holds the queues of failure domain a.
func holderAt(server *httptest.Server) peers.Host {
	return holding(peers.Host{Address: strings.TrimPrefix(server.URL, "http://"), Incarnation: "1"})
}

// relayTo returns a host that relays to the holder of its queues, and counts the requests that it
// sends directly.
func relayTo(t testing.TB, holder *Proxy) (ingress *Proxy, direct *atomic.Int64) {
	t.Helper()
	server := httptest.NewServer(holder.RelayHandler())
	t.Cleanup(server.Close)
	return newKeyedProxy(t, 7, respond(http.StatusOK), holderAt(server))
}

// send sends a request for testKey in the background and returns its status.
func send(ctx context.Context, p *Proxy) <-chan int {
	ended := make(chan int, 1)
	go func() {
		r := httptest.NewRequestWithContext(ctx, http.MethodGet, "/read/1", nil)
		r.Host, r.Header = testHost, keyed(http.Header{"X-Request-Id": {"r1"}})
		w := httptest.NewRecorder()
		p.Handler().ServeHTTP(w, r)
		ended <- w.Code
	}()
	return ended
}

func assertCount(t *testing.T, what string, got *atomic.Int64, want int) {
	t.Helper()
	if n := got.Load(); n != int64(want) {
		t.Errorf("%s: got %d, want %d", what, n, want)
	}
}

// TestNoRelayToHolder guards against a hop that nobody has asked for or that would be a second one.
func TestNoRelayToHolder(t *testing.T) {
	relayed := keyed(http.Header{headerRelayVersion: {"7"}, headerRelaySends: {"0"}, headerRelayService: {testService}})
	for _, c := range []struct {
		name   string
		header http.Header
		change func(*Proxy, peers.Host)
		holder int
	}{
		{"keyed", keyed(nil), func(*Proxy, peers.Host) {}, 1},
		{"no key", nil, func(*Proxy, peers.Host) {}, 0},
		{"feature is off", keyed(nil), func(p *Proxy, _ peers.Host) { p.OwnerQueue = func() bool { return false } }, 0},
		{"relayed", relayed, func(*Proxy, peers.Host) {}, 0},
		{"holder in backoff", keyed(nil), func(p *Proxy, h peers.Host) { p.peers.MarkFailed(h.Address, p.clock.Now()) }, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			holder := newPeer(t, "a", http.StatusOK, relayResponded)
			p, direct := newKeyedProxy(t, 7, respond(http.StatusOK), holding(holder.Host))
			c.change(p, holder.Host)
			handler := p.Handler()
			if c.header.Get(headerRelayVersion) != "" {
				handler = p.RelayHandler()
			}
			if got := get(handler, "/write/1", c.header).Code; got != http.StatusOK {
				t.Errorf("status: got %d, want 200", got)
			}
			assertReceived(t, holder, c.holder)
			assertCount(t, "requests sent directly", direct, 1-c.holder)
		})
	}
}

// TestHolderEnds guards against requests that wait for a holder that was killed or is paused, and
// against one that may have run there and is sent again.
func TestHolderEnds(t *testing.T) {
	// dead returns a host that ends each connection once it has read a request, or never answers.
	dead := func(silent bool) peers.Host {
		server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			if silent {
				<-r.Context().Done()
			}
			panic(http.ErrAbortHandler)
		}))
		t.Cleanup(server.Close)
		return holderAt(server)
	}
	for _, c := range []struct {
		name, path   string
		holder       peers.Host
		within       time.Duration
		direct, want int
	}{
		{"killed before", "/write/1", holding(peers.Host{Address: "127.0.0.1:1"}), 300 * time.Millisecond, 1, 200},
		{"killed meanwhile", "/read/1", dead(false), 300 * time.Millisecond, 1, 200},
		{"killed meanwhile, not idempotent", "/write/1", dead(false), 300 * time.Millisecond, 0, 502},
		{"paused", "/read/1", dead(true), 700 * time.Millisecond, 1, 200},
		{"paused, not idempotent", "/write/1", dead(true), 1200 * time.Millisecond, 0, 504},
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

// TestTwoHosts guards against what one host does for a request and two would do twice or not at
// all.
func TestTwoHosts(t *testing.T) {
	// newHolder runs a host that holds the queue of the owner, and one that relays to it.
	newHolder := func(t *testing.T, handler http.HandlerFunc) (ingress, holder *Proxy, received *atomic.Int64) {
		holder, received = newKeyedProxy(t, 7, handler)
		ingress, direct := relayTo(t, holder)
		t.Cleanup(func() { assertCount(t, "requests sent directly", direct, 0) })
		return ingress, holder, received
	}
	t.Run("counts, logs and loads of targets", func(t *testing.T) {
		ingress, holder, received := newHolder(t, func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("X-Backend-Load", "3,4,4")
			respond(http.StatusOK)(w, r)
		})
		var in, at RequestRecord
		ingress.HandleRecord = func(r RequestRecord) { in = r }
		holder.HandleRecord = func(r RequestRecord) { at = r }
		assertStatus(t, get(ingress.Handler(), "/write/1", keyed(nil)), http.StatusOK)
		assertCount(t, "requests to the owner", received, 1)
		if in.ID != "r1" || in.Via == "" || in.Relayed || at.ID != "r1" || !at.Relayed || in.Sends != 1 || in.Target != "t1" {
			t.Errorf("records: got %+v and %+v, want one of a relaying host and one of a holder", in, at)
		}
		if load, _ := ingress.targets.OwnerLoad("t1", ingress.clock.Now()); load.OtherHosts < 5 || load.OtherHosts > 6 {
			t.Errorf("requests at the owner, as known to the relaying host: got %.1f, want the 6 beside its own", load.OtherHosts)
		}
		if r := ingress.Report(false); len(r.Counts) != 0 || len(r.Processing) != 0 {
			t.Errorf("report of the relaying host: got %+v, want nothing", r)
		}
		if r := holder.Report(false); len(r.Counts) != 1 || r.Counts[0].Key != testKey || len(r.Processing) != 1 {
			t.Errorf("report of the holder: got %+v, want one key and one target", r)
		}
	})
	t.Run("the objective counts from the first host", func(t *testing.T) {
		holder, _ := newKeyedProxy(t, 7, respond(http.StatusOK))
		for age, want := range map[string]time.Duration{"450": 450 * time.Millisecond, "": 0, "x": 0, "-5": 0} {
			r := httptest.NewRequest(http.MethodGet, "/read/1", nil)
			r.Host, r.Header = testHost, keyed(http.Header{headerRelayVersion: {"7"}, headerRelaySends: {"0"}, headerRelayService: {testService}, headerRelayElapsed: {age}})
			message, err := holder.decodeRelayed(t.Context(), r)
			if err != nil {
				t.Fatal(err)
			}
			q := message.(*request)
			if first, _ := holder.queues.arrive(q); q.started.Sub(first) != want {
				t.Errorf("age of a request that is stated as %q ms old: got %v, want %v", age, q.started.Sub(first), want)
			}
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
		send(ctx, ingress)
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
			holder, received := newKeyedProxy(t, version, respond(http.StatusTeapot))
			ingress, direct := relayTo(t, holder)
			assertStatus(t, get(ingress.Handler(), "/write/1", keyed(nil)), http.StatusOK)
			assertCount(t, "requests sent directly", direct, 1)
			assertCount(t, "requests sent by the holder", received, 0)
		}
	})
}
