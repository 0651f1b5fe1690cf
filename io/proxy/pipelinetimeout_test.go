package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"pineturn/core/clock"
	"pineturn/io/listener"
)

// serveCallers serves a proxy as a host does, and returns a connection to it.
func serveCallers(t *testing.T, p *Proxy) net.Conn {
	t.Helper()
	l, err := listener.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}

	l.MayBreakOff = p.MayBreakOff
	server := &http.Server{Handler: l.BeginEarly(p.Handler(), p.Idempotent)}
	l.Attach(server)
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	conn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// laterClock is a clock that is an hour late.
type laterClock struct{ clock.Clock }

func (c *laterClock) Now() time.Time { return c.Clock.Now().Add(-time.Hour) }

// TestTimeoutOfRequestsSentAhead guards against requests that stay without an answer beyond the timeout of their route,
// or get a target more time than their caller has left, because their time counts from their turn on the connection.
func TestTimeoutOfRequestsSentAhead(t *testing.T) {
	const (
		// targetWork is the time that a target takes, timeout that of the routes of newTestProxy, tolerance how
		// late an answer may be.
		targetWork = 400 * time.Millisecond
		timeout    = time.Second
		tolerance  = 500 * time.Millisecond
		sent       = 6
	)
	for name, header := range map[string]string{
		"requests with a body": "Content-Length: 4\r\n\r\nbody", "the last one closes": "Connection: close\r\n\r\n", "kept alive": "Connection: keep-alive\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newTestProxy(7)
			// A clock of its own, as on a host, whose time may be another one than the system's.
			p.clock = &laterClock{Clock: p.clock}
			var mu sync.Mutex
			var start time.Time
			newTestTarget(t, p, "t1", func(w http.ResponseWriter, r *http.Request) {
				ms, _ := strconv.Atoi(r.Header.Get("X-Deadline-Ms"))
				mu.Lock()
				if end := time.Since(start) + time.Duration(ms)*time.Millisecond; end > timeout+tolerance/10 {
					t.Errorf("time that a target is given: got until %v after the request was sent, want %v at most", end, timeout)
				}
				mu.Unlock()
				_, _ = io.Copy(io.Discard, r.Body)
				time.Sleep(targetWork)
				respond(http.StatusOK)(w, r)
			})
			conn := serveCallers(t, p)
			var text strings.Builder
			for i := range sent {
				plain := strings.HasPrefix(header, "Connection: close") && i < sent-1
				_, _ = fmt.Fprintf(&text, "POST /read/%d HTTP/1.1\r\nHost: %s\r\nX-Request-Id: r%d\r\nX-Deadline-Ms: 5000\r\n", i, testHost, i)
				if plain {
					text.WriteString("Content-Length: 0\r\n\r\n")
					continue
				}
				text.WriteString(header)
			}
			mu.Lock()
			start = time.Now()
			mu.Unlock()
			if _, err := io.WriteString(conn, text.String()); err != nil {
				t.Fatal(err)
			}
			statuses := readStatuses(t, conn, sent, start.Add(timeout+tolerance))
			for i, want := range []int{http.StatusOK, http.StatusOK, http.StatusGatewayTimeout} {
				if statuses[i] != want {
					t.Errorf("status of request %d: got %d, want %d", i, statuses[i], want)
				}
			}
			for i, got := range statuses[3:] {
				if got != http.StatusServiceUnavailable {
					t.Errorf("status of request %d, which was never sent: got %d, want %d", i+3, got, http.StatusServiceUnavailable)
				}
			}
		})
	}
}

// readStatuses reads n responses, each of which must come until a time, and returns their statuses.
func readStatuses(t *testing.T, conn net.Conn, n int, until time.Time) []int {
	t.Helper()
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	reader := bufio.NewReader(conn)
	statuses := make([]int, 0, n)
	for i := range n {
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatalf("response %d: got error %v, want none", i, err)
		}
		if late := time.Since(until); late > 0 {
			t.Errorf("response %d: got it %v late", i, late)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		statuses = append(statuses, resp.StatusCode)
	}
	return statuses
}
