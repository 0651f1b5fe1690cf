package proxy

import (
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"pineturn/io/socket"
)

const (
	// connectTimeout bounds the time to connect to a target.
	connectTimeout = 300 * time.Millisecond
	// idleTimeout is how long an idle connection to a target is kept. It is
	// shorter than targets keep theirs, so that none is closed under a request.
	idleTimeout = 6 * time.Second
	// maxIdle bounds the idle connections to a target.
	maxIdle = 3
	// bufferSize is the size of a connection's buffers in bytes.
	bufferSize = 2 << 10
	// silenceTimeout is how long sent bytes may stay unacknowledged.
	silenceTimeout = 2500 * time.Millisecond
	probeInterval  = time.Second
	probeCount     = 2
	maxHeaderBytes = 64 << 10
)

// Pool holds the transport to each target. A target's connections never serve
// another one that has the address later.
type Pool struct {
	mu         sync.Mutex
	transports map[string]*http.Transport
}

// NewPool returns an empty pool.
func NewPool() *Pool { return &Pool{transports: make(map[string]*http.Transport)} }

// Get returns the transport to a target's life at an address.
func (p *Pool) Get(target string) *http.Transport {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.transports[target]
	if t == nil {
		t = newTransport()
		p.transports[target] = t
	}
	return t
}

// Prune drops the transports of all targets but those named.
func (p *Pool) Prune(named map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for target, t := range p.transports {
		if !named[target] {
			t.CloseIdleConnections()
			delete(p.transports, target)
		}
	}
}

func newTransport() *http.Transport {
	dialer := &net.Dialer{
		Timeout:         connectTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: probeCount},
		Control: func(_, _ string, conn syscall.RawConn) error {
			return socket.SetUserTimeout(conn, silenceTimeout)
		},
	}
	return &http.Transport{
		DialContext: dialer.DialContext, DisableCompression: true, IdleConnTimeout: idleTimeout,
		MaxIdleConnsPerHost: maxIdle, ReadBufferSize: bufferSize, WriteBufferSize: bufferSize,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}
