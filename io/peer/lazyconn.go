package peer

import (
	"context"
	"sync"
)

// lazyConn is a connection to an endpoint that is opened on first use, and
// again on the next use after it has ended.
type lazyConn struct {
	open func() (*clientConn, error)

	mu      sync.Mutex
	conn    *clientConn
	pending *pendingOpen // nil if the connection is not being opened
}

// pendingOpen is an attempt to open a connection. All waiting callers share its
// result.
type pendingOpen struct {
	done chan struct{}
	conn *clientConn
	err  error
}

// get returns a connection that takes new calls and requests. It opens one if
// necessary.
func (l *lazyConn) get(ctx context.Context) (*clientConn, error) {
	l.mu.Lock()
	if l.conn != nil && l.conn.usable() {
		defer l.mu.Unlock()
		return l.conn, nil
	}
	p := l.pending
	if p == nil {
		p = &pendingOpen{done: make(chan struct{})}
		l.pending = p
		go l.runOpen(p)
	}
	l.mu.Unlock()
	select {
	case <-p.done:
		return p.conn, p.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// runOpen opens a connection and provides the result to all waiting callers.
func (l *lazyConn) runOpen(p *pendingOpen) {
	p.conn, p.err = l.open()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending = nil
	if p.err == nil {
		l.conn = p.conn
	}
	close(p.done)
}

// inUse reports whether a connection is open or being opened.
func (l *lazyConn) inUse() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.pending != nil || l.conn != nil && l.conn.usable()
}
