package listener

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// leaveTimeout is how long it may take to notice that a caller has left.
const leaveTimeout = 500 * time.Millisecond

// longGet returns a request whose head has some 1.6 KB.
func longGet(path string) string {
	return fmt.Sprintf("GET %s HTTP/1.1\r\nHost: h\r\nCookie: token=%s\r\n\r\n", path, strings.Repeat("x", 1500))
}

// slowRequests returns n long requests that wait until they are released.
func slowRequests(n int) (text string) {
	for i := range n {
		text += longGet(fmt.Sprintf("/slow/%d", i))
	}
	return text
}

// assertAllCancelled checks that within leaveTimeout all requests in progress at a server are cancelled, and that
// none begins later.
func (s *pipelineServer) assertAllCancelled(t *testing.T) {
	t.Helper()
	time.Sleep(leaveTimeout)
	begun, cancelled := s.counts()
	if cancelled < begun {
		t.Errorf("requests whose caller has left: got %d of %d cancelled, want all", cancelled, begun)
	}
	time.Sleep(leaveTimeout / 2)
	if later, _ := s.counts(); later != begun {
		t.Errorf("requests begun after their caller had left: got %d, want none", later-begun)
	}
}

// counts returns how many of the requests to /slow/ have begun, and how many were cancelled.
func (s *pipelineServer) counts() (begun, cancelled int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, text := range s.begun {
		if text == "cancelled" {
			cancelled++
		} else if strings.HasPrefix(text, "/slow/") {
			begun++
		}
	}
	return begun, cancelled
}

// TestCallerLeavesRequestsBehind guards against work for a caller that has left, and has sent so much ahead that
// nothing more is read of its connection.
func TestCallerLeavesRequestsBehind(t *testing.T) {
	once := strings.ReplaceAll(longGet("/once"), "\r\n\r\n", "\r\nContent-Length: 0\r\n\r\n")
	for _, c := range []struct {
		name, sent string
		leave      func(net.Conn) error
	}{
		{"16 KB of requests that are begun early", slowRequests(12), net.Conn.Close},
		{"many more", slowRequests(60), net.Conn.Close},
		{"16 KB of requests that wait for their turn", longGet("/slow/1") + strings.Repeat(once, 12), net.Conn.Close},
		{"a long head that has not ended", longGet("/slow/1") + "GET / HTTP/1.1\r\nHost: h\r\nCookie: " + strings.Repeat("x", 40<<10), net.Conn.Close},
		{"a reset", slowRequests(12), reset},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s, conn := newPipelineServer(t)
			write(t, conn, c.sent)
			s.await(t, 1)
			time.Sleep(20 * time.Millisecond)
			if err := c.leave(conn); err != nil {
				t.Fatal(err)
			}
			s.assertAllCancelled(t)
		})
	}
}

// reset resets a connection.
func reset(conn net.Conn) error {
	if err := conn.(*net.TCPConn).SetLinger(0); err != nil {
		return err
	}
	return conn.Close()
}

// TestCallerLeavesStoppingHost guards against work for a caller that has left, while the server reads nothing more of
// its connection because the server stops.
func TestCallerLeavesStoppingHost(t *testing.T) {
	for name, sent := range map[string]string{
		"nothing behind": requests("/1", "/slow/2"), "unread requests behind": requests("/1", "/slow/2") + slowRequests(12),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := &pipelineServer{release: make(chan struct{})}
			s.Listener = serveWith(t, func(server *http.Server, l *Listener) {
				early := l.BeginEarly(http.HandlerFunc(s.handle), func(*http.Request) bool { return true })
				server.Handler = l.CloseWhen(func() bool { return true }, early)
			})
			conn := dial(t, s.Listener)
			write(t, conn, sent)
			wantPaths(t, conn, "/1")
			s.await(t, 2)
			if err := conn.Close(); err != nil {
				t.Fatal(err)
			}
			s.assertAllCancelled(t)
		})
	}
}

// TestSlowCallerIsNotTakenForLeft guards against a caller that is taken for one that has left, because it has sent much
// ahead, and sends nothing more for a while or goes on sending.
func TestSlowCallerIsNotTakenForLeft(t *testing.T) {
	for name, later := range map[string]string{"sends nothing more": "", "goes on sending": slowRequests(4)} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, conn := newPipelineServer(t)
			write(t, conn, slowRequests(12))
			s.await(t, 8)
			time.Sleep(20 * time.Millisecond)
			write(t, conn, later)
			time.Sleep(leaveTimeout / 5)
			close(s.release)
			var want []string
			for i := range 12 {
				want = append(want, fmt.Sprintf("/slow/%d", i))
			}
			wantPaths(t, conn, want...)
		})
	}
}
