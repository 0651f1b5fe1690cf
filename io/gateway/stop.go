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
	// outOfRotation is the time in which the balancer notices that the host is
	// not ready any more and sends no new connections.
	outOfRotation = 2600 * time.Millisecond
	// exitMargin is the part of the time to stop that is left for the exit.
	exitMargin = 400 * time.Millisecond
	// answerTime is how long before the exit all requests under way get their
	// final answers, lastPart the part of the time to stop in which that is done.
	answerTime = 300 * time.Millisecond
	lastPart   = 6
)

// stopper knows whether the host is to stop.
type stopper struct {
	timeout time.Duration
	flag    atomic.Bool
}

func newStopper(timeout time.Duration) *stopper { return &stopper{timeout: timeout} }

func (s *stopper) stopping() bool { return s.flag.Load() }

// shutDown turns readiness off, serves on until no new connections come, then
// lets the requests under way end.
func (g *Gateway) shutDown(front *listener.Listener) {
	klog.InfoS("Host stops", "host", g.settings.Name, "timeout", g.stop.timeout)
	ctx, cancel := context.WithTimeout(context.Background(), g.stop.timeout-exitMargin)
	defer cancel()
	g.stop.flag.Store(true)
	g.coordinator.Resign()
	lastAnswers := time.AfterFunc(answerAfter(g.stop.timeout), g.entry.CancelRequests)
	defer lastAnswers.Stop()
	time.Sleep(min(outOfRotation, g.stop.timeout/2))
	if err := front.Drain(); err != nil {
		klog.ErrorS(err, "Closing the listener for callers")
	}
	if open := front.CloseIdle(ctx); open > 0 {
		klog.InfoS("Requests were cut off at the end of the time to stop", "connections", open)
	}
	for _, server := range []*http.Server{g.front, g.ready} {
		if err := server.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
			klog.ErrorS(err, "Closing a server")
		}
	}
}

// answerAfter returns how long after the start of a stop requests still get
// their targets' answers.
func answerAfter(timeout time.Duration) time.Duration {
	exit := timeout - exitMargin
	return min(max(exit-answerTime, timeout-timeout/lastPart), exit-answerTime/2)
}

// closing has each answer of a host that stops end its connection, so that the
// caller's next request goes to another host.
func (s *stopper) closing(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.stopping() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}
