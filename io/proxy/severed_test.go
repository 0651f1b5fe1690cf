package proxy

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// severance can make all open connections of a transport silent for good: nothing arrives in either
// direction, and neither end learns of it. New connections work.
type severance struct {
	mu    sync.Mutex
	conns []*severedConn
}

// newSeverance returns a severance of the connections that a transport opens from now on.
func newSeverance(transport *http.Transport) *severance {
	s := &severance{}
	dial := transport.DialContext
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		c := &severedConn{Conn: conn, closed: make(chan struct{})}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.conns = append(s.conns, c)
		return c, nil
	}
	return s
}

func (s *severance) start() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		c.severed.Store(true)
	}
}

type severedConn struct {
	net.Conn
	severed   atomic.Bool
	closeOnce sync.Once
	closed    chan struct{}
}

// Read returns nothing that arrives after the severance.
func (c *severedConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if c.severed.Load() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

// Write loses what is written after the severance.
func (c *severedConn) Write(data []byte) (int, error) {
	if c.severed.Load() {
		return len(data), nil
	}
	return c.Conn.Write(data)
}

func (c *severedConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// TestSeveredRelay guards against requests that wait on a connection between two hosts which has gone silent
// for good, and against one that runs twice, or on too many targets, because of that.
func TestSeveredRelay(t *testing.T) {
	for _, x := range []struct {
		name, path string
		// whileRunning is set if the connection goes silent while the request runs, not before.
		whileRunning bool
		want         int
	}{
		{"before a request", "/read/1", false, http.StatusOK},
		{"before one that may not be repeated", "/write/1", false, http.StatusBadGateway},
		{"while a request runs", "/read/1", true, http.StatusOK},
		{"while one runs that may not be repeated", "/write/1", true, http.StatusBadGateway},
	} {
		t.Run(x.name, func(t *testing.T) {
			running := make(chan struct{}, 10)
			var received atomic.Int64
			dispatcher, _ := newDispatching(t, 7, func(w http.ResponseWriter, r *http.Request) {
				received.Add(1)
				running <- struct{}{}
				time.Sleep(20 * time.Millisecond)
				respond(http.StatusOK)(w, r)
			})
			mux := http.NewServeMux()
			mux.Handle("/", dispatcher.RelayHandler())
			mux.Handle(ProbePath, dispatcher.ProbeHandler())
			server := httptest.NewServer(mux)
			t.Cleanup(server.Close)
			ingress, direct := newDispatching(t, 7, respond(http.StatusOK), holderAt(server))
			severed := newSeverance(ingress.peerTransport.Transport)
			assertStatus(t, get(ingress.Handler(), x.path, nil), http.StatusOK)
			<-running
			if x.whileRunning {
				go func() {
					<-running
					severed.start()
				}()
			} else {
				severed.start()
			}
			started := time.Now()
			assertStatus(t, get(ingress.Handler(), x.path, nil), x.want)
			if took := time.Since(started); took > 800*time.Millisecond {
				t.Errorf("response: got it after %v, want it before the deadline", took)
			}
			if n := received.Load() - 1 + direct.Load(); n > 2 || x.path == "/write/1" && n > 1 {
				t.Errorf("runs of the request: got %d, want 2 at most, or 1 if it may not be repeated", n)
			}
			started = time.Now()
			assertStatus(t, get(ingress.Handler(), x.path, nil), http.StatusOK)
			if took := time.Since(started); took > 100*time.Millisecond {
				t.Errorf("next request: got its response after %v, want it at once", took)
			}
		})
	}
}
