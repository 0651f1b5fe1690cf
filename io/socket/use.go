package socket

import (
	"context"
	"net/http/httptrace"
	"time"
)

// Use tells which connection an HTTP request was sent on. Transports don't tell it otherwise, and may
// give a connection to the next request before the response to this one is looked at.
type Use struct {
	conn *trackedConn
	// request is the number of the request on its connection.
	request int
	reused  bool
}

// Trace returns a context with which a request records its connection, which a function of Tracked
// has opened.
func (u *Use) Trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			u.reused = info.Reused
			if conn, ok := info.Conn.(*trackedConn); ok {
				u.conn, u.request = conn, conn.beginRequest()
			}
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			if u.conn != nil {
				u.conn.endRequest(info.Err)
			}
		},
		PutIdleConn: func(err error) {
			if u.conn != nil && err == nil {
				u.conn.release(u.request)
			}
		},
	})
}

// Reused reports whether the connection has carried another request before.
func (u *Use) Reused() bool { return u.reused }

// OpenedAt returns when the connection was opened, or the zero time if the request has got none.
func (u *Use) OpenedAt() time.Time {
	if u.conn == nil {
		return time.Time{}
	}
	return u.conn.openedAt
}

// Mark marks the connection, and reports whether it was marked before.
func (u *Use) Mark() bool { return u.conn != nil && u.conn.marked.Swap(true) }
