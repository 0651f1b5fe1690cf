package coordinator

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"pineturn/core/clock"
	"pineturn/core/owner"
	"pineturn/core/placement"
	"pineturn/io/socket/sockettest"
)

// TestUnansweredGrantIsDiscarded guards against grants that arrive after the time for which
// the leader accounts for them: when a grant has timed out, its connection must be reset, so
// that a kernel behind a network partition does not deliver it later.
func TestUnansweredGrantIsDiscarded(t *testing.T) {
	address, closed := sockettest.ServeSilent(t)
	c := New(Host{Name: "host-1"}, owner.MaxLeaseDuration, &fakeStore{}, &fakeCatalog{}, placement.NewSet("a"), clock.Boot{})
	outcome := c.sender.send(t.Context(), address, owner.Order{Kind: owner.Grant, Target: owner.Incarnation{Target: "t"}})
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

// answering runs a target that answers each order with a status and headers, and returns its address.
func answering(t *testing.T, handler http.HandlerFunc) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// TestOtherTargetNamesItself guards against a live target that counts as ended, because of an answer that
// another one has not given.
func TestOtherTargetNamesItself(t *testing.T) {
	for id, want := range map[string]bool{"": false, "t": false, "other": true} {
		t.Run("answer of "+id, func(t *testing.T) {
			address := answering(t, func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("X-Instance-Id", id)
				w.WriteHeader(http.StatusMisdirectedRequest)
			})
			s := newSender(clock.System{}, (&net.Dialer{}).DialContext)
			t.Cleanup(s.close)
			for _, kind := range []owner.Kind{owner.Grant, owner.Release} {
				order := owner.Order{Kind: kind, Target: owner.Incarnation{Target: "t"}}
				if got := s.send(t.Context(), address, order).TargetEnded; got != want {
					t.Errorf("target has ended by the answer to order %v: got %t, want %t", kind, got, want)
				}
			}
		})
	}
}

// TestConnectionOfRenewal guards against a renewal that counts as sent on the connection of the grant before, though
// a grant of other keys has opened a new one, which another incarnation of the target may have accepted.
func TestConnectionOfRenewal(t *testing.T) {
	fake := clock.NewFake(time.Unix(1000, 0))
	address := answering(t, func(http.ResponseWriter, *http.Request) {})
	s := newSender(fake, (&net.Dialer{}).DialContext)
	t.Cleanup(s.close)
	send := func(order owner.Order) owner.Outcome {
		order.Target = owner.Incarnation{Target: "t"}
		outcome := s.send(t.Context(), address, order)
		fake.Advance(time.Second)
		return outcome
	}
	reopen := func() { s.grantTransport(owner.Incarnation{Target: "t"}).CloseIdleConnections() }
	keys := owner.Order{First: 0, Last: 9}
	renewal := owner.Order{First: 0, Last: 9, Renewal: true}
	if got, want := send(keys).ConnectedAt, time.Unix(1000, 0); !got.Equal(want) {
		t.Errorf("connection of the first grant: got one opened at %v, want at %v", got, want)
	}
	if got, want := send(renewal).ConnectedAt, time.Unix(1000, 0); !got.Equal(want) {
		t.Errorf("connection of the renewal: got one opened at %v, want at %v", got, want)
	}
	reopen()
	if got := send(renewal); !got.Unsent {
		t.Errorf("renewal without an open connection: got %+v, want it not sent", got)
	}
	opened := fake.Now()
	send(owner.Order{First: 10, Last: 19})
	if got := send(renewal); !got.Done || !got.ConnectedAt.Equal(opened) {
		t.Errorf("renewal after a grant of other keys: got %+v, want it done on the connection opened at %v", got, opened)
	}
}

// TestLateCopyOfOrderAnswer guards against a late copy of the answer to an order that counts as the answer
// to the next one: a release of keys at which the target is still at work, or a grant that it has taken.
func TestLateCopyOfOrderAnswer(t *testing.T) {
	for _, c := range []struct {
		name   string
		kind   owner.Kind
		status int
	}{
		{"release", owner.Release, http.StatusOK}, {"refused grant", owner.Grant, http.StatusConflict}, {"grant of a target without keys", owner.Grant, http.StatusBadRequest},
	} {
		t.Run(c.name, func(t *testing.T) {
			var orders atomic.Int64
			address := answering(t, func(w http.ResponseWriter, _ *http.Request) {
				if orders.Add(1) == 1 {
					w.WriteHeader(c.status)
					return
				}
				time.Sleep(time.Second)
			})
			// A connection that is used again gets the first answer once more.
			l := copyingProxy(t, address)
			s := newSender(clock.System{}, (&net.Dialer{}).DialContext)
			t.Cleanup(s.close)
			order := owner.Order{Kind: c.kind, Target: owner.Incarnation{Target: "t"}}
			if got := s.send(t.Context(), l, order); !got.Responded() {
				t.Fatalf("first order: got %+v, want an answer", got)
			}
			ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			defer cancel()
			if got := s.send(ctx, l, order); got.Responded() {
				t.Errorf("second order, which the target has not answered: got %+v, want unknown", got)
			}
		})
	}
}

// copyingProxy passes connections on to a target, and answers the second order on one with the answer
// to the first. It returns its address.
func copyingProxy(t *testing.T, target string) string {
	t.Helper()
	return sockettest.Serve(t, func(conn net.Conn) { copyAnswers(conn, target) })
}

func copyAnswers(conn net.Conn, target string) {
	reader := bufio.NewReader(conn)
	var first []byte
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if first == nil {
			r.URL.Scheme, r.URL.Host, r.RequestURI = "http", target, ""
			resp, err := http.DefaultTransport.RoundTrip(r)
			if err != nil {
				return
			}
			first, _ = httputil.DumpResponse(resp, true)
		} else {
			_, _ = io.Copy(io.Discard, r.Body)
		}
		if _, err := conn.Write(first); err != nil {
			return
		}
	}
}
