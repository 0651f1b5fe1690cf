// Package dispatch carries a request from the host that a caller reached, the
// entry, to the leaseholder of the key's target, the holder, which alone
// sends it to the target. Only the entry tries again, and only what certainly
// was not run or may be run twice.
package dispatch

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"pineturn/core/clock"
	"pineturn/core/dedup"
	"pineturn/core/message"
	"pineturn/core/outcome"
	"pineturn/core/record"
	"pineturn/core/retry"
	"pineturn/core/route"
)

// Ingress takes callers' requests in. Its function fields are set before use.
type Ingress struct {
	Self  record.Member
	Clock clock.Clock
	// Route finds the way of a key. With an error, the route may still name
	// the service.
	Route func(service, key string) (route.Route, *outcome.Error)
	// Changed returns a channel that is closed when any route changes next.
	Changed func() <-chan struct{}
	// Local serves a request at this host's own Holder.
	Local func(ctx context.Context, entry record.Member, req *message.Request) (*message.Answer, *outcome.Error)
	// Forward passes a request on to another host.
	Forward func(ctx context.Context, holder record.Member, req *message.Request) (*message.Answer, *outcome.Error)
	Dedup   *dedup.Table
	Budget  *retry.Budget
	// Wait and Waiters bound the waiting for an owner; zero for the defaults.
	Wait    time.Duration
	Waiters int

	waiting atomic.Int64
	counts  entryCounts
}

type entryCounts struct {
	requests, attempts, retries, waits, overBudget atomic.Uint64
}

// IngressCounts counts what an Entry did since its start.
type IngressCounts struct {
	// Requests counts callers' requests, Attempts those passed on, Retries
	// the attempts after a request's first.
	Requests uint64 `json:"requests"`
	Attempts uint64 `json:"attempts"`
	Retries  uint64 `json:"retries"`
	// Waits counts waits for an owner, OverBudget the retries not allowed.
	Waits      uint64 `json:"waits"`
	OverBudget uint64 `json:"over_budget"`
	// Waiting is how many requests wait now.
	Waiting int64 `json:"waiting"`
}

// Counts returns the present counts.
func (e *Ingress) Counts() IngressCounts {
	return IngressCounts{
		Requests:   e.counts.requests.Load(),
		Attempts:   e.counts.attempts.Load(),
		Retries:    e.counts.retries.Load(),
		Waits:      e.counts.waits.Load(),
		OverBudget: e.counts.overBudget.Load(),
		Waiting:    e.waiting.Load(),
	}
}

// deadlineBody ends the request's context when its answer is closed.
type deadlineBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close closes the answer and ends its request.
func (b deadlineBody) Close() error {
	err := b.ReadCloser.Close()
	b.cancel()
	return err
}
