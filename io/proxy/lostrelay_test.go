package proxy

import (
	"context"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pineturn/core/peers"
	"pineturn/core/routing"
)

// runs records the targets that have received a request.
type runs struct {
	mu      sync.Mutex
	targets []string
}

func (r *runs) add(target string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.targets = append(r.targets, target)
}

// distinct returns the number of different targets.
func (r *runs) distinct() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	slices.Sort(r.targets)
	return len(slices.Compact(slices.Clone(r.targets)))
}

// patient is the header of a caller that waits for longer than its route.
var patient = http.Header{"X-Deadline-Ms": {"3000"}}

// newSilentHost returns a host that passes the requests it receives to a dispatcher, and answers neither
// them nor, after some time, probes.
func newSilentHost(t *testing.T, dispatcher *Proxy, after time.Duration) peers.Host {
	t.Helper()
	started := time.Now()
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if !IsRelayed(r) && time.Since(started) < after {
			return
		}
		if IsRelayed(r) {
			go dispatcher.RelayHandler().ServeHTTP(httptest.NewRecorder(), r.Clone(context.WithoutCancel(r.Context())))
		}
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}))
	t.Cleanup(server.Close)
	return holderAt(server)
}

// setRoute changes the route of idempotent requests of a proxy.
func setRoute(p *Proxy, change func(*routing.Route)) {
	routes := p.catalog.Table().Config().Routes
	for i := range routes {
		if routes[i].Idempotent {
			change(&routes[i])
		}
	}
}

// TestLostRelayOnTooManyTargets guards against requests that run on more targets than their route allows:
// the host that a request was relayed to goes on to hedge or retry while the relaying host, which no
// longer hears of it, sends the request elsewhere.
func TestLostRelayOnTooManyTargets(t *testing.T) {
	for _, c := range []struct {
		name        string
		silentAfter time.Duration
		maxAttempts int
		target      http.HandlerFunc
	}{
		{"hedged before it is given up", 700 * time.Millisecond, 2, hang},
		{"hedged after it is given up", 0, 2, hang},
		{"retried after it is given up", 0, 2, failAfter(500 * time.Millisecond)},
		{"three attempts", 0, 3, failAfter(300 * time.Millisecond)},
		{"one attempt", 0, 1, hang},
	} {
		t.Run(c.name, func(t *testing.T) {
			var received runs
			dispatcher := newTestProxy(7)
			ingress := newTestProxy(7, newSilentHost(t, dispatcher, c.silentAfter))
			ingress.Dispatches = func() bool { return true }
			for _, p := range []*Proxy{ingress, dispatcher} {
				setRoute(p, func(r *routing.Route) { r.Timeout, r.MaxAttempts = 1500*time.Millisecond, c.maxAttempts })
			}
			for i := range 3 {
				for name, p := range map[string]*Proxy{"ingress": ingress, "dispatcher": dispatcher} {
					id := name + strconv.Itoa(i)
					newTestTarget(t, p, id, func(w http.ResponseWriter, r *http.Request) {
						received.add(id)
						c.target(w, r)
					})
				}
			}
			get(ingress.Handler(), "/read/1", patient)
			if got := received.distinct(); got > c.maxAttempts {
				t.Errorf("targets that the request ran on: got %d, want %d at most", got, c.maxAttempts)
			}
		})
	}
}

// hang never responds.
func hang(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

// failAfter returns a handler that responds with an error after a time.
func failAfter(delay time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(delay)
		respond(http.StatusInternalServerError)(w, r)
	}
}

// newAskable returns a proxy that other hosts can ask for the attempts that it keeps back, while
// answers is set, and that knows the given hosts.
func newAskable(t *testing.T, answers *atomic.Bool, hosts ...peers.Host) *Proxy {
	t.Helper()
	p := newTestProxy(7)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !answers.Load() {
			<-r.Context().Done()
			return
		}
		p.ReserveHandler().ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	p.peers = peers.New(peers.Host{Address: strings.TrimPrefix(server.URL, "http://"), Domain: "a"})
	p.peers.Put(hosts, p.clock.Now())
	p.Dispatches = func() bool { return true }
	return p
}

