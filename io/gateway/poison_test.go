package gateway

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"
)

const (
	// poisonPath is a part of the paths of requests that end each target that begins to run
	// them.
	poisonPath = "poison"
	// endsToKnow is the number of ended targets after which a request is known to end them,
	// and knownBound the time after which no host sends it any more.
	endsToKnow = 3
	knownBound = 3 * time.Second
	// poisonInterval is the time between two of these requests.
	poisonInterval = 400 * time.Millisecond
	// poisonTargets is the number of targets of a service in these tests.
	poisonTargets = 14
)

// poisonSend is a request that has ended a target.
type poisonSend struct {
	target, path string
	at           time.Time
}

// endOnPoison wraps the handler of a target, which ends without a response when it begins to
// run a request with poisonPath.
func (c *testCluster) endOnPoison(x *target) http.Handler {
	handler := x.Handler()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !strings.Contains(r.URL.Path, poisonPath) || c.mended.Load() {
			handler.ServeHTTP(w, r)
			return
		}
		c.mu.Lock()
		c.ends = append(c.ends, poisonSend{target: x.id, path: r.URL.Path, at: time.Now()})
		c.mu.Unlock()
		x.end()
		panic(http.ErrAbortHandler)
	})
}

// poisonEnds returns the ends of targets by requests with a path.
func (c *testCluster) poisonEnds(path string) []poisonSend {
	c.mu.Lock()
	defer c.mu.Unlock()
	var ends []poisonSend
	for _, e := range c.ends {
		if e.path == path {
			ends = append(ends, e)
		}
	}
	return ends
}

// newPoisonCluster returns a cluster with many targets of the services without keys.
func newPoisonCluster(t *testing.T) *pathCluster {
	t.Helper()
	c := newPathCluster(t)
	for i := range poisonTargets {
		c.addTarget(fmt.Sprint(plainService, i), plainService)
		c.addTarget(fmt.Sprint(orderService, i), orderService)
	}
	c.awaitServed(t)
	return c
}

// sendPoison sends a request to the hosts in turn for a time, and returns the responses.
func (c *pathCluster) sendPoison(t *testing.T, method, path string, d time.Duration) []response {
	t.Helper()
	client := newClient(t)
	var responses []response
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(poisonInterval) {
		responses = append(responses, c.call(client, c.hosts[len(responses)%len(c.hosts)], method, path, -1, "order"))
	}
	return responses
}

// wantFewEnds checks that no request with a path has ended a target later than knownBound after
// it had ended endsToKnow.
func (c *testCluster) wantFewEnds(t *testing.T, path string) {
	t.Helper()
	ends := c.poisonEnds(path)
	if len(ends) < endsToKnow {
		t.Fatalf("targets that ended: got %d, want at least %d", len(ends), endsToKnow)
	}
	known := ends[endsToKnow-1].at
	for _, e := range ends[endsToKnow:] {
		if late := e.at.Sub(known); late > knownBound {
			t.Errorf("%s: ended %v after it was known that the request ends targets, want none after %v", e.target, late, knownBound)
		}
	}
	t.Logf("%s: %d targets ended, the last one %v after the third", path, len(ends), ends[len(ends)-1].at.Sub(known).Round(time.Millisecond))
}

// TestRequestThatEndsTargets guards against a request that ends each target that runs it, and
// that hosts go on sending to one target after the other.
func TestRequestThatEndsTargets(t *testing.T) {
	for _, x := range []struct{ name, method, path string }{
		{name: "idempotent", method: "GET", path: "/cover/" + poisonPath}, {name: "not idempotent", method: "POST", path: "/payout/" + poisonPath},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			c := newPoisonCluster(t)
			responses := c.sendPoison(t, x.method, x.path, knownBound+4*time.Second)
			c.wantFewEnds(t, x.path)
			wantStatus(t, responses[len(responses)-1], http.StatusServiceUnavailable)
			t.Run("others are served", func(t *testing.T) {
				client := newClient(t)
				for _, h := range c.hosts {
					wantStatus(t, c.call(client, h, x.method, x.path[:len(x.path)-1], -1, "order"), http.StatusOK)
				}
			})
			t.Run("a host that starts then refuses it", func(t *testing.T) {
				h := c.addHost("host-late")
				before := len(c.poisonEnds(x.path))
				wantStatus(t, c.call(newClient(t), h, x.method, x.path, -1, "order"), http.StatusServiceUnavailable)
				if got := len(c.poisonEnds(x.path)); got != before {
					t.Errorf("targets that ended after the host had started: got %d, want %d", got, before)
				}
			})
			t.Run("targets of another version run it", func(t *testing.T) { c.testMended(t, x.method, x.path) })
		})
	}
}

// testMended checks that targets with another version of their software get the request.
func (c *pathCluster) testMended(t *testing.T, method, path string) {
	service := plainService
	if method == http.MethodPost {
		service = orderService
	}
	c.mended.Store(true)
	c.version = "v2"
	c.addTarget("mended", service)
	client := newClient(t)
	for _, h := range c.hosts {
		eventually(t, "request is served by a target of another version", 2*time.Second, func() bool {
			return c.call(client, h, method, path, -1, "order").status == http.StatusOK
		})
	}
}

// TestRequestThatEndsTargetsWithLeaders guards against a request that goes on ending targets
// because each leader forgets what the one before it knew.
func TestRequestThatEndsTargetsWithLeaders(t *testing.T) {
	t.Parallel()
	c := newPoisonCluster(t)
	const path = "/payout/" + poisonPath
	c.sendPoison(t, "POST", path, poisonInterval)
	leader, _ := c.leaderAndNext()
	leader.stop()
	leader.done <- <-leader.done
	c.hosts = slices.DeleteFunc(c.hosts, func(h *host) bool { return h == leader })
	c.awaitOtherLeader(t, leader)
	c.sendPoison(t, "POST", path, knownBound+3*time.Second)
	c.wantFewEnds(t, path)
}
