package target

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"pineturn/core/config"
	"pineturn/core/header"
	"pineturn/core/outcome"
)

// TestSendHeaders guards against callers that set pineturn's own headers, and against
// hop-by-hop headers that reach the target.
func TestSendHeaders(t *testing.T) {
	var got http.Header
	var uri string
	f := newFixture(t, func(conn net.Conn, req *http.Request) bool {
		got, uri = req.Header, req.RequestURI
		return respondOK(conn, req)
	})
	req := newRequest("r1", http.MethodPost)
	req.Body = []byte("lodge")
	req.Header = http.Header{
		"Pineturn-Term": {"99"}, "Pineturn-End-With-Grant": {"1"}, "Connection": {"close, X-Hop"},
		"X-Hop": {"1"}, "X-Kept": {"1"}, "Expect": {"100-continue"},
	}
	response, failure := f.send(req)
	checkBody(t, response, failure, "ok", nil)
	want := map[string]string{
		header.RequestID: "r1", header.Key: "tenant-1", header.Shard: "payoutledger/all/3", header.Epoch: "5",
		header.Term: "7", header.Incarnation: "f3a9", header.EndWithGrant: "", "X-Hop": "", "X-Kept": "1", "Expect": "",
	}
	for name, value := range want {
		if got.Get(name) != value {
			t.Errorf("header %s: got %q, want %q", name, got.Get(name), value)
		}
	}
	if uri != "/claims?x=1" {
		t.Errorf("got path %q, want /claims?x=1", uri)
	}
}

// TestResponseHeader guards against response headers that cannot be sent between hosts
// because they are not UTF-8, and against forwarded hop-by-hop headers.
func TestResponseHeader(t *testing.T) {
	f := newFixture(t, func(conn net.Conn, req *http.Request) bool {
		return writeResponse(conn, req, "200 OK", "Content-Length: 2\r\nX-Name: T\xf6m\xf6r\r\nPineturn-Epoch: 9\r\nKeep-Alive: timeout=5\r\n", "ok")
	})
	response, failure := f.send(newRequest("r1", http.MethodGet))
	checkBody(t, response, failure, "ok", nil)
	got := http.Header(response.Head.Header)
	want := map[string]string{"X-Name": "T\uFFFDm\uFFFDr", header.Epoch: "", "Keep-Alive": "", "Content-Length": "2"}
	for name, value := range want {
		if got.Get(name) != value {
			t.Errorf("header %s: got %q, want %q", name, got.Get(name), value)
		}
	}
}

// TestSendFailures guards against a failure with the outcome not run although the target
// may have run the request, and the reverse.
func TestSendFailures(t *testing.T) {
	refuse := func(status, reason, extraFields string) func(net.Conn, *http.Request) bool {
		return func(conn net.Conn, req *http.Request) bool {
			fields := "Content-Length: 0\r\nPineturn-Outcome: not-run\r\nPineturn-Reason: " + reason + "\r\n" + extraFields
			return writeResponse(conn, req, status, fields, "")
		}
	}
	cases := map[string]struct {
		respond func(net.Conn, *http.Request) bool
		want    outcome.Outcome
		reason  outcome.Reason
	}{
		"closed after the request": {func(net.Conn, *http.Request) bool { return false }, outcome.Unknown, outcome.TargetFailed},
		"truncated header": {func(conn net.Conn, _ *http.Request) bool {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-")
			return false
		}, outcome.Unknown, outcome.TargetFailed},
		"response to another request": {func(conn net.Conn, _ *http.Request) bool {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nPineturn-Request-Id: r0\r\nContent-Length: 2\r\n\r\nok")
			return true
		}, outcome.Unknown, outcome.TargetFailed},
		"refusal of another request": {func(conn net.Conn, _ *http.Request) bool {
			_, _ = io.WriteString(conn, "HTTP/1.1 503 No\r\nPineturn-Request-Id: r0\r\nPineturn-Outcome: not-run\r\nContent-Length: 0\r\n\r\n")
			return true
		}, outcome.Unknown, outcome.TargetFailed},
		"shed":              {refuse("503 No", "shed", "Retry-After-Ms: 30\r\n"), outcome.NotRun, outcome.Shed},
		"draining":          {refuse("503 No", "draining", ""), outcome.NotRun, outcome.Draining},
		"wrong incarnation": {refuse("409 No", WrongIncarnation, ""), outcome.NotRun, outcome.LeaseLost},
		"not owner":         {refuse("409 No", "not-owner", ""), outcome.NotRun, outcome.LeaseLost},
		"deadline exceeded": {refuse("504 No", "deadline-exceeded", ""), outcome.NotRun, outcome.DeadlineExceeded},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, c.respond)
			_, failure := f.send(newRequest("r1", http.MethodGet))
			checkFailure(t, failure, c.want, c.reason)
		})
	}
	t.Run("no listener", func(t *testing.T) {
		f := newFixture(t, respondOK)
		permit := f.permit()
		permit.Address = "127.0.0.1:1"
		_, failure := f.client.Send(context.Background(), permit, new(config.Target), newRequest("r1", http.MethodGet), false)
		checkFailure(t, failure, outcome.NotRun, outcome.TargetFailed)
	})
	t.Run("unresponsive connection", func(t *testing.T) {
		f := newFixture(t, func(conn net.Conn, _ *http.Request) bool {
			_, _ = io.Copy(io.Discard, conn)
			return false
		})
		req := newRequest("r1", http.MethodGet)
		req.Left = 50 * time.Millisecond
		_, failure := f.send(req)
		checkFailure(t, failure, outcome.Unknown, outcome.DeadlineExceeded)
	})
}

