package peer

import (
	"context"
	"errors"
	"io"
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

// incoming is a call or request that is being answered.
type incoming struct {
	conn    *serverConn
	id      uint64
	call    *message.Call
	request *message.Request
	ctx     context.Context
	cancel  context.CancelFunc

	mu     sync.Mutex
	credit int
	more   chan struct{}
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

// cancelAll ends the contexts of all that is being answered.
func (c *serverConn) cancelAll() { c.cancel() }

// goAway tells the other host to send nothing more on this connection.
func (c *serverConn) goAway() {
	c.draining.Store(true)
	c.reply(&frame{Kind: kindGoAway})
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
			in.cancel()
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
	if !workers.run(in.run) {
		c.drop(in)
		c.refuse(f, outcome.Refuse(outcome.Overloaded, "host runs too many at once", 0))
	}
	return nil
}

// refuse answers a call or request without running it.
func (c *serverConn) refuse(f *frame, why *outcome.Error) {
	if f.Kind == kindCall {
		c.reply(&frame{Kind: kindReply, ID: f.ID, Fault: why.Error()})
		return
	}
	c.reply(&frame{Kind: kindHead, ID: f.ID, Head: &message.Head{Error: why}})
}

// add registers what a frame asks.
func (c *serverConn) add(f *frame) (*incoming, error) {
	in := &incoming{
		conn:    c,
		id:      f.ID,
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
	return in, nil
}

// drop forgets what has been answered.
func (c *serverConn) drop(in *incoming) {
	in.cancel()
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

// run answers the call or request.
func (in *incoming) run() {
	defer in.conn.drop(in)
	if in.call != nil {
		in.answerCall()
		return
	}
	in.answerRequest()
}

// answerCall answers a control question.
func (in *incoming) answerCall() {
	c := in.conn
	out := frame{Kind: kindReply, ID: in.id}
	reply, err := c.server.OnCall(in.ctx, c.remote, in.call)
	switch {
	case err != nil:
		out.Fault = err.Error()
	case reply == nil:
		out.Fault = "no reply"
	default:
		out.Reply = reply
	}
	if err := c.post(c.ctx, &out); err != nil {
		_ = c.post(c.ctx, &frame{Kind: kindReply, ID: in.id, Fault: err.Error()})
	}
}

// answerRequest runs a request and sends its answer.
func (in *incoming) answerRequest() {
	c := in.conn
	answer, fail := c.server.OnRequest(in.ctx, c.remote, in.request)
	switch {
	case fail == nil && answer == nil:
		fail = outcome.Uncertain(outcome.TargetFailed, "no answer")
	case fail == nil:
		fail = answer.Head.Error
	}
	if answer != nil && answer.Body != nil {
		// A read that waits for the target ends with the context, too.
		stop := context.AfterFunc(in.ctx, func() { _ = answer.Body.Close() })
		defer func() {
			if stop() {
				_ = answer.Body.Close()
			}
		}()
	}
	if fail != nil {
		_ = c.post(c.ctx, &frame{Kind: kindHead, ID: in.id, Head: &message.Head{Error: fail}})
		return
	}
	in.sendAnswer(answer)
}

// chunks holds buffers for parts of bodies.
var chunks = sync.Pool{New: func() any { return new([maxChunk]byte) }}

// sendAnswer sends an answer's head and body. A small answer is one frame.
func (in *incoming) sendAnswer(answer *message.Answer) {
	buffer := chunks.Get().(*[maxChunk]byte)
	defer chunks.Put(buffer)
	out := frame{Kind: kindHead, ID: in.id, Head: &answer.Head}
	if answer.Body == nil {
		out.Last = true
		in.say(&out)
		return
	}
	if !small(&answer.Head) {
		if !in.say(&out) {
			return
		}
		out = frame{Kind: kindData, ID: in.id}
	}
	for {
		if err := in.fill(&out, answer.Body, buffer[:]); err != nil {
			out.Fault = err.Error()
		}
		if !in.say(&out) || out.Last || out.Fault != "" {
			return
		}
		out = frame{Kind: kindData, ID: in.id}
	}
}

// say posts a part of the answer, or in its place an error that says why it
// can't be posted. It waits for the connection only, because the asking host
// must learn of a cut even when it has cancelled.
func (in *incoming) say(out *frame) bool {
	err := in.conn.post(in.conn.ctx, out)
	if err == nil {
		return true
	}
	instead := frame{Kind: out.Kind, ID: in.id, Fault: err.Error()}
	if out.Kind == kindHead {
		instead.Fault = ""
		instead.Head = &message.Head{Error: outcome.Uncertain(outcome.AnswerCut, err.Error())}
	}
	_ = in.conn.post(in.conn.ctx, &instead)
	return false
}

// small reports whether the header says that the body fits one frame.
func small(head *message.Head) bool {
	length := head.Header["Content-Length"]
	if len(length) != 1 {
		return false
	}
	n, err := strconv.Atoi(length[0])
	return err == nil && n <= maxChunk
}

// fill reads the next part of a body into a frame: as much as comes at once,
// or all of it for a frame that also holds the head.
func (in *incoming) fill(out *frame, body io.Reader, buffer []byte) error {
	room, err := in.reserve(len(buffer))
	if err != nil {
		return err
	}
	n := 0
	for n < room && !out.Last && (n == 0 || out.Kind == kindHead) {
		var m int
		m, err = body.Read(buffer[n:room])
		n += m
		if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			out.Last, err = true, nil
		}
		if err != nil {
			break
		}
	}
	in.grant(room - n)
	out.Data = buffer[:n]
	return err
}

// reserve takes credit for up to n bytes, and waits while there is none.
func (in *incoming) reserve(n int) (int, error) {
	for {
		if err := in.ctx.Err(); err != nil {
			return 0, err
		}
		in.mu.Lock()
		room := min(n, in.credit)
		in.credit -= room
		in.mu.Unlock()
		if room > 0 {
			return room, nil
		}
		select {
		case <-in.more:
		case <-in.ctx.Done():
			return 0, in.ctx.Err()
		}
	}
}

// grant adds credit.
func (in *incoming) grant(n int) {
	in.mu.Lock()
	in.credit += n
	in.mu.Unlock()
	select {
	case in.more <- struct{}{}:
	default:
	}
}
