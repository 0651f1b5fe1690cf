// Package target is a client for targets, the servers that own keys. It sends them
// orders, which probe them or grant them shards, and forwards the requests of
// callers.
package target

import (
	"net"
	"net/http"
	"sync"
	"syscall"

	"pineturn/core/clock"
	"pineturn/io/socket"
)

// Client sends orders and requests to any number of targets. Orders and requests use
// separate connections, so that neither waits for the other.
type Client struct {
	clock   clock.Clock
	options Options
	dialer  *net.Dialer

	// mutex guards orderTransports and requests, which are keyed by address. It is not
	// held during I/O.
	mutex           sync.Mutex
	orderTransports map[string]*http.Transport
	requests        map[string]*pool
}

// pool is the pool of connections for requests to one address.
type pool struct {
	transport *http.Transport
	// connections is the maximum number of connections.
	connections int
}

// New returns a client that uses the given clock.
func New(clk clock.Clock, options Options) *Client {
	options = options.withDefaults()
	return &Client{
		clock:           clk,
		options:         options,
		dialer:          newDialer(options),
		orderTransports: make(map[string]*http.Transport),
		requests:        make(map[string]*pool),
	}
}

// newDialer returns a dialer whose connections are closed by the kernel if the target
// does not acknowledge sent data or, on idle connections, keepalive probes.
func newDialer(options Options) *net.Dialer {
	return &net.Dialer{
		Timeout: options.DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     options.KeepaliveInterval,
			Interval: options.KeepaliveInterval,
			Count:    keepaliveProbes,
		},
		Control: func(_, _ string, conn syscall.RawConn) error {
			// The timeout equals the time in which an idle connection fails:
			// the idle time before the first probe and all probe intervals.
			return socket.SetUserTimeout(conn, (keepaliveProbes+1)*options.KeepaliveInterval)
		},
	}
}

// Close closes all idle connections.
func (c *Client) Close() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, transport := range c.orderTransports {
		transport.CloseIdleConnections()
	}
	for _, pool := range c.requests {
		pool.transport.CloseIdleConnections()
	}
}

// ResetOrders makes the next order to address use a new connection. Orders in flight
// keep their connections.
func (c *Client) ResetOrders(address string) {
	c.mutex.Lock()
	transport := c.orderTransports[address]
	delete(c.orderTransports, address)
	c.mutex.Unlock()
	if transport != nil {
		transport.CloseIdleConnections()
	}
}

// ResetRequests makes the next request to address use a new connection. Requests in
// flight keep their connections.
func (c *Client) ResetRequests(address string) {
	c.mutex.Lock()
	pool := c.requests[address]
	c.mutex.Unlock()
	if pool != nil {
		pool.transport.CloseIdleConnections()
	}
}

// Remove closes the idle connections to an address that is no longer in use and
// removes its pools.
func (c *Client) Remove(address string) {
	c.ResetOrders(address)
	c.mutex.Lock()
	pool := c.requests[address]
	delete(c.requests, address)
	c.mutex.Unlock()
	if pool != nil {
		pool.transport.CloseIdleConnections()
	}
}

// orderTransport returns the transport for orders to address.
func (c *Client) orderTransport(address string) *http.Transport {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	transport, ok := c.orderTransports[address]
	if !ok {
		transport = c.newTransport(c.options.OrderConnections)
		transport.DialContext, transport.DialTLSContext = c.dialer.DialContext, c.dialTLS
		c.orderTransports[address] = transport
	}
	return transport
}

// requestTransport returns the transport for requests to the target at address, which
// accepts maxConnections connections. If that limit has changed, requestTransport
// replaces the pool.
func (c *Client) requestTransport(address string, maxConnections int) *http.Transport {
	connections := c.requestConnections(maxConnections)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	existing, ok := c.requests[address]
	if ok && existing.connections == connections {
		return existing.transport
	}
	if ok {
		existing.transport.CloseIdleConnections()
	}
	transport := c.newTransport(connections)
	transport.DialContext = guardDial(c.dialer.DialContext)
	transport.DialTLSContext = guardDial(c.dialTLS)
	c.requests[address] = &pool{transport: transport, connections: connections}
	return transport
}

// requestConnections returns how many of the connections that a target accepts are
// used for requests, at least one. The others are reserved for orders and for one
// connection that replaces an unresponsive one. If maxConnections is not positive,
// requestConnections returns the default limit.
func (c *Client) requestConnections(maxConnections int) int {
	if maxConnections <= 0 {
		return c.options.RequestConnections
	}
	return max(maxConnections-c.options.OrderConnections-1, 1)
}

func (c *Client) newTransport(connections int) *http.Transport {
	return &http.Transport{
		MaxConnsPerHost:        connections,
		MaxIdleConns:           connections,
		MaxIdleConnsPerHost:    connections,
		IdleConnTimeout:        c.options.IdleTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: c.options.MaxHeaderBytes,
	}
}
