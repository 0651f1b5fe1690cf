package listener

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"
)

// assertClosed checks whether a connection ends within a time.
func assertClosed(t *testing.T, conn net.Conn, within time.Duration, want bool) {
	t.Helper()
	_ = conn.SetReadDeadline(time.Now().Add(within))
	_, err := io.Copy(io.Discard, conn)
	if got := !errors.Is(err, os.ErrDeadlineExceeded); got != want {
		t.Errorf("connection closed within %v: got %t, want %t", within, got, want)
	}
}

// TestConnectionsLeftIdle guards against connections that are kept after the operator's idle timeout, and
// against the end of one that is in use.
func TestConnectionsLeftIdle(t *testing.T) {
	const limit = 200 * time.Millisecond
	for _, c := range []struct {
		name string
		// sent is what the caller sends, one text after the response to the one before it.
		sent []string
		want bool
	}{
		{"fresh", nil, true},
		{"kept", []string{get("/1")}, true},
		{"a part of a request", []string{"GET /1 HTT"}, true},
		{"a part of a request on a kept one", []string{get("/1"), "GE"}, true},
		{"two requests at once", []string{get("/1") + get("/2")}, true},
		{"a request in progress", []string{get("/slow")}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			l := serveWith(t, func(server *http.Server, l *Listener) {
				l.IdleTimeout = func() time.Duration { return limit }
				handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					if r.URL.Path == "/slow" {
						<-r.Context().Done()
					}
					_, _ = fmt.Fprint(w, "ok")
				})
				server.Handler = l.BeginEarly(handler, func(*http.Request) bool { return true })
			})
			go l.CloseExpired(t.Context())
			conn := dial(t, l)
			for _, text := range c.sent {
				if _, err := io.WriteString(conn, text); err != nil {
					t.Fatal(err)
				}
				time.Sleep(limit / 4)
			}
			assertClosed(t, conn, limit+2*expiryInterval, c.want)
			for end := time.Now().Add(time.Second); c.want && l.Counts().Expired != 1; time.Sleep(time.Millisecond) {
				if time.Now().After(end) {
					t.Fatalf("connections closed after the idle timeout: got %d, want 1", l.Counts().Expired)
				}
			}
		})
	}
	t.Run("a request not read yet", func(t *testing.T) {
		l, err := Listen("127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = l.Close() })
		l.IdleTimeout = func() time.Duration { return 0 }
		caller := dial(t, l)
		send(t, caller)
		if _, err := l.Accept(); err != nil {
			t.Fatal(err)
		}
		time.Sleep(newConnGrace)
		go l.CloseExpired(t.Context())
		assertClosed(t, caller, 2*expiryInterval, false)
	})
	t.Run("a longer limit than the one in force later", func(t *testing.T) {
		l := serveWith(t, func(_ *http.Server, l *Listener) { l.IdleTimeout = func() time.Duration { return time.Hour } })
		go l.CloseExpired(t.Context())
		conn := dial(t, l)
		send(t, conn)
		time.Sleep(limit)
		for _, c := range l.open() {
			c.mu.Lock()
			if c.idleState(limit).Expired(time.Now()) {
				t.Error("connection expired by the shorter limit: got true, want false")
			}
			c.mu.Unlock()
		}
	})
}

// TestRoomForCallers guards against callers that get no connection because others have left theirs open.
func TestRoomForCallers(t *testing.T) {
	const most = 20
	proceed := make(chan struct{})
	l := serveWith(t, func(server *http.Server, l *Listener) {
		l.MaxConns = most
		server.Handler = http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/slow" {
				<-proceed
			}
		})
	})
	request := func(path string) net.Conn {
		conn := dial(t, l)
		if _, err := io.WriteString(conn, get(path)); err != nil {
			t.Fatal(err)
		}
		return conn
	}
	busy := request("/slow")
	for range 3 * most {
		wantResponse(t, request("/1"))
	}
	if got := l.Open(); got > most {
		t.Errorf("open connections: got %d, want %d at most", got, most)
	}
	if got := l.Counts(); got.Displaced == 0 || got.Refused > 0 {
		t.Errorf("connections: got %+v, want some displaced and none refused", got)
	}
	var waiting []net.Conn
	for range most {
		waiting = append(waiting, request("/slow"))
		time.Sleep(time.Millisecond)
	}
	assertClosed(t, waiting[most-1], time.Second, true)
	if got := l.Counts().Refused; got == 0 {
		t.Error("connections refused without any idle one: got none, want some")
	}
	close(proceed)
	wantResponse(t, busy)
}
