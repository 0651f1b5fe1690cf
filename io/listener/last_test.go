package listener

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// countingListener counts the bytes that are read from its connections, by the addresses of the callers.
type countingListener struct {
	net.Listener
	read sync.Map
}

type countingConn struct {
	*net.TCPConn
	read *atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{TCPConn: conn.(*net.TCPConn), read: l.count(conn.RemoteAddr())}, nil
}

func (c *countingConn) Read(data []byte) (int, error) {
	n, err := c.TCPConn.Read(data)
	c.read.Add(int64(n))
	return n, err
}

// count returns the number of bytes that were read from the caller with an address.
func (l *countingListener) count(caller net.Addr) *atomic.Int64 {
	n, _ := l.read.LoadOrStore(caller.String(), &atomic.Int64{})
	return n.(*atomic.Int64)
}

// stoppingServer answers requests, those to /slow/ once they are released, and ends connections while it
// stops.
type stoppingServer struct {
	*countingListener
	*Listener
	stopping atomic.Bool
	begun    chan string
	release  chan struct{}
}

func newStoppingServer(t *testing.T) *stoppingServer {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &stoppingServer{countingListener: &countingListener{Listener: inner}, begun: make(chan string, 1), release: make(chan struct{})}
	s.Listener = New(s.countingListener)
	handler := s.BeginEarly(http.HandlerFunc(s.handle), func(r *http.Request) bool { return r.URL.Path != "/once" })
	server := &http.Server{Handler: s.CloseWhen(s.stopping.Load, handler), ReadHeaderTimeout: time.Second}
	s.Attach(server)
	go func() { _ = server.Serve(s.Listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return s
}

func (s *stoppingServer) handle(w http.ResponseWriter, r *http.Request) {
	select {
	case s.begun <- r.URL.Path:
	default:
	}
	w.Header().Set("X-Path", r.URL.Path)
	if r.URL.Path == "/unread" {
		_, _ = io.CopyN(io.Discard, r.Body, 3*readSize-1)
		_ = http.NewResponseController(w).EnableFullDuplex()
		w.Header().Set("Connection", "close")
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	switch {
	case strings.HasPrefix(r.URL.Path, "/slow/"):
		<-s.release
	case r.URL.Path == "/stream":
		time.Sleep(5 * time.Millisecond)
		_, _ = io.WriteString(w, "begun")
		_ = http.NewResponseController(w).Flush()
		<-s.release
	}
}

// awaitRead waits until so many bytes of a caller have been read.
func (s *stoppingServer) awaitRead(conn net.Conn, n int64) {
	for end := time.Now().Add(2 * time.Second); s.count(conn.LocalAddr()).Load() < n && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
}

// readPaths reads responses until the connection ends. It returns the paths of their requests, "close"
// after that of one that says so, and how the connection ended.
func readPaths(conn net.Conn, r *bufio.Reader) (paths []string, err error) {
	_ = conn.SetReadDeadline(time.Now().Add(20 * time.Second))
	for {
		if _, err := r.Peek(1); err != nil {
			return paths, err
		}
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			return paths, err
		}
		if _, err := io.ReadAll(resp.Body); err != nil {
			return paths, err
		}
		if paths = append(paths, resp.Header.Get("X-Path")); resp.Close {
			paths = append(paths, "close")
		}
	}
}

// TestReadAndUnanswered guards against requests that are read behind another one on a connection that
// ends with its response, responses that a caller loses because it has sent more, and connections that
// never end as their callers go on sending.
func TestReadAndUnanswered(t *testing.T) {
	chunked := "POST /3 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n"
	for _, c := range []struct {
		name string
		// before is sent before the server stops, during while it handles the first request, after once
		// its response has begun.
		before, during, after string
		want                  string
	}{
		{"nothing follows", get("/slow/1"), "", "", "/slow/1 close"},
		{"in one write", get("/slow/1") + get("/2") + get("/3"), "", "", "/slow/1 /2 /3 close"},
		{"during the stop", get("/slow/1"), get("/2") + get("/3"), "", "/slow/1 /2 /3 close"},
		{"not idempotent", get("/slow/1"), get("/once") + post("/3", "body"), "", "/slow/1 /once /3 close"},
		{"a body after a refused request", post("/slow/1", "body"), post("/2", "body"), "", "/slow/1 /2 close"},
		{"a part of a head", get("/slow/1"), get("/2") + "GET /3 HT", "", "/slow/1 /2 close"},
		{"a part of a body", get("/slow/1"), get("/2") + strings.TrimSuffix(post("/3", "body"), "y"), "", "/slow/1 /2 close"},
		{"chunked", get("/slow/1"), get("/2") + chunked, "", "/slow/1 /2 /3 close"},
		{"behind a chunked one", get("/slow/1") + chunked, get("/4"), "", "/slow/1 /3 /4 close"},
		{"behind a chunked one in progress", strings.Replace(chunked, "/3", "/slow/3", 1), get("/4"), "", "/slow/3 /4 close"},
		{"a part of a chunked one", get("/slow/1"), get("/2") + strings.TrimSuffix(chunked, "\r\n"), "", "/slow/1 /2 close"},
		{"after the response has begun", get("/stream"), "", get("/2"), "/stream close"},
		{"behind others after the response has begun", get("/stream") + get("/2"), "", get("/3"), "/stream /2 close"},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newStoppingServer(t)
			conn := dial(t, s.Listener)
			r := bufio.NewReader(conn)
			s.stopping.Store(c.after != "")
			write(t, conn, c.before)
			<-s.begun
			if c.after != "" {
				_, _ = r.Peek(1)
			}
			s.stopping.Store(true)
			write(t, conn, c.during+c.after)
			s.awaitRead(conn, int64(len(c.before+c.during)))
			time.Sleep(20 * time.Millisecond)
			close(s.release)
			paths, err := readPaths(conn, r)
			if got := strings.Join(paths, " "); got != c.want || !errors.Is(err, io.EOF) {
				t.Errorf("responses: got %q and error %v, want %q and the end of the connection", got, err, c.want)
			}
			if got, want := s.count(conn.LocalAddr()).Load(), int64(len(c.before+c.during)); got != want {
				t.Errorf("bytes read: got %d, want %d", got, want)
			}
		})
	}
	t.Run("at any time", func(t *testing.T) {
		var callers sync.WaitGroup
		for range 10 {
			s := newStoppingServer(t)
			for range 10 {
				callers.Go(func() { s.callOn(t) })
			}
			time.Sleep(10 * time.Millisecond)
			s.stopping.Store(true)
		}
		callers.Wait()
	})
}

