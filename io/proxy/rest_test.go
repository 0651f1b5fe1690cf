package proxy

import (
	"net/http"
	"strconv"
	"testing"
	"time"
)

// askRest returns a handler that refuses requests and asks for a rest, in the words of text.
func askRest(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Not-Executed", "1")
		w.Header().Set("Retry-After", text)
		respond(http.StatusServiceUnavailable)(w, r)
	}
}

// TestRestingTarget guards against requests that wait for a target that wants none, or whose
// callers are told to come back before its rest ends.
func TestRestingTarget(t *testing.T) {
	const rest = 200 * time.Millisecond
	p := newTestProxy(7)
	arrivals := 0
	newTestTarget(t, p, "t1", func(w http.ResponseWriter, r *http.Request) {
		arrivals++
		askRest("0.2")(w, r)
	})
	asked := time.Now()
	get(p.Handler(), "/read/1", nil)
	for range 10 {
		w := get(p.Handler(), "/read/1", nil)
		assertStatus(t, w, http.StatusServiceUnavailable)
		left := rest - time.Since(asked)
		if got, err := strconv.ParseFloat(w.Header().Get("Retry-After"), 64); err != nil || got < left.Seconds() {
			t.Errorf("time to come back: got %v s, error %v, want at least %v", got, err, left)
		}
	}
	if arrivals != 1 {
		t.Errorf("requests to a resting target: got %d, want 1", arrivals)
	}
	if got := time.Since(asked); got > rest {
		t.Errorf("refusals: got them after %v, want them at once", got)
	}
}

// TestInvalidRest guards against a target that is not used, or a request that fails, because
// of a rest that can't be understood.
func TestInvalidRest(t *testing.T) {
	for _, text := range []string{"soon", "-1", "NaN", ""} {
		t.Run(text, func(t *testing.T) {
			p := newTestProxy(7)
			newTestTarget(t, p, "t1", askRest(text))
			for range 2 {
				assertStatus(t, get(p.Handler(), "/write/1", nil), http.StatusServiceUnavailable)
				time.Sleep(100 * time.Millisecond)
			}
			if got := p.targets.States(p.clock.Now())[0].RestS; got != 0 {
				t.Errorf("rest: got %v s, want none", got)
			}
		})
	}
}
