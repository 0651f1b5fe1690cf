package listener

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

// serve runs a server behind a listener. Its handler blocks until proceed is
// closed.
func serve(t *testing.T, proceed <-chan struct{}) *Listener {
	t.Helper()
	return serveWith(t, func(server *http.Server, _ *Listener) {
		server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			<-proceed
			_, _ = fmt.Fprint(w, CallerDisconnected(r.Context()))
		})
	})
}

// serveWith runs a server behind a listener, as set up by a function.
func serveWith(t *testing.T, setUp func(*http.Server, *Listener)) *Listener {
	t.Helper()
	l, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{}
	setUp(server, l)
	l.Attach(server)
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return l
}

func dial(t *testing.T, l *Listener) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func send(t *testing.T, conn net.Conn) {
	t.Helper()
	if _, err := fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
}

func wantResponse(t *testing.T, conn net.Conn) {
	t.Helper()
	_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Errorf("response: got error %v, want none", err)
		return
	}
	_ = resp.Body.Close()
}

// TestDrainServesPendingConnections guards against a listener that closes connections
// that are still pending in the accept queue when the drain begins.
func TestDrainServesPendingConnections(t *testing.T) {
	proceed := make(chan struct{})
	close(proceed)
	for range 50 {
		l := serve(t, proceed)
		var conns []net.Conn
		for range 5 {
			conn := dial(t, l)
			send(t, conn)
			conns = append(conns, conn)
		}
		if err := l.Drain(); err != nil {
			t.Fatal(err)
		}
		for _, conn := range conns {
			wantResponse(t, conn)
		}
	}
}

// TestDrainLosesNoRequest guards against a listener that resets connections that were
// established while it was closing. Callers that connect throughout the drain either
// cannot connect or get a response.
func TestDrainLosesNoRequest(t *testing.T) {
	proceed := make(chan struct{})
	close(proceed)
	var rounds sync.WaitGroup
	for range 20 {
		l := serve(t, proceed)
		rounds.Go(func() {
			var callers sync.WaitGroup
			for range 4 {
				callers.Go(func() { callUntilRefused(t, l) })
			}
			time.Sleep(5 * time.Millisecond)
			if err := l.StopNew(); err != nil {
				t.Errorf("stop new connections: got error %v, want none", err)
			}
			if err := l.Drain(); err != nil {
				t.Errorf("drain: got error %v, want none", err)
			}
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			if got := l.CloseIdle(ctx); got != 0 {
				t.Errorf("connections still open: got %d, want 0", got)
			}
			callers.Wait()
		})
	}
	rounds.Wait()
}

// callUntilRefused sends each request on a new connection until one cannot connect.
func callUntilRefused(t *testing.T, l *Listener) {
	t.Helper()
	for {
		conn, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			return
		}
		_, err = fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
		if err == nil {
			wantResponse(t, conn)
		} else {
			t.Errorf("request on a new connection: got error %v, want none", err)
		}
		_ = conn.Close()
		time.Sleep(time.Millisecond)
	}
}

// TestCloseIdle guards against a connection that is closed as idle after a request has
// been read from it, so that the request gets no response.
func TestCloseIdle(t *testing.T) {
	t.Run("a request that was read gets a response", func(t *testing.T) {
		proceed := make(chan struct{})
		l := serve(t, proceed)
		conn := dial(t, l)
		send(t, conn)
		time.Sleep(20 * time.Millisecond)
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		if got := l.CloseIdle(ctx); got != 1 {
			t.Errorf("connections still open: got %d, want 1", got)
		}
		close(proceed)
		wantResponse(t, conn)
	})
	t.Run("requests race with closing", func(t *testing.T) {
		proceed := make(chan struct{})
		close(proceed)
		l := serve(t, proceed)
		for range 200 {
			conn := dial(t, l)
			send(t, conn)
			wantResponse(t, conn)
			go l.closeIdleOnce()
			send(t, conn)
			// Either the request gets a response or its connection is closed. Without
			// the listener's check, net/http can close a connection between
			// reading a request and handling it.
			_ = conn.SetReadDeadline(time.Now().Add(time.Second))
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err == nil {
				_ = resp.Body.Close()
				continue
			}
			var netErr net.Error
			if errors.As(err, &netErr) && netErr.Timeout() {
				t.Fatal("request during closing: got neither a response nor a closed connection within 1 s, want one of them")
			}
		}
	})
}

// TestCallerDisconnected guards against a handler that does not detect that the caller
// closed its connection while the request was waiting.
func TestCallerDisconnected(t *testing.T) {
	proceed := make(chan struct{})
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := New(plain)
	got := make(chan bool, 1)
	server := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		<-proceed
		got <- CallerDisconnected(r.Context())
	})}
	l.Attach(server)
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	conn := dial(t, l)
	send(t, conn)
	_ = conn.Close()
	time.Sleep(20 * time.Millisecond)
	close(proceed)
	if disconnected := <-got; !disconnected {
		t.Errorf("caller that closed its connection: got disconnected %v, want true", disconnected)
	}
}
