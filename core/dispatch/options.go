package dispatch

import "time"

// Limits of ingress and leaseholder.
const (
	// DefaultTimeoutWithoutRoute is the timeout of a request, and the maximum of the
	// caller's own timeout, while there is no route and thus no service that sets them.
	DefaultTimeoutWithoutRoute = 10 * time.Second
	// DefaultMaxWait is the longest time for which a request waits until its key has
	// a reachable owner.
	DefaultMaxWait = 1500 * time.Millisecond
	// DefaultMaxWaiters is the maximum number of requests that wait for an owner at
	// one host.
	DefaultMaxWaiters = 4096
	// MaxAttempts is the maximum number of times that a request is forwarded.
	MaxAttempts = 8
	// MaxUnknownRetries is the maximum number of retries after an unknown outcome.
	MaxUnknownRetries = 1

	// firstBackoff and maxBackoff bound the pause between two attempts.
	firstBackoff = 10 * time.Millisecond
	maxBackoff   = 200 * time.Millisecond
	// retryNoOwner is the time after which the caller of a key without an owner is
	// asked to retry.
	retryNoOwner = 500 * time.Millisecond
	// retryDeadlineExceeded is the time after which a caller is asked to retry when the
	// deadline was exceeded.
	retryDeadlineExceeded = 250 * time.Millisecond
	// maxAttemptMargin is the maximum time that must be left for an attempt.
	maxAttemptMargin = 100 * time.Millisecond
	// forwardMargin is the time by which the leaseholder's deadline is earlier, so
	// that its error on an exceeded deadline arrives before the ingress reports its
	// own.
	forwardMargin = 5 * time.Millisecond
	// retryStopping is the time after which a caller is asked to retry at another host when this one stops.
	retryStopping = 100 * time.Millisecond
	// retryNotReplicated is the time after which a caller is asked to retry when
	// the request id could not be replicated, or when the ids of the other hosts
	// could not be collected.
	retryNotReplicated = 250 * time.Millisecond

	// maxBufferedBytes is the size of the largest response that is read completely
	// before it is forwarded, so that a slow caller does not keep a slot of the
	// target in use.
	maxBufferedBytes = 64 << 10
	// breakerFailures is the number of consecutive connections that must fail to
	// open before requests are refused immediately for breakerTimeout.
	breakerFailures = 3
	breakerTimeout  = 100 * time.Millisecond
	// cancelGrace is the time for which a cancelled request keeps its slot, until
	// the target has detected that its connection was closed.
	cancelGrace = 20 * time.Millisecond
	// maxWitnesses is the maximum number of hosts that are asked, one after the
	// other, to remember a request id.
	maxWitnesses = 3
	// maxReplications is the maximum number of ids that are replicated to other
	// hosts concurrently.
	maxReplications = 16
	// witnessTimeout is the timeout of each Witness call.
	witnessTimeout = 250 * time.Millisecond
	// collectTimeout is the timeout of the queries for the ids that other hosts
	// remember.
	collectTimeout = 500 * time.Millisecond
	// collectGrace is the time for which the replies of the hosts of one failure
	// domain are awaited when all other hosts have replied.
	collectGrace = 50 * time.Millisecond
)
