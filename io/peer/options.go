package peer

import (
	"crypto/tls"
	"time"

	"pineturn/core/clock"
)

// Defaults of Options.
const (
	DefaultKeepaliveInterval = 250 * time.Millisecond
	DefaultSilenceTimeout    = 700 * time.Millisecond
	DefaultDialTimeout       = 300 * time.Millisecond
	DefaultCancelGrace       = 20 * time.Millisecond
	DefaultIdleTimeout       = time.Minute
	DefaultRequestConns      = 2
	// DefaultMaxFrame is in bytes.
	DefaultMaxFrame = 4 << 20
	// DefaultWindow is in bytes per stream.
	DefaultWindow = 256 << 10
	// DefaultRequestBytes is in bytes per Server.
	DefaultRequestBytes = 64 << 20
	// DefaultQueueLength is in frames per connection.
	DefaultQueueLength = 64
	// DefaultRequestWorkers and DefaultCallWorkers are per Server.
	DefaultRequestWorkers = 4096
	DefaultCallWorkers    = 512
)

// closeGrace is how long a closing Server keeps refusing the calls and requests
// that other hosts sent before they received the GOAWAY frame.
const closeGrace = 100 * time.Millisecond

// maxChunk is the maximum number of body bytes in one frame.
const maxChunk = 32 << 10

// Options configures a Client or a Server. Zero fields take the defaults.
type Options struct {
	// KeepaliveInterval is the interval of pings on a connection on which data
	// from the other host is expected.
	KeepaliveInterval time.Duration
	// SilenceTimeout is how long such a connection may receive no data before it
	// is closed.
	SilenceTimeout time.Duration
	// DialTimeout limits the opening of a connection, including the handshake.
	DialTimeout time.Duration
	// CancelGrace is how long a cancelled request waits for the other host to
	// report the outcome.
	CancelGrace time.Duration
	// IdleTimeout is how long a Client keeps an unused connection open.
	IdleTimeout time.Duration
	// RequestConns is the number of connections for requests to each host.
	RequestConns int
	// MaxFrame is the maximum size of a frame, in bytes.
	MaxFrame int
	// Window is the flow-control window of a response body: the maximum number of
	// bytes sent but not yet read.
	Window int
	// QueueLength is the maximum number of frames in the write queue of a
	// connection. Urgent frames have a queue of their own.
	QueueLength int
	// RequestWorkers and CallWorkers are the maximum numbers of requests and calls
	// that a Server runs concurrently.
	RequestWorkers int
	CallWorkers    int
	// RequestBytes is the maximum total size of the calls and requests in flight
	// at a Server, in bytes. A single one is accepted at any size.
	RequestBytes int
	// TLS returns a Client's configuration for a new connection. It is called for
	// each connection, so that certificates can be replaced at run time. If it is
	// nil, connections use plain TCP.
	TLS func() *tls.Config
	// Auth authenticates hosts with a shared key.
	Auth    Auth
	Metrics Metrics
	Clock   clock.Clock
}

// withDefaults returns the options with zero fields replaced by the defaults.
func (o Options) withDefaults() Options {
	o.KeepaliveInterval = orDefault(o.KeepaliveInterval, DefaultKeepaliveInterval)
	o.SilenceTimeout = orDefault(o.SilenceTimeout, DefaultSilenceTimeout)
	o.DialTimeout = orDefault(o.DialTimeout, DefaultDialTimeout)
	o.CancelGrace = orDefault(o.CancelGrace, DefaultCancelGrace)
	o.IdleTimeout = orDefault(o.IdleTimeout, DefaultIdleTimeout)
	o.RequestConns = orDefault(o.RequestConns, DefaultRequestConns)
	o.MaxFrame = orDefault(o.MaxFrame, DefaultMaxFrame)
	o.Window = orDefault(o.Window, DefaultWindow)
	o.QueueLength = orDefault(o.QueueLength, DefaultQueueLength)
	o.RequestWorkers = orDefault(o.RequestWorkers, DefaultRequestWorkers)
	o.CallWorkers = orDefault(o.CallWorkers, DefaultCallWorkers)
	o.RequestBytes = orDefault(o.RequestBytes, DefaultRequestBytes)
	if o.Clock == nil {
		o.Clock = clock.System{}
	}
	o.Metrics = o.Metrics.withDefaults()
	return o
}

// orDefault returns value, or fallback if value is zero.
func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}
