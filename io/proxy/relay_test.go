package proxy

import (
	"cmp"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pineturn/core/budget"
	"pineturn/core/clock"
	"pineturn/core/hostcount"
	"pineturn/core/owner"
	"pineturn/core/peers"
	"pineturn/core/placement"
	"pineturn/core/poison"
	"pineturn/core/routing"
)

const (
	testService = "records"
	testHost    = "site.example"
)

// testCatalog is a catalog with a fixed table and fixed owners.
type testCatalog struct {
	table      *routing.Table
	assignment *owner.Assignment
	changed    chan struct{}
	// mu guards assignment and changed where they change during a test.
	mu sync.Mutex
	// changedAt is the time of the last change of owners.
	changedAt time.Time
	// configReads counts the calls of ReadConfig.
	configReads atomic.Int64
}

func (c *testCatalog) ReadConfig()           { c.configReads.Add(1) }
func (c *testCatalog) Table() *routing.Table { return c.table }

func (c *testCatalog) Assignment() *owner.Assignment {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.assignment
}

func (c *testCatalog) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

func (c *testCatalog) ChangedAt() time.Time { return c.changedAt }

// newTestProxy returns a proxy with one route for idempotent requests, /read/, and one for
// others, /write/, and without targets. It knows the given hosts.
func newTestProxy(version int64, hosts ...peers.Host) *Proxy {
	config := &routing.Config{Version: version, Services: map[string]routing.Service{testService: {Name: testService}}}
	for _, idempotent := range []bool{true, false} {
		prefix := map[bool]string{true: "/read/", false: "/write/"}[idempotent]
		config.Routes = append(config.Routes, routing.Route{
			Name: prefix, Host: testHost, Prefix: prefix, Idempotent: idempotent, Timeout: time.Second, Objective: 500 * time.Millisecond,
			MaxAttempts: 2, Parts: []routing.Part{{Service: testService, Weight: 1}},
		})
	}
	clk := clock.System{}
	table := peers.New(peers.Host{Address: "self", Domain: "a"})
	table.Put(hosts, clk.Now())
	catalog := &testCatalog{table: routing.NewTable(config), changed: make(chan struct{})}
	b := budget.New(1, 100, 10*time.Second, oneHost(clk.Now()))
	return New(catalog, placement.NewSet("a"), b, poison.NewTracker(), NewPool(), table, clk)
}

// oneHost returns the count of a single host.
func oneHost(now time.Time) *hostcount.Counter {
	c := hostcount.New()
	c.Set(1, now.Add(-hostcount.SettleTime))
	c.Set(1, now)
	return c
}

// detach makes a proxy lose the path to the targets of testService.
func detach(p *Proxy) { p.reach.Probed(testService, 3, 0, p.clock.Now()) }

// testPeer is another host that responds with a fixed outcome.
type testPeer struct {
	peers.Host
	mu       sync.Mutex
	requests []*http.Request
	// version is the version of the configuration that the host states; empty for none.
	version string
	// target is the target that the host states, t1 if empty, and sends the number of its own sends,
	// which it adds to those stated to it, 1 if zero.
	target string
	sends  int
	// leaving is set if the target of the responses leaves.
	leaving atomic.Bool
}

// newPeer runs a host that responds to each relayed request with a status, an outcome and a
// signed body.
func newPeer(t *testing.T, domain string, status int, outcome relayOutcome) *testPeer {
	t.Helper()
	peer := &testPeer{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		peer.mu.Lock()
		peer.requests = append(peer.requests, r)
		peer.mu.Unlock()
		h := w.Header()
		h.Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		h.Set("X-Response-Signature", "signed")
		h.Set("Retry-After", "0.250")
		if peer.leaving.Load() {
			h.Set("Server-Leaving", "1")
		}
		h.Set(headerRelayOutcome, string(outcome))
		before, _ := strconv.Atoi(r.Header.Get(headerRelaySends))
		h.Set(headerRelaySends, strconv.Itoa(before+cmp.Or(peer.sends, 1)))
		if peer.version != "" {
			h.Set(headerRelayVersion, peer.version)
		}
		h.Set(headerRelayTarget, cmp.Or(peer.target, "t1"))
		w.WriteHeader(status)
		_, _ = io.WriteString(w, "body")
	}))
	t.Cleanup(server.Close)
	peer.Host = peers.Host{Address: strings.TrimPrefix(server.URL, "http://"), Domain: domain, Incarnation: domain}
	return peer
}

func (p *testPeer) received() []*http.Request {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.requests
}

func get(handler http.Handler, path string, header http.Header) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodGet, path, nil)
	r.Host = testHost
	r.Header.Set("X-Request-Id", "r1")
	r.Header.Set("X-Deadline-Ms", "900")
	for name, values := range header {
		r.Header[name] = values
	}
	w := httptest.NewRecorder()
	handler.ServeHTTP(w, r)
	return w
}

func assertStatus(t *testing.T, w *httptest.ResponseRecorder, want int) {
	t.Helper()
	if w.Code != want {
		t.Errorf("status: got %d, want %d", w.Code, want)
	}
	for name := range w.Header() {
		if strings.HasPrefix(name, "Pineturn-") {
			t.Errorf("headers for the caller: got %s, want none of the hosts' own", name)
		}
	}
}

