// Package server serves a stand-in's handler on a listener and shuts it down
// gracefully.
package server

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"
)

// StopTimeout is the time that Close allows requests in flight to complete.
const StopTimeout = 10 * time.Second

// Server is an HTTP server on one listener. The channel done is closed when it no
// longer accepts connections.
type Server struct {
	http     *http.Server
	listener net.Listener
	done     chan struct{}
	err      error
}

// New starts a server of handler on listener.
func New(listener net.Listener, handler http.Handler) *Server {
	return NewWithContext(listener, handler, nil)
}

// NewWithContext starts a server like New, with the context of each connection from connContext, if that
// is not nil.
func NewWithContext(listener net.Listener, handler http.Handler, connContext func(context.Context, net.Conn) context.Context) *Server {
	s := &Server{
		http:     &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute, ConnContext: connContext},
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

// Done returns a channel that is closed when the server no longer accepts
// connections.
func (s *Server) Done() <-chan struct{} { return s.done }

// Err returns the error that stopped the server, nil after Close. It is valid
// after Done is closed.
func (s *Server) Err() error { return s.err }

// Close stops accepting connections, waits up to StopTimeout for requests in
// flight, and closes the remaining connections.
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
