package proxy

import (
	"net/http"
	"testing"
	"time"
)

// TestInvalidLimit guards against a limit that ends, or changes, by a value that can't be
// understood.
func TestInvalidLimit(t *testing.T) {
	const limit = 500.0
	p := newTestProxy(7)
	values := []string{"500"}
	served := 0
	newTestTarget(t, p, "t1", func(w http.ResponseWriter, r *http.Request) {
		served++
		w.Header()["Server-Limit"] = values
		respond(http.StatusOK)(w, r)
	})
	for _, text := range [][]string{{"500"}, {"NaN"}, {"1.4", "1.4"}, {""}} {
		values = text
		before := served
		for tries := 0; served == before && tries < 100; tries++ {
			get(p.Handler(), "/read/1", nil)
			time.Sleep(2 * time.Millisecond)
		}
		if got := p.targets.Limit("t1", time.Now()); served == before || !got.Named || got.PerSecond != limit {
			t.Errorf("limit after %d responses, the last with %q: got %+v, want %v", served, text, got, limit)
		}
	}
}

// TestHeaderErrors guards against a log line for each response of a target with a header that
// can't be understood.
func TestLimitErrors(t *testing.T) {
	var e headerErrors
	for i, c := range []struct{ failed, want bool }{{true, true}, {true, false}, {false, false}, {true, true}} {
		if got := e.set("t1", c.failed); got != c.want {
			t.Errorf("response %d is a new error: got %t, want %t", i, got, c.want)
		}
	}
}

// leave returns a handler whose responses say that the target leaves.
func leave(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Server-Leaving", "1")
		next(w, r)
	}
}

// assertLeaves checks whether a target counts as draining.
func assertLeaves(t *testing.T, p *Proxy, target string, want bool) {
	t.Helper()
	if e, _ := p.targets.Entry(target); e.Draining != want {
		t.Errorf("%s leaves: got %t, want %t", target, e.Draining, want)
	}
}

// TestLeavingTarget guards against a target that gets requests after any kind of response by
// which it has said that it leaves.
func TestLeavingTarget(t *testing.T) {
	for _, status := range []int{http.StatusOK, http.StatusInternalServerError, http.StatusNotFound} {
		t.Run(http.StatusText(status), func(t *testing.T) {
			p := newTestProxy(7)
			newTestTarget(t, p, "t1", leave(respond(status)))
			assertLeaves(t, p, "t1", false)
			assertStatus(t, get(p.Handler(), "/write/1", nil), status)
			assertLeaves(t, p, "t1", true)
			assertStatus(t, get(p.Handler(), "/write/1", nil), http.StatusServiceUnavailable)
		})
	}
	t.Run("through another host", func(t *testing.T) {
		peer := newPeer(t, "a", http.StatusOK, relayResponded)
		peer.leaving.Store(true)
		p := newTestProxy(7, peer.Host)
		newTestTarget(t, p, "t1", respond(http.StatusOK))
		detach(p)
		assertStatus(t, get(p.Handler(), "/read/1", nil), http.StatusOK)
		assertLeaves(t, p, "t1", true)
	})
}
