package admission

import (
	"math/rand/v2"
	"time"
)

// Defaults of Options.
const (
	// DefaultService is the service time assumed before any was observed.
	DefaultService = 10 * time.Millisecond
	// DefaultQueue is how many requests may wait when no limit is stated.
	DefaultQueue = 64
	// DefaultMaxWait is the longest wait, as far as it can be foreseen, for
	// which a request is queued. Slots never idle for want of a longer queue,
	// and callers hear soon that they are to come back.
	DefaultMaxWait = 250 * time.Millisecond
	// DefaultCut is the factor by which a shed lowers the concurrency limit.
	DefaultCut = 0.7
	// DefaultRecovery is the time in which the limit grows by one slot again.
	DefaultRecovery = 250 * time.Millisecond
	// DefaultPause is the first pause after a target shed a request with no
	// other one running; it doubles with each shed in a row.
	DefaultPause = 10 * time.Millisecond
	// DefaultMaxPause bounds the pause, and so the time from a target's
	// recovery to the next request that it is sent.
	DefaultMaxPause = 250 * time.Millisecond
	// DefaultMinRetry is the least time after which a refused caller is told
	// to come back.
	DefaultMinRetry = 20 * time.Millisecond
	// DefaultMaxRetry is the longest such time.
	DefaultMaxRetry = 5 * time.Second

	// youth is how long a request may have waited to be refused in favour of
	// another key's: a refusal is to be told within 20 ms.
	youth = 15 * time.Millisecond
	// stallFactor is how many service times may pass without the end of any
	// request before the target counts as stalled.
	stallFactor = 8
	// smoothing is the weight of a new observation in the service time.
	smoothing = 0.1
	// retrySpread is the fraction by which a told time is moved at random, so
	// that refused callers do not come back together.
	retrySpread = 0.25
)

// Options tunes a Queue; a zero field takes its default.
type Options struct {
	Slots    int
	Queue    int
	Service  time.Duration
	MaxWait  time.Duration
	Cut      float64
	Recovery time.Duration
	Pause    time.Duration
	MaxPause time.Duration
	MinRetry time.Duration
	MaxRetry time.Duration
	// Random returns a number in [0, 1).
	Random func() float64
}

func (o Options) withDefaults() Options {
	setDefault(&o.Queue, DefaultQueue)
	setDefault(&o.Service, DefaultService)
	setDefault(&o.MaxWait, DefaultMaxWait)
	setDefault(&o.Cut, DefaultCut)
	setDefault(&o.Recovery, DefaultRecovery)
	setDefault(&o.Pause, DefaultPause)
	setDefault(&o.MaxPause, DefaultMaxPause)
	setDefault(&o.MinRetry, DefaultMinRetry)
	setDefault(&o.MaxRetry, DefaultMaxRetry)
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
