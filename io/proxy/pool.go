package proxy

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"pineturn/io/http1"
	"pineturn/io/socket"
)

const (
	// connectTimeout limits the time to connect to a target.
	connectTimeout = 300 * time.Millisecond
	// idleTimeout is how long an idle connection to a target is kept open. It is
	// shorter than the idle timeout of targets, so that no target closes a
	// connection on which a request is being sent.
	idleTimeout = 6 * time.Second
	// maxIdleConns limits the number of idle connections to one target.
	maxIdleConns = 3
	// bufferSize is the size of the read and write buffers of a connection, in
	// bytes each.
	bufferSize = 2 << 10
	// userTimeout is how long sent data may stay unacknowledged before the
	// kernel closes the connection.
	userTimeout = 2500 * time.Millisecond
	// keepAliveInterval and keepAliveProbes set the TCP keep-alive of idle
	// connections.
	keepAliveInterval = time.Second
	keepAliveProbes   = 2
	// maxHeaderBytes limits the size of a target's response header.
	maxHeaderBytes = 64 << 10
)

// Pool holds the connections to each target. They are not shared, so a
// connection to one target is never used for another target that is later
// started at the same address.
type Pool struct {
	// Dial opens connections to targets. It must be set before use.
	Dial socket.DialFunc
	// HandleDial is called with the result of each connection to a target. It must be
	// set before use.
	HandleDial func(target string, err error)

	mu      sync.Mutex
	targets map[string]*targetConns
}

// targetConns are the connections to a target.
type targetConns struct {
	// kept keeps connections for further requests. single opens one for each request, and is not
	// set before the first.
	kept, single http1.Transport
	// refusedAt is when a refusal without a request id has come last; zero for never.
	refusedAt time.Time
}

// NewPool returns an empty pool, whose Dial opens TCP connections with the timeouts of
// this package. They are reset when they are closed: a request that was given up must not
// arrive after a network partition.
func NewPool() *Pool {
	return &Pool{
		Dial: socket.DiscardOnClose(newDialer().DialContext), HandleDial: func(string, error) {}, targets: make(map[string]*targetConns),
	}
}

// Get returns the transport for an incarnation of a target, by its id. It
// creates the transport on first use.
func (p *Pool) Get(target string) http1.Transport {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conns(target).kept
}

// conns returns the connections to a target. The caller holds mu.
func (p *Pool) conns(target string) *targetConns {
	c := p.targets[target]
	if c == nil {
		c = &targetConns{kept: p.newTransport(target)}
		p.targets[target] = c
	}
	return c
}

func (p *Pool) newTransport(target string) http1.Transport {
	return newTransport(socket.Tracked(func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := p.Dial(ctx, network, address)
		p.HandleDial(target, err)
		return conn, err
	}))
}

// single returns the transport for a request to a target that needs a connection which carries no other.
func (p *Pool) single(target string) http1.Transport {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.conns(target)
	if c.single.Transport == nil {
		c.single = p.newTransport(target)
		c.single.MaxIdleConnsPerHost = -1
	}
	return c.single
}

// refusedLately reports whether a target may still write a refusal without a request id once more.
func (p *Pool) refusedLately(target string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conns(target).refusedSince(now.Add(-copyTime))
}

// recordRefusal records a refusal without a request id, and closes the idle connections to the target.
// It reports whether the target has refused others lately.
func (p *Pool) recordRefusal(target string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.conns(target)
	before := c.refusedSince(now.Add(-copyTime))
	c.refusedAt = now
	c.kept.CloseIdleConnections()
	return before
}

func (c *targetConns) refusedSince(t time.Time) bool { return c.refusedAt.After(t) }

// Prune removes the connections to all targets whose id is not in live.
func (p *Pool) Prune(live map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for target, c := range p.targets {
		if !live[target] {
			c.kept.CloseIdleConnections()
			delete(p.targets, target)
		}
	}
}

func newDialer() *net.Dialer {
	return &net.Dialer{
		Timeout:         connectTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes},
		Control: func(_, _ string, conn syscall.RawConn) error {
			return socket.SetUserTimeout(conn, userTimeout)
		},
	}
}

func newTransport(dial socket.DialFunc) http1.Transport {
	return http1.Transport{Transport: &http.Transport{
		DialContext: dial, DisableCompression: true, IdleConnTimeout: idleTimeout,
		MaxIdleConnsPerHost: maxIdleConns, ReadBufferSize: bufferSize, WriteBufferSize: bufferSize,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}}
}
