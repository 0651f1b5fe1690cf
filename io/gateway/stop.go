package gateway

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"
)

const (
	// outOfRotation is the time in which the balancer notices that the host is
	// not ready any more and sends no new connections.
	outOfRotation = 2600 * time.Millisecond
	// exitMargin is the part of the time to stop that is left for the exit.
	exitMargin = 300 * time.Millisecond
	// lastAccepts is how long connections that already wait are still accepted
	// before the listener closes.
	lastAccepts = 20 * time.Millisecond
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
func (g *Gateway) shutDown(gate *gate) {
	began := time.Now()
	klog.InfoS("Host stops", "host", g.settings.Name, "timeout", g.stop.timeout)
	g.stop.flag.Store(true)
	g.steward.Resign()
	g.front.SetKeepAlivesEnabled(false)
	time.Sleep(min(outOfRotation, g.stop.timeout/2))
	gate.drain()
	ctx, cancel := context.WithTimeout(context.Background(), g.stop.timeout-exitMargin-time.Since(began))
	defer cancel()
	if err := g.front.Shutdown(ctx); err != nil {
		klog.ErrorS(err, "Requests were cut off at the end of the time to stop", "after", time.Since(began))
	}
	if err := g.ready.Close(); err != nil {
		klog.ErrorS(err, "Closing the readiness server")
	}
}

// gate is a listener that accepts what waits already before it closes, so that
// no connection is reset that the kernel has taken.
type gate struct {
	net.Listener
	once    sync.Once
	drained chan struct{}
}

func newGate(l net.Listener) *gate { return &gate{Listener: l, drained: make(chan struct{})} }

// Accept returns the next connection.
func (g *gate) Accept() (net.Conn, error) {
	conn, err := g.Listener.Accept()
	if err != nil {
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() {
			g.once.Do(func() { close(g.drained) })
			return nil, net.ErrClosed
		}
		return nil, err
	}
	return conn, nil
}

// drain returns when no connection waits.
func (g *gate) drain() {
	l, ok := g.Listener.(*net.TCPListener)
	if !ok {
		return
	}
	if err := l.SetDeadline(time.Now().Add(lastAccepts)); err != nil {
		klog.ErrorS(err, "Setting the listener's deadline")
		return
	}
	select {
	case <-g.drained:
	case <-time.After(2 * lastAccepts):
	}
}
