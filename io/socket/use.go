package socket

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync/atomic"
)

// markableConn is a connection that remembers a mark.
type markableConn struct {
	net.Conn
	marked atomic.Bool
}

// Markable returns a function that opens connections as dial does, which a Use can mark.
func Markable(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &markableConn{Conn: conn}, nil
	}
}

// Use tells which connection an HTTP request was sent on. Transports don't tell it otherwise, and may
// give a connection to the next request before the response to this one is looked at.
type Use struct {
	conn   *markableConn
	reused bool
}

// Trace returns a context with which a request records its connection, which a function of Markable
// has opened.
func (u *Use) Trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		u.conn, _ = info.Conn.(*markableConn)
		u.reused = info.Reused
	}})
}

// Reused reports whether the connection has carried another request before.
func (u *Use) Reused() bool { return u.reused }

// Mark marks the connection, and reports whether it was marked before.
func (u *Use) Mark() bool { return u.conn != nil && u.conn.marked.Swap(true) }
