package admission

import (
	"math/rand/v2"
	"time"
)

// Defaults of Options.
const (
	// DefaultServiceTime is the assumed service time before any was observed.
	DefaultServiceTime = 10 * time.Millisecond
	// DefaultMaxWait is the default of Options.MaxWait. A longer queue would not
	// improve the use of the slots, and it would delay refusals.
	DefaultMaxWait = 250 * time.Millisecond
	// DefaultDecreaseFactor is the default of Options.DecreaseFactor.
	DefaultDecreaseFactor = 0.7
	// DefaultRecovery is the default of Options.Recovery.
	DefaultRecovery = 250 * time.Millisecond
	// DefaultInitialPause is the default of Options.InitialPause.
	DefaultInitialPause = 10 * time.Millisecond
	// DefaultMaxPause is the default of Options.MaxPause. It bounds the time from a
	// target's recovery to the next request that is sent to it.
	DefaultMaxPause = 250 * time.Millisecond
	// DefaultMinRetryAfter is the default of Options.MinRetryAfter.
	DefaultMinRetryAfter = 20 * time.Millisecond
	// DefaultMaxRetryAfter is the default of Options.MaxRetryAfter.
	DefaultMaxRetryAfter = 5 * time.Second

	// maxDisplaceAge is the longest time after which a waiting request may still be
	// refused in favour of another key's request. It is below 20 ms, the time within
	// which refusals must be returned.
	maxDisplaceAge = 15 * time.Millisecond
	// stallFactor is the number of service times without the end of any request
	// after which a target is considered stalled.
	stallFactor = 8
	// smoothing is the weight of a new observation in the moving average of the
	// service time.
	smoothing = 0.1
	// retryJitter is the fraction by which retry times are varied at random, so that
	// refused callers do not all retry at the same time.
	retryJitter = 0.25
)

// Options configures a Queue. Zero fields but QueueLength take their defaults.
type Options struct {
	// Slots is the number of the target's slots, at least 1.
	Slots int
	// QueueLength is the maximum number of waiting requests; with 0, a request that
	// can't start at once is refused.
	QueueLength int
	// ServiceTime is the assumed service time before any was observed.
	ServiceTime time.Duration
	// MaxWait is the longest estimated wait with which a request is queued.
	MaxWait time.Duration
	// DecreaseFactor is the factor by which a shed request lowers the concurrency
	// limit.
	DecreaseFactor float64
	// Recovery is the time in which the concurrency limit grows by one slot.
	Recovery time.Duration
	// InitialPause is the pause after a target shed a request while no other one
	// was running. It doubles with each consecutive shed request.
	InitialPause time.Duration
	// MaxPause is the longest pause.
	MaxPause time.Duration
	// MinRetryAfter and MaxRetryAfter bound the time after which a refused caller
	// is asked to retry.
	MinRetryAfter time.Duration
	MaxRetryAfter time.Duration
	// Random returns a number in [0, 1).
	Random func() float64
}

func (o Options) withDefaults() Options {
	setDefault(&o.ServiceTime, DefaultServiceTime)
	setDefault(&o.MaxWait, DefaultMaxWait)
	setDefault(&o.DecreaseFactor, DefaultDecreaseFactor)
	setDefault(&o.Recovery, DefaultRecovery)
	setDefault(&o.InitialPause, DefaultInitialPause)
	setDefault(&o.MaxPause, DefaultMaxPause)
	setDefault(&o.MinRetryAfter, DefaultMinRetryAfter)
	setDefault(&o.MaxRetryAfter, DefaultMaxRetryAfter)
	if o.Random == nil {
		o.Random = rand.Float64
	}
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
