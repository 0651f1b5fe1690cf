package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"pineturn/core/placement"
	"pineturn/io/socket/sockettest"
)

// TestRequestsBehindLongAnswer guards against answers of sound targets that are thrown away: requests were begun early
// behind one whose long answer is broken off, which ends their connection.
func TestRequestsBehindLongAnswer(t *testing.T) {
	const (
		pipelines = 20
		behind    = 3
		// allowed is the number of requests that may be lost in all.
		allowed = 3
	)
	var exports, ran atomic.Int64
	p := newTestProxy(7)
	config := p.catalog.Table().Config()
	config.Routes[1].Prefix, config.Routes[1].Idempotent = "/export/", true
	const long = 320 << 10
	address := sockettest.Serve(t, func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		for {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			head := strings.Replace(signedHead, "r1", r.Header.Get("X-Request-Id"), 1)
			if !strings.HasPrefix(r.URL.Path, "/export/") {
				ran.Add(1)
				_, _ = io.WriteString(conn, head+"Content-Length: 2\r\n\r\nok")
				continue
			}
			time.Sleep(20 * time.Millisecond)
			_, _ = io.WriteString(conn, head+fmt.Sprintf("Content-Length: %d\r\n\r\n", long))
			if exports.Add(1)%2 == 0 {
				_, _ = io.WriteString(conn, strings.Repeat("a", long-1))
				return
			}
			_, _ = io.WriteString(conn, strings.Repeat("a", long))
		}
	})
	p.targets.Put(placement.Entry{ID: "t1", Service: testService, Address: address, Domain: "a", Slots: 16}, p.clock.Now())
	answered, broken := 0, 0
	for i := range pipelines {
		conn := serveCallers(t, p)
		var text strings.Builder
		for j, path := range append([]string{"/export/x"}, strings.Split(strings.Repeat("/read/x ", behind), " ")[:behind]...) {
			_, _ = fmt.Fprintf(&text, "GET %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: r%d-%d\r\nX-Deadline-Ms: 900\r\n\r\n", path, testHost, i, j)
		}
		if _, err := io.WriteString(conn, text.String()); err != nil {
			t.Fatal(err)
		}
		n, whole := readAnswers(conn, 1+behind)
		answered += max(n-1, 0)
		if !whole {
			broken++
		}
	}
	if broken == 0 {
		t.Error("long answers broken off: got none, want some")
	}
	if got := int(ran.Load()) - answered; got > allowed {
		t.Errorf("requests that have run and were not answered: got %d, want at most %d", got, allowed)
	}
	if got, want := answered, behind*(pipelines-broken); got < want {
		t.Errorf("requests behind a whole answer that were answered: got %d, want %d", got, want)
	}
}

// readAnswers reads up to n responses, and returns how many were complete, and whether all were.
func readAnswers(conn net.Conn, n int) (complete int, whole bool) {
	_ = conn.SetReadDeadline(time.Now().Add(3 * time.Second))
	reader := bufio.NewReader(conn)
	for range n {
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			return complete, false
		}
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if err != nil {
			return complete, false
		}
		complete++
	}
	return complete, true
}
