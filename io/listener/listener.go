// Package listener accepts callers' connections and shuts them down without
// losing requests. It closes neither a connection that is pending in the accept
// queue when the listener closes, nor one from which a request has been read but
// not yet handled.
package listener

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"
)

const (
	// handshakeGrace is how long a connection that is being established when a drain
	// begins may take to become pending, in whole milliseconds.
	handshakeGrace = 2 * time.Millisecond
	// drainTimeout limits the time in which the server accepts the pending
	// connections.
	drainTimeout = time.Second
	// acceptPollInterval is the time between checks for pending connections.
	acceptPollInterval = time.Millisecond
	// newConnGrace is how long a new connection may stay silent before it counts
	// as idle.
	newConnGrace = 500 * time.Millisecond
	// firstRequestTimeout limits how long it takes to read the first request of a
	// connection completely.
	firstRequestTimeout = 5 * time.Second
	// idlePollInterval is the time between checks for idle connections.
	idlePollInterval = 10 * time.Millisecond
)

// Listener accepts connections and tracks them until they are closed.
type Listener struct {
	net.Listener
	// IdleTimeout returns the time after which an idle connection is closed. MaxConns is the highest
	// number of open connections, 0 for no limit. They are set before the server serves.
	IdleTimeout func() time.Duration
	MaxConns    int
	// MayBreakOff reports whether the response to a request may be broken off after its head; nil for none. No request
	// is begun early behind such a one. It is set before the server serves.
	MayBreakOff func(*http.Request) bool

	counters  counters
	drained   chan struct{}
	drainOnce sync.Once
	// early handles requests that callers send without waiting for a response; nil if none is
	// handled before its turn. earlyStopped is set once no more are.
	early        http.Handler
	idempotent   func(*http.Request) bool
	earlyStopped atomic.Bool
	// split is set if what callers send is split into requests.
	split bool

	mu    sync.Mutex
	conns map[*Conn]bool
}

// New returns a Listener that accepts connections from l.
func New(l net.Listener) *Listener {
	return &Listener{
		Listener: l, IdleTimeout: func() time.Duration { return DefaultIdleTimeout },
		drained: make(chan struct{}), conns: make(map[*Conn]bool),
	}
}

// Attach sets the ConnState and ConnContext hooks of a server: the first marks
// connections as active or idle, the second makes the connection of a request
// available to CallerDisconnected. It must be called before the server serves.
func (l *Listener) Attach(server *http.Server) {
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		c, ok := unwrap(conn)
		switch {
		case ok && state == http.StateIdle:
			c.markIdle()
		case ok && state == http.StateActive:
			c.markActive()
		}
	}
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		ctx = context.WithValue(ctx, connKey{}, conn)
		if c, ok := unwrap(conn); ok {
			c.setContext(ctx)
		}
		return ctx
	}
}

// unwrap returns the Conn that was accepted by a Listener, looking through TLS.
func unwrap(conn net.Conn) (*Conn, bool) {
	if tlsConn, ok := conn.(*tls.Conn); ok {
		conn = tlsConn.NetConn()
	}
	c, ok := conn.(*Conn)
	return c, ok
}

type connKey struct{}

// CallerDisconnected reports whether the caller has closed the connection that
// the request with this context arrived on. It returns false for connections of
// other listeners.
func CallerDisconnected(ctx context.Context) bool {
	c, ok := callerConn(ctx)
	return ok && c.remoteClosed()
}

// callerConn returns the connection that the request with this context arrived on.
func callerConn(ctx context.Context) (*Conn, bool) {
	conn, ok := ctx.Value(connKey{}).(net.Conn)
	if !ok {
		return nil, false
	}
	return unwrap(conn)
}

// Accept returns the next connection. It returns net.ErrClosed once Drain has closed
// the listener. A connection for which there is no room is closed at once.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				l.drainOnce.Do(func() { close(l.drained) })
			}
			return nil, err
		}
		if l.makeRoom() {
			return l.track(conn), nil
		}
		l.counters.refused.Add(1)
		_ = conn.Close()
	}
}

