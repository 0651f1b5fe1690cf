// Package dispatch forwards a request from the ingress, the host that received it from
// the caller, to the leaseholder of the key's target. Only the leaseholder sends the
// request to the target. Only the ingress retries, and only requests that were
// certainly not run or that may run more than once.
package dispatch

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"pineturn/core/clock"
	"pineturn/core/dedup"
	"pineturn/core/latency"
	"pineturn/core/message"
	"pineturn/core/outcome"
	"pineturn/core/record"
	"pineturn/core/retry"
	"pineturn/core/route"
)

// Ingress handles callers' requests. Its exported fields are set before use.
type Ingress struct {
	Self  record.Member
	Clock clock.Clock
	// Route returns the route of a key. The route of an error may still have the
	// service set.
	Route func(service, key string) (route.Route, *outcome.Error)
	// Changed returns a channel that is closed when any route changes next.
	Changed func() <-chan struct{}
	// Local serves a request at the Leaseholder of this host.
	Local func(ctx context.Context, ingress record.Member, req *message.Request) (*message.Response, *outcome.Error)
	// Forward forwards a request to another host.
	Forward func(ctx context.Context, leaseholder record.Member, req *message.Request) (*message.Response, *outcome.Error)
	Dedup   *dedup.Table
	Budget  *retry.Budget
	// MaxWait bounds the time for which a request waits for an owner, MaxWaiters the
	// number of waiting requests. Zero selects DefaultMaxWait and DefaultMaxWaiters.
	MaxWait    time.Duration
	MaxWaiters int

	// stopAt is when the connections of callers end; nil before the stop of this host.
	stopAt atomic.Pointer[time.Time]
	// latencies holds the latencies of the requests that this host has forwarded, by service.
	latencies latency.Table
	waiting   atomic.Int64
	counts    ingressCounts
}

type ingressCounts struct {
	requests, attempts, retries, waits, overBudget atomic.Uint64
}

// IngressCounts holds the counters of an Ingress since its start.
type IngressCounts struct {
	// Requests counts callers' requests. Attempts counts the attempts to serve a
	// request at this host's Leaseholder or to forward it, and Retries those after
	// the first attempt of each request.
	Requests uint64 `json:"requests"`
	Attempts uint64 `json:"attempts"`
	Retries  uint64 `json:"retries"`
	// Waits counts the waits for an owner, OverBudget the retries that the retry
	// budget did not allow.
	Waits      uint64 `json:"waits"`
	OverBudget uint64 `json:"over_budget"`
	// Waiting is the number of requests that wait now.
	Waiting int64 `json:"waiting"`
}

// Counts returns the current counters.
func (i *Ingress) Counts() IngressCounts {
	return IngressCounts{
		Requests:   i.counts.requests.Load(),
		Attempts:   i.counts.attempts.Load(),
		Retries:    i.counts.retries.Load(),
		Waits:      i.counts.waits.Load(),
		OverBudget: i.counts.overBudget.Load(),
		Waiting:    i.waiting.Load(),
	}
}

// deadlineBody cancels the request's context when its response is closed.
type deadlineBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close closes the response and cancels the request's context.
func (b deadlineBody) Close() error {
	err := b.ReadCloser.Close()
	b.cancel()
	return err
}
