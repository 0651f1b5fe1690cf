package coordinator

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"pineturn/core/clock"
	"pineturn/core/owner"
	"pineturn/core/placement"
)

// TestUnansweredGrantIsDiscarded guards against grants that arrive after the time for which
// the leader accounts for them: when a grant has timed out, its connection must be reset, so
// that a kernel behind a network partition does not deliver it later.
func TestUnansweredGrantIsDiscarded(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	closed := make(chan error, 1)
	go func() {
		conn, err := l.Accept()
		if err != nil {
			closed <- err
			return
		}
		_, err = io.Copy(io.Discard, conn)
		closed <- err
	}()
	c := New(Host{Name: "host-1"}, owner.MaxLeaseDuration, &fakeStore{}, &fakeCatalog{}, placement.NewSet("a"), clock.Boot{})
	outcome := c.sender.send(t.Context(), l.Addr().String(), owner.Order{Kind: owner.Grant, Target: owner.Incarnation{Target: "t"}})
	if outcome.Responded() || outcome.Unsent {
		t.Errorf("outcome of a grant without a response: got %+v, want unknown", outcome)
	}
	if err := <-closed; !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("end of the connection at the target: got %v, want %v", err, syscall.ECONNRESET)
	}
}

// TestEndlessOrderResponses guards against targets that respond to an order with bytes without
// end: a leader that runs out of memory, or an order that takes long to fail.
func TestEndlessOrderResponses(t *testing.T) {
	const (
		// maxBytes is the size of a response, in bytes, with what the socket buffers hold.
		maxBytes = 8 << 20
		maxTime  = 500 * time.Millisecond
	)
	text := strings.Repeat("a", 4<<10)
	for _, c := range []struct {
		name, head string
		done       bool
	}{
		{"header", "HTTP/1.1 200 OK\r\nX-Long: ", false},
		{"body", "HTTP/1.1 200 OK\r\n\r\n", true},
		{"no response", "", false},
	} {
		for _, kind := range []owner.Kind{owner.Grant, owner.Release} {
			t.Run(fmt.Sprint(c.name, " of order ", kind), func(t *testing.T) {
				l, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(func() { _ = l.Close() })
				written := make(chan int, 1)
				go func() { written <- writeEndlessly(l, c.head, text) }()
				coordinator := newCoordinator(&fakeStore{}, &fakeCatalog{})
				started := time.Now()
				outcome := coordinator.sender.send(t.Context(), l.Addr().String(), owner.Order{Kind: kind, Target: owner.Incarnation{Target: "t"}})
				if outcome.Done != c.done {
					t.Errorf("order is done: got %t, want %t", outcome.Done, c.done)
				}
				if got := time.Since(started); got > maxTime {
					t.Errorf("end of the order: got it after %v, want it within %v", got, maxTime)
				}
				if got := <-written; got > maxBytes {
					t.Errorf("bytes that the target could write: got %d, want at most %d", got, maxBytes)
				}
			})
		}
	}
}

// writeEndlessly accepts a connection, reads a request and writes until the connection ends.
// It returns the number of bytes written.
func writeEndlessly(l net.Listener, head, repeated string) int {
	conn, err := l.Accept()
	if err != nil {
		return 0
	}
	defer func() { _ = conn.Close() }()
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return 0
	}
	total, _ := io.WriteString(conn, head)
	for {
		n, err := io.WriteString(conn, repeated)
		if total += n; err != nil {
			return total
		}
	}
}