// track returns an accepted connection as one of this listener.
func (l *Listener) track(conn net.Conn) *Conn {
	now := time.Now()
	c := &Conn{Conn: conn, listener: l, opened: now, idleSince: now, idleLimit: l.IdleTimeout(), deadlineSet: make(chan struct{})}
	c.readEnded.L = &c.mu
	if l.split {
		c.ahead = &ahead{begin: c.begin, mayBreakOff: l.MayBreakOff}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = true
	return c
}

// CloseIdle closes connections as they become idle, until none is open or ctx
// is done. It returns the number of connections that are still open.
func (l *Listener) CloseIdle(ctx context.Context) int {
	for {
		open := l.closeIdleOnce()
		if open == 0 {
			return 0
		}
		select {
		case <-ctx.Done():
			return open
		case <-time.After(idlePollInterval):
		}
	}
}

func (l *Listener) closeIdleOnce() int {
	open := 0
	for _, c := range l.open() {
		if !c.closeIf(c.isIdle) {
			open++
		}
	}
	return open
}

func (l *Listener) untrack(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// Conn is a caller's connection. Its lock is never held together with the lock
// of its listener.
type Conn struct {
	net.Conn
	listener *Listener
	opened   time.Time

	mu sync.Mutex
	// served is set once a response has been sent on the connection.
	served bool
	// active is set while a request is being handled.
	active bool
	// responding is set while a response is being written.
	responding bool
	// dataRead is set when data has been read since the last response.
	dataRead bool
	// closed is set when the connection was closed as idle.
	closed bool
	// idleSince is when a response was last sent or data was last read, idleLimit the highest limit
	// on idle time that was in force since then.
	idleSince time.Time
	idleLimit time.Duration
	// ahead splits what the caller sends into requests; nil if nothing is split. ctx is the
	// context of the connection.
	ahead *ahead
	ctx   context.Context
	// deadline is the time at which reads fail, zero for none. deadlineSet is closed and replaced
	// when it is set.
	deadline    time.Time
	deadlineSet chan struct{}
	// readingAhead is set during a read of data beyond the current request; readEnded is signalled
	// at its end. frozen is set once nothing is read beyond the current request any more.
	readingAhead bool
	readEnded    sync.Cond
	frozen       bool
	// lingerEnd is how long the connection is kept after its last response, zero before that.
	lingerEnd time.Time
}

// Read reads data from the caller. It returns net.ErrClosed once the connection
// was closed as idle, so that no request is read and then dropped.
func (c *Conn) Read(data []byte) (int, error) {
	if c.ahead != nil {
		return c.readSplit(data)
	}
	n, err := c.Conn.Read(data)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	if n > 0 {
		c.recordData()
	}
	return n, err
}

// Close closes the connection and removes it from its listener. After the last response of a connection it
// does so only once the caller has closed it, or after lingerTime: data that is left unread, or arrives
// later, would reset the connection, and responses that have not arrived would be lost.
func (c *Conn) Close() error {
	c.endEarly()
	if c.beginLinger() {
		c.linger()
		return nil
	}
	return c.closeNow()
}

func (c *Conn) closeNow() error {
	c.listener.untrack(c)
	return c.Conn.Close()
}

// markIdle records that a response was sent and that no other request has begun.
func (c *Conn) markIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.served, c.active, c.responding, c.dataRead = true, false, false, false
	c.idleSince, c.idleLimit = time.Now(), c.listener.IdleTimeout()
	if c.ahead != nil {
		c.ahead.next()
		c.dataRead = c.ahead.pending()
	}
}

// markActive records that a request is being handled.
func (c *Conn) markActive() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active = true
}

// recordData records that data was read. The caller holds mu.
func (c *Conn) recordData() {
	c.dataRead = true
	c.idleSince = time.Now()
}

// closeIf closes the connection if a condition, which is called with mu held, is met, and reports
// whether it has.
func (c *Conn) closeIf(condition func() bool) bool {
	c.mu.Lock()
	met := !c.closed && condition()
	c.closed = c.closed || met
	c.mu.Unlock()
	if !met {
		return false
	}
	if err := c.Close(); err != nil {
		klog.V(1).InfoS("Failed to close an idle connection", "from", c.RemoteAddr(), "err", err)
	}
	return true
}

// isIdle reports whether the connection is idle: no data of a request without a response has been
// read. The caller holds mu.
func (c *Conn) isIdle() bool {
	age := time.Since(c.opened)
	switch {
	case c.active:
		return false
	case !c.served && age >= firstRequestTimeout:
		// No complete request has arrived, for example only a TLS handshake.
		return true
	}
	return !c.dataRead && (c.served || age >= newConnGrace)
}
