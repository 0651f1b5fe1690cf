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

// incoming is a call or request that is being answered.
type incoming struct {
	conn    *serverConn
	id      uint64
	size    int // bytes that count against the server's bound
	call    *message.Call
	request *message.Request
	ctx     context.Context
	cancel  context.CancelFunc

	mu     sync.Mutex
	credit int
	body   io.Closer // nil without, or once it is closed
	more   chan struct{}
}

// abort ends the context and closes the body, so that a read which waits for
// the target ends, too. It doesn't wait.
func (in *incoming) abort() {
	in.cancel()
	if body := in.release(); body != nil {
		go func() { _ = body.Close() }()
	}
}

// keep remembers the answer's body until it is closed.
func (in *incoming) keep(body io.Closer) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.body = body
}

// release gives the body to the one who closes it.
func (in *incoming) release() io.Closer {
	in.mu.Lock()
	defer in.mu.Unlock()
	body := in.body
	in.body = nil
	return body
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
		fail = outcome.UnknownError(outcome.TargetFailed, "no answer")
	case fail == nil:
		fail = answer.Head.Error
	}
	if answer != nil && answer.Body != nil {
		in.keep(answer.Body)
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
		instead.Head = &message.Head{Error: outcome.UnknownError(outcome.AnswerCut, err.Error())}
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
