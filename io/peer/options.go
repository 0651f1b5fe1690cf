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
	// DefaultWindow is in bytes a stream.
	DefaultWindow = 256 << 10
	// DefaultRequestBytes is in bytes a Server.
	DefaultRequestBytes = 64 << 20
	// DefaultQueueLength is in frames a connection.
	DefaultQueueLength = 64
	// DefaultRequestWorkers and DefaultCallWorkers bound what a Server runs at once.
	DefaultRequestWorkers = 4096
	DefaultCallWorkers    = 512
)

// closeLinger is how long a closing Server goes on to answer, with a refusal,
// what other hosts have sent before they heard that it closes.
const closeLinger = 100 * time.Millisecond

// maxChunk is the most bytes of an answer's body in one frame.
const maxChunk = 32 << 10

// Options are the limits of both ends. Zero fields take the defaults.
type Options struct {
	// KeepaliveInterval is the interval of pings on a connection with traffic outstanding.
	KeepaliveInterval time.Duration
	// SilenceTimeout is how long such a connection may say nothing before it is closed.
	SilenceTimeout time.Duration
	// DialTimeout bounds the opening of a connection, handshake included.
	DialTimeout time.Duration
	// CancelGrace is how long a cancelled request waits to hear from the other
	// host what became of it.
	CancelGrace time.Duration
	// IdleTimeout is how long a Client keeps an unused connection.
	IdleTimeout time.Duration
	// RequestConns is the number of connections for requests to each host.
	RequestConns int
	// MaxFrame is the largest frame, in bytes.
	MaxFrame int
	// Window is how much of an answer may be under way unread, in bytes.
	Window int
	// QueueLength is how many frames may wait to be written on a connection.
	QueueLength int
	// RequestWorkers and CallWorkers bound what a Server runs at once.
	RequestWorkers int
	CallWorkers    int
	// RequestBytes bounds the size of the requests that a Server runs at once,
	// in bytes.
	RequestBytes int
	// TLS gives a Client's configuration for each new connection, so that
	// certificates may change; nil for plain TCP.
	TLS func() *tls.Config
	// Auth proves and checks the key that hosts share.
	Auth    Auth
	Metrics Metrics
	Clock   clock.Clock
}

// withDefaults returns the options with every zero field filled in.
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

// orDefault returns value, or fallback when it is zero.
func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}
