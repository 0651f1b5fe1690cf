package peer

import (
	"context"
	"errors"
	"io"
	"sync"

	"pineturn/core/message"
)

// errBodyClosed means that the reader closed the response body.
var errBodyClosed = errors.New("response body closed")

// stream is the client end of a request, and the body of its response.
type stream struct {
	conn *clientConn
	ctx  context.Context
	id   uint64
	sendState
	// head receives the head of the response.
	head chan *message.Head
	// stopWatch stops watchContext.
	stopWatch func() bool

	mu           sync.Mutex
	headReceived bool
	chunks       [][]byte
	unread       int   // bytes in chunks
	consumed     int   // bytes read whose credit was not returned to the sender yet
	endErr       error // io.EOF, or why the body was truncated; nil until the body ends
	ready        chan struct{}
}

// newStream returns a stream that is not registered yet.
func newStream(ctx context.Context, c *clientConn) *stream {
	return &stream{
		conn:  c,
		ctx:   ctx,
		head:  make(chan *message.Head, 1),
		ready: make(chan struct{}, 1),
	}
}

// deliver handles a frame of the response. It is called by the reading
// goroutine. It reports whether the frame ended the stream.
func (s *stream) deliver(f *frame) (ended bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if (f.Kind == kindHead) == s.headReceived {
		return false, &BadFrameError{Detail: "answer's parts out of order"}
	}
	if s.unread+len(f.Data) > s.conn.options.Window {
		return false, &BadFrameError{Detail: "more data than credit"}
	}
	if s.endErr == nil {
		s.apply(f)
	}
	if f.Kind == kindHead {
		s.headReceived = true
		s.head <- f.Head
	}
	s.signalReady()
	return s.endErr != nil, nil
}

// apply buffers the data of a frame and records the end of the body. The caller
// must hold mu.
func (s *stream) apply(f *frame) {
	if len(f.Data) > 0 {
		s.chunks = append(s.chunks, f.Data)
		s.unread += len(f.Data)
	}
	switch {
	case f.Error != "":
		s.endErr = &TruncatedError{Cause: &RemoteError{Detail: f.Error}}
	case f.Last:
		s.endErr = io.EOF
	case f.Head != nil && f.Head.Error != nil:
		s.endErr = f.Head.Error
	}
}

// signalReady wakes a waiting reader.
func (s *stream) signalReady() {
	select {
	case s.ready <- struct{}{}:
	default:
	}
}

// Read reads the response body. It returns io.EOF only at the end of a complete
// body, and otherwise a *TruncatedError.
func (s *stream) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	for {
		n, err := s.readBuffered(p)
		if n > 0 || err != nil {
			return n, err
		}
		select {
		case <-s.ready:
		case <-s.conn.done:
			s.truncate(s.conn.cause)
		}
	}
}

// readBuffered copies buffered data to p. It returns credit to the sender once
// half the window has been read.
func (s *stream) readBuffered(p []byte) (int, error) {
	s.mu.Lock()
	if len(s.chunks) == 0 {
		defer s.mu.Unlock()
		return 0, s.endErr
	}
	n := copy(p, s.chunks[0])
	if n == len(s.chunks[0]) {
		s.chunks[0] = nil
		s.chunks = s.chunks[1:]
	} else {
		s.chunks[0] = s.chunks[0][n:]
	}
	s.unread -= n
	s.consumed += n
	credit := 0
	if s.endErr == nil && s.consumed >= s.conn.options.Window/2 {
		credit, s.consumed = s.consumed, 0
	}
	s.mu.Unlock()
	if credit > 0 {
		s.conn.sendUrgent(&frame{Kind: kindCredit, ID: s.id, Credit: int64(credit)})
	}
	return n, nil
}

// truncate ends the body with a *TruncatedError and discards unread data. It
// returns false if the body has already ended.
func (s *stream) truncate(cause error) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.endErr != nil {
		return false
	}
	s.endErr = &TruncatedError{Cause: cause}
	s.chunks, s.unread = nil, 0
	s.signalReady()
	return true
}

// cancel truncates the body and cancels the request at the other host.
func (s *stream) cancel(cause error) {
	if s.truncate(cause) {
		s.conn.unregister(s.id)
		s.conn.sendUrgent(&frame{Kind: kindCancel, ID: s.id})
	}
}

// watchContext cancels the stream if its context ends before the body does.
func (s *stream) watchContext() {
	stopWatch := context.AfterFunc(s.ctx, func() { s.cancel(s.ctx.Err()) })
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopWatch = stopWatch
}

// Close closes the response body. It cancels the request if the body is not
// complete.
func (s *stream) Close() error {
	s.mu.Lock()
	stopWatch := s.stopWatch
	s.mu.Unlock()
	if stopWatch != nil {
		stopWatch()
	}
	s.cancel(errBodyClosed)
	return nil
}
