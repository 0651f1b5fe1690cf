package gateway

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"
)

const (
	// cutDuration is how long the path of a host is cut.
	cutDuration = 5 * time.Second
	// settleTime is the time from the begin of a cut, and from its heal, to the first
	// request that counts.
	settleTime = time.Second
	// wantServedShare is the least share of first tries served, of those served at hosts
	// whose path is whole.
	wantServedShare = 0.95
	// maxFailed and failedDivisor bound the first tries that fail at the hosts that are
	// cut off: maxFailed, and one in failedDivisor.
	maxFailed     = 10
	failedDivisor = 50
	// maxLatency is the routes' timeout of 1 s and a margin.
	maxLatency = 1300 * time.Millisecond
	// keyStep spreads the keys of successive requests over all ranges.
	keyStep = 9973
)

// requestKind is a kind of request in the load of this file.
type requestKind struct {
	service, method, path string
	keyed                 bool
}

var requestKinds = []requestKind{
	{service: plainService, method: "GET", path: "/cover/x"},
	{service: orderService, method: "POST", path: "/payout/x"},
	{service: keyedService, method: "GET", path: "/records/x", keyed: true},
}

// load is a number of requests of each kind that each host gets at once, in each
// interval.
type load struct {
	burst    int
	interval time.Duration
}

var (
	// steady needs few connections to targets.
	steady = load{burst: 1, interval: 40 * time.Millisecond}
	// bursts has the same rate and needs more connections than are kept idle.
	bursts = load{burst: 8, interval: 320 * time.Millisecond}
)

// firstTry is a request of the load and its response.
type firstTry struct {
	response
	host    *host
	service string
	sentAt  time.Time
}

// callKind sends the request number n of a kind.
func (c *testCluster) callKind(client *http.Client, h *host, kind requestKind, n int) firstTry {
	key := -1
	if kind.keyed {
		key = n * keyStep % (1 << 16)
	}
	sentAt := time.Now()
	return firstTry{response: c.call(client, h, kind.method, kind.path, key, ""), host: h, service: kind.service, sentAt: sentAt}
}

// startLoad sends requests of all kinds to all hosts, whether or not earlier ones have
// ended. finish ends the load and returns the requests.
func (c *testCluster) startLoad(hosts []*host, l load) (finish func() []firstTry) {
	var (
		mu      sync.Mutex
		tries   []firstTry
		senders sync.WaitGroup
		done    = make(chan struct{})
	)
	for _, h := range hosts {
		client := newClient(c.t)
		for _, kind := range requestKinds {
			senders.Go(func() {
				tick := time.NewTicker(l.interval)
				defer tick.Stop()
				for n := 0; ; n += l.burst {
					select {
					case <-done:
						return
					case <-tick.C:
					}
					for i := range l.burst {
						senders.Go(func() {
							try := c.callKind(client, h, kind, n+i)
							mu.Lock()
							defer mu.Unlock()
							tries = append(tries, try)
						})
					}
				}
			})
		}
	}
	return func() []firstTry {
		close(done)
		senders.Wait()
		return tries
	}
}

// pathCluster is a cluster of hosts in two failure domains whose paths to the targets
// can be cut.
type pathCluster struct {
	*testCluster
	hosts []*host
	cuts  map[*host]*cut
}

// newPathCluster returns a cluster with four hosts, and with two targets for each
// service, which have room for several times the load of this file.
func newPathCluster(t *testing.T) *pathCluster {
	t.Helper()
	c := &pathCluster{testCluster: newTestCluster(t), cuts: make(map[*host]*cut)}
	c.slots = 16
	domains := []string{"a", "b"}
	for _, kind := range requestKinds {
		for _, domain := range domains {
			c.addTargetIn(domain, kind.service+"-"+domain, kind.service)
		}
	}
	for i := range 4 {
		domain := domains[i%len(domains)]
		var path *cut
		h := c.addHostIn(domain, fmt.Sprint("host-", i), func(g *Gateway) { path = newCut(g) })
		c.hosts, c.cuts[h] = append(c.hosts, h), path
	}
	return c
}

// awaitServed waits until all hosts serve all kinds of requests, and one leads.
func (c *pathCluster) awaitServed(t *testing.T) {
	t.Helper()
	client := newClient(t)
	eventually(t, "all hosts serve all kinds of requests", 8*time.Second, func() bool {
		for _, h := range c.hosts {
			for _, kind := range requestKinds {
				for n := range 8 {
					if c.callKind(client, h, kind, n).status != http.StatusOK {
						return false
					}
				}
			}
		}
		return leaderIndex(c.hosts) >= 0
	})
}

// TestHostWithoutPathToTargets guards against hosts that serve almost nothing while their
// own path to all targets is cut, although callers, the store and the other hosts reach
// them.
func TestHostWithoutPathToTargets(t *testing.T) {
	t.Parallel()
	c := newPathCluster(t)
	// The offsets are from the leader's index: odd ones are in the other domain.
	t.Run("hang", func(t *testing.T) { c.testCut(t, hang, steady, 0, 1) })
	t.Run("reset", func(t *testing.T) { c.testCut(t, reset, steady, 1, 3) })
	t.Run("refuse", func(t *testing.T) { c.testCut(t, refuse, steady, 1, 2) })
	t.Run("refuse-bursts", func(t *testing.T) { c.testCut(t, refuse, bursts, 1, 2) })
	wantPayoutsAtMostOnce(t, c.audit.Runs())
	wantOneOwner(t, c.audit)
}

