package caller

import "time"

// The limits for callers.
const (
	// DefaultMaxHeaderBytes is the maximum size of a request's header, in bytes.
	DefaultMaxHeaderBytes = 32 << 10
	// DefaultMaxBody is the maximum size of a request's body, in bytes, for
	// services whose configuration sets no limit.
	DefaultMaxBody = 1 << 20
	// DefaultHeaderTimeout is the time limit for reading a request's header.
	DefaultHeaderTimeout = 5 * time.Second
	// DefaultReadTimeout is the time limit for reading a whole request.
	DefaultReadTimeout = 30 * time.Second
	// DefaultIdleTimeout is the time after which an idle connection is closed.
	DefaultIdleTimeout = 2 * time.Minute
	// DefaultWriteTimeout is the time limit for writing each chunk of a
	// response.
	DefaultWriteTimeout = 10 * time.Second

	// DefaultMaxRequests is the maximum number of requests in flight on a host.
	DefaultMaxRequests = 8192

	// retryAfterOverload is the retry delay for requests that are refused
	// because of DefaultMaxRequests.
	retryAfterOverload = 500 * time.Millisecond
	// maxID is the maximum length of a request id, in bytes.
	maxID = 128
	// maxKey is the maximum length of a key and of a service name, in bytes.
	maxKey = 1024
	// chunkSize is the size of the buffers for copying response bodies, in
	// bytes.
	chunkSize = 32 << 10
)