func assertReceived(t *testing.T, peer *testPeer, want int) {
	t.Helper()
	if got := len(peer.received()); got != want {
		t.Errorf("requests relayed to the host in domain %s: got %d, want %d", peer.Domain, got, want)
	}
}

// TestRelay guards against requests that are lost, run twice or reported untruly by a host without a
// path to the targets and by the one that it relays to, or the one that holds the owner's queue.
func TestRelay(t *testing.T) {
	for _, c := range []struct {
		name, path string
		status     int
		outcome    relayOutcome
		// again is the number of requests that are then sent to a second host or, if the first one
		// holds the queue of the owner, directly.
		again, want int
		// target and sends are what the holder of the queue states; such cases are for it alone.
		target string
		sends  int
	}{
		{name: "response of a target", path: "/write/1", status: 200, outcome: relayResponded, want: 200},
		{name: "error response of a target", path: "/write/1", status: 500, outcome: relayResponded, want: 500},
		{name: "refusal", path: "/read/1", status: 503, outcome: relayRefused, want: 503},
		{name: "refusal for another owner", path: "/write/1", status: 503, outcome: relayRefused, again: 1, want: 200, target: "t2"},
		{name: "host is detached too", path: "/write/1", status: 503, outcome: relayDetached, again: 1, want: 200},
		{name: "host stops", path: "/write/1", status: 503, outcome: relayUnavailable, again: 1, want: 200},
		{name: "idempotent request failed", path: "/read/1", status: 502, outcome: relayFailed, again: 1, want: 200},
		{name: "idempotent request failed in its last attempt", path: "/read/1", status: 502, outcome: relayFailed, want: 502, sends: 2},
		{name: "other request failed", path: "/write/1", status: 502, outcome: relayFailed, want: 502},
		{name: "route is gone", path: "/read/1", status: 404, outcome: relayFailed, want: 404},
		{name: "unknown outcome", path: "/write/1", status: 503, outcome: "", want: 502},
	} {
		assertRelayed := func(t *testing.T, p *Proxy, peer *testPeer, header http.Header) {
			t.Helper()
			w := get(p.Handler(), c.path, header)
			assertStatus(t, w, c.want)
			assertReceived(t, peer, 1)
			if got := w.Header().Get("Retry-After"); c.want == http.StatusServiceUnavailable && got != "0.250" {
				t.Errorf("Retry-After: got %q, want the other host's 0.250", got)
			}
		}
		t.Run(c.name+", holder of the queue", func(t *testing.T) {
			holder := newPeer(t, "a", c.status, c.outcome)
			holder.target, holder.sends = c.target, c.sends
			p, direct := newKeyedProxy(t, 7, respond(http.StatusOK), holding(holder.Host))
			assertRelayed(t, p, holder, keyed(nil))
			assertCount(t, "requests sent directly", direct, c.again)
		})
		if c.target != "" || c.sends != 0 {
			continue
		}
		t.Run(c.name, func(t *testing.T) {
			near, far := newPeer(t, "a", c.status, c.outcome), newPeer(t, "b", 200, relayResponded)
			p := newTestProxy(7, near.Host, far.Host)
			detach(p)
			assertRelayed(t, p, near, nil)
			assertReceived(t, far, c.again)
		})
	}
}

// TestRelayedSendsAreCounted guards against retries that the budget does not see: a host sent
// a request to a target, which refused it, then lost its own path and gave it back.
func TestRelayedSendsAreCounted(t *testing.T) {
	near, far := newPeer(t, "a", 503, relayDetached), newPeer(t, "b", 200, relayResponded)
	p := newTestProxy(7, near.Host, far.Host)
	setBudget(p, 1)
	detach(p)
	assertStatus(t, get(p.Handler(), "/write/1", nil), http.StatusOK)
	assertReceived(t, far, 1)
	assertRetriesLeft(t, p, 0)
}

// TestRelayedRequest guards against lost time and a changed request on the way to another
// host.
func TestRelayedRequest(t *testing.T) {
	peer := newPeer(t, "a", 200, relayResponded)
	p := newTestProxy(7, peer.Host)
	detach(p)
	get(p.Handler(), "/read/a%2Fb?x=1", nil)
	requests := peer.received()
	if len(requests) != 1 {
		t.Fatalf("relayed requests: got %d, want 1", len(requests))
	}
	r := requests[0]
	for _, x := range []struct{ name, got, want string }{
		{"path", r.RequestURI, "/read/a%2Fb?x=1"}, {"host", r.Host, testHost}, {"id", r.Header.Get("X-Request-Id"), "r1"},
		{"configuration", r.Header.Get(headerRelayVersion), "7"}, {"sends, with the kept attempt", r.Header.Get(headerRelaySends), "1"},
		{"address at which to ask for the kept attempt", strings.Split(r.Header.Get(headerRelayReserve), "/")[0], "self"},
		{"service", r.Header.Get(headerRelayService), testService},
	} {
		if x.got != x.want {
			t.Errorf("%s: got %q, want %q", x.name, x.got, x.want)
		}
	}
	var left int
	if _, err := fmt.Sscan(r.Header.Get("X-Deadline-Ms"), &left); err != nil || left > 880 || left < 500 {
		t.Errorf("time left: got %q ms, want 500 to 880", r.Header.Get("X-Deadline-Ms"))
	}
}

