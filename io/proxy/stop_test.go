package proxy

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"time"
)

const (
	// stopWork is the processing time of the targets in tests of a stop, stopDelay the time from the
	// begin of a stop to the cancellation of its requests.
	stopWork  = 80 * time.Millisecond
	stopDelay = 700 * time.Millisecond
)

// work returns a handler that takes stopWork, and counts the requests that begin and that end.
func work(begun, ended *atomic.Int64) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		begun.Add(1)
		select {
		case <-time.After(stopWork):
			ended.Add(1)
			respond(http.StatusOK)(w, r)
		case <-r.Context().Done():
		}
	}
}

// beginStop begins the stop of a proxy.
func beginStop(t *testing.T, p *Proxy) {
	t.Helper()
	p.RefuseRelayed()
	p.CancelAt(p.clock.Now().Add(stopDelay))
	timer := time.AfterFunc(stopDelay, p.CancelRequests)
	t.Cleanup(func() { timer.Stop() })
}

// learn sends requests until their latency is known.
func learn(t *testing.T, p *Proxy, header http.Header) {
	t.Helper()
	for range 4 {
		for _, path := range []string{"/read/1", "/write/1"} {
			assertStatus(t, get(p.Handler(), path, header), http.StatusOK)
		}
	}
}

// postLate sends a request whose body ends after a time, and returns its response.
func postLate(p *Proxy, after time.Duration, header http.Header) <-chan *httptest.ResponseRecorder {
	body, writer := io.Pipe()
	go func() {
		_, _ = writer.Write([]byte("a"))
		time.Sleep(after)
		_, _ = writer.Write([]byte("b"))
		_ = writer.Close()
	}()
	r := httptest.NewRequest(http.MethodPost, "/write/1", body)
	r.Host, r.ContentLength = testHost, 2
	r.Header.Set("X-Request-Id", "r1")
	r.Header.Set("X-Deadline-Ms", "900")
	for name, values := range header {
		r.Header[name] = values
	}
	responses := make(chan *httptest.ResponseRecorder, 1)
	go func() {
		w := httptest.NewRecorder()
		p.Handler().ServeHTTP(w, r)
		responses <- w
	}()
	return responses
}

// TestStopBesideLateBody guards against a stopping host that passes on a request whose body ends late, and
// cuts it at its target.
func TestStopBesideLateBody(t *testing.T) {
	for _, x := range []struct {
		name  string
		after time.Duration
		want  int
	}{{"in time", stopDelay / 7, http.StatusOK}, {"too late", stopDelay - stopWork/2, http.StatusServiceUnavailable}} {
		t.Run(x.name, func(t *testing.T) {
			var begun, ended atomic.Int64
			p := newTestProxy(7)
			newTestTarget(t, p, "t1", work(&begun, &ended))
			learn(t, p, nil)
			before := begun.Load()
			responses := postLate(p, x.after, nil)
			beginStop(t, p)
			w := <-responses
			assertStatus(t, w, x.want)
			if got, want := begun.Load()-before, int64(map[int]int{http.StatusOK: 1}[x.want]); got != want {
				t.Errorf("runs at the target: got %d, want %d", got, want)
			}
			if x.want == http.StatusServiceUnavailable && w.Header().Get("Retry-After") == "" {
				t.Error("time to come back: got none, want one")
			}
		})
	}
}

// TestRareLongWorkLateInStop guards against a host that passes on a request late in its stop, and cuts it at its target,
// because it is one of the few that take much longer than most.
func TestRareLongWorkLateInStop(t *testing.T) {
	for _, x := range []struct {
		name        string
		longest     time.Duration
		stoppingFor time.Duration
		want        int
	}{
		{"late, some are long", 10 * stopWork, sureSendsAfter + time.Second, http.StatusServiceUnavailable},
		{"late, none are long", stopWork, sureSendsAfter + time.Second, http.StatusOK},
		{"early, some are long", 10 * stopWork, sureSendsAfter / 2, http.StatusOK},
	} {
		t.Run(x.name, func(t *testing.T) {
			var begun, ended atomic.Int64
			p := newTestProxy(7)
			newTestTarget(t, p, "t1", work(&begun, &ended))
			p.latencies.Observe("/write/", x.longest)
			for range 100 {
				p.latencies.Observe("/write/", stopWork)
			}
			now := p.clock.Now()
			p.stop.Store(&hostStop{beganAt: now.Add(-x.stoppingFor), cancelAt: now.Add(stopDelay)})
			assertStatus(t, <-postLate(p, 0, nil), x.want)
			if got, want := begun.Load(), int64(map[int]int{http.StatusOK: 1}[x.want]); got != want {
				t.Errorf("runs at the target: got %d, want %d", got, want)
			}
		})
	}
}

// TestStopBesideQueue guards against a stopping host that passes on a request which has waited for capacity,
// or for its turn in the queue of its owner, and cuts it at its target.
func TestStopBesideQueue(t *testing.T) {
	for name, header := range map[string]http.Header{"any target": nil, "owner's queue": keyed(nil)} {
		t.Run(name, func(t *testing.T) {
			var begun, ended atomic.Int64
			p, _ := newKeyedProxy(t, 7, work(&begun, &ended))
			if header == nil {
				p = newTestProxy(7)
				newTestTarget(t, p, "t1", work(&begun, &ended))
			}
			learn(t, p, header)
			before := begun.Load()
			var all []<-chan *httptest.ResponseRecorder
			beginStop(t, p)
			// The 4 slots of the target are too few for all until the end of the stop.
			const requests = 40
			for range requests {
				all = append(all, postLate(p, 0, header))
			}
			served := int64(0)
			for _, responses := range all {
				w := <-responses
				if w.Code == http.StatusOK {
					served++
				} else {
					assertStatus(t, w, http.StatusServiceUnavailable)
				}
			}
			if got := begun.Load() - before; got != served || served == 0 {
				t.Errorf("runs at the target: got %d, want one for each of the %d requests served", got, served)
			}
		})
	}
}

// TestStopOfQueueHolder guards against a request that waits at a stopping holder of its owner's queue and is
// not given back to the host that has relayed it.
func TestStopOfQueueHolder(t *testing.T) {
	// The target holds the requests before it for longer than the machine may stand still.
	const heldTime = 5 * time.Second
	release := make(chan struct{})
	defer close(release)
	holder, _ := newKeyedProxy(t, 7, func(http.ResponseWriter, *http.Request) { <-release })
	ingress, direct := relayTo(t, holder)
	for _, p := range []*Proxy{holder, ingress} {
		routes := p.catalog.Table().Config().Routes
		for i := range routes {
			routes[i].Timeout = heldTime
		}
	}
	for range 8 {
		send(t.Context(), holder)
	}
	assertQueuedWithin(t, heldTime, holder, 4, 4)
	responses := postLate(ingress, 0, keyed(http.Header{"X-Deadline-Ms": {strconv.FormatInt(heldTime.Milliseconds(), 10)}}))
	assertQueuedWithin(t, heldTime, holder, 5, 4)
	holder.CancelAt(holder.clock.Now())
	assertStatus(t, <-responses, http.StatusOK)
	assertCount(t, "requests sent directly", direct, 1)
}
