// Package retry limits the retries of one host, so that retries can't amplify an
// overload. Package dispatch uses it with fixed rates for all services together and
// decides by itself which requests may be retried. Package budget limits the retries of
// io/proxy by the operator's limits instead, and package attempt decides on each.
package retry

import (
	"sync"
	"time"

	"pineturn/core/clock"
)

// Parameters of a Budget.
const (
	// DefaultRequestsPerRetry is the number of requests that allow one retry.
	DefaultRequestsPerRetry = 10
	// DefaultRetriesPerSecond is the rate of retries that is allowed without
	// requests.
	DefaultRetriesPerSecond = 1
	// DefaultBurst is the capacity of the bucket, in retries.
	DefaultBurst = 10

	// tokensPerRetry is the number of tokens that one retry takes. At a rate of one
	// retry per second, one token is added per nanosecond.
	tokensPerRetry = int64(time.Second)
)

// Budget is a token bucket that is filled by requests and by the passage of time
// and emptied by retries. It is safe for concurrent use.
type Budget struct {
	clock clock.Clock

	mutex      sync.Mutex
	tokens     int64
	refilledAt time.Time
}

// New returns a budget with a full bucket.
func New(source clock.Clock) *Budget {
	return &Budget{clock: source, tokens: DefaultBurst * tokensPerRetry, refilledAt: source.Now()}
}

// RecordRequest adds the tokens for one caller's request; retries don't count.
func (b *Budget) RecordRequest() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.addTokens(tokensPerRetry / DefaultRequestsPerRetry)
}

// Spend takes the tokens for one retry and reports whether there were enough.
func (b *Budget) Spend() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	now := b.clock.Now()
	// The time is capped so that the product can't overflow.
	b.addTokens(DefaultRetriesPerSecond * int64(min(now.Sub(b.refilledAt), time.Hour)))
	b.refilledAt = now
	if b.tokens < tokensPerRetry {
		return false
	}
	b.tokens -= tokensPerRetry
	return true
}

func (b *Budget) addTokens(tokens int64) {
	b.tokens = min(b.tokens+tokens, DefaultBurst*tokensPerRetry)
}
