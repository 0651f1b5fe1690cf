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

// incoming is a call or request in flight at the server end of a connection.
type incoming struct {
	conn    *serverConn
	id      uint64
	size    int // bytes that count towards Options.RequestBytes
	call    *message.Call
	request *message.Request
	ctx     context.Context
	cancel  context.CancelFunc

	mu          sync.Mutex
	credit      int
	body        io.Closer // nil if there is no body or it was taken
	creditAdded chan struct{}
}

// abort ends the context and closes the body, so that a blocked read from the
// target returns as well. It does not wait.
func (in *incoming) abort() {
	in.cancel()
	if body := in.takeBody(); body != nil {
		go func() { _ = body.Close() }()
	}
}

// setBody stores the response body so that it can be closed.
func (in *incoming) setBody(body io.Closer) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.body = body
}

// takeBody returns the response body, or nil. The caller has to close it.
func (in *incoming) takeBody() io.Closer {
	in.mu.Lock()
	defer in.mu.Unlock()
	body := in.body
	in.body = nil
	return body
}

// run handles the call or request.
func (in *incoming) run() {
	defer in.conn.remove(in)
	if in.call != nil {
		in.handleCall()
		return
	}
	in.handleRequest()
}

// handleCall runs a control call and sends the reply.
func (in *incoming) handleCall() {
	c := in.conn
	out := frame{Kind: kindReply, ID: in.id}
	reply, err := c.server.OnCall(in.ctx, c.remote, in.call)
	switch {
	case err != nil:
		out.Error = err.Error()
	case reply == nil:
		out.Error = "no reply"
	default:
		out.Reply = reply
	}
	if err := c.sendFrame(c.ctx, &out); err != nil {
		_ = c.sendFrame(c.ctx, &frame{Kind: kindReply, ID: in.id, Error: err.Error()})
	}
}

// handleRequest runs a request and sends the response.
func (in *incoming) handleRequest() {
	c := in.conn
	response, fail := c.server.OnRequest(in.ctx, c.remote, in.request)
	switch {
	case fail == nil && response == nil:
		fail = outcome.UnknownError(outcome.TargetFailed, "no answer")
	case fail == nil:
		fail = response.Head.Error
	}
	if response != nil && response.Body != nil {
		in.setBody(response.Body)
	}
	if fail != nil {
		_ = c.sendFrame(c.ctx, &frame{Kind: kindHead, ID: in.id, Head: &message.Head{Error: fail}})
		return
	}
	in.sendResponse(response)
}

// chunkPool is a pool of buffers for parts of response bodies.
var chunkPool = sync.Pool{New: func() any { return new([maxChunk]byte) }}

// sendResponse sends the head and the body of a response. A small response is
// sent in one frame.
func (in *incoming) sendResponse(response *message.Response) {
	buffer := chunkPool.Get().(*[maxChunk]byte)
	defer chunkPool.Put(buffer)
	out := frame{Kind: kindHead, ID: in.id, Head: &response.Head}
	if response.Body == nil {
		out.Last = true
		in.sendPart(&out)
		return
	}
	if !fitsFrame(&response.Head) {
		if !in.sendPart(&out) {
			return
		}
		out = frame{Kind: kindData, ID: in.id}
	}
	for {
		if err := in.readChunk(&out, response.Body, buffer[:]); err != nil {
			out.Error = err.Error()
		}
		if !in.sendPart(&out) || out.Last || out.Error != "" {
			return
		}
		out = frame{Kind: kindData, ID: in.id}
	}
}

// sendPart sends a part of the response. If it cannot be sent, sendPart sends
// an error instead and returns false. It waits until the frame is queued or the
// connection ends, even if the request was cancelled: the host that sent
// the request must be notified of a truncated body in any case.
func (in *incoming) sendPart(out *frame) bool {
	err := in.conn.sendFrame(in.conn.ctx, out)
	if err == nil {
		return true
	}
	substitute := frame{Kind: out.Kind, ID: in.id, Error: err.Error()}
	if out.Kind == kindHead {
		substitute.Error = ""
		substitute.Head = &message.Head{Error: outcome.UnknownError(outcome.ResponseTruncated, err.Error())}
	}
	_ = in.conn.sendFrame(in.conn.ctx, &substitute)
	return false
}

// fitsFrame reports whether the body fits in one frame according to its
// Content-Length.
func fitsFrame(head *message.Head) bool {
	length := head.Header["Content-Length"]
	if len(length) != 1 {
		return false
	}
	n, err := strconv.Atoi(length[0])
	return err == nil && n <= maxChunk
}

// readChunk reads the next part of a body into a frame. A data frame gets the
// result of one read; a head frame gets as much of the body as fits.
func (in *incoming) readChunk(out *frame, body io.Reader, buffer []byte) error {
	allowed, err := in.takeCredit(len(buffer))
	if err != nil {
		return err
	}
	n := 0
	for n < allowed && !out.Last && (n == 0 || out.Kind == kindHead) {
		var m int
		m, err = body.Read(buffer[n:allowed])
		n += m
		if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			out.Last, err = true, nil
		}
		if err != nil {
			break
		}
	}
	in.addCredit(allowed - n)
	out.Data = buffer[:n]
	return err
}

// takeCredit takes credit for up to n bytes. It waits if there is no credit.
func (in *incoming) takeCredit(n int) (int, error) {
	for {
		if err := in.ctx.Err(); err != nil {
			return 0, err
		}
		in.mu.Lock()
		taken := min(n, in.credit)
		in.credit -= taken
		in.mu.Unlock()
		if taken > 0 {
			return taken, nil
		}
		select {
		case <-in.creditAdded:
		case <-in.ctx.Done():
			return 0, in.ctx.Err()
		}
	}
}

// addCredit adds credit for n bytes and wakes takeCredit.
func (in *incoming) addCredit(n int) {
	in.mu.Lock()
	in.credit += n
	in.mu.Unlock()
	select {
	case in.creditAdded <- struct{}{}:
	default:
	}
}
