package peer

import (
	"context"
	"strconv"
	"sync"

	"pineturn/core/message"
	"pineturn/core/outcome"
)

// serverConn is a connection at the end that answers.
type serverConn struct {
	*conn
	server *Server
	ctx    context.Context
	cancel context.CancelFunc

	mu       sync.Mutex
	incoming map[uint64]*incoming
}

// newServerConn returns a connection that isn't started yet.
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

// abortAll aborts all that is being answered.
func (c *serverConn) abortAll() {
	c.cancel()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, in := range c.incoming {
		in.abort()
	}
}

// goAway tells the other host to send nothing more on this connection.
func (c *serverConn) goAway() {
	c.draining.Store(true)
	c.sendUrgent(&frame{Kind: kindGoAway})
}

// handle takes a frame from the reading goroutine.
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
			in.grant(int(f.Credit))
		}
	default:
		return &BadFrame{Detail: "unexpected kind " + strconv.Itoa(int(f.Kind))}
	}
	return nil
}

// accept hands a call or request to a worker, or refuses it at once.
func (c *serverConn) accept(f *frame, workers *pool) error {
	if c.draining.Load() {
		c.refuse(f, outcome.Refuse(outcome.Draining, "host is closing", 0))
		return nil
	}
	in, err := c.add(f)
	if err != nil {
		return err
	}
	if !c.server.admit(in) || !workers.run(in.run) {
		c.drop(in)
		c.refuse(f, outcome.Refuse(outcome.Overloaded, "host runs too many at once", 0))
	}
	return nil
}

// refuse answers a call or request without running it.
func (c *serverConn) refuse(f *frame, why *outcome.Error) {
	if f.Kind == kindCall {
		c.sendUrgent(&frame{Kind: kindReply, ID: f.ID, Fault: why.Error()})
		return
	}
	c.sendUrgent(&frame{Kind: kindHead, ID: f.ID, Head: &message.Head{Error: why}})
}

// add registers what a frame asks.
func (c *serverConn) add(f *frame) (*incoming, error) {
	in := &incoming{
		conn:    c,
		id:      f.ID,
		size:    f.size,
		call:    f.Call,
		request: f.Request,
		credit:  int(f.Credit),
		more:    make(chan struct{}, 1),
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.incoming[f.ID] != nil {
		return nil, &BadFrame{Detail: "id in use"}
	}
	in.ctx, in.cancel = context.WithCancel(c.ctx)
	c.incoming[f.ID] = in
	c.busy.Add(1)
	c.server.held.Add(int64(in.size))
	return in, nil
}

// drop forgets what has been answered.
func (c *serverConn) drop(in *incoming) {
	in.cancel()
	c.server.held.Add(-int64(in.size))
	if body := in.release(); body != nil {
		_ = body.Close()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.incoming, in.id)
	c.busy.Add(-1)
}

// find returns what is being answered under an id, or nil.
func (c *serverConn) find(id uint64) *incoming {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.incoming[id]
}
