// Package server serves a stand-in's handler on a listener, and stops it in
// good order.
package server

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"
)

// StopTimeout is how long Close lets requests in flight end.
const StopTimeout = 10 * time.Second

// Server is an HTTP server over one listener. Its done channel is closed when
// it serves no more.
type Server struct {
	http     *http.Server
	listener net.Listener
	done     chan struct{}
	err      error
}

// New serves handler on listener.
func New(listener net.Listener, handler http.Handler) *Server {
	s := &Server{
		http:     &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute},
		listener: listener,
		done:     make(chan struct{}),
	}
	go s.serve()
	return s
}

func (s *Server) serve() {
	defer close(s.done)
	if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		s.err = fmt.Errorf("serve: %w", err)
	}
}

// Address returns the listener's address.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Done is closed when the server serves no more.
func (s *Server) Done() <-chan struct{} { return s.done }

// Err returns why the server stopped by itself, after Done is closed.
func (s *Server) Err() error { return s.err }

// Close stops accepting, lets requests in flight end for at most Grace, and
// closes what is left.
func (s *Server) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), StopTimeout)
	defer cancel()
	err := s.http.Shutdown(ctx)
	if err != nil {
		_ = s.http.Close()
		err = fmt.Errorf("shut down: %w", err)
	}
	<-s.done
	return errors.Join(err, s.err)
}
