// Package retry bounds how many requests are sent again, so that retries
// cannot multiply an overload.
package retry

import (
	"sync"
	"time"

	"pineturn/core/clock"
)

// Defaults of a Budget.
const (
	// DefaultRatio is how many retries each request allows.
	DefaultRatio = 0.1
	// DefaultFloor is how many retries a second are allowed without requests.
	DefaultFloor = 2.0
	// DefaultBurst is the most retries that are saved up.
	DefaultBurst = 20.0
)

// Budget is a token bucket that requests fill and retries empty.
type Budget struct {
	clock clock.Clock
	ratio float64
	floor float64
	burst float64

	mutex  sync.Mutex
	tokens float64
	filled time.Time
}

// New returns a full budget with the default figures.
func New(source clock.Clock) *Budget {
	return &Budget{
		clock:  source,
		ratio:  DefaultRatio,
		floor:  DefaultFloor,
		burst:  DefaultBurst,
		tokens: DefaultBurst,
		filled: source.Now(),
	}
}

// Request counts a caller's own request.
func (b *Budget) Request() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.tokens = min(b.tokens+b.ratio, b.burst)
}

// Allow takes a token for one retry, and reports whether there was one.
func (b *Budget) Allow() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	now := b.clock.Now()
	b.tokens = min(b.tokens+b.floor*now.Sub(b.filled).Seconds(), b.burst)
	b.filled = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
