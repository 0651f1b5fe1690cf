package target

import (
	"errors"
	"net"
	"net/http/httptrace"
	"sync"
	"sync/atomic"

	"pineturn/core/clock"
	"pineturn/core/route"
)

var (
	errPermitEnded = errors.New("permit ended before the request was written")
	errSentBefore  = errors.New("request was sent before on another connection")
	errUnguarded   = errors.New("write on a connection without a request")
)

// writeGuard restricts one request to at most one connection, and its first write to
// the validity of its permit. It also records whether any byte of the request may
// have been sent.
type writeGuard struct {
	clock  clock.Clock
	permit route.Permit

	mutex sync.Mutex
	// conn is the connection that the request was written to, nil before the
	// first write.
	conn *guardedConn
	// permitEnded is set if a write was rejected because the permit had ended.
	permitEnded bool
}

// allowWrite returns an error if the request must not be written to conn. The first
// write requires a valid permit and binds the request to conn; writes to any other
// connection are rejected from then on.
func (g *writeGuard) allowWrite(conn *guardedConn) error {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.conn == conn {
		return nil
	}
	if g.conn != nil {
		return errSentBefore
	}
	if !g.permit.Valid(g.clock.Now()) {
		g.permitEnded = true
		return errPermitEnded
	}
	g.conn = conn
	return nil
}

// written reports whether any byte of the request may have been sent.
func (g *writeGuard) written() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.conn != nil
}

// expired reports whether a write was rejected because the permit had ended.
func (g *writeGuard) expired() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.permitEnded
}

// trace returns a trace that assigns the guard to each connection that the transport
// selects for the request.
func (g *writeGuard) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if conn, ok := info.Conn.(*guardedConn); ok {
			conn.guard.Store(g)
		}
	}}
}

// guardedConn is a connection whose writes are subject to the guard of the current
// request. Writes without a guard fail.
type guardedConn struct {
	net.Conn
	guard atomic.Pointer[writeGuard]
}

// Write writes data if the guard of the current request allows it.
func (c *guardedConn) Write(data []byte) (int, error) {
	current := c.guard.Load()
	if current == nil {
		return 0, errUnguarded
	}
	if err := current.allowWrite(c); err != nil {
		return 0, err
	}
	return c.Conn.Write(data)
}
