package peer

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"

	"pineturn/core/message"
	"pineturn/core/outcome"
	"pineturn/core/record"
)

// handlerTimeout is how long Close waits for handlers after their contexts'
// end.
const handlerTimeout = 2 * time.Second

// Server answers other hosts. It is the http.Handler for Path. Its function
// fields are set before the first connection.
type Server struct {
	// OnCall answers a control question. Ctx ends when the asking host gives
	// up or its connection ends.
	OnCall func(ctx context.Context, from record.Member, call *message.Call) (*message.Reply, error)
	// OnRequest runs a request. Ctx ends when the asking host cancels it, the
	// connection ends, or the answer's body has been sent.
	OnRequest func(ctx context.Context, from record.Member, request *message.Request) (*message.Answer, *outcome.Error)
	// OnRefused, if set, is told why a connection was refused or broken off
	// for what the other host sent.
	OnRefused func(address string, err error)

	self     func() record.Member
	options  Options
	keeper   *keeper
	requests *pool
	calls    *pool
	// held is the size of all that is being answered, in bytes.
	held atomic.Int64

	mu     sync.Mutex
	conns  map[*serverConn]struct{}
	closed bool

	done chan struct{}
	wg   sync.WaitGroup
}

// NewServer returns a server. Self tells who this host is.
func NewServer(self func() record.Member, options Options) *Server {
	s := &Server{
		self:    self,
		options: options.withDefaults(),
		conns:   make(map[*serverConn]struct{}),
		done:    make(chan struct{}),
	}
	s.keeper = newKeeper(&s.options, false)
	s.requests = newPool(s.options.RequestWorkers)
	s.calls = newPool(s.options.CallWorkers)
	return s
}

// ServeHTTP accepts a connection and serves it until it ends.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !s.enter() {
		http.Error(w, "host is closing", http.StatusServiceUnavailable)
		return
	}
	defer s.wg.Done()
	socket := &batchConn{tally: new(tally)}
	ws, err := websocket.Accept(&batchWriter{ResponseWriter: w, conn: socket}, r, nil)
	if err != nil {
		s.refused(r.RemoteAddr, err)
		return
	}
	_ = socket.SetDeadline(time.Time{})
	raw := newConn(ws, socket, &s.options)
	raw.tls = r.TLS
	if err := s.greet(raw); err != nil {
		raw.fail(err)
		raw.wg.Wait()
		s.refused(r.RemoteAddr, err)
		return
	}
	s.serve(newServerConn(raw, s))
	if raw.cause != nil && isProtocolError(raw.cause) {
		s.refused(r.RemoteAddr, raw.cause)
	}
}

// enter counts a connection in unless the server is closed.
func (s *Server) enter() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.wg.Add(1)
	return true
}

// admit reports whether there is room for one more, which is already counted
// as held. One alone always has room.
func (s *Server) admit(in *incoming) bool {
	held := s.held.Load()
	return held <= int64(s.options.RequestBytes) || held == int64(in.size)
}

// refused tells why a connection was refused.
func (s *Server) refused(address string, err error) {
	if s.OnRefused != nil {
		s.OnRefused(address, err)
	}
}

// greet does the handshake within the dial timeout.
func (s *Server) greet(c *conn) error {
	ctx, cancel := context.WithTimeout(context.Background(), s.options.DialTimeout)
	defer cancel()
	return c.greetClient(ctx, s.self())
}

// serve runs a connection until it ends.
func (s *Server) serve(c *serverConn) {
	s.mu.Lock()
	closed := s.closed
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	if closed {
		c.goAway()
	}
	s.options.Metrics.Opened.With("plane", c.plane.String()).Add(1)
	s.keeper.add(c.conn)
	c.wg.Go(c.write)
	c.read(c.handle)
	c.abortAll()
	c.wg.Wait()
	s.keeper.remove(c.conn)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// Close refuses new connections, calls and requests, lets those in flight
// finish until ctx ends, and closes every connection.
func (s *Server) Close(ctx context.Context) error {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return nil
	}
	s.closed = true
	for c := range s.conns {
		c.goAway()
	}
	s.mu.Unlock()
	linger(ctx, closeLinger)
	err := settle(ctx, s.settled)
	for _, c := range s.open() {
		c.flush(ctx)
		c.fail(ErrClosed)
	}
	close(s.done)
	s.wg.Wait()
	s.keeper.close()
	return errors.Join(err, s.requests.close(handlerTimeout), s.calls.close(handlerTimeout))
}

// linger waits for d, or until ctx ends.
func linger(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// open returns the connections.
func (s *Server) open() []*serverConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.conns))
}

// settled reports whether nothing is in flight.
func (s *Server) settled() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.busy.Load() > 0 {
			return false
		}
	}
	return true
}
