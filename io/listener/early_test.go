package listener

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

// pipelineServer serves requests, of which those to /slow/ wait until they are released.
type pipelineServer struct {
	*Listener
	mu sync.Mutex
	// begun holds the paths of the requests, and "cancelled" for each of those to /slow/ that was.
	begun   []string
	release chan struct{}
}

// newPipelineServer runs a server and returns a connection to it.
func newPipelineServer(t *testing.T) (*pipelineServer, net.Conn) {
	t.Helper()
	s := &pipelineServer{release: make(chan struct{})}
	s.Listener = serveWith(t, func(server *http.Server, l *Listener) {
		server.ReadHeaderTimeout, server.Handler = time.Second, l.BeginEarly(http.HandlerFunc(s.handle), func(r *http.Request) bool {
			return r.URL.Path != "/once"
		})
	})
	return s, dial(t, s.Listener)
}

func (s *pipelineServer) record(text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.begun = append(s.begun, text)
}

func (s *pipelineServer) handle(w http.ResponseWriter, r *http.Request) {
	path := r.URL.Path
	s.record(path)
	body, _ := io.ReadAll(r.Body)
	if strings.HasPrefix(path, "/slow/") {
		select {
		case <-s.release:
		case <-r.Context().Done():
			s.record("cancelled")
			return
		}
	}
	w.Header().Set("X-Path", path)
	switch path {
	case "/broken":
		panic(http.ErrAbortHandler)
	case "/empty":
		return
	case "/large":
		body = []byte(strings.Repeat("x", 3*maxEarlyBody))
	}
	_, _ = w.Write(body)
}

// await waits until so many requests have begun or been cancelled, and returns what was recorded.
func (s *pipelineServer) await(t *testing.T, n int) []string {
	t.Helper()
	for end := time.Now().Add(2 * time.Second); ; time.Sleep(time.Millisecond) {
		s.mu.Lock()
		begun := slices.Clone(s.begun)
		s.mu.Unlock()
		if len(begun) >= n || time.Now().After(end) {
			return begun
		}
	}
}

// requests returns requests with these paths.
func requests(paths ...string) (text string) {
	for _, path := range paths {
		text += get(path)
	}
	return text
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n" }

// kept returns a request with a Connection header.
func kept(path, connection string) string {
	return "GET " + path + " HTTP/1.1\r\nHost: h\r\nConnection: " + connection + "\r\n\r\n"
}

func post(path, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
}

func write(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
}

// wantPaths reads responses and checks that they belong to requests in this order. It returns
// what is left to be read.
func wantPaths(t *testing.T, conn net.Conn, want ...string) io.Reader {
	t.Helper()
	_ = conn.SetReadDeadline(time.Now().Add(3 * time.Second))
	r := bufio.NewReader(conn)
	for _, path := range want {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatalf("response to %s: got error %v, want none", path, err)
		}
		if _, err := io.ReadAll(resp.Body); err != nil {
			t.Errorf("body for %s: got error %v, want none", path, err)
		}
		if got := resp.Header.Get("X-Path"); got != path {
			t.Errorf("response: got that to %s, want %s", got, path)
		}
	}
	return r
}

