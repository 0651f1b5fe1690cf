package listener

import (
	"context"
	"time"
)

const (
	// arrivalPrecision is the time within which reads count as one.
	arrivalPrecision = 5 * time.Millisecond
	// maxArrivals is the number of reads that are told apart.
	maxArrivals = 64
)

// arrival is when buffered bytes were read, up to the one before end.
type arrival struct {
	end int
	at  time.Time
}

// arrivals tells when each buffered byte was read.
type arrivals []arrival

// add adds n bytes that were read at a time.
func (a *arrivals) add(n int, at time.Time) {
	last := len(*a) - 1
	switch {
	case last < 0:
		*a = append(*a, arrival{n, at})
	case at.Sub((*a)[last].at) < arrivalPrecision:
		(*a)[last].end += n
	case len(*a) == maxArrivals:
		(*a)[last] = arrival{(*a)[last].end + n, at}
	default:
		*a = append(*a, arrival{(*a)[last].end + n, at})
	}
}

// drop drops the first n bytes.
func (a *arrivals) drop(n int) {
	kept := (*a)[:0]
	for _, part := range *a {
		if part.end > n {
			kept = append(kept, arrival{part.end - n, part.at})
		}
	}
	*a = kept
}

// of returns when the byte at an index was read, zero if that is not known.
func (a arrivals) of(index int) time.Time {
	for _, part := range a {
		if part.end > index {
			return part.at
		}
	}
	return time.Time{}
}

type arrivalKey struct{}

// Waited returns how long ago the head of the request with this context was read from its caller. A request that was
// sent ahead may have waited for its turn on its connection since. It returns zero if that is not known.
func Waited(ctx context.Context) time.Duration {
	at := arrivedAt(ctx)
	if at.IsZero() {
		return 0
	}
	return time.Since(at)
}

func arrivedAt(ctx context.Context) time.Time {
	if at, ok := ctx.Value(arrivalKey{}).(time.Time); ok {
		return at
	}
	c, ok := callerConn(ctx)
	if !ok || c.ahead == nil {
		return time.Time{}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ahead.arrived
}
