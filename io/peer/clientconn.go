package peer

import (
	"context"
	"errors"
	"sync"
	"time"

	"pineturn/core/message"
	"pineturn/core/outcome"
)

// clientConn is a connection at the end that asks.
type clientConn struct {
	*conn

	mu      sync.Mutex
	last    uint64
	streams map[uint64]*stream
	calls   map[uint64]*pendingCall
}

// pendingCall is a control question without its answer.
type pendingCall struct {
	claim
	reply chan answered
}

// answered is what the other host said to a call: a reply, or a fault.
type answered struct {
	reply *message.Reply
	fault string
}

// failure is a call or request without an answer.
type failure struct {
	err error
	// sent is false when nothing of the frame can have reached the network.
	sent bool
}

// newClientConn returns a connection that isn't started yet.
func newClientConn(c *conn) *clientConn {
	return &clientConn{
		conn:    c,
		streams: make(map[uint64]*stream),
		calls:   make(map[uint64]*pendingCall),
	}
}

// addStream gives a stream its id.
func (c *clientConn) addStream(s *stream) {
	c.busy.Add(1)
	c.asked.Add(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last++
	s.id = c.last
	c.streams[s.id] = s
}

// addCall gives a call its id.
func (c *clientConn) addCall(p *pendingCall) uint64 {
	c.busy.Add(1)
	c.asked.Add(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last++
	c.calls[c.last] = p
	return c.last
}

// forget drops a call or stream. Frames for it are ignored from now on.
func (c *clientConn) forget(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, isStream := c.streams[id]
	_, isCall := c.calls[id]
	if isStream || isCall {
		delete(c.streams, id)
		delete(c.calls, id)
		c.busy.Add(-1)
	}
}

// find returns the call or stream of an id, nil if there is none.
func (c *clientConn) find(id uint64) (*stream, *pendingCall) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.streams[id], c.calls[id]
}

// handle takes a frame from the reading goroutine.
func (c *clientConn) handle(f *frame) error {
	s, p := c.find(f.ID)
	switch f.Kind {
	case kindReply:
		if p != nil {
			c.forget(f.ID)
			p.reply <- answered{reply: f.Reply, fault: f.Fault}
		}
		return nil
	case kindHead, kindData:
		if s == nil {
			return nil
		}
		ended, err := s.deliver(f)
		if ended {
			c.forget(f.ID)
		}
		return err
	}
	return &BadFrame{Detail: "unexpected kind"}
}

// call asks a control question and waits for its answer.
func (c *clientConn) call(ctx context.Context, question *message.Call) (*message.Reply, *failure) {
	p := &pendingCall{reply: make(chan answered, 1)}
	id := c.addCall(p)
	defer c.forget(id)
	buffer, err := c.pack(&frame{Kind: kindCall, ID: id, Call: question})
	if err != nil {
		return nil, &failure{err: err}
	}
	if err := c.send(ctx, item{buffer: buffer, claim: &p.claim}); err != nil {
		recycle(buffer)
		return nil, &failure{err: err}
	}
	return c.awaitReply(ctx, id, p)
}

// awaitReply waits for the answer to a call that was queued.
func (c *clientConn) awaitReply(ctx context.Context, id uint64, p *pendingCall) (*message.Reply, *failure) {
	select {
	case said := <-p.reply:
		return said.result()
	case <-ctx.Done():
		if p.withdraw() {
			return nil, &failure{err: ctx.Err()}
		}
		c.forget(id)
		c.sendUrgent(&frame{Kind: kindCancel, ID: id})
		return nil, &failure{err: ctx.Err(), sent: true}
	case <-c.done:
	}
	select {
	case said := <-p.reply:
		return said.result()
	default:
		return nil, &failure{err: c.cause, sent: !p.withdraw()}
	}
}

// result returns the reply, or the fault as an error.
func (a answered) result() (*message.Reply, *failure) {
	if a.reply == nil {
		return nil, &failure{err: &RemoteError{Detail: a.fault}, sent: true}
	}
	return a.reply, nil
}

// request passes a request on and waits for the head of its answer.
func (c *clientConn) request(ctx context.Context, request *message.Request) (*message.Answer, *failure) {
	s := newStream(ctx, c)
	c.addStream(s)
	f := frame{Kind: kindRequest, ID: s.id, Request: request, Credit: int64(c.options.Window)}
	buffer, err := c.pack(&f)
	if err != nil {
		c.forget(s.id)
		return nil, &failure{err: err}
	}
	if err := c.send(ctx, item{buffer: buffer, claim: &s.claim}); err != nil {
		recycle(buffer)
		c.forget(s.id)
		return nil, &failure{err: err}
	}
	return c.awaitHead(ctx, s)
}

// awaitHead waits for the head of the answer to a request that was queued.
func (c *clientConn) awaitHead(ctx context.Context, s *stream) (*message.Answer, *failure) {
	select {
	case head := <-s.head:
		return s.answer(head)
	case <-ctx.Done():
		return c.cancelled(ctx, s)
	case <-c.done:
		return c.lost(s)
	}
}

// cancelled gives a request up, whose context has ended. The other host may
// still say what became of it.
func (c *clientConn) cancelled(ctx context.Context, s *stream) (*message.Answer, *failure) {
	if s.withdraw() {
		c.forget(s.id)
		return nil, &failure{err: ctx.Err()}
	}
	c.sendUrgent(&frame{Kind: kindCancel, ID: s.id})
	grace := time.NewTimer(c.options.CancelGrace)
	defer grace.Stop()
	select {
	case head := <-s.head:
		return s.answer(head)
	case <-grace.C:
		c.forget(s.id)
		return nil, &failure{err: ctx.Err(), sent: true}
	case <-c.done:
		return c.lost(s)
	}
}

// lost gives a request up, whose connection has ended.
func (c *clientConn) lost(s *stream) (*message.Answer, *failure) {
	select {
	case head := <-s.head:
		return s.answer(head)
	default:
		c.forget(s.id)
		return nil, &failure{err: c.cause, sent: !s.withdraw()}
	}
}

// answer returns the answer that a head opens.
func (s *stream) answer(head *message.Head) (*message.Answer, *failure) {
	if head.Error != nil {
		return nil, &failure{err: head.Error, sent: true}
	}
	s.watch()
	return &message.Answer{Head: *head, Body: s}, nil
}

// outcomeOf returns what is certain about a request that failed.
func (f *failure) outcomeOf() *outcome.Error {
	var said *outcome.Error
	if errors.As(f.err, &said) {
		return said
	}
	reason := outcome.HostUnreachable
	switch {
	case errors.Is(f.err, context.DeadlineExceeded):
		reason = outcome.DeadlineExceeded
	case errors.Is(f.err, context.Canceled):
		reason = outcome.Cancelled
	}
	if f.sent {
		return outcome.UnknownError(reason, f.err.Error())
	}
	if reason != outcome.HostUnreachable {
		return outcome.Refuse(reason, f.err.Error(), 0)
	}
	return notSent(f.err)
}