// callOn sends requests without waiting until the connection ends, and checks that those that were read
// are answered.
func (s *stoppingServer) callOn(t *testing.T) {
	conn, err := net.Dial("tcp", s.Listener.Addr().String())
	if err != nil {
		t.Errorf("connect: got error %v, want none", err)
		return
	}
	defer func() { _ = conn.Close() }()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for i := 0; ; i++ {
			if _, err := io.WriteString(conn, get(fmt.Sprintf("/%03d", i%1000))); err != nil {
				return
			}
			time.Sleep(200 * time.Microsecond)
		}
	}()
	paths, err := readPaths(conn, bufio.NewReader(conn))
	if !errors.Is(err, io.EOF) {
		t.Errorf("connection during the stop: got error %v, want its end", err)
	}
	_ = conn.Close()
	<-ended
	read := s.count(conn.LocalAddr()).Load() / int64(len(get("/000")))
	if answered := int64(len(paths) - 1); answered != read {
		t.Errorf("requests read whole: got %d answered, want %d", answered, read)
	}
}

// TestReadBehindUnreadBody guards against a request that is read, and never answered, behind one whose
// response ends the connection before its body has been read.
func TestReadBehindUnreadBody(t *testing.T) {
	const size = 3 * readSize
	for name, text := range map[string]string{
		"length":  post("/1", strings.Repeat("x", size)),
		"chunked": fmt.Sprintf("POST /1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", size, strings.Repeat("x", size)),
	} {
		t.Run(name, func(t *testing.T) {
			s := newStoppingServer(t)
			conn := dial(t, s.Listener)
			write(t, conn, strings.Replace(text, "/1", "/unread", 1)+get("/2"))
			if paths, err := readPaths(conn, bufio.NewReader(conn)); strings.Join(paths, " ") != "/unread close" {
				t.Errorf("responses: got %q and error %v, want that to /unread, which closes", paths, err)
			}
			if got, most := s.count(conn.LocalAddr()).Load(), int64(len(text)+len("unread")-1); got > most {
				t.Errorf("bytes read: got %d, want those of the first request at most, %d", got, most)
			}
		})
	}
}

// TestBegunBehindResponse guards against requests that are sent behind a response in progress, run, and are
// lost as that response is broken off.
func TestBegunBehindResponse(t *testing.T) {
	s := newStoppingServer(t)
	conn := dial(t, s.Listener)
	r := bufio.NewReader(conn)
	write(t, conn, get("/stream"))
	<-s.begun
	_, _ = r.Peek(1)
	write(t, conn, get("/2"))
	s.awaitRead(conn, int64(len(get("/stream")+get("/2"))))
	time.Sleep(20 * time.Millisecond)
	select {
	case path := <-s.begun:
		t.Errorf("begun while the response before it is written: got %s, want none", path)
	default:
	}
	s.stopping.Store(true)
	close(s.release)
	if paths, err := readPaths(conn, r); strings.Join(paths, " ") != "/stream /2 close" {
		t.Errorf("responses: got %q and error %v, want those to /stream and /2", paths, err)
	}
}
