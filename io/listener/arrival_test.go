package listener

import (
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestArrivals guards against bytes that count as read at another time than they were.
func TestArrivals(t *testing.T) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	assertAt := func(t *testing.T, a arrivals, index int, want time.Time) {
		t.Helper()
		if got := a.of(index); !got.Equal(want) {
			t.Errorf("byte %d: got read after %v, want %v", index, got.Sub(start), want.Sub(start))
		}
	}
	t.Run("two reads", func(t *testing.T) {
		var a arrivals
		a.add(10, at(0))
		a.add(5, at(100))
		assertAt(t, a, 9, at(0))
		assertAt(t, a, 10, at(100))
		assertAt(t, a, 15, time.Time{})
		a.drop(12)
		assertAt(t, a, 0, at(100))
		assertAt(t, a, 3, time.Time{})
		a.drop(3)
		assertAt(t, a, 0, time.Time{})
	})
	t.Run("many reads", func(t *testing.T) {
		var a arrivals
		for i := range 3 * maxArrivals {
			a.add(1, at(10*i))
		}
		assertAt(t, a, 1, at(10))
		assertAt(t, a, 3*maxArrivals-1, at(10*(3*maxArrivals-1)))
		if len(a) > maxArrivals {
			t.Errorf("reads told apart: got %d, want at most %d", len(a), maxArrivals)
		}
	})
}

// TestWaited guards against the wait of a request that was sent ahead for its turn, which does not count: it has
// arrived when its head was read.
func TestWaited(t *testing.T) {
	const (
		pause     = 60 * time.Millisecond
		tolerance = 40 * time.Millisecond
	)
	arrived := make(map[string]time.Time)
	release := make(chan struct{})
	l := serveWith(t, func(server *http.Server, l *Listener) {
		server.Handler = l.BeginEarly(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/1" {
				<-release
			}
			arrived[r.URL.Path] = time.Now().Add(-Waited(r.Context()))
			w.Header().Set("X-Path", r.URL.Path)
		}), func(r *http.Request) bool { return r.URL.Path == "/early" })
	})
	conn := dial(t, l)
	start := time.Now()
	write(t, conn, get("/1"))
	time.Sleep(pause)
	write(t, conn, post("/2", "body")+strings.TrimSuffix(get("/3"), "\r\n"))
	time.Sleep(pause)
	write(t, conn, "\r\n")
	time.Sleep(pause)
	close(release)
	wantPaths(t, conn, "/1", "/2", "/3")
	for i, path := range []string{"/1", "/2", "/3"} {
		if got, want := arrived[path].Sub(start), time.Duration(i)*pause; got < want || got > want+tolerance {
			t.Errorf("arrival of %s: got after %v, want %v to %v", path, got, want, want+tolerance)
		}
	}
}
