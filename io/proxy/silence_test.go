package proxy

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"pineturn/core/budget"
	"pineturn/core/routing"
)

const (
	// linkDelay is by how much a link delays what arrives in these tests: more than the time for a probe.
	linkDelay = peerProbeTimeout + 150*time.Millisecond
	// silenceWork is the processing time of requests that are at work while their host looks silent.
	silenceWork = peerPatience + peerProbeTimeout + 250*time.Millisecond
)

// lateConn is a connection on which everything arrives linkDelay late.
type lateConn struct{ net.Conn }

func (c lateConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	time.Sleep(linkDelay)
	return n, err
}

// delayLink delays everything that arrives at a host from other hosts.
func delayLink(p *Proxy) {
	dial := p.peerTransport.DialContext
	p.peerTransport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		return lateConn{conn}, err
	}
}

// longWork returns a handler that takes silenceWork, and counts the requests that are cut before.
func longWork(begun, cut *atomic.Int64) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		begun.Add(1)
		select {
		case <-time.After(silenceWork):
			respond(http.StatusOK)(w, r)
		case <-r.Context().Done():
			cut.Add(1)
		}
	}
}

// serveHost serves what other hosts relay to a proxy, and answers their probes.
func serveHost(t *testing.T, p *Proxy) *httptest.Server {
	t.Helper()
	mux := http.NewServeMux()
	mux.Handle("/", p.RelayHandler())
	mux.Handle(ProbePath, p.ProbeHandler())
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return server
}

// allowTime gives idempotent requests of a proxy time enough, and a number of attempts.
func allowTime(p *Proxy, attempts int) {
	setRoute(p, func(r *routing.Route) { r.Timeout, r.MaxAttempts = 2500*time.Millisecond, attempts })
}

// TestRunningRequestGivenUpForSilence guards against a request that is given up while its target works, because
// the host that it was relayed to looks silent over a link that is late.
func TestRunningRequestGivenUpForSilence(t *testing.T) {
	for _, x := range []struct {
		name     string
		attempts int
		change   func(t *testing.T, ingress *Proxy)
		keyed    bool
		// again is how often the request is sent again beside the first send.
		again int
	}{
		{name: "no attempt left", attempts: 1},
		{name: "keyed, no attempt left", attempts: 1, keyed: true},
		{name: "retry budget is used up", attempts: 2, change: func(_ *testing.T, p *Proxy) {
			p.budget = budget.New(0, 0, 10*time.Second, oneHost(p.clock.Now()))
		}},
		{name: "host stops", attempts: 2, change: func(_ *testing.T, p *Proxy) {
			for range 20 {
				p.latencies.Observe("/read/", silenceWork)
			}
			time.AfterFunc(peerPatience, func() { p.CancelAt(p.clock.Now().Add(silenceWork)) })
		}},
		{name: "sent again, the first responds first", attempts: 2, again: 1},
		{name: "keyed, sent again", attempts: 2, keyed: true, again: 1},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			var begun, cut, again, slow atomic.Int64
			slower := func(w http.ResponseWriter, r *http.Request) {
				again.Add(1)
				select {
				case <-time.After(2 * silenceWork):
					respond(http.StatusOK)(w, r)
				case <-r.Context().Done():
					slow.Add(1)
				}
			}
			newProxy := newDispatching
			header := patient
			if x.keyed {
				newProxy, header = newKeyedProxy, keyed(patient)
			}
			other, _ := newProxy(t, 7, longWork(&begun, &cut))
			ingress, _ := newProxy(t, 7, slower, holderAt(serveHost(t, other)))
			allowTime(other, x.attempts)
			allowTime(ingress, x.attempts)
			delayLink(ingress)
			if x.change != nil {
				x.change(t, ingress)
			}
			assertStatus(t, get(ingress.Handler(), "/read/1", header), http.StatusOK)
			assertCount(t, "runs through the other host", &begun, 1)
			assertCount(t, "runs that were cut", &cut, 0)
			assertCount(t, "sends beside the first", &again, x.again)
		})
	}
}

// keepDetached makes a proxy lose the path to the targets of testService again and again, until the test ends.
func keepDetached(t *testing.T, p *Proxy) {
	t.Helper()
	tick := time.NewTicker(10 * time.Millisecond)
	go func() {
		defer tick.Stop()
		for t.Context().Err() == nil {
			<-tick.C
			detach(p)
		}
	}()
}

// TestRunningRequestGivenUpForLostPath guards against a request that is given up while its target works, because
// new connections to the targets of its service are late.
func TestRunningRequestGivenUpForLostPath(t *testing.T) {
	for _, attempts := range []int{1, 2} {
		t.Run(map[int]string{1: "no attempt left", 2: "no host to relay to"}[attempts], func(t *testing.T) {
			t.Parallel()
			var begun, cut atomic.Int64
			p := newTestProxy(7)
			newTestTarget(t, p, "t1", longWork(&begun, &cut))
			allowTime(p, attempts)
			keepDetached(t, p)
			assertStatus(t, get(p.Handler(), "/read/1", patient), http.StatusOK)
			assertCount(t, "runs", &begun, 1)
			assertCount(t, "runs that were cut", &cut, 0)
		})
	}
}
