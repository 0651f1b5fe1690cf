package peer

import (
	"context"
	"errors"
	"sync"
	"time"

	"pineturn/core/message"
	"pineturn/core/outcome"
)

// clientConn is the client end of a connection.
type clientConn struct {
	*conn

	mu      sync.Mutex
	lastID  uint64
	streams map[uint64]*stream
	calls   map[uint64]*pendingCall
}

// pendingCall is a call without a reply yet.
type pendingCall struct {
	sendState
	reply chan callResult
}

// callResult is the result of a call: a reply, or the error text of the other
// host.
type callResult struct {
	reply     *message.Reply
	remoteErr string
}

// failure is the error of a call or request that failed.
type failure struct {
	err error
	// sent is false if certainly no part of the frame was written to the network.
	sent bool
}

// newClientConn returns a connection whose goroutines are not started yet.
func newClientConn(c *conn) *clientConn {
	return &clientConn{
		conn:    c,
		streams: make(map[uint64]*stream),
		calls:   make(map[uint64]*pendingCall),
	}
}

// registerStream assigns an id to a stream and registers it.
func (c *clientConn) registerStream(s *stream) {
	c.inFlight.Add(1)
	c.sent.Add(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastID++
	s.id = c.lastID
	c.streams[s.id] = s
}

// registerCall registers a call and returns its id.
func (c *clientConn) registerCall(p *pendingCall) uint64 {
	c.inFlight.Add(1)
	c.sent.Add(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastID++
	c.calls[c.lastID] = p
	return c.lastID
}

// unregister removes a call or stream. Frames that arrive for it later are
// ignored.
func (c *clientConn) unregister(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, isStream := c.streams[id]
	_, isCall := c.calls[id]
	if isStream || isCall {
		delete(c.streams, id)
		delete(c.calls, id)
		c.inFlight.Add(-1)
	}
}

// find returns the stream or call with an id, or nil.
func (c *clientConn) find(id uint64) (*stream, *pendingCall) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.streams[id], c.calls[id]
}

// handle handles a frame. It is called by the reading goroutine.
func (c *clientConn) handle(f *frame) error {
	s, p := c.find(f.ID)
	switch f.Kind {
	case kindReply:
		if p != nil {
			c.unregister(f.ID)
			p.reply <- callResult{reply: f.Reply, remoteErr: f.Error}
		}
		return nil
	case kindHead, kindData:
		if s == nil {
			return nil
		}
		ended, err := s.deliver(f)
		if ended {
			c.unregister(f.ID)
		}
		return err
	}
	return &BadFrameError{Detail: "unexpected kind"}
}

// call sends a call and waits for the reply.
func (c *clientConn) call(ctx context.Context, call *message.Call) (*message.Reply, *failure) {
	p := &pendingCall{reply: make(chan callResult, 1)}
	id := c.registerCall(p)
	defer c.unregister(id)
	buffer, err := c.encodeLimited(&frame{Kind: kindCall, ID: id, Call: call})
	if err != nil {
		return nil, &failure{err: err}
	}
	if err := c.enqueue(ctx, queuedFrame{buffer: buffer, state: &p.sendState}); err != nil {
		recycle(buffer)
		return nil, &failure{err: err}
	}
	return c.awaitReply(ctx, id, p)
}

// awaitReply waits for the reply to a queued call.
func (c *clientConn) awaitReply(ctx context.Context, id uint64, p *pendingCall) (*message.Reply, *failure) {
	select {
	case result := <-p.reply:
		return result.unwrap()
	case <-ctx.Done():
		if p.cancelSend() {
			return nil, &failure{err: ctx.Err()}
		}
		c.unregister(id)
		c.sendUrgent(&frame{Kind: kindCancel, ID: id})
		return nil, &failure{err: ctx.Err(), sent: true}
	case <-c.done:
	}
	select {
	case result := <-p.reply:
		return result.unwrap()
	default:
		return nil, &failure{err: c.cause, sent: !p.cancelSend()}
	}
}

// unwrap returns the reply, or the error text as a *RemoteError.
func (r callResult) unwrap() (*message.Reply, *failure) {
	if r.reply == nil {
		return nil, &failure{err: &RemoteError{Detail: r.remoteErr}, sent: true}
	}
	return r.reply, nil
}

// request sends a request and waits for the head of the response.
func (c *clientConn) request(ctx context.Context, request *message.Request) (*message.Response, *failure) {
	s := newStream(ctx, c)
	c.registerStream(s)
	f := frame{Kind: kindRequest, ID: s.id, Request: request, Credit: int64(c.options.Window)}
	buffer, err := c.encodeLimited(&f)
	if err != nil {
		c.unregister(s.id)
		return nil, &failure{err: err}
	}
	if err := c.enqueue(ctx, queuedFrame{buffer: buffer, state: &s.sendState}); err != nil {
		recycle(buffer)
		c.unregister(s.id)
		return nil, &failure{err: err}
	}
	return c.awaitHead(ctx, s)
}

// awaitHead waits for the head of the response to a queued request.
func (c *clientConn) awaitHead(ctx context.Context, s *stream) (*message.Response, *failure) {
	select {
	case head := <-s.head:
		return s.response(head)
	case <-ctx.Done():
		return c.cancelRequest(ctx, s)
	case <-c.done:
		return c.failRequest(s)
	}
}

// cancelRequest cancels a request whose context has ended. If the request was
// sent, cancelRequest waits for up to CancelGrace for the other host to report
// the outcome.
func (c *clientConn) cancelRequest(ctx context.Context, s *stream) (*message.Response, *failure) {
	if s.cancelSend() {
		c.unregister(s.id)
		return nil, &failure{err: ctx.Err()}
	}
	c.sendUrgent(&frame{Kind: kindCancel, ID: s.id})
	grace := time.NewTimer(c.options.CancelGrace)
	defer grace.Stop()
	select {
	case head := <-s.head:
		return s.response(head)
	case <-grace.C:
		c.unregister(s.id)
		return nil, &failure{err: ctx.Err(), sent: true}
	case <-c.done:
		return c.failRequest(s)
	}
}

// failRequest returns the failure of a request whose connection has ended, or
// the response if its head arrived before that.
func (c *clientConn) failRequest(s *stream) (*message.Response, *failure) {
	select {
	case head := <-s.head:
		return s.response(head)
	default:
		c.unregister(s.id)
		return nil, &failure{err: c.cause, sent: !s.cancelSend()}
	}
}

// response returns the response that starts with head, or the error in head.
func (s *stream) response(head *message.Head) (*message.Response, *failure) {
	if head.Error != nil {
		return nil, &failure{err: head.Error, sent: true}
	}
	s.watchContext()
	return &message.Response{Head: *head, Body: s}, nil
}

// outcomeError returns the outcome of a failed request.
func (f *failure) outcomeError() *outcome.Error {
	var outcomeErr *outcome.Error
	if errors.As(f.err, &outcomeErr) {
		return outcomeErr
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
	return notSentError(f.err)
}
