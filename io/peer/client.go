package peer

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
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

// Client sends calls and requests to other hosts. It is safe for concurrent
// use. Lock order: the mutex of the client before that of a lazyConn.
type Client struct {
	self    func() record.Member
	options Options
	monitor *connMonitor

	mu     sync.Mutex
	hosts  map[endpoint]*hostConns
	conns  map[*clientConn]struct{}
	closed bool

	done chan struct{}
	wg   sync.WaitGroup
}

// hostConns holds the connections to one endpoint. Requests use the connections
// in turn.
type hostConns struct {
	control  lazyConn
	requests []lazyConn
	next     atomic.Uint32
}

// NewClient returns a client. The function self returns the member that this
// host is.
func NewClient(self func() record.Member, options Options) *Client {
	c := &Client{
		self:    self,
		options: options.withDefaults(),
		hosts:   make(map[endpoint]*hostConns),
		conns:   make(map[*clientConn]struct{}),
		done:    make(chan struct{}),
	}
	c.monitor = newConnMonitor(&c.options, true)
	return c
}

// Call sends a control call to one incarnation of a host and returns the reply.
// Run 0 matches any incarnation. The error is *IncarnationMismatchError if another
// incarnation runs at the address, *VersionMismatchError if the host uses another
// protocol version, and *RemoteError if the host replied with an error.
func (c *Client) Call(ctx context.Context, to record.Member, call *message.Call) (*message.Reply, error) {
	var fail *failure
	for tries := 0; tries < 2; tries++ {
		conn, err := c.connFor(ctx, endpointOf(to), Control)
		if err != nil {
			return nil, fmt.Errorf("call %s: %w", to.Incarnation, err)
		}
		var reply *message.Reply
		if reply, fail = conn.call(ctx, call); fail == nil {
			return reply, nil
		}
		if !c.canRetry(ctx, conn, fail, call.Witness == nil) {
			break
		}
	}
	return nil, fmt.Errorf("call %s: %w", to.Incarnation, fail.err)
}

// canRetry reports whether a call or request may be sent a second time: its
// connection has ended, and it was either not sent or is repeatable.
func (c *Client) canRetry(ctx context.Context, conn *clientConn, fail *failure, repeatable bool) bool {
	if ctx.Err() != nil || conn.usable() {
		return false
	}
	var remote *RemoteError
	if errors.As(fail.err, &remote) {
		return false
	}
	return !fail.sent || repeatable
}

// Request forwards a request to one incarnation of a host. Run 0 matches any
// incarnation. The outcome of an error is not run only if no part of the
// request was written to the network or if the other host reported that
// outcome. When ctx ends, reading the response body fails.
func (c *Client) Request(ctx context.Context, to record.Member, request *message.Request) (*message.Response, *outcome.Error) {
	var fail *failure
	for tries := 0; tries < 2; tries++ {
		conn, err := c.connFor(ctx, endpointOf(to), Requests)
		if err != nil {
			return nil, (&failure{err: err}).outcomeError()
		}
		var response *message.Response
		if response, fail = conn.request(ctx, request); fail == nil {
			return response, nil
		}
		if !c.canRetry(ctx, conn, fail, false) {
			break
		}
	}
	c.reconnect(ctx, to, fail)
	return nil, fail.outcomeError()
}

// reconnect opens a new connection after a connection became silent, and adds
// the result to the error. This distinguishes a lost host from a lost
// connection.
func (c *Client) reconnect(ctx context.Context, to record.Member, fail *failure) {
	if !errors.Is(fail.err, ErrSilent) {
		return
	}
	if _, err := c.connFor(ctx, endpointOf(to), Requests); err != nil {
		fail.err = fmt.Errorf("%w, and no fresh one: %w", fail.err, err)
		return
	}
	fail.err = fmt.Errorf("%w, a fresh one works", fail.err)
}

// Identify returns the member that runs at an address (host:port).
func (c *Client) Identify(ctx context.Context, address string) (record.Member, error) {
	conn, err := c.connFor(ctx, endpoint{address: address}, Control)
	if err != nil {
		return record.Member{}, fmt.Errorf("identify %s: %w", address, err)
	}
	return conn.remote, nil
}

