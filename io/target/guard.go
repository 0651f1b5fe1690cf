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

// guard admits the bytes of one request to one connection, while its permit
// is valid. It knows whether any byte may have left.
type guard struct {
	clock  clock.Clock
	permit route.Permit

	mutex sync.Mutex
	conn  *guardedConn
	ended bool
}

// admit decides on a write of the request to conn. The first write needs a
// valid permit; from then on no other connection gets any byte.
func (g *guard) admit(conn *guardedConn) error {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.conn == conn {
		return nil
	}
	if g.conn != nil {
		return errSentBefore
	}
	if !g.permit.Valid(g.clock.Now()) {
		g.ended = true
		return errPermitEnded
	}
	g.conn = conn
	return nil
}

// written reports whether any byte of the request may have left.
func (g *guard) written() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.conn != nil
}

// refused reports whether the permit had ended when the write was due.
func (g *guard) refused() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.ended
}

// trace ties each connection that the transport picks to the guard.
func (g *guard) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if conn, ok := info.Conn.(*guardedConn); ok {
			conn.guard.Store(g)
		}
	}}
}

// guardedConn is a connection that writes only what a guard admits.
type guardedConn struct {
	net.Conn
	guard atomic.Pointer[guard]
}

// Write sends bytes of the request that holds the connection.
func (c *guardedConn) Write(data []byte) (int, error) {
	holder := c.guard.Load()
	if holder == nil {
		return 0, errUnguarded
	}
	if err := holder.admit(c); err != nil {
		return 0, err
	}
	return c.Conn.Write(data)
}
