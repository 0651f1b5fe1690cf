package caller

import "time"

// Limits of what callers send.
const (
	// DefaultMaxHeaderBytes bounds a request's header, in bytes.
	DefaultMaxHeaderBytes = 32 << 10
	// DefaultMaxBody bounds the body of a request to a service that states no
	// limit, in bytes.
	DefaultMaxBody = 1 << 20
	// DefaultHeaderTimeout is how long a caller may take for its header.
	DefaultHeaderTimeout = 5 * time.Second
	// DefaultReadTimeout is how long a caller may take for a whole request.
	DefaultReadTimeout = 30 * time.Second
	// DefaultIdleTimeout is how long an unused connection is kept.
	DefaultIdleTimeout = 2 * time.Minute
	// DefaultWriteTimeout is how long a caller may take to accept each part of
	// an answer.
	DefaultWriteTimeout = 10 * time.Second

	// DefaultMaxRequests is how many requests a host handles at once.
	DefaultMaxRequests = 8192

	// retryHostFull is when to come back to a host that handles too many.
	retryHostFull = 500 * time.Millisecond
	// maxID and maxKey bound request ids and keys, in bytes.
	maxID  = 128
	maxKey = 1024
	// chunk is the size of the parts in which answers are passed on, in bytes.
	chunk = 32 << 10
)
