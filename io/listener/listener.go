// Package listener takes callers' connections so that none is closed under a
// request: neither one that waits to be accepted when the listener closes, nor
// one whose request has been read but not yet handled.
package listener

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"
)

const (
	// lastAccepts is how long connections that wait already are still accepted
	// before the listener closes.
	lastAccepts = 20 * time.Millisecond
	// freshFor is how long a new connection may take to send its request before
	// it counts as idle.
	freshFor = 500 * time.Millisecond
	// requestTime is how long the first request may take to be read whole.
	requestTime = 5 * time.Second
	// closePoll is the time between looks for connections that have become idle.
	closePoll = 10 * time.Millisecond
)

// Listener accepts connections and keeps track of them.
type Listener struct {
	net.Listener
	drained chan struct{}
	once    sync.Once

	mu    sync.Mutex
	conns map[*Conn]bool
}

// New wraps a listener.
func New(l net.Listener) *Listener {
	return &Listener{Listener: l, drained: make(chan struct{}), conns: make(map[*Conn]bool)}
}

// Attach has a server tell the listener which of its connections are idle, and
// lets handlers find the connection of a request.
func (l *Listener) Attach(server *http.Server) {
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		c, ok := tracked(conn)
		switch {
		case ok && state == http.StateIdle:
			c.rest()
		case ok && state == http.StateActive:
			c.begin()
		}
	}
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, conn)
	}
}

// tracked returns the listener's connection, also below TLS.
func tracked(conn net.Conn) (*Conn, bool) {
	if secure, ok := conn.(*tls.Conn); ok {
		conn = secure.NetConn()
	}
	c, ok := conn.(*Conn)
	return c, ok
}

type connKey struct{}

// CallerDisconnected reports whether the caller whose request has the context has
// closed its connection.
func CallerDisconnected(ctx context.Context) bool {
	conn, ok := ctx.Value(connKey{}).(net.Conn)
	if !ok {
		return false
	}
	c, ok := tracked(conn)
	return ok && c.left()
}

// Accept returns the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		var failure net.Error
		if errors.As(err, &failure) && failure.Timeout() {
			l.once.Do(func() { close(l.drained) })
			return nil, net.ErrClosed
		}
		return nil, err
	}
	c := &Conn{Conn: conn, listener: l, opened: time.Now()}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = true
	return c, nil
}

// Drain accepts the connections that wait already, then closes the listener.
func (l *Listener) Drain() error {
	if d, ok := l.Listener.(interface{ SetDeadline(time.Time) error }); ok {
		if err := d.SetDeadline(time.Now().Add(lastAccepts)); err != nil {
			return errors.Wrap(err, "set the last moment to accept")
		}
		select {
		case <-l.drained:
		case <-time.After(10 * lastAccepts):
		}
	}
	// The server closes the listener when it can't accept any more.
	if err := l.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		return errors.Wrap(err, "close listener")
	}
	return nil
}

// CloseIdle closes connections as they become idle, until none is open or the
// context ends. It returns how many are still open.
func (l *Listener) CloseIdle(ctx context.Context) int {
	for {
		open := l.closeIdleOnce()
		if open == 0 {
			return 0
		}
		select {
		case <-ctx.Done():
			return open
		case <-time.After(closePoll):
		}
	}
}

func (l *Listener) closeIdleOnce() int {
	l.mu.Lock()
	conns := make([]*Conn, 0, len(l.conns))
	for c := range l.conns {
		conns = append(conns, c)
	}
	l.mu.Unlock()
	open := 0
	for _, c := range conns {
		if !c.closeIdle() {
			open++
		}
	}
	return open
}

func (l *Listener) forget(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// Conn is a caller's connection. Its lock is never held with the listener's.
type Conn struct {
	net.Conn
	listener *Listener
	opened   time.Time

	mu sync.Mutex
	// served says that a request was answered on the connection.
	served bool
	// active says that a request is being handled.
	active bool
	// busy says that bytes were read since the last one was answered.
	busy   bool
	closed bool
}

// Read reads the caller's bytes, unless the connection was closed as idle.
func (c *Conn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	if n > 0 {
		c.busy = true
	}
	return n, err
}

// Close closes the connection.
func (c *Conn) Close() error {
	c.listener.forget(c)
	return c.Conn.Close()
}

// rest notes that a request was answered and that none follows yet.
func (c *Conn) rest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.served, c.active, c.busy = true, false, false
}

// begin notes that a request is being handled.
func (c *Conn) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active = true
}

// closeIdle closes the connection unless bytes of a request were read, and
// reports whether it is closed.
func (c *Conn) closeIdle() bool {
	if !c.stopReading() {
		return false
	}
	if err := c.Close(); err != nil {
		klog.V(1).InfoS("Closing an idle connection", "from", c.RemoteAddr(), "err", err)
	}
	return true
}

func (c *Conn) stopReading() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	age := time.Since(c.opened)
	switch {
	case c.active:
		return false
	case !c.served && age >= requestTime:
		// No whole request has come, as on a connection after a handshake only.
	case c.busy || !c.served && age < freshFor:
		return false
	}
	c.closed = true
	return true
}
