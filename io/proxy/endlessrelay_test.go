package proxy

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"pineturn/io/socket/sockettest"
)

// TestEndlessAnswersOverHosts guards against hosts that run out of memory because a target, or another program at the
// address of a host, sends bytes without end, while callers don't read what they get.
func TestEndlessAnswersOverHosts(t *testing.T) {
	const (
		// callers is the number of requests at once. maxHeap is half of the memory of the smallest host, in bytes,
		// here of two hosts together.
		callers = 60
		maxHeap = 92 << 20
		maxTime = 3 * time.Second
	)
	text := strings.Repeat("a", 32<<10)
	responded := headerRelayOutcome + ": " + string(relayResponded) + "\r\n" + headerRelaySends + ": 1\r\n"
	for name, c := range map[string]struct {
		head, repeated string
		// host is set if the bytes come in place of a host's.
		host bool
	}{
		"body": {signedHead + "\r\n", text, false}, "chunk": {signedHead + "Transfer-Encoding: chunked\r\n\r\nfffffffffff\r\n", text, false},
		"header": {signedHead + "X-Long: ", text, false}, "no response": {"", text, false}, "interim": {"", "HTTP/1.1 102 Processing\r\n\r\n", false},
		"refusal":               {"HTTP/1.1 503 Busy\r\nX-Request-Id: r1\r\nX-Not-Executed: 1\r\n\r\n", text, false},
		"host's body":           {signedHead + responded + "\r\n", text, true},
		"host's header":         {signedHead + responded + "X-Long: ", text, true},
		"host without response": {"", text, true},
		"host's refusal":        {"HTTP/1.1 503 Busy\r\n" + headerRelayOutcome + ": refused\r\n" + headerRelaySends + ": 0\r\n\r\n", text, true},
	} {
		t.Run(name, func(t *testing.T) {
			handle := sockettest.Endless(c.head, c.repeated)
			serve := func() *httptest.Server { return serveForm(t, true, handle) }
			if c.host {
				serve = func() *httptest.Server { return serveOverHostAt(t, sockettest.Serve(t, handle)) }
			}
			server := serve()
			peak := sockettest.PeakHeap(func() {
				var running sync.WaitGroup
				for range callers {
					running.Go(func() {
						r, _ := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL+"/write/1", strings.NewReader("body"))
						r.Host = testHost
						r.Header.Set("X-Request-Id", "r1")
						r.Header.Set("X-Deadline-Ms", "900")
						transport := &http.Transport{}
						defer transport.CloseIdleConnections()
						started := time.Now()
						resp, err := transport.RoundTrip(r)
						if got := time.Since(started); got > maxTime {
							t.Errorf("response: got it after %v, want it within %v", got, maxTime)
						}
						if err != nil {
							return
						}
						defer func() { _ = resp.Body.Close() }()
						if resp.StatusCode >= http.StatusInternalServerError {
							return
						}
						// A caller that does not read for a while.
						time.Sleep(time.Second)
						if n, err := io.Copy(io.Discard, resp.Body); err == nil {
							t.Errorf("response: got status %d, %d bytes, complete, want a failure", resp.StatusCode, n)
						}
					})
				}
				running.Wait()
			})
			if peak > maxHeap {
				t.Errorf("heap: got %d bytes more, want at most %d", peak, maxHeap)
			}
		})
	}
}
