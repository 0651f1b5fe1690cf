package peer

import (
	"context"
	"strconv"
	"sync"

	"pineturn/core/message"
	"pineturn/core/outcome"
)

// serverConn is the server end of a connection.
type serverConn struct {
	*conn
	server *Server
	ctx    context.Context
	cancel context.CancelFunc

	mu       sync.Mutex
	incoming map[uint64]*incoming
}

// newServerConn returns a connection whose goroutines are not started yet.
func newServerConn(c *conn, s *Server) *serverConn {
	ctx, cancel := context.WithCancel(context.Background())
	return &serverConn{
		conn:     c,
		server:   s,
		ctx:      ctx,
		cancel:   cancel,
		incoming: make(map[uint64]*incoming),
	}
}

// abortAll aborts all calls and requests in flight.
func (c *serverConn) abortAll() {
	c.cancel()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, in := range c.incoming {
		in.abort()
	}
}

// sendGoAway asks the other host to send no new calls and requests on this
// connection.
func (c *serverConn) sendGoAway() {
	c.goingAway.Store(true)
	c.sendUrgent(&frame{Kind: kindGoAway})
}

// handle handles a frame. It is called by the reading goroutine.
func (c *serverConn) handle(f *frame) error {
	switch f.Kind {
	case kindCall:
		return c.accept(f, c.server.calls)
	case kindRequest:
		return c.accept(f, c.server.requests)
	case kindCancel:
		if in := c.find(f.ID); in != nil {
			in.abort()
		}
	case kindCredit:
		if in := c.find(f.ID); in != nil {
			in.addCredit(int(f.Credit))
		}
	default:
		return &BadFrameError{Detail: "unexpected kind " + strconv.Itoa(int(f.Kind))}
	}
	return nil
}

// accept passes a call or request to a worker, or refuses it without waiting.
func (c *serverConn) accept(f *frame, workers *workerPool) error {
	if c.goingAway.Load() {
		c.refuse(f, outcome.Refuse(outcome.Draining, "host is closing", 0))
		return nil
	}
	in, err := c.add(f)
	if err != nil {
		return err
	}
	if !c.server.withinByteLimit(in) || !workers.tryRun(in.run) {
		c.remove(in)
		c.refuse(f, outcome.Refuse(outcome.Overloaded, "host runs too many at once", 0))
	}
	return nil
}

// refuse sends an error for a call or request that is not run.
func (c *serverConn) refuse(f *frame, refusal *outcome.Error) {
	if f.Kind == kindCall {
		c.sendUrgent(&frame{Kind: kindReply, ID: f.ID, Error: refusal.Error()})
		return
	}
	c.sendUrgent(&frame{Kind: kindHead, ID: f.ID, Head: &message.Head{Error: refusal}})
}

// add registers the call or request in a frame.
func (c *serverConn) add(f *frame) (*incoming, error) {
	in := &incoming{
		conn:        c,
		id:          f.ID,
		size:        f.size,
		call:        f.Call,
		request:     f.Request,
		credit:      int(f.Credit),
		creditAdded: make(chan struct{}, 1),
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.incoming[f.ID] != nil {
		return nil, &BadFrameError{Detail: "id in use"}
	}
	in.ctx, in.cancel = context.WithCancel(c.ctx)
	c.incoming[f.ID] = in
	c.inFlight.Add(1)
	c.server.inFlightBytes.Add(int64(in.size))
	return in, nil
}

// remove unregisters a call or request that has ended and closes its response
// body.
func (c *serverConn) remove(in *incoming) {
	in.cancel()
	c.server.inFlightBytes.Add(-int64(in.size))
	if body := in.takeBody(); body != nil {
		_ = body.Close()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.incoming, in.id)
	c.inFlight.Add(-1)
}

// find returns the call or request with an id, or nil.
func (c *serverConn) find(id uint64) *incoming {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.incoming[id]
}
