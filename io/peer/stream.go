package peer

import (
	"context"
	"errors"
	"io"
	"sync"

	"pineturn/core/message"
)

// errBodyClosed means that the reader of an answer closed it.
var errBodyClosed = errors.New("body closed")

// stream is one request at the client's end, and the body of its answer.
type stream struct {
	conn *clientConn
	ctx  context.Context
	id   uint64
	claim
	// head receives the first frame of the answer.
	head chan *message.Head
	// stop ends the watch over ctx.
	stop func() bool

	mu      sync.Mutex
	headed  bool
	chunks  [][]byte
	unread  int   // bytes in chunks
	granted int   // bytes read that the sender has no credit for yet
	end     error // io.EOF, or why the body is cut; nil while it goes on
	ready   chan struct{}
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

// deliver takes a frame of the answer from the reading goroutine. It reports
// whether the stream has ended by it.
func (s *stream) deliver(f *frame) (ended bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if (f.Kind == kindHead) == s.headed {
		return false, &BadFrame{Detail: "answer's parts out of order"}
	}
	if s.unread+len(f.Data) > s.conn.options.Window {
		return false, &BadFrame{Detail: "more data than credit"}
	}
	if s.end == nil {
		s.take(f)
	}
	if f.Kind == kindHead {
		s.headed = true
		s.head <- f.Head
	}
	s.wake()
	return s.end != nil, nil
}

// take keeps a frame's data. The caller holds mu.
func (s *stream) take(f *frame) {
	if len(f.Data) > 0 {
		s.chunks = append(s.chunks, f.Data)
		s.unread += len(f.Data)
	}
	switch {
	case f.Fault != "":
		s.end = &TruncatedError{Cause: &RemoteError{Detail: f.Fault}}
	case f.Last:
		s.end = io.EOF
	case f.Head != nil && f.Head.Error != nil:
		s.end = f.Head.Error
	}
}

// wake lets a waiting reader look again.
func (s *stream) wake() {
	select {
	case s.ready <- struct{}{}:
	default:
	}
}

// Read reads the answer's body. It returns io.EOF only when the body is
// complete, and otherwise a *CutError.
func (s *stream) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	for {
		n, err := s.next(p)
		if n > 0 || err != nil {
			return n, err
		}
		select {
		case <-s.ready:
		case <-s.conn.done:
			s.cut(s.conn.cause)
		}
	}
}

// next copies bytes that are there and tells the sender when it may go on.
func (s *stream) next(p []byte) (int, error) {
	s.mu.Lock()
	if len(s.chunks) == 0 {
		defer s.mu.Unlock()
		return 0, s.end
	}
	n := copy(p, s.chunks[0])
	if n == len(s.chunks[0]) {
		s.chunks[0] = nil
		s.chunks = s.chunks[1:]
	} else {
		s.chunks[0] = s.chunks[0][n:]
	}
	s.unread -= n
	s.granted += n
	credit := 0
	if s.end == nil && s.granted >= s.conn.options.Window/2 {
		credit, s.granted = s.granted, 0
	}
	s.mu.Unlock()
	if credit > 0 {
		s.conn.sendUrgent(&frame{Kind: kindCredit, ID: s.id, Credit: int64(credit)})
	}
	return n, nil
}

// cut ends the body for a reason unless it has ended. What was not read is
// dropped. It reports whether the body went on until now.
func (s *stream) cut(cause error) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.end != nil {
		return false
	}
	s.end = &TruncatedError{Cause: cause}
	s.chunks, s.unread = nil, 0
	s.wake()
	return true
}

// abandon cuts the body and tells the sender to stop.
func (s *stream) abandon(cause error) {
	if s.cut(cause) {
		s.conn.forget(s.id)
		s.conn.sendUrgent(&frame{Kind: kindCancel, ID: s.id})
	}
}

// watch abandons the stream when its context ends before the body does.
func (s *stream) watch() {
	stop := context.AfterFunc(s.ctx, func() { s.abandon(s.ctx.Err()) })
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stop = stop
}

// Close ends the reading of the answer. It cancels the request when the
// answer was not complete.
func (s *stream) Close() error {
	s.mu.Lock()
	stop := s.stop
	s.mu.Unlock()
	if stop != nil {
		stop()
	}
	s.abandon(errBodyClosed)
	return nil
}
