package proxy

import (
	"context"
	"net/http"
	"testing"
	"time"

	"pineturn/core/placement"
)

// assertQueued waits until this host's queues have so many requests.
func assertQueued(t *testing.T, p *Proxy, wantWaiting, wantRunning int) {
	t.Helper()
	assertQueuedWithin(t, 500*time.Millisecond, p, wantWaiting, wantRunning)
}

// assertQueuedWithin waits for at most a time until this host's queues have so many requests.
func assertQueuedWithin(t *testing.T, within time.Duration, p *Proxy, wantWaiting, wantRunning int) {
	t.Helper()
	var waiting, running int
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if waiting, running = p.QueuedRequests(); waiting == wantWaiting && running == wantRunning {
			return
		}
	}
	t.Errorf("requests after %v: got %d waiting and %d at the target, want %d and %d", within, waiting, running, wantWaiting, wantRunning)
}

func assertEnds(t *testing.T, ended <-chan int, want int) {
	t.Helper()
	select {
	case got := <-ended:
		if got != want {
			t.Errorf("status: got %d, want %d", got, want)
		}
	case <-time.After(300 * time.Millisecond):
		t.Errorf("request: got no end in 0.3 s, want status %d", want)
	}
}

// TestQueueOfOwner guards against an owner that gets more requests than it has slots, requests that
// have gone and keep their place, and some that wait for a target that no longer owns their key.
func TestQueueOfOwner(t *testing.T) {
	release := make(chan struct{})
	p, received := newKeyedProxy(t, 7, func(w http.ResponseWriter, r *http.Request) {
		<-release
		respond(http.StatusOK)(w, r)
	})
	newTestTarget(t, p, "t2", respond(http.StatusAccepted))
	var ends [5]<-chan int
	for i := range ends {
		ends[i] = send(t.Context(), p)
	}
	assertQueued(t, p, 1, 4)
	ctx, cancel := context.WithCancel(t.Context())
	cancelled := send(ctx, p)
	assertQueued(t, p, 2, 4)
	cancel()
	assertEnds(t, cancelled, http.StatusServiceUnavailable) // It was not run.
	assertQueued(t, p, 1, 4)
	release <- struct{}{}
	assertQueued(t, p, 0, 4)
	moved := send(t.Context(), p)
	assertQueued(t, p, 1, 4)
	catalog := p.catalog.(*testCatalog)
	catalog.mu.Lock()
	setOwner(p, "t2")
	close(catalog.changed)
	catalog.changed = make(chan struct{})
	catalog.mu.Unlock()
	assertEnds(t, moved, http.StatusAccepted)
	close(release)
	for _, ended := range ends {
		assertEnds(t, ended, http.StatusOK)
	}
	assertCount(t, "requests at the first owner", received, 5)
	assertQueued(t, p, 0, 0)
}

// TestRefusedByQueue guards against callers that wait for an owner which can't serve them in time,
// or that are told to return later than they can.
func TestRefusedByQueue(t *testing.T) {
	p, received := newKeyedProxy(t, 7, respond(http.StatusOK))
	for range 20 {
		choice, _ := p.targets.Choose(placement.Criteria{Service: testService, Owner: "t1", Queued: true}, p.clock.Now())
		choice.End(placement.Complete, nil, p.clock.Now().Add(10*time.Second))
	}
	started := time.Now()
	w := get(p.Handler(), "/read/1", keyed(nil))
	assertStatus(t, w, http.StatusServiceUnavailable)
	if took := time.Since(started); took > 50*time.Millisecond {
		t.Errorf("refusal by the queue: got it after %v, want it at once", took)
	}
	if after, err := time.ParseDuration(w.Header().Get("Retry-After") + "s"); err != nil || after <= 0 || after > 300*time.Millisecond {
		t.Errorf("time to return: got %v, error %v, want up to a third of the 900 ms left", after, err)
	}
	assertCount(t, "requests at the owner", received, 0)
}