// TestNoSecondRelay guards against requests that travel from host to host, and against a
// host that routes them by an older configuration than their first one.
func TestNoSecondRelay(t *testing.T) {
	relayed := func(version string) http.Header {
		return http.Header{headerRelayVersion: {version}, headerRelaySends: {"0"}, headerRelayService: {testService}}
	}
	assertRelayOutcome := func(t *testing.T, w *httptest.ResponseRecorder, want relayOutcome) {
		t.Helper()
		if got := relayOutcome(w.Header().Get(headerRelayOutcome)); got != want {
			t.Errorf("outcome: got %q, want %q", got, want)
		}
	}
	t.Run("detached", func(t *testing.T) {
		other := newPeer(t, "a", 200, relayResponded)
		p := newTestProxy(7, other.Host)
		detach(p)
		assertRelayOutcome(t, get(p.RelayHandler(), "/read/1", relayed("7")), relayDetached)
		assertReceived(t, other, 0)
	})
	t.Run("older configuration", func(t *testing.T) {
		assertRelayOutcome(t, get(newTestProxy(6).RelayHandler(), "/read/1", relayed("7")), relayUnavailable)
	})
	t.Run("newer configuration", func(t *testing.T) {
		for version, want := range map[string]string{"6": "7", "7": ""} {
			got := get(newTestProxy(7).RelayHandler(), "/read/1", relayed(version)).Header().Get(headerRelayVersion)
			if got != want {
				t.Errorf("version stated to a host with version %s: got %q, want %q", version, got, want)
			}
		}
	})
	t.Run("stopping", func(t *testing.T) {
		p := newTestProxy(7)
		p.RefuseRelayed()
		assertRelayOutcome(t, get(p.RelayHandler(), "/read/1", relayed("7")), relayUnavailable)
	})
	t.Run("without targets", func(t *testing.T) {
		assertRelayOutcome(t, get(newTestProxy(7).RelayHandler(), "/read/1", relayed("7")), relayRefused)
	})
}

// TestNoRelay guards against relayed requests of a host whose path is intact, and of one
// that knows no other host: it goes on by itself.
func TestNoRelay(t *testing.T) {
	t.Run("path is intact", func(t *testing.T) {
		other := newPeer(t, "a", 200, relayResponded)
		assertStatus(t, get(newTestProxy(7, other.Host).Handler(), "/read/1", nil), 503)
		assertReceived(t, other, 0)
	})
	t.Run("no other host", func(t *testing.T) {
		p := newTestProxy(7)
		detach(p)
		assertStatus(t, get(p.Handler(), "/read/1", nil), 503)
	})
}

// TestNewerConfigOfPeer guards against callers that see a newer configuration through one host
// and then an older one through another.
func TestNewerConfigOfPeer(t *testing.T) {
	for _, x := range []struct {
		name, version, want string
		wantReads           int64
	}{
		{name: "newer", version: "9", want: "9", wantReads: 1}, {name: "the same", version: "7", want: "7"}, {name: "older", version: "6", want: "7"},
		{name: "none, an older build", want: "7"}, {name: "no number", version: "x", want: "7"},
	} {
		t.Run(x.name, func(t *testing.T) {
			peer := newPeer(t, "a", 200, relayResponded)
			peer.version = x.version
			p := newTestProxy(7, peer.Host)
			detach(p)
			for range 2 {
				assertStatus(t, get(p.Handler(), "/read/1", nil), http.StatusOK)
			}
			if got := peer.received()[1].Header.Get(headerRelayVersion); got != x.want {
				t.Errorf("version that the next host must have: got %q, want %q", got, x.want)
			}
			if got := p.catalog.(*testCatalog).configReads.Load(); got != x.wantReads {
				t.Errorf("reads of the configuration at once: got %d, want %d", got, x.wantReads)
			}
		})
	}
}

// TestRelayWithinRegions guards against a request that is relayed to a host in a region that its
// route does not allow.
func TestRelayWithinRegions(t *testing.T) {
	for _, c := range []struct {
		regions []string
		want    int
	}{
		{nil, 1}, {[]string{"r1", "r2"}, 1}, {[]string{"r1"}, 0},
	} {
		t.Run(strings.Join(c.regions, ","), func(t *testing.T) {
			peer := newPeer(t, "b", http.StatusOK, relayResponded)
			p := newTestProxy(7, peer.Host)
			p.Regions = map[string]string{"a": "r1", "b": "r2"}
			detach(p)
			routes := p.catalog.Table().Config().Routes
			for i := range routes {
				routes[i].Regions = c.regions
			}
			get(p.Handler(), "/read/1", nil)
			if got := len(peer.received()); got != c.want {
				t.Errorf("relayed requests: got %d, want %d", got, c.want)
			}
		})
	}
}
