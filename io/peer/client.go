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

// Client asks other hosts. Its methods may be called concurrently. Lock order:
// the client's mutex before a slot's.
type Client struct {
	self    func() record.Member
	options Options
	keeper  *keeper

	mu     sync.Mutex
	hosts  map[endpoint]*hostConns
	conns  map[*clientConn]struct{}
	closed bool

	done chan struct{}
	wg   sync.WaitGroup
}

// hostConns are the places of the connections to one endpoint.
type hostConns struct {
	control  slot
	requests []slot
	next     atomic.Uint32
}

// NewClient returns a client. Self tells who this host is.
func NewClient(self func() record.Member, options Options) *Client {
	c := &Client{
		self:    self,
		options: options.withDefaults(),
		hosts:   make(map[endpoint]*hostConns),
		conns:   make(map[*clientConn]struct{}),
		done:    make(chan struct{}),
	}
	c.keeper = newKeeper(&c.options, true)
	return c
}

// Call asks a control question of one incarnation of a host (Run 0 for any).
// The error is *IncarnationMismatch when another one answers, *VersionMismatch
// when it speaks another version, and *RemoteError when it failed to answer.
func (c *Client) Call(ctx context.Context, to record.Member, call *message.Call) (*message.Reply, error) {
	var fail *failure
	for tries := 0; tries < 2; tries++ {
		conn, err := c.conn(ctx, endpointOf(to), Control)
		if err != nil {
			return nil, fmt.Errorf("call %s: %w", to.Incarnation, err)
		}
		var reply *message.Reply
		if reply, fail = conn.call(ctx, call); fail == nil {
			return reply, nil
		}
		if !c.again(ctx, conn, fail, call.Witness == nil) {
			break
		}
	}
	return nil, fmt.Errorf("call %s: %w", to.Incarnation, fail.err)
}

// again reports whether what failed may be sent once more: it failed by the
// end of its connection, and was not sent or may be repeated.
func (c *Client) again(ctx context.Context, conn *clientConn, fail *failure, repeatable bool) bool {
	if ctx.Err() != nil || conn.alive() {
		return false
	}
	var remote *RemoteError
	if errors.As(fail.err, &remote) {
		return false
	}
	return !fail.sent || repeatable
}

// Request passes a request on to one incarnation of a host (Run 0 for any).
// The error says NotRun only when nothing was handed to the network or the
// other host says so. The answer's body ends when ctx does.
func (c *Client) Request(ctx context.Context, to record.Member, request *message.Request) (*message.Answer, *outcome.Error) {
	var fail *failure
	for tries := 0; tries < 2; tries++ {
		conn, err := c.conn(ctx, endpointOf(to), Requests)
		if err != nil {
			return nil, (&failure{err: err}).outcomeOf()
		}
		var answer *message.Answer
		if answer, fail = conn.request(ctx, request); fail == nil {
			return answer, nil
		}
		if !c.again(ctx, conn, fail, false) {
			break
		}
	}
	c.probe(ctx, to, fail)
	return nil, fail.outcomeOf()
}

// probe tries a fresh connection after a silent one, so that the caller
// learns whether the host is lost or only the connection was.
func (c *Client) probe(ctx context.Context, to record.Member, fail *failure) {
	if !errors.Is(fail.err, ErrSilent) {
		return
	}
	if _, err := c.conn(ctx, endpointOf(to), Requests); err != nil {
		fail.err = fmt.Errorf("%w, and no fresh one: %w", fail.err, err)
		return
	}
	fail.err = fmt.Errorf("%w, a fresh one works", fail.err)
}

// Identify returns who answers at an address (host:port).
func (c *Client) Identify(ctx context.Context, address string) (record.Member, error) {
	conn, err := c.conn(ctx, endpoint{address: address}, Control)
	if err != nil {
		return record.Member{}, fmt.Errorf("identify %s: %w", address, err)
	}
	return conn.remote, nil
}

// conn returns a connection for a plane.
func (c *Client) conn(ctx context.Context, to endpoint, plane Plane) (*clientConn, error) {
	host, err := c.host(to)
	if err != nil {
		return nil, err
	}
	if plane == Control {
		return host.control.get(ctx)
	}
	return host.requests[int(host.next.Add(1))%len(host.requests)].get(ctx)
}

// host returns the places for connections to an endpoint.
func (c *Client) host(to endpoint) (*hostConns, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, ErrClosed
	}
	if host := c.hosts[to]; host != nil {
		return host, nil
	}
	c.prune()
	host := &hostConns{requests: make([]slot, c.options.RequestConns)}
	host.control.open = func() (*clientConn, error) { return c.open(to, Control) }
	for i := range host.requests {
		host.requests[i].open = func() (*clientConn, error) { return c.open(to, Requests) }
	}
	c.hosts[to] = host
	return host, nil
}

// open opens a connection and starts its goroutines.
func (c *Client) open(to endpoint, plane Plane) (*clientConn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), c.options.DialTimeout)
	defer cancel()
	raw, err := c.dial(ctx, to)
	if err != nil {
		return nil, err
	}
	if err := raw.greetServer(ctx, c.self(), to, plane); err != nil {
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

// dial opens a socket and upgrades it.
func (c *Client) dial(ctx context.Context, to endpoint) (*conn, error) {
	socket := &batchConn{tally: new(tally)}
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

// start runs a connection until it ends.
func (c *Client) start(conn *clientConn) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return ErrClosed
	}
	c.conns[conn] = struct{}{}
	c.keeper.add(conn.conn)
	conn.wg.Go(conn.write)
	c.wg.Go(func() {
		conn.read(conn.handle)
		c.retire(conn)
	})
	return nil
}

// retire forgets a connection that has ended.
func (c *Client) retire(conn *clientConn) {
	conn.wg.Wait()
	c.keeper.remove(conn.conn)
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.conns, conn)
}

// prune drops the places that hold no connection. The caller holds mu.
func (c *Client) prune() {
	for to, host := range c.hosts {
		if !host.used() {
			delete(c.hosts, to)
		}
	}
}

// used reports whether any connection is open or being opened.
func (h *hostConns) used() bool {
	for i := range h.requests {
		if h.requests[i].used() {
			return true
		}
	}
	return h.control.used()
}

// Close refuses new calls and requests, waits for those in flight until ctx
// ends, and closes every connection.
func (c *Client) Close(ctx context.Context) error {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil
	}
	c.closed = true
	conns := slices.Collect(maps.Keys(c.conns))
	c.mu.Unlock()
	err := settle(ctx, func() bool {
		for _, conn := range conns {
			if conn.busy.Load() > 0 && !conn.ended() {
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
	c.keeper.close()
	return err
}

// settleStep is how often settle looks.
const settleStep = 2 * time.Millisecond

// settle waits until settled or the context's end.
func settle(ctx context.Context, settled func() bool) error {
	ticker := time.NewTicker(settleStep)
	defer ticker.Stop()
	for !settled() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("close: %w", ctx.Err())
		case <-ticker.C:
		}
	}
	return nil
}