// TestKeptAttempt guards against requests that are neither hedged nor retried by the host that selects
// their targets, though the relaying host lives, and against a second use of the attempt that it has
// given away.
func TestKeptAttempt(t *testing.T) {
	for _, c := range []struct {
		name string
		// first is how the first target responds.
		first http.HandlerFunc
		// silent is set if the dispatcher's answers are lost; cut if the dispatcher can't ask.
		silent, cut         bool
		status, runs, asked int
	}{
		{"hedged", hang, false, false, 200, 2, 0},
		{"retried", respond(http.StatusInternalServerError), false, false, 200, 2, 0},
		{"not needed", respond(http.StatusOK), false, false, 200, 1, 0},
		{"given away, then the answer is lost", hang, true, false, 502, 2, 1},
		{"not given away", respond(http.StatusInternalServerError), false, true, 500, 1, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			var received runs
			var answers atomic.Bool
			answers.Store(!c.cut)
			dispatcher := newTestProxy(7)
			host := newSilentHost(t, dispatcher, 700*time.Millisecond)
			if !c.silent {
				server := httptest.NewServer(dispatcher.RelayHandler())
				t.Cleanup(server.Close)
				host = holderAt(server)
			}
			ingress := newAskable(t, &answers, host)
			for _, p := range []*Proxy{ingress, dispatcher} {
				setRoute(p, func(r *routing.Route) { r.Timeout = 2500 * time.Millisecond })
			}
			var record RequestRecord
			ingress.HandleRecord = func(r RequestRecord) { record = r }
			var served atomic.Int64
			for i := range 3 {
				id := "t" + strconv.Itoa(i)
				newTestTarget(t, dispatcher, id, func(w http.ResponseWriter, r *http.Request) {
					received.add(id)
					if served.Add(1) == 1 || c.silent {
						c.first(w, r)
						return
					}
					respond(http.StatusOK)(w, r)
				})
			}
			newTestTarget(t, ingress, "direct", func(w http.ResponseWriter, r *http.Request) {
				received.add("direct")
				respond(http.StatusOK)(w, r)
			})
			assertStatus(t, get(ingress.Handler(), "/read/1", patient), c.status)
			if got := received.distinct(); got != c.runs {
				t.Errorf("targets that the request ran on: got %d, want %d", got, c.runs)
			}
			if got := record.LostRelays; got != c.asked {
				t.Errorf("lost relays: got %d, want %d", got, c.asked)
			}
			if got := record.Sends; got != c.runs {
				t.Errorf("sends counted by the relaying host: got %d, want %d", got, c.runs)
			}
			if got := ingress.reserve.Kept(); got != 0 {
				t.Errorf("attempts kept back after the request: got %d, want none", got)
			}
		})
	}
}

// TestKeptAttemptOfOlderBuild guards against a host of an older build that uses the attempt which a newer
// one keeps back: it goes by the number of sends alone.
func TestKeptAttemptOfOlderBuild(t *testing.T) {
	peer := newPeer(t, "a", http.StatusOK, relayResponded)
	p := newTestProxy(7, holding(peer.Host))
	p.Dispatches = func() bool { return true }
	var record RequestRecord
	p.HandleRecord = func(r RequestRecord) { record = r }
	assertStatus(t, get(p.Handler(), "/read/1", http.Header{headerRelayReserve: {"of a caller"}}), http.StatusOK)
	if got := peer.received()[0].Header.Get(headerRelaySends); got != "1" {
		t.Errorf("sends stated to the other host: got %s, want 1, as if the kept attempt had been used", got)
	}
	if got := record.Sends; got != 1 {
		t.Errorf("sends: got %d, want 1", got)
	}
	assertStatus(t, get(p.Handler(), "/write/1", http.Header{headerRelayReserve: {"of a caller"}}), http.StatusOK)
	if got := peer.received()[1].Header[headerRelayReserve]; got != nil {
		t.Errorf("kept attempt of a request that is not idempotent: got %q, want none", got)
	}
}

// TestRelayToPausedHost guards against requests of a host without a path to the targets that wait for a
// paused host until they time out.
func TestRelayToPausedHost(t *testing.T) {
	paused := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
	t.Cleanup(paused.Close)
	near := peers.Host{Address: strings.TrimPrefix(paused.URL, "http://"), Domain: "a", Incarnation: "1"}
	far := newPeer(t, "b", http.StatusOK, relayResponded)
	for path, want := range map[string]int{"/read/1": http.StatusOK, "/write/1": http.StatusGatewayTimeout} {
		t.Run(path, func(t *testing.T) {
			p := newTestProxy(7, near, far.Host)
			detach(p)
			assertStatus(t, get(p.Handler(), path, nil), want)
		})
	}
	assertReceived(t, far, 1)
}
