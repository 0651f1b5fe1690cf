package proxy

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"pineturn/core/routing"
)

// refuseAsNotRun responds like a target that is full.
func refuseAsNotRun(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	w.Header().Set("X-Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// TestRequestThatRanToldAsNotRun guards against a request that is told as not run, as the second of two sends was
// refused, though the first may have run: its response was lost.
func TestRequestThatRanToldAsNotRun(t *testing.T) {
	p := newTestProxy(7)
	setRoute(p, func(r *routing.Route) { r.Objective, r.MaxAttempts = 100*time.Millisecond, 2 })
	var received atomic.Int64
	handle := func(w http.ResponseWriter, r *http.Request) {
		if received.Add(1) > 1 {
			refuseAsNotRun(w, r)
			return
		}
		for received.Load() < 2 {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(50 * time.Millisecond)
		panic(http.ErrAbortHandler)
	}
	for _, id := range []string{"t1", "t2"} {
		newTestTarget(t, p, id, handle)
	}
	assertStatus(t, get(p.Handler(), "/read/1", nil), http.StatusBadGateway)
	assertCount(t, "sends", &received, 2)
}
