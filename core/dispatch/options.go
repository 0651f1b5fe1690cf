package dispatch

import "time"

// Limits of entry and holder.
const (
	// DefaultTimeout is a request's time when neither caller nor service
	// states one.
	DefaultTimeout = 10 * time.Second
	// DefaultWait is how long a request waits at most for its key to have an
	// owner that can be reached.
	DefaultWait = 1500 * time.Millisecond
	// DefaultWaiters is how many requests may wait so at one host.
	DefaultWaiters = 4096
	// MaxAttempts is how many times a request is passed on at most.
	MaxAttempts = 8
	// MaxUncertain is how many of these may follow an unknown outcome.
	MaxUncertain = 1

	// firstBackoff and maxBackoff bound the pause between two attempts.
	firstBackoff = 10 * time.Millisecond
	maxBackoff   = 200 * time.Millisecond
	// retryNoOwner tells the caller of a key without an owner when to come
	// back.
	retryNoOwner = 500 * time.Millisecond
	// retryLate tells the caller whose deadline passed when to come back.
	retryLate = 250 * time.Millisecond
	// hopMargin is how much less time the next host is given, so that its own
	// words on a deadline arrive before this host's.
	hopMargin = 5 * time.Millisecond
	// retryWitness tells the caller when no second host could be asked to
	// remember the request.
	retryWitness = 250 * time.Millisecond

	// maxBuffered is the largest answer that is read whole before it is passed
	// on, in bytes, so that a slow caller does not hold a slot of the target.
	maxBuffered = 64 << 10
	// breakerFailures is how many connections in a row must fail to open
	// before requests are refused at once, for breakerPause.
	breakerFailures = 3
	breakerPause    = 100 * time.Millisecond
	// cancelLinger is how long a cancelled request keeps its slot, while the
	// target notices that its connection was closed.
	cancelLinger = 20 * time.Millisecond
	// maxWitnesses is how many hosts are asked in turn to remember a request.
	maxWitnesses = 3
	// maxCopying is how many ids are handed to other hosts at once.
	maxCopying = 16
	// witnessTimeout bounds each such question.
	witnessTimeout = 250 * time.Millisecond
	// recallTimeout bounds the questions for what other hosts remember.
	recallTimeout = 500 * time.Millisecond
	// recallGrace is how long the hosts of one failure domain are waited for
	// when all others have answered.
	recallGrace = 50 * time.Millisecond
)
