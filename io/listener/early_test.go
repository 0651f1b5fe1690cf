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
	mu       sync.Mutex
	begun    []string
	canceled int
	release  chan struct{}
}

func newPipelineServer(t *testing.T) *pipelineServer {
	t.Helper()
	l, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &pipelineServer{Listener: l, release: make(chan struct{})}
	server := &http.Server{ReadHeaderTimeout: time.Second}
	l.Attach(server)
	server.Handler = l.BeginEarly(http.HandlerFunc(s.handle))
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return s
}

func (s *pipelineServer) handle(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.begun = append(s.begun, r.URL.Path)
	s.mu.Unlock()
	body, _ := io.ReadAll(r.Body)
	if strings.HasPrefix(r.URL.Path, "/slow/") {
		select {
		case <-s.release:
		case <-r.Context().Done():
			s.mu.Lock()
			s.canceled++
			s.mu.Unlock()
			return
		}
	}
	if r.URL.Path == "/broken" {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Path", r.URL.Path)
	if r.URL.Path == "/large" {
		body = []byte(strings.Repeat("x", 3*maxEarlyBody))
	}
	if r.URL.Path == "/empty" {
		return
	}
	_, _ = fmt.Fprintf(w, "%s", body)
}

// await waits until a number of requests have begun, and returns their paths.
func (s *pipelineServer) await(t *testing.T, n int) []string {
	t.Helper()
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		s.mu.Lock()
		begun := s.begun
		s.mu.Unlock()
		if len(begun) >= n {
			return begun
		}
	}
	return s.begun
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n" }

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

// TestPipelinedRequestsWait guards against requests that are handled only once the one before them
// on their connection has been answered, and against responses in another order.
func TestPipelinedRequestsWait(t *testing.T) {
	t.Run("in one write", func(t *testing.T) {
		s := newPipelineServer(t)
		conn := dial(t, s.Listener)
		write(t, conn, get("/slow/1")+get("/2")+get("/slow/3")+get("/large")+get("/empty"))
		if got := len(s.await(t, 5)); got != 5 {
			t.Errorf("requests begun: got %d, want 5", got)
		}
		close(s.release)
		wantPaths(t, conn, "/slow/1", "/2", "/slow/3", "/large", "/empty")
	})
	t.Run("byte by byte", func(t *testing.T) {
		s := newPipelineServer(t)
		conn := dial(t, s.Listener)
		write(t, conn, get("/slow/1"))
		s.await(t, 1)
		for _, b := range get("/2") + get("/3") {
			write(t, conn, string(b))
		}
		if got := len(s.await(t, 3)); got != 3 {
			t.Errorf("requests begun: got %d, want 3", got)
		}
		close(s.release)
		wantPaths(t, conn, "/slow/1", "/2", "/3")
	})
	t.Run("more than are begun early", func(t *testing.T) {
		s := newPipelineServer(t)
		conn := dial(t, s.Listener)
		want := []string{"/slow/1"}
		for i := range 3 * maxEarly {
			want = append(want, fmt.Sprint("/", i))
		}
		for _, path := range want {
			write(t, conn, get(path))
		}
		if got := len(s.await(t, 1+maxEarly)); got != 1+maxEarly {
			t.Errorf("requests begun: got %d, want %d", got, 1+maxEarly)
		}
		close(s.release)
		wantPaths(t, conn, want...)
	})
}

// TestRequestsNotBegunEarly guards against requests that run although they must wait, or that are
// taken from the body of another one.
func TestRequestsNotBegunEarly(t *testing.T) {
	for name, second := range map[string]string{
		"not safe":         post("/2", "body"),
		"with a body":      "GET /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx",
		"in a body":        post("/2", get("/hidden")),
		"chunked":          "POST /2 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(get("/hidden")), get("/hidden")),
		"bare line feeds":  "GET /2 HTTP/1.1\nHost: h\n\n",
		"closes":           "GET /2 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
		"without a host":   "GET /2 HTTP/1.0\r\n\r\n",
		"folded and blank": post("/2", "\r\n\r\n"+get("/hidden")),
	} {
		t.Run(name, func(t *testing.T) {
			s := newPipelineServer(t)
			conn := dial(t, s.Listener)
			write(t, conn, get("/slow/1")+second)
			time.Sleep(20 * time.Millisecond)
			if got := s.await(t, 1); len(got) != 1 {
				t.Errorf("requests begun: got %v, want the first alone", got)
			}
			close(s.release)
			wantPaths(t, conn, "/slow/1", "/2")
			if got := s.await(t, 2); len(got) != 2 {
				t.Errorf("requests: got %v, want two", got)
			}
		})
	}
}

// TestCallerOfPipelinedRequestsLeaves guards against requests that go on after their caller has
// left.
func TestCallerOfPipelinedRequestsLeaves(t *testing.T) {
	s := newPipelineServer(t)
	conn := dial(t, s.Listener)
	write(t, conn, get("/slow/1")+get("/slow/2")+get("/slow/3"))
	s.await(t, 3)
	_ = conn.Close()
	for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		s.mu.Lock()
		canceled := s.canceled
		s.mu.Unlock()
		if canceled == 3 {
			return
		}
	}
	t.Errorf("requests cancelled: got %d, want 3", s.canceled)
}

// TestBrokenEarlyResponse guards against a response that was broken off and looks complete.
func TestBrokenEarlyResponse(t *testing.T) {
	s := newPipelineServer(t)
	conn := dial(t, s.Listener)
	write(t, conn, get("/slow/1")+get("/broken")+get("/3"))
	s.await(t, 3)
	close(s.release)
	if rest, _ := io.ReadAll(wantPaths(t, conn, "/slow/1")); len(rest) > 0 {
		t.Errorf("after the first response: got %q, want the end of the connection", rest)
	}
}

// TestFollowing guards against the end of a connection before the response to a request that is the
// same as the one before it, byte for byte.
func TestFollowing(t *testing.T) {
	head := []byte(get("/1"))
	a := &ahead{begin: func(*http.Request) *early { return &early{} }}
	a.buffered = append(slices.Clone(head), head...)
	a.deliver(make([]byte, len(head)))
	a.beginEarly()
	for i, want := range []bool{true, false} {
		if got := a.follow(); got != want {
			t.Errorf("request %d is followed by one that was begun: got %t, want %t", i+1, got, want)
		}
		if got := a.take() != nil; got == want {
			t.Errorf("request %d was begun early: got %t, want %t", i+1, got, !want)
		}
		a.next()
		a.deliver(make([]byte, len(head)))
	}
}

// TestStopWithPipelinedRequests guards against a planned stop that closes a connection before the
// requests that were begun early on it are answered.
func TestStopWithPipelinedRequests(t *testing.T) {
	s := newPipelineServer(t)
	conn := dial(t, s.Listener)
	write(t, conn, get("/slow/1")+get("/slow/1")+get("/3"))
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
}
