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

	"pineturn/core/clock"
	"pineturn/core/message"
	"pineturn/core/outcome"
	"pineturn/core/record"
)

// handlerTimeout is how long Close waits for handlers to return after their
// contexts have ended.
const handlerTimeout = 2 * time.Second

// Server handles calls and requests of other hosts. It is the http.Handler for
// Path. The exported fields must be set before the first connection.
type Server struct {
	// OnCall handles a control call. The context ends when the calling host
	// cancels the call or its connection ends.
	OnCall func(ctx context.Context, from record.Member, call *message.Call) (*message.Reply, error)
	// OnRequest handles a request. The context ends when the host that sent it
	// cancels it, its connection ends, or the response body has been sent.
	OnRequest func(ctx context.Context, from record.Member, request *message.Request) (*message.Response, *outcome.Error)
	// OnConnError, if set, is called with the reason when a connection is refused,
	// or is closed because the other host sent an invalid frame or did not read fast
	// enough.
	OnConnError func(address string, err error)

	self     func() record.Member
	options  Options
	monitor  *connMonitor
	requests *workerPool
	calls    *workerPool
	// inFlightBytes is the total size of the calls and requests in flight, in
	// bytes.
	inFlightBytes atomic.Int64

	mu     sync.Mutex
	conns  map[*serverConn]struct{}
	closed bool

	done chan struct{}
	wg   sync.WaitGroup
}

// NewServer returns a server. The function self returns the member that this
// host is.
func NewServer(self func() record.Member, options Options) *Server {
	s := &Server{
		self:    self,
		options: options.withDefaults(),
		conns:   make(map[*serverConn]struct{}),
		done:    make(chan struct{}),
	}
	s.monitor = newConnMonitor(&s.options, false)
	s.requests = newWorkerPool(s.options.RequestWorkers)
	s.calls = newWorkerPool(s.options.CallWorkers)
	return s
}

// ServeHTTP accepts a connection and serves it until it ends.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !s.register() {
		http.Error(w, "host is closing", http.StatusServiceUnavailable)
		return
	}
	defer s.wg.Done()
	socket := &batchConn{traffic: new(trafficCounters)}
	ws, err := websocket.Accept(&batchResponseWriter{ResponseWriter: w, conn: socket}, r, nil)
	if err != nil {
		s.reportConnError(r.RemoteAddr, err)
		return
	}
	_ = socket.SetDeadline(time.Time{})
	raw := newConn(ws, socket, &s.options)
	raw.tls = r.TLS
	if err := s.handshake(raw); err != nil {
		raw.fail(err)
		raw.wg.Wait()
		s.reportConnError(r.RemoteAddr, err)
		return
	}
	s.serve(newServerConn(raw, s))
	if raw.cause != nil && isProtocolError(raw.cause) {
		s.reportConnError(r.RemoteAddr, raw.cause)
	}
}

// register adds a connection to the wait group. It returns false if the server
// is closed.
func (s *Server) register() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.wg.Add(1)
	return true
}

// withinByteLimit reports whether in, whose size is already included in
// inFlightBytes, fits within Options.RequestBytes. It always fits if nothing
// else is in flight.
func (s *Server) withinByteLimit(in *incoming) bool {
	inFlight := s.inFlightBytes.Load()
	return inFlight <= int64(s.options.RequestBytes) || inFlight == int64(in.size)
}

// reportConnError calls OnConnError if it is set.
func (s *Server) reportConnError(address string, err error) {
	if s.OnConnError != nil {
		s.OnConnError(address, err)
	}
}

// handshake performs the handshake within the dial timeout.
func (s *Server) handshake(c *conn) error {
	ctx, cancel := context.WithTimeout(context.Background(), s.options.DialTimeout)
	defer cancel()
	return c.serverHandshake(ctx, s.self())
}

// serve serves a connection until it ends.
func (s *Server) serve(c *serverConn) {
	s.mu.Lock()
	closed := s.closed
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	if closed {
		c.sendGoAway()
	}
	s.options.Metrics.Opened.With("plane", c.plane.String()).Add(1)
	s.monitor.add(c.conn)
	c.wg.Go(c.writeLoop)
	c.readLoop(c.handle)
	c.abortAll()
	c.wg.Wait()
	s.monitor.remove(c.conn)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// Close refuses new connections, calls and requests, waits until those in
// flight have ended or ctx ends, and closes every connection.
func (s *Server) Close(ctx context.Context) error {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return nil
	}
	s.closed = true
	for c := range s.conns {
		c.sendGoAway()
	}
	s.mu.Unlock()
	clock.Sleep(ctx, closeGrace)
	err := waitUntil(ctx, s.nothingInFlight)
	for _, c := range s.openConns() {
		c.waitFlushed(ctx)
		c.fail(ErrClosed)
	}
	close(s.done)
	s.wg.Wait()
	s.monitor.close()
	return errors.Join(err, s.requests.close(handlerTimeout), s.calls.close(handlerTimeout))
}

// openConns returns the open connections.
func (s *Server) openConns() []*serverConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.conns))
}

// nothingInFlight reports whether no calls or requests are in flight.
func (s *Server) nothingInFlight() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.inFlight.Load() > 0 {
			return false
		}
	}
	return true
}
