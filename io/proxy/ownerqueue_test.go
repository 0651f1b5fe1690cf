package proxy

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"pineturn/core/placement"
)

// assertQueued waits until this host's queues have so many requests.
func assertQueued(t *testing.T, p *Proxy, wantWaiting, wantRunning int) {
	t.Helper()
	var waiting, running int
	for end := time.Now().Add(500 * time.Millisecond); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if waiting, running = p.QueuedRequests(); waiting == wantWaiting && running == wantRunning {
			return
		}
	}
	t.Errorf("requests after 0.5 s: got %d waiting and %d at the target, want %d and %d", waiting, running, wantWaiting, wantRunning)
}

// TestQueueOfOwner guards against an owner that gets more requests than it has slots, and against
// requests that have gone and keep their place.
func TestQueueOfOwner(t *testing.T) {
	release := make(chan struct{})
	p, received := newKeyedProxy(t, 7, func(w http.ResponseWriter, r *http.Request) {
		<-release
		respond(http.StatusOK)(w, r)
	})
	ended := make(chan int, 10)
	send := func(ctx context.Context) {
		go func() {
			r := httptest.NewRequestWithContext(ctx, http.MethodGet, "/read/1", nil)
			r.Host, r.Header = testHost, keyed(http.Header{"X-Request-Id": {"r1"}})
			w := httptest.NewRecorder()
			p.Handler().ServeHTTP(w, r)
			ended <- w.Code
		}()
	}
	for range 5 {
		send(t.Context())
	}
	assertQueued(t, p, 1, 4)
	ctx, cancel := context.WithCancel(t.Context())
	send(ctx)
	assertQueued(t, p, 2, 4)
	cancel()
	assertQueued(t, p, 1, 4)
	close(release)
	counts := make(map[int]int)
	for range 6 {
		counts[<-ended]++
	}
	if counts[http.StatusOK] != 5 || counts[http.StatusServiceUnavailable] != 1 {
		t.Errorf("statuses: got %v, want 5 answers and the end of the cancelled one, which was not run", counts)
	}
	assertCount(t, "requests at the owner", received, 5)
	assertQueued(t, p, 0, 0)
}

// TestQueueAfterMove guards against requests that wait for a target that no longer owns their key.
func TestQueueAfterMove(t *testing.T) {
	release := make(chan struct{})
	p, _ := newKeyedProxy(t, 7, func(w http.ResponseWriter, r *http.Request) {
		<-release
		respond(http.StatusOK)(w, r)
	})
	newTestTarget(t, p, "t2", respond(http.StatusAccepted))
	for range 4 {
		go get(p.Handler(), "/read/1", keyed(nil))
	}
	assertQueued(t, p, 0, 4)
	moved := make(chan int)
	go func() { moved <- get(p.Handler(), "/read/1", keyed(nil)).Code }()
	assertQueued(t, p, 1, 4)
	catalog := p.catalog.(*testCatalog)
	catalog.mu.Lock()
	setOwner(p, "t2")
	close(catalog.changed)
	catalog.changed = make(chan struct{})
	catalog.mu.Unlock()
	select {
	case got := <-moved:
		if got != http.StatusAccepted {
			t.Errorf("status: got %d, want that of the new owner", got)
		}
	case <-time.After(300 * time.Millisecond):
		t.Error("request waits 0.3 s after its key has moved")
	}
	close(release)
	assertQueued(t, p, 0, 0)
}

// TestRefusedByQueue guards against callers that wait for an owner which can't serve them in time,
// or that are told to return later than they can.
func TestRefusedByQueue(t *testing.T) {
	p, received := newKeyedProxy(t, 7, respond(http.StatusOK))
	entry, _ := p.targets.Entry("t1")
	for range 20 {
		choice, _ := p.targets.Choose(placement.Criteria{Service: testService, Owner: "t1", Queued: true}, p.clock.Now())
		choice.End(placement.Complete, nil, p.clock.Now().Add(10*time.Second))
	}
	started := time.Now()
	w := get(p.Handler(), "/read/1", keyed(nil))
	assertStatus(t, w, http.StatusServiceUnavailable)
	if took := time.Since(started); took > 50*time.Millisecond {
		t.Errorf("refusal by the queue of %s: got it after %v, want it at once", entry.ID, took)
	}
	if after, err := time.ParseDuration(w.Header().Get("Retry-After") + "s"); err != nil || after <= 0 || after > 300*time.Millisecond {
		t.Errorf("time to return: got %v, error %v, want up to a third of the 900 ms left", after, err)
	}
	assertCount(t, "requests at the owner", received, 0)
}
