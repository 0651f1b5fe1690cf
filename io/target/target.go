// Package target speaks to the servers that own keys: the control orders that
// grant them shards, and the callers' requests.
package target

import (
	"net"
	"net/http"
	"sync"
	"syscall"

	"pineturn/core/clock"
	"pineturn/io/socket"
)

// Client sends orders and requests to any number of targets. Requests and
// orders use separate connections, so that neither waits for the other.
type Client struct {
	clock   clock.Clock
	options Options
	dialer  *net.Dialer

	// mutex guards the tables; it is never held across I/O.
	mutex    sync.Mutex
	controls map[string]*http.Transport
	requests map[string]*pool
}

// pool is the connections for the requests to one address.
type pool struct {
	transport   *http.Transport
	connections int
}

// New returns a client that reads the given clock.
func New(source clock.Clock, options Options) *Client {
	options = options.withDefaults()
	return &Client{
		clock:    source,
		options:  options,
		dialer:   newDialer(options),
		controls: make(map[string]*http.Transport),
		requests: make(map[string]*pool),
	}
}

// newDialer opens connections that the kernel gives up when the other end
// does not acknowledge what is sent, or keepalive probes while nothing is.
func newDialer(options Options) *net.Dialer {
	return &net.Dialer{
		Timeout: options.DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     options.KeepAlive,
			Interval: options.KeepAlive,
			Count:    keepAliveProbes,
		},
		Control: func(_, _ string, conn syscall.RawConn) error {
			return socket.SetUserTimeout(conn, (keepAliveProbes+1)*options.KeepAlive)
		},
	}
}

// Close drops all idle connections.
func (c *Client) Close() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, transport := range c.controls {
		transport.CloseIdleConnections()
	}
	for _, pool := range c.requests {
		pool.transport.CloseIdleConnections()
	}
}

// Reset makes the next order to address use a fresh connection. Orders in
// flight keep theirs.
func (c *Client) Reset(address string) {
	c.mutex.Lock()
	transport := c.controls[address]
	delete(c.controls, address)
	c.mutex.Unlock()
	if transport != nil {
		transport.CloseIdleConnections()
	}
}

// ResetRequests makes the next request to address use a fresh connection.
// Requests in flight keep theirs.
func (c *Client) ResetRequests(address string) {
	c.mutex.Lock()
	pool := c.requests[address]
	c.mutex.Unlock()
	if pool != nil {
		pool.transport.CloseIdleConnections()
	}
}

// Forget drops the connections to an address that is no longer in use.
func (c *Client) Forget(address string) {
	c.Reset(address)
	c.mutex.Lock()
	pool := c.requests[address]
	delete(c.requests, address)
	c.mutex.Unlock()
	if pool != nil {
		pool.transport.CloseIdleConnections()
	}
}

func (c *Client) control(address string) *http.Transport {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	transport, ok := c.controls[address]
	if !ok {
		transport = c.transport(c.options.ControlConnections)
		transport.DialContext, transport.DialTLSContext = c.dialer.DialContext, c.dialTLS
		c.controls[address] = transport
	}
	return transport
}

// request returns the connections for requests to address. A changed limit
// starts a new pool.
func (c *Client) request(address string, most int) *http.Transport {
	connections := c.share(most)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	existing, ok := c.requests[address]
	if ok && existing.connections == connections {
		return existing.transport
	}
	if ok {
		existing.transport.CloseIdleConnections()
	}
	transport := c.transport(connections)
	transport.DialContext = guarded(c.dialer.DialContext)
	transport.DialTLSContext = guarded(c.dialTLS)
	c.requests[address] = &pool{transport: transport, connections: connections}
	return transport
}

// share is how many of the connections that a target accepts are for
// requests; the others are for orders, and for one that replaces a silent one.
func (c *Client) share(most int) int {
	if most <= 0 {
		return c.options.Connections
	}
	return max(most-c.options.ControlConnections-1, 1)
}

func (c *Client) transport(connections int) *http.Transport {
	return &http.Transport{
		MaxConnsPerHost:        connections,
		MaxIdleConns:           connections,
		MaxIdleConnsPerHost:    connections,
		IdleConnTimeout:        c.options.IdleTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: c.options.MaxHeader,
	}
}
