package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"pineturn/io/standin/keyholder"
)

// pipeline sends requests on a connection, a time after the start each, and returns the statuses of
// their responses, 0 for none.
func pipeline(conn net.Conn, method string, start time.Time, at ...time.Duration) []int {
	statuses := make([]int, len(at))
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		reader := bufio.NewReader(conn)
		for i := range statuses {
			resp, err := http.ReadResponse(reader, nil)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			statuses[i] = resp.StatusCode
		}
	}()
	route := map[string]string{http.MethodGet: slowRoute, http.MethodPost: slowPayoutRoute}[method]
	for i := range at {
		time.Sleep(time.Until(start.Add(at[i])))
		text := fmt.Sprintf("%s /%s/x HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s-%v-%d\r\nX-Deadline-Ms: 10000\r\n\r\n", method, route, routeHost, method, at, i)
		if _, err := io.WriteString(conn, text); err != nil {
			break
		}
	}
	<-ended
	return statuses
}

// newSlowHost returns a host, one of two, whose targets take 1 s.
func newSlowHost(t *testing.T) *host {
	t.Helper()
	c := newTestCluster(t)
	c.slots, c.callerTimeout = 40, 10*time.Second
	for _, x := range []*target{c.addTarget("p0", orderService), c.addTarget("p1", orderService), c.addTarget("c0", plainService)} {
		x.SetFault(keyholder.Fault{SlowFactor: 200})
	}
	h := c.addHost("host-0")
	c.addHost("host-1")
	for _, route := range []string{slowRoute, slowPayoutRoute} {
		c.call(newClient(t), h, http.MethodPost, "/"+route+"/x", -1, "")
	}
	return h
}

// dialHost opens a connection to a host until the test ends.
func dialHost(t *testing.T, h *host) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", h.front)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// TestPipelinedRequestUnansweredAtStop guards against requests that a stopping host has read while it
// handled the one before them on their connection, and never answers.
func TestPipelinedRequestUnansweredAtStop(t *testing.T) {
	t.Parallel()
	h := newSlowHost(t)
	cases := [][]time.Duration{
		{-400 * time.Millisecond, -200 * time.Millisecond}, {-400 * time.Millisecond, 200 * time.Millisecond},
		{200 * time.Millisecond, 500 * time.Millisecond}, {500 * time.Millisecond, 500 * time.Millisecond}, {1500 * time.Millisecond, 1800 * time.Millisecond},
	}
	stopAt := time.Now().Add(time.Second)
	var all sync.WaitGroup
	for _, at := range cases {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			conn := dialHost(t, h)
			all.Go(func() {
				if got, want := pipeline(conn, method, stopAt, at...), []int{200, 200}; !slices.Equal(got, want) {
					t.Errorf("%s requests sent %v after the stop: got statuses %v, want %v", method, at, got, want)
				}
			})
		}
	}
	time.Sleep(time.Until(stopAt))
	h.stop()
	all.Wait()
}

// TestPipelineLongerThanStop guards against requests that a stopping host has read behind others, and does
// not answer as the time to serve them all is too short: those are refused.
func TestPipelineLongerThanStop(t *testing.T) {
	t.Parallel()
	h := newSlowHost(t)
	stopAt := time.Now().Add(time.Second)
	conn := dialHost(t, h)
	time.AfterFunc(time.Until(stopAt), h.stop)
	at := slices.Repeat([]time.Duration{500 * time.Millisecond}, 12)
	got := pipeline(conn, http.MethodPost, stopAt, at...)
	served := slices.IndexFunc(got, func(status int) bool { return status != http.StatusOK })
	if served < 1 || slices.ContainsFunc(got[served:], func(status int) bool { return status != http.StatusServiceUnavailable }) {
		t.Errorf("statuses of requests that take longer than the stop: got %v, want 200 and then 503", got)
	}
}
