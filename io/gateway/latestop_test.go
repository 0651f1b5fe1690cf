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

// lateRequest is a request on a connection that was opened before a stop.
type lateRequest struct {
	id string
	// status is that of the response, 0 if the connection ended without one.
	status int
	// sent reports that the whole request was sent.
	sent bool
}

// sendLate sends a request that may not be repeated, whose body ends a time after its head.
func sendLate(conn net.Conn, id string, bodyTime time.Duration) lateRequest {
	defer func() { _ = conn.Close() }()
	late := lateRequest{id: id}
	head := fmt.Sprintf("POST /%s/x HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 10000\r\nContent-Length: 2\r\n\r\na", slowPayoutRoute, routeHost, id)
	if _, err := io.WriteString(conn, head); err != nil {
		return late
	}
	time.Sleep(bodyTime)
	if _, err := io.WriteString(conn, "b"); err != nil {
		return late
	}
	late.sent = true
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return late
	}
	defer func() { _ = resp.Body.Close() }()
	late.status = resp.StatusCode
	return late
}

// TestLateRequestsOfPlannedStop guards against requests that a stopping host takes late in its grace time,
// passes on and cuts at their targets, in calm.
func TestLateRequestsOfPlannedStop(t *testing.T) {
	t.Parallel()
	const (
		work     = 1500 * time.Millisecond
		requests = 40
		// first and last are the times of the first and the last request after the stop, between the
		// interval from one to the next.
		first, last = -time.Second, 5800 * time.Millisecond
		between     = (last - first) / requests
	)
	for _, x := range []struct {
		name     string
		slots    int
		bodyTime time.Duration
	}{{"bodies end late", 40, 2500 * time.Millisecond}, {"targets are full", 1, 0}, {"bodies end late at full targets", 1, 1500 * time.Millisecond}} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			c := newTestCluster(t)
			c.slots, c.callerTimeout = x.slots, 10*time.Second
			targets := []*target{c.addTarget("p0", orderService), c.addTarget("p1", orderService)}
			h := c.addHost("host-0")
			c.addHost("host-1")
			for _, x := range targets {
				x.SetFault(keyholder.Fault{SlowFactor: float64(work / (5 * time.Millisecond))})
			}
			for range 4 {
				var learned sync.WaitGroup
				for range targets {
					learned.Go(func() { c.call(newClient(t), h, http.MethodPost, "/"+slowPayoutRoute+"/x", -1, "") })
				}
				learned.Wait()
			}
			stopAt := time.Now().Add(-first)
			results := make([]lateRequest, requests)
			var all sync.WaitGroup
			for i := range requests {
				conn, err := net.Dial("tcp", h.front)
				if err != nil {
					t.Fatal(err)
				}
				all.Go(func() {
					time.Sleep(time.Until(stopAt.Add(first + time.Duration(i)*between)))
					results[i] = sendLate(conn, fmt.Sprint("late-", i), x.bodyTime)
				})
			}
			time.Sleep(time.Until(stopAt))
			h.stop()
			all.Wait()
			ran := make(map[string]bool)
			for _, x := range targets {
				for _, a := range x.Arrivals() {
					ran[a.ID] = true
				}
			}
			served, refused, unread := 0, 0, 0
			for i, r := range results {
				switch {
				case r.status == http.StatusOK && ran[r.id]:
					served++
				case r.status == http.StatusServiceUnavailable && !ran[r.id]:
					refused++
				case r.status == 0 && !ran[r.id]:
					unread++
				default:
					t.Errorf("request begun %v after the stop: got status %d, run at a target %t, want it served or not run", first+time.Duration(i)*between, r.status, ran[r.id])
				}
			}
			t.Logf("served %d, refused %d, connection closed without a run %d", served, refused, unread)
			if served == 0 {
				t.Error("requests served: got none, want some")
			}
		})
	}
}
