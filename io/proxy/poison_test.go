package proxy

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"pineturn/core/placement"
	"pineturn/core/poison"
)

// decodedRequest returns a request as a caller sends it to a proxy.
func decodedRequest(t *testing.T, p *Proxy, method, path, body string, header http.Header) *request {
	t.Helper()
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Host = testHost
	for name, values := range header {
		r.Header[name] = values
	}
	decoded, err := p.decode(t.Context(), r)
	if err != nil {
		t.Fatal(err)
	}
	return decoded.(*request)
}

// TestFingerprintOfRequests guards against a request that comes again and is not known, and
// against others that are taken for it.
func TestFingerprintOfRequests(t *testing.T) {
	p := newTestProxy(7)
	header := func(pairs ...string) http.Header {
		h := http.Header{}
		for i := 0; i < len(pairs); i += 2 {
			h.Set(pairs[i], pairs[i+1])
		}
		return h
	}
	first := decodedRequest(t, p, "POST", "/write/1?a=b", "body", header("X-Request-Id", "r1", "X-Deadline-Ms", "900", "X-Shard-Key", "5", "Authorization", "one"))
	for _, x := range []struct {
		name, method, path, body string
		header                   http.Header
		want                     bool
	}{
		{name: "another attempt", method: "POST", path: "/write/1?a=b", body: "body", header: header("X-Request-Id", "r2", "X-Deadline-Ms", "300", "X-Shard-Key", "5", "Authorization", "one"), want: true},
		{name: "another method", method: "PUT", path: "/write/1?a=b", body: "body", header: header("X-Shard-Key", "5", "Authorization", "one")},
		{name: "another path", method: "POST", path: "/write/2?a=b", body: "body", header: header("X-Shard-Key", "5", "Authorization", "one")},
		{name: "another query", method: "POST", path: "/write/1?a=c", body: "body", header: header("X-Shard-Key", "5", "Authorization", "one")},
		{name: "another body", method: "POST", path: "/write/1?a=b", body: "bodY", header: header("X-Shard-Key", "5", "Authorization", "one")},
		{name: "another key", method: "POST", path: "/write/1?a=b", body: "body", header: header("X-Shard-Key", "6", "Authorization", "one")},
		{name: "another caller", method: "POST", path: "/write/1?a=b", body: "body", header: header("X-Shard-Key", "5", "Authorization", "two")},
	} {
		t.Run(x.name, func(t *testing.T) {
			q := decodedRequest(t, p, x.method, x.path, x.body, x.header)
			if got := q.fingerprint() == first.fingerprint(); got != x.want {
				t.Errorf("same fingerprint: got %t, want %t", got, x.want)
			}
		})
	}
}

// TestConnectionEnded guards against timeouts and cancelled requests that count as ends of
// targets, and against ends that do not.
func TestConnectionEnded(t *testing.T) {
	for _, x := range []struct {
		err  error
		want bool
	}{
		{io.EOF, true}, {io.ErrUnexpectedEOF, true}, {&net.OpError{Op: "read", Err: os.NewSyscallError("read", syscall.ECONNRESET)}, true},
		{os.ErrDeadlineExceeded, false}, {errRequestMismatch, false}, {errPathLost, false}, {nil, false},
	} {
		if got := connectionEnded(x.err); got != x.want {
			t.Errorf("connection ended by %v: got %t, want %t", x.err, got, x.want)
		}
	}
}

// TestRecordRefused guards against targets that count as ended because a connection failed for
// another reason, or long after they lost a response.
func TestRecordRefused(t *testing.T) {
	refused := &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	entry := placement.Entry{ID: "t1", Service: testService, Version: "v1"}
	for _, x := range []struct {
		name string
		lost bool
		err  error
		cut  bool
		want int
	}{
		{name: "refused after a lost response", lost: true, err: refused, want: 1}, {name: "refused without a lost response", err: refused},
		{name: "accepted after a lost response", lost: true}, {name: "timed out after a lost response", lost: true, err: os.ErrDeadlineExceeded},
		{name: "path to all targets is lost", lost: true, err: refused, cut: true},
	} {
		t.Run(x.name, func(t *testing.T) {
			p := newTestProxy(7)
			if x.cut {
				detach(p)
			}
			now := p.clock.Now()
			if x.lost {
				p.poison.Lost(poison.Send{Fingerprint: poison.NewFingerprint(), Target: poisonTarget(entry), SentAt: now}, now)
			}
			p.recordRefused(entry, x.err)
			if got, _ := p.poison.Events(0, p.clock.Now()); len(got) != x.want {
				t.Errorf("ends of targets: got %d, want %d", len(got), x.want)
			}
		})
	}
}

// TestEndProbes guards against a connection to a target for each lost response.
func TestEndProbes(t *testing.T) {
	var e endProbes
	now := time.Unix(1000, 0)
	steps := []struct {
		name  string
		after time.Duration
		want  bool
	}{
		{"first lost response", 0, true}, {"during the probe", 0, false}, {"just after it", time.Millisecond, false}, {"later", endProbePause, true},
	}
	for i, x := range steps {
		now = now.Add(x.after)
		if i == 2 {
			e.end("t1", true, now.Add(-x.after))
		}
		if got := e.begin("t1", now); got != x.want {
			t.Errorf("%s: got a probe %t, want %t", x.name, got, x.want)
		}
	}
	e.end("t1", false, now)
	if !e.begin("t1", now) {
		t.Error("after a target has ended: got no probe of it, want one")
	}
}
