package peer

import (
	"context"
	"sync"
)

// slot is the place of one connection to an endpoint. It opens the connection
// when needed and again when it has ended.
type slot struct {
	open func() (*clientConn, error)

	mu      sync.Mutex
	conn    *clientConn
	opening *attempt // nil when none is under way
}

// attempt is the opening of a connection, shared by all who wait for it.
type attempt struct {
	done chan struct{}
	conn *clientConn
	err  error
}

// get returns a connection that takes new calls and requests.
func (s *slot) get(ctx context.Context) (*clientConn, error) {
	s.mu.Lock()
	if s.conn != nil && s.conn.alive() {
		defer s.mu.Unlock()
		return s.conn, nil
	}
	a := s.opening
	if a == nil {
		a = &attempt{done: make(chan struct{})}
		s.opening = a
		go s.try(a)
	}
	s.mu.Unlock()
	select {
	case <-a.done:
		return a.conn, a.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// try opens a connection on behalf of all who wait for the attempt.
func (s *slot) try(a *attempt) {
	a.conn, a.err = s.open()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.opening = nil
	if a.err == nil {
		s.conn = a.conn
	}
	close(a.done)
}

// used reports whether a connection is open or being opened.
func (s *slot) used() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.opening != nil || s.conn != nil && s.conn.alive()
}
