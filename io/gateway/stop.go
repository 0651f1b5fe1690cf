package gateway

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"pineturn/io/listener"
)

const (
	// deregistrationTime is how long the load balancer takes to notice that the
	// host is not ready and to stop opening connections to it.
	deregistrationTime = 2600 * time.Millisecond
	// exitMargin is the part of the stop timeout that is reserved for the exit of
	// the process.
	exitMargin = 400 * time.Millisecond
	// finalResponseTime is how long before the exit all requests in progress are
	// cancelled and get their final responses. If the stop timeout is short, they
	// are cancelled only in its last 1/finalResponseDivisor, but no later than
	// half of finalResponseTime before the exit.
	finalResponseTime = 300 * time.Millisecond
	// finalResponseDivisor is the divisor of a short stop timeout; see
	// finalResponseTime.
	finalResponseDivisor = 6
)

// stopState holds the stop timeout and whether the stop has started.
type stopState struct {
	timeout time.Duration
	started atomic.Bool
}

func newStopState(timeout time.Duration) *stopState { return &stopState{timeout: timeout} }

func (s *stopState) stopping() bool { return s.started.Load() }

// shutDown reports the host as not ready, serves until the load balancer sends
// no new connections, then waits for the requests in progress. It closes the
// listener for callers.
func (g *Gateway) shutDown(callers *listener.Listener) {
	klog.InfoS("Host stops", "host", g.settings.Name, "timeout", g.stop.timeout)
	ctx, cancel := context.WithTimeout(context.Background(), g.stop.timeout-exitMargin)
	defer cancel()
	callers.StopEarly()
	g.stop.started.Store(true)
	g.coordinator.Resign()
	g.proxy.RefuseRelayed()
	delay := cancelDelay(g.stop.timeout)
	g.proxy.CancelAt(g.clock.Now().Add(delay))
	cancelTimer := time.AfterFunc(delay, g.proxy.CancelRequests)
	defer cancelTimer.Stop()
	time.Sleep(min(deregistrationTime, g.stop.timeout/2))
	if err := callers.Drain(); err != nil {
		klog.ErrorS(err, "Failed to close the listener for callers")
	}
	if open := callers.CloseIdle(ctx); open > 0 {
		klog.InfoS("Stop timeout reached, aborting requests in progress", "connections", open)
	}
	// Requests that other hosts have relayed end here; links do not count.
	if err := g.peerServer.Shutdown(ctx); err != nil {
		klog.InfoS("Stop timeout reached, aborting requests of other hosts", "err", err)
	}
	for _, server := range []*http.Server{g.callerServer, g.readyServer} {
		if err := server.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
			klog.ErrorS(err, "Failed to close a server")
		}
	}
}

// cancelDelay returns the time from the start of a stop to the cancellation of
// the requests that still wait for their targets.
func cancelDelay(timeout time.Duration) time.Duration {
	exit := timeout - exitMargin
	return min(max(exit-finalResponseTime, timeout-timeout/finalResponseDivisor), exit-finalResponseTime/2)
}

// closeConnections sets "Connection: close" on responses to other hosts during a stop, so that
// their next request goes to another host.
func (s *stopState) closeConnections(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.stopping() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}
