package listener

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"
)

// serve runs a server behind a listener. Its handler blocks until proceed is
// closed.
func serve(t *testing.T, proceed <-chan struct{}) *Listener {
	t.Helper()
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := New(plain)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		<-proceed
		_, _ = fmt.Fprint(w, CallerDisconnected(r.Context()))
	})}
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
