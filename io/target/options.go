package target

import (
	"crypto/tls"
	"net/http"
	"time"
)

// Defaults of Options.
const (
	// DefaultDialTimeout bounds the opening of a connection.
	DefaultDialTimeout = 250 * time.Millisecond
	// DefaultKeepaliveInterval is the interval of TCP keepalive probes, at least one
	// second.
	DefaultKeepaliveInterval = time.Second
	// DefaultIdleTimeout is how long an unused connection is kept. It is
	// short because an idle connection may have gone silent.
	DefaultIdleTimeout = 2 * time.Second
	// DefaultControlConnections is how many connections a target's orders use.
	DefaultControlConnections = 2
	// DefaultRequestConnections bounds the connections for the requests to a target
	// whose configuration states no limit.
	DefaultRequestConnections = 16
	// DefaultResponseGrace is how long an answer may still come after the grant
	// under which its request ran has ended.
	DefaultResponseGrace = 250 * time.Millisecond
	// DefaultMaxHeaderBytes bounds an answer's header, in bytes.
	DefaultMaxHeaderBytes = 64 << 10
	// keepaliveProbes is how many probes in a row may stay unanswered.
	keepaliveProbes = 3
	// maxStatus bounds a status answer, in bytes.
	maxStatus = 64 << 10
)

// Options tunes a Client; a zero field takes its default.
type Options struct {
	DialTimeout        time.Duration
	KeepaliveInterval  time.Duration
	IdleTimeout        time.Duration
	ControlConnections int
	RequestConnections int
	ResponseGrace      time.Duration
	MaxHeaderBytes     int64
	// TLS gives the configuration for each new connection; nil for none.
	TLS func() *tls.Config
	// Authorize adds what shows the target who asks to an order or request;
	// nil for nothing. After an error nothing is sent.
	Authorize func(request *http.Request) error
}

func (o Options) withDefaults() Options {
	setDefault(&o.DialTimeout, DefaultDialTimeout)
	setDefault(&o.KeepaliveInterval, DefaultKeepaliveInterval)
	setDefault(&o.IdleTimeout, DefaultIdleTimeout)
	setDefault(&o.ControlConnections, DefaultControlConnections)
	setDefault(&o.RequestConnections, DefaultRequestConnections)
	setDefault(&o.ResponseGrace, DefaultResponseGrace)
	setDefault(&o.MaxHeaderBytes, DefaultMaxHeaderBytes)
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