// testCut cuts the paths of the hosts whose indices have the given offsets from the
// leader's, and checks what is served until the heal and after it.
func (c *pathCluster) testCut(t *testing.T, mode cutMode, l load, offsets ...int) {
	c.awaitServed(t)
	leader := leaderIndex(c.hosts)
	cuts := make(map[*host]*cut)
	for _, offset := range offsets {
		h := c.hosts[(leader+offset)%len(c.hosts)]
		cuts[h] = c.cuts[h]
		t.Cleanup(cuts[h].heal)
	}
	finish := c.startLoad(c.hosts, l)
	time.Sleep(settleTime / 2)
	start := time.Now()
	for _, path := range cuts {
		path.failedDials.Store(0)
		path.start(mode)
	}
	time.Sleep(cutDuration)
	healedAt := time.Now()
	for h, path := range cuts {
		path.heal()
		got := path.failedDials.Load()
		t.Logf("%s: %d dials failed", h.gateway.settings.Name, got)
		// Under steady load the open connections may do.
		if got == 0 && (mode != refuse || l != steady) {
			t.Errorf("%s: got no failed dial during the cut, want some", h.gateway.settings.Name)
		}
	}
	time.Sleep(settleTime)
	tries := finish()
	t.Run("served", func(t *testing.T) { wantServed(t, tries, cuts, start.Add(settleTime), healedAt) })
	t.Run("responses", func(t *testing.T) { c.wantResponses(t, tries) })
	t.Run("direct after the heal", func(t *testing.T) { c.wantDirect(t, cuts) })
}

// counts are the number of first tries and of those that were served.
type counts struct{ tries, served int }

func (n counts) share() float64 { return float64(n.served) / float64(max(n.tries, 1)) }

func (n *counts) add(try firstTry) {
	n.tries++
	if try.err == nil && try.status == http.StatusOK {
		n.served++
	}
}

// wantServed checks the tries that were sent from one time until another: those at the
// hosts in cuts must be served almost as often as those at the other hosts, and few
// of them may fail.
func wantServed(t *testing.T, tries []firstTry, cuts map[*host]*cut, from, until time.Time) {
	t.Helper()
	var allAtCut counts
	for _, kind := range requestKinds {
		var atCut, atOthers counts
		for _, try := range tries {
			if try.service != kind.service || try.sentAt.Before(from) || try.sentAt.After(until) {
				continue
			}
			if cuts[try.host] != nil {
				atCut.add(try)
				allAtCut.add(try)
			} else {
				atOthers.add(try)
			}
		}
		t.Logf("%s: served %d of %d at the hosts that are cut off, %d of %d at the others",
			kind.service, atCut.served, atCut.tries, atOthers.served, atOthers.tries)
		if atCut.tries == 0 || atOthers.served == 0 {
			t.Errorf("%s: got %d tries at the hosts that are cut off and %d served at the others, want some", kind.service, atCut.tries, atOthers.served)
		}
		if got, want := atCut.share(), wantServedShare*atOthers.share(); got < want {
			t.Errorf("%s: got a share of %.2f served at the hosts that are cut off, want at least %.2f", kind.service, got, want)
		}
	}
	if got, want := allAtCut.tries-allAtCut.served, maxFailed+allAtCut.tries/failedDivisor; got > want {
		t.Errorf("all services: got %d of %d tries failed at the hosts that are cut off, want at most %d", got, allAtCut.tries, want)
	}
}

// wantResponses checks that all requests got a response within their deadline, their
// own if they were served, and that a request with status 503 did not run.
func (c *pathCluster) wantResponses(t *testing.T, tries []firstTry) {
	t.Helper()
	ran := make(map[string]bool)
	for _, run := range c.audit.Runs() {
		ran[run.ID] = true
	}
	statuses := make(map[int]int)
	for _, try := range tries {
		statuses[try.status]++
		wantOwnResponse(t, try.response)
		if try.err != nil || try.latency > maxLatency {
			t.Errorf("%s to %s: got error %v after %v, want a response within %v", try.id, try.service, try.err, try.latency, maxLatency)
		}
		if try.status == http.StatusServiceUnavailable && ran[try.id] {
			t.Errorf("%s to %s: got status 503 for a request that ran, want none", try.id, try.service)
		}
	}
	t.Logf("responses by status: %v", statuses)
}

// directCalls is the number of requests of each kind that wantDirect sends to a host.
const directCalls = 10

// wantDirect checks that the hosts send requests to targets themselves.
func (c *pathCluster) wantDirect(t *testing.T, cuts map[*host]*cut) {
	t.Helper()
	client := newClient(t)
	for h, path := range cuts {
		before := path.requestWrites.Load()
		for _, kind := range requestKinds {
			for n := range directCalls {
				wantStatus(t, c.callKind(client, h, kind, n).response, http.StatusOK)
			}
		}
		if got, want := path.requestWrites.Load()-before, int64(directCalls*len(requestKinds)); got < want {
			t.Errorf("%s: got %d writes to targets after the heal, want at least %d", h.gateway.settings.Name, got, want)
		}
	}
}
