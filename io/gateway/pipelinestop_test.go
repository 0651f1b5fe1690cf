package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"pineturn/io/standin/keyholder"
)

// pipeline sends two requests on a connection, a time after the start each, and returns the statuses of
// their responses, 0 for none.
func pipeline(conn net.Conn, method string, start time.Time, at [2]time.Duration) (statuses [2]int) {
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

// TestPipelinedRequestUnansweredAtStop guards against requests that a stopping host has read while it
// handled the one before them on their connection, and never answers.
func TestPipelinedRequestUnansweredAtStop(t *testing.T) {
	t.Parallel()
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
	cases := [][2]time.Duration{
		{-400 * time.Millisecond, -200 * time.Millisecond}, {-400 * time.Millisecond, 200 * time.Millisecond},
		{200 * time.Millisecond, 500 * time.Millisecond}, {500 * time.Millisecond, 500 * time.Millisecond}, {1500 * time.Millisecond, 1800 * time.Millisecond},
	}
	stopAt := time.Now().Add(time.Second)
	var all sync.WaitGroup
	for _, at := range cases {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			conn, err := net.Dial("tcp", h.front)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = conn.Close() })
			all.Go(func() {
				if got, want := pipeline(conn, method, stopAt, at), [2]int{200, 200}; got != want {
					t.Errorf("%s requests sent %v after the stop: got statuses %v, want %v", method, at, got, want)
				}
			})
		}
	}
	time.Sleep(time.Until(stopAt))
	h.stop()
	all.Wait()
}