// TestPipelinedRequests guards against requests that are handled only once the one before them on
// their connection has been answered, responses in another order, requests that run although they
// must wait, and some that are taken from the body of another one.
func TestPipelinedRequests(t *testing.T) {
	many, hidden := []string{"/slow/1"}, get("/hidden")
	for i := range 3 * maxEarly {
		many = append(many, fmt.Sprint("/", i))
	}
	two := []string{"/slow/1", "/2"}
	for _, c := range []struct {
		name, text string
		paths      []string
		// begun is the number of requests that are begun before the response to the first, writeSize
		// the number of bytes of one write.
		begun, writeSize int
	}{
		{"in one write", requests("/slow/1", "/2", "/slow/3", "/large", "/empty"), []string{"/slow/1", "/2", "/slow/3", "/large", "/empty"}, 5, 1 << 20},
		{"byte by byte", requests("/slow/1", "/2", "/3"), []string{"/slow/1", "/2", "/3"}, 3, 1},
		{"more than are begun early", requests(many...), many, 1 + maxEarly, len(hidden)},
		{"not idempotent by its route", requests("/slow/1", "/once", "/3"), []string{"/slow/1", "/once", "/3"}, 1, 1 << 20},
		{"not safe", get("/slow/1") + post("/2", "body"), two, 1, 1 << 20},
		{"with a body", get("/slow/1") + "GET /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx", two, 1, 1 << 20},
		{"in a body", get("/slow/1") + post("/2", hidden), two, 1, 1 << 20},
		{"chunked", get("/slow/1") + "POST /2 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(hidden), hidden), two, 1, 1 << 20},
		{"chunked, byte by byte", get("/slow/1") + "POST /2 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(hidden), hidden) + get("/3"), []string{"/slow/1", "/2", "/3"}, 1, 1},
		{"bare line feeds", get("/slow/1") + "GET /2 HTTP/1.1\nHost: h\n\n", two, 1, 1 << 20},
		{"bare line feeds before another request", get("/slow/1") + "GET /2 HTTP/1.1\r\nHost: h\n\n" + get("/3"), []string{"/slow/1", "/2", "/3"}, 1, 1 << 20},
		{"kept alive", get("/slow/1") + kept("/2", "keep-alive") + kept("/3", "Keep-Alive , keep-alive"), []string{"/slow/1", "/2", "/3"}, 3, 1 << 20},
		{"other words on the connection", get("/slow/1") + kept("/2", "keep-alive, X-Private"), two, 1, 1 << 20},
		{"closes", get("/slow/1") + "GET /2 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", two, 1, 1 << 20},
		{"without a host", get("/slow/1") + "GET /2 HTTP/1.0\r\n\r\n", two, 1, 1 << 20},
		{"folded and blank", get("/slow/1") + post("/2", "\r\n\r\n"+hidden), two, 1, 1 << 20},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, conn := newPipelineServer(t)
			for part := range slices.Chunk([]byte(c.text), c.writeSize) {
				write(t, conn, string(part))
			}
			s.await(t, c.begun)
			time.Sleep(20 * time.Millisecond)
			if got := s.await(t, c.begun); len(got) != c.begun {
				t.Errorf("requests begun: got %v, want %d", got, c.begun)
			}
			close(s.release)
			wantPaths(t, conn, c.paths...)
			if got := s.await(t, len(c.paths)); len(got) != len(c.paths) {
				t.Errorf("requests: got %v, want %v", got, c.paths)
			}
		})
	}
}

// TestConnectionOfPipelinedRequests guards against requests that go on after their caller has left,
// a response that was broken off and looks complete, and a planned stop that closes a connection
// before the requests that were begun early on it are answered.
func TestConnectionOfPipelinedRequests(t *testing.T) {
	t.Run("caller leaves", func(t *testing.T) {
		s, conn := newPipelineServer(t)
		write(t, conn, requests("/slow/1", "/slow/2", "/slow/3"))
		s.await(t, 3)
		_ = conn.Close()
		want := []string{"/slow/1", "/slow/2", "/slow/3", "cancelled", "cancelled", "cancelled"}
		if got := s.await(t, 6); !slices.Equal(slices.Sorted(slices.Values(got)), want) {
			t.Errorf("requests begun and cancelled: got %v, want %v", got, want)
		}
	})
	t.Run("response broken off", func(t *testing.T) {
		s, conn := newPipelineServer(t)
		write(t, conn, requests("/slow/1", "/broken", "/3"))
		s.await(t, 3)
		close(s.release)
		if rest, _ := io.ReadAll(wantPaths(t, conn, "/slow/1")); len(rest) > 0 {
			t.Errorf("after the first response: got %q, want the end of the connection", rest)
		}
	})
	t.Run("stop", func(t *testing.T) {
		s, conn := newPipelineServer(t)
		write(t, conn, requests("/slow/1", "/slow/1", "/3"))
		s.await(t, 3)
		s.StopEarly()
		write(t, conn, get("/4"))
		time.AfterFunc(20*time.Millisecond, func() { close(s.release) })
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		closed := make(chan int)
		go func() { closed <- s.CloseIdle(ctx) }()
		wantPaths(t, conn, "/slow/1", "/slow/1", "/3", "/4")
		if got := <-closed; got != 0 {
			t.Errorf("connections left open: got %d, want 0", got)
		}
	})
}

// TestFollowing guards against the end of a connection before the response to a request that is the
// same as the one before it, byte for byte.
func TestFollowing(t *testing.T) {
	head := []byte(get("/1"))
	a := &ahead{begin: func(*http.Request, time.Time) *early { return &early{} }, buffered: slices.Concat(head, head)}
	c := &Conn{ahead: a, listener: New(nil)}
	for i, wantEarly := range []bool{false, true} {
		a.deliver(make([]byte, len(head)))
		a.beginEarly()
		if follows, early := a.follow(), a.take() != nil; follows == wantEarly || early != wantEarly {
			t.Errorf("request %d: got another one after it %t, begun early %t, want %t, %t", i+1, follows, early, !wantEarly, wantEarly)
		}
		c.markIdle()
		if got := c.isIdle(); got != wantEarly {
			t.Errorf("connection may be closed after request %d: got %t, want %t", i+1, got, wantEarly)
		}
	}
}