// connFor returns a connection to an endpoint for a plane.
func (c *Client) connFor(ctx context.Context, to endpoint, plane Plane) (*clientConn, error) {
	conns, err := c.connsTo(to)
	if err != nil {
		return nil, err
	}
	if plane == Control {
		return conns.control.get(ctx)
	}
	return conns.requests[int(conns.next.Add(1))%len(conns.requests)].get(ctx)
}

// connsTo returns the connections to an endpoint.
func (c *Client) connsTo(to endpoint) (*hostConns, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, ErrClosed
	}
	if conns := c.hosts[to]; conns != nil {
		return conns, nil
	}
	c.prune()
	conns := &hostConns{requests: make([]lazyConn, c.options.RequestConns)}
	conns.control.open = func() (*clientConn, error) { return c.open(to, Control) }
	for i := range conns.requests {
		conns.requests[i].open = func() (*clientConn, error) { return c.open(to, Requests) }
	}
	c.hosts[to] = conns
	return conns, nil
}

// open opens a connection, performs the handshake and starts the connection's
// goroutines.
func (c *Client) open(to endpoint, plane Plane) (*clientConn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), c.options.DialTimeout)
	defer cancel()
	raw, err := c.dial(ctx, to)
	if err != nil {
		return nil, err
	}
	if err := raw.clientHandshake(ctx, c.self(), to, plane); err != nil {
		raw.fail(err)
		raw.wg.Wait()
		return nil, err
	}
	conn := newClientConn(raw)
	if err := c.start(conn); err != nil {
		conn.fail(err)
		conn.wg.Wait()
		return nil, err
	}
	c.options.Metrics.Opened.With("plane", plane.String()).Add(1)
	return conn, nil
}

// dial opens a socket and upgrades it to a WebSocket connection.
func (c *Client) dial(ctx context.Context, to endpoint) (*conn, error) {
	socket := &batchConn{traffic: new(trafficCounters)}
	transport := &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			var err error
			socket.Conn, err = c.connect(ctx, network, address)
			return socket, err
		},
		DisableKeepAlives: true,
	}
	ws, _, err := websocket.Dial(ctx, "ws://"+to.address+Path, &websocket.DialOptions{
		HTTPClient: &http.Client{Transport: transport},
	})
	if err != nil {
		return nil, fmt.Errorf("open connection: %w", err)
	}
	conn := newConn(ws, socket, &c.options)
	conn.tls = tlsState(socket.Conn)
	return conn, nil
}

// start starts the goroutines of a connection. They run until the connection
// ends.
func (c *Client) start(conn *clientConn) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return ErrClosed
	}
	c.conns[conn] = struct{}{}
	c.monitor.add(conn.conn)
	conn.wg.Go(conn.writeLoop)
	c.wg.Go(func() {
		conn.readLoop(conn.handle)
		c.remove(conn)
	})
	return nil
}

// remove removes a connection after it has ended.
func (c *Client) remove(conn *clientConn) {
	conn.wg.Wait()
	c.monitor.remove(conn.conn)
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.conns, conn)
}

// prune removes endpoints without connections. The caller must hold mu.
func (c *Client) prune() {
	for to, conns := range c.hosts {
		if !conns.inUse() {
			delete(c.hosts, to)
		}
	}
}

// inUse reports whether any connection is open or being opened.
func (h *hostConns) inUse() bool {
	for i := range h.requests {
		if h.requests[i].inUse() {
			return true
		}
	}
	return h.control.inUse()
}

// Close refuses new calls and requests, waits until those in flight have ended
// or ctx ends, and closes every connection.
func (c *Client) Close(ctx context.Context) error {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil
	}
	c.closed = true
	conns := slices.Collect(maps.Keys(c.conns))
	c.mu.Unlock()
	err := waitUntil(ctx, func() bool {
		for _, conn := range conns {
			if conn.inFlight.Load() > 0 && !conn.ended() {
				return false
			}
		}
		return true
	})
	for _, conn := range conns {
		conn.fail(ErrClosed)
	}
	close(c.done)
	c.wg.Wait()
	c.monitor.close()
	return err
}

// pollInterval is the interval at which waitUntil checks its condition.
const pollInterval = 2 * time.Millisecond

// waitUntil waits until condition returns true. It returns an error if ctx ends
// first.
func waitUntil(ctx context.Context, condition func() bool) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("wait for calls and requests in flight: %w", ctx.Err())
		case <-ticker.C:
		}
	}
	return nil
}