// TestSendTruncatedBody guards against a truncated response body that is taken for a
// complete one.
func TestSendTruncatedBody(t *testing.T) {
	cases := map[string]struct{ fields, body string }{
		"length":   {"Content-Length: 9\r\n", "short"},
		"chunked":  {"Transfer-Encoding: chunked\r\n", "5\r\nshort\r\n"},
		"unframed": {"Connection: close\r\n", "short"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, func(conn net.Conn, req *http.Request) bool {
				writeResponse(conn, req, "200 OK", c.fields, c.body)
				return false
			})
			response, failure := f.send(newRequest("r1", http.MethodGet))
			checkBody(t, response, failure, "short", io.ErrUnexpectedEOF)
		})
	}
}

// TestSendWritesOnce checks that no request is sent twice. If the target closes an idle
// connection when the next request arrives, net/http resends idempotent requests by
// itself.
func TestSendWritesOnce(t *testing.T) {
	headers := map[string]http.Header{
		http.MethodGet:  nil,
		http.MethodPost: {"Idempotency-Key": {"k"}},
		http.MethodPut:  {"X-Idempotency-Key": {"k"}},
	}
	for method, fields := range headers {
		t.Run(method, func(t *testing.T) {
			f := newFixture(t, func(conn net.Conn, req *http.Request) bool {
				return req.Header.Get(header.RequestID) == "r1" && respondOK(conn, req)
			})
			response, failure := f.send(newRequest("r1", http.MethodGet))
			checkBody(t, response, failure, "ok", nil)
			req := newRequest("r2", method)
			req.Header = fields
			_, failure = f.send(req)
			checkFailure(t, failure, outcome.Unknown, outcome.TargetFailed)
			if got := f.target.count("r2"); got != 1 {
				t.Errorf("got %d sends, want 1", got)
			}
		})
	}
}

// TestSendChecksPermitAtWrite checks that a request is not written under a permit that
// ends while the request waits for a connection.
func TestSendChecksPermitAtWrite(t *testing.T) {
	received, unblock := make(chan struct{}), make(chan struct{})
	f := newFixture(t, func(conn net.Conn, req *http.Request) bool {
		if req.Header.Get(header.RequestID) == "r1" {
			close(received)
			<-unblock
		}
		return respondOK(conn, req)
	})
	go func() {
		response, failure := f.send(newRequest("r1", http.MethodGet))
		if failure == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
	}()
	<-received
	result := make(chan *outcome.Error)
	permit := f.permit()
	go func() {
		_, failure := f.client.Send(context.Background(), permit, new(config.Target), newRequest("r2", http.MethodGet), true)
		result <- failure
	}()
	f.clock.advance(2 * time.Minute)
	close(unblock)
	checkFailure(t, <-result, outcome.NotRun, outcome.LeaseLost)
	if got := f.target.count("r2"); got != 0 {
		t.Errorf("got %d sends, want 0", got)
	}
}

// TestSendAfterConnectionsStall checks requests after two idle connections have become
// unresponsive while new connections work. The outcome of the first request, on one of
// the two, is unknown before the request's own deadline. The next request uses a new
// connection and gets a response.
func TestSendAfterConnectionsStall(t *testing.T) {
	var mutex sync.Mutex
	used := make(map[net.Conn]bool)
	arrived := make(chan struct{}, 2)
	f := newFixture(t, func(conn net.Conn, req *http.Request) bool {
		mutex.Lock()
		stalled := used[conn]
		used[conn] = true
		mutex.Unlock()
		if stalled {
			_, _ = io.Copy(io.Discard, conn)
			return false
		}
		if strings.HasPrefix(req.Header.Get(header.RequestID), "open") {
			arrived <- struct{}{}
			for len(arrived) < 2 {
				time.Sleep(time.Millisecond)
			}
		}
		return respondOK(conn, req)
	})
	f.client.options.RequestConnections, f.client.options.ResponseGrace = 3, 10*time.Millisecond
	var group sync.WaitGroup
	for _, id := range []string{"open-1", "open-2"} {
		group.Go(func() {
			response, failure := f.send(newRequest(id, http.MethodGet))
			checkBody(t, response, failure, "ok", nil)
		})
	}
	group.Wait()
	permit := f.permit()
	permit.Until = f.clock.Now().Add(100 * time.Millisecond)
	_, failure := f.client.Send(context.Background(), permit, new(config.Target), newRequest("r1", http.MethodGet), false)
	checkFailure(t, failure, outcome.Unknown, outcome.TargetFailed)
	response, failure := f.send(newRequest("r2", http.MethodGet))
	checkBody(t, response, failure, "ok", nil)
}
