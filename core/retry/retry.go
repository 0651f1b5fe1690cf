// Package retry bounds how many requests are sent again, so that retries
// cannot multiply an overload.
package retry

import (
	"sync"
	"time"

	"pineturn/core/clock"
)

// Figures of a Budget.
const (
	// DefaultRequestsPerRetry is how many requests allow one retry.
	DefaultRequestsPerRetry = 10
	// DefaultRetriesPerSecond is how many retries a second are allowed without requests.
	DefaultRetriesPerSecond = 1
	// DefaultBurst is the most retries that are saved up.
	DefaultBurst = 10

	// unit is one retry, in the tokens of the bucket.
	unit = int64(time.Second)
)

// Budget is a token bucket that requests and time fill and retries empty.
type Budget struct {
	clock clock.Clock

	mutex  sync.Mutex
	tokens int64
	filled time.Time
}

// New returns a full budget.
func New(source clock.Clock) *Budget {
	return &Budget{clock: source, tokens: DefaultBurst * unit, filled: source.Now()}
}

// RecordRequest counts a caller's own request.
func (b *Budget) RecordRequest() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.fill(unit / DefaultRequestsPerRetry)
}

// Allow takes a token for one retry, and reports whether there was one.
func (b *Budget) Allow() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	now := b.clock.Now()
	b.fill(DefaultRetriesPerSecond * int64(min(now.Sub(b.filled), time.Hour)))
	b.filled = now
	if b.tokens < unit {
		return false
	}
	b.tokens -= unit
	return true
}

func (b *Budget) fill(tokens int64) {
	b.tokens = min(b.tokens+tokens, DefaultBurst*unit)
}
