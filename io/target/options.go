package target

import (
	"crypto/tls"
	"net/http"
	"time"
)

// The defaults of Options, and fixed limits.
const (
	// DefaultDialTimeout is the time limit for opening a connection, including
	// the TLS handshake.
	DefaultDialTimeout = 250 * time.Millisecond
	// DefaultKeepaliveInterval is the interval of TCP keepalive probes. It must
	// be at least one second.
	DefaultKeepaliveInterval = time.Second
	// DefaultIdleTimeout is the time after which an idle connection is closed.
	// It is short because an idle connection may have stopped responding.
	DefaultIdleTimeout = 2 * time.Second
	// DefaultOrderConnections is the maximum number of connections for orders
	// to one target.
	DefaultOrderConnections = 2
	// DefaultRequestConnections is the maximum number of connections for
	// requests to a target whose configuration sets no limit.
	DefaultRequestConnections = 16
	// DefaultResponseGrace is how long a response may still arrive after the
	// end of the grant under which its request ran.
	DefaultResponseGrace = 250 * time.Millisecond
	// DefaultMaxHeaderBytes is the maximum size of a response's header, in
	// bytes.
	DefaultMaxHeaderBytes = 64 << 10
	// keepaliveProbes is the number of consecutive unacknowledged probes after
	// which a connection is closed.
	keepaliveProbes = 3
	// maxStatusBytes is the maximum size of the body of a response to an order,
	// in bytes. A longer body is truncated.
	maxStatusBytes = 64 << 10
)

// Options configures a Client. Zero fields take the defaults.
type Options struct {
	DialTimeout        time.Duration
	KeepaliveInterval  time.Duration
	IdleTimeout        time.Duration
	OrderConnections   int
	RequestConnections int
	ResponseGrace      time.Duration
	MaxHeaderBytes     int64
	// TLS returns the configuration for each new connection. If TLS is nil,
	// connections are not encrypted.
	TLS func() *tls.Config
	// Authorize adds credentials to an order or request. If it returns an
	// error, nothing is sent. If Authorize is nil, no credentials are added.
	Authorize func(request *http.Request) error
}

func (o Options) withDefaults() Options {
	setDefault(&o.DialTimeout, DefaultDialTimeout)
	setDefault(&o.KeepaliveInterval, DefaultKeepaliveInterval)
	setDefault(&o.IdleTimeout, DefaultIdleTimeout)
	setDefault(&o.OrderConnections, DefaultOrderConnections)
	setDefault(&o.RequestConnections, DefaultRequestConnections)
	setDefault(&o.ResponseGrace, DefaultResponseGrace)
	setDefault(&o.MaxHeaderBytes, DefaultMaxHeaderBytes)
	return o
}

// setDefault sets a zero field to value.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
