// Package load is an open-loop load generator. It sends a workload to pineturn
// hosts, or directly to targets, and records each attempt. Latency is measured
// from the scheduled send time of a request, not from the actual one.
package load

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"pineturn/core/clock"
	"pineturn/core/report"
	"pineturn/core/workload"
)

// Send sends one attempt of a request and sets the result fields of attempt.
type Send func(ctx context.Context, request *workload.Request, attempt *report.Attempt)

// Run is one load run: a schedule, a pool of callers that send its requests, and
// a sink for their attempts. The goroutines share the jobs channel and the sink.
// No other lock is held while the lock of the sink is held.
type Run struct {
	options Options
	send    Send
	clock   clock.Clock
	sink    *Sink
	started time.Time
	jobs    chan job
	// outstanding counts the requests whose last attempt has not ended.
	outstanding sync.WaitGroup
	done        chan struct{}
	callers     sync.WaitGroup
}

// job is an attempt to be sent by a caller. Its number within the request
// starts at 1.
type job struct {
	request *workload.Request
	number  int
	probe   bool
}

// NewRun returns a run that sends attempts with send and records them in sink.
// Scheduled times are relative to the start time of sink.
func NewRun(options Options, send Send, clk clock.Clock, sink *Sink) *Run {
	return &Run{
		options: options, send: send, clock: clk, sink: sink, started: sink.started,
		jobs: make(chan job, jobQueueSize), done: make(chan struct{}),
	}
}

// Do sends the requests of the schedule and returns when the last attempt of each
// has ended. If ctx ends, Do schedules no further requests or retries, and returns
// when the queued attempts and the retries already scheduled have ended.
func (r *Run) Do(ctx context.Context) error {
	defer r.close()
	for range r.options.Callers {
		r.callers.Add(1)
		go r.runCaller(ctx)
	}
	var prober sync.WaitGroup
	if r.options.Probes > 0 {
		prober.Add(1)
		go func() { defer prober.Done(); r.probe(ctx) }()
	}
	err := r.schedule(ctx)
	prober.Wait()
	r.outstanding.Wait()
	return err
}

// close stops the callers and waits for them.
func (r *Run) close() {
	close(r.done)
	r.callers.Wait()
}

// schedule enqueues each request at its scheduled time.
func (r *Run) schedule(ctx context.Context) error {
	if r.options.Schedule.Rate == 0 {
		r.sleepUntil(ctx, r.options.Schedule.Duration)
		return nil
	}
	schedule, err := workload.NewSchedule(r.options.Workload, r.options.Schedule)
	if err != nil {
		return errors.Wrap(err, "create schedule")
	}
	for {
		request, ok := schedule.Next()
		if !ok || !r.sleepUntil(ctx, request.Due()) {
			return nil
		}
		r.outstanding.Add(1)
		r.enqueue(job{request: request, number: 1})
	}
}

// enqueue queues a job for the callers. It drops the job if the run is closed.
func (r *Run) enqueue(next job) {
	select {
	case r.jobs <- next:
	case <-r.done:
		r.outstanding.Done()
	}
}

// sleepUntil waits until the time at, relative to the start of the run, and
// reports whether ctx had not ended by then.
func (r *Run) sleepUntil(ctx context.Context, at time.Duration) bool {
	return clock.Sleep(ctx, at-r.clock.Now().Sub(r.started))
}

// runCaller sends the attempts of queued jobs until the run is closed.
func (r *Run) runCaller(ctx context.Context) {
	defer r.callers.Done()
	for {
		select {
		case next := <-r.jobs:
			r.attempt(ctx, next)
		case <-r.done:
			return
		}
	}
}

// attempt sends one attempt, records its result and schedules a retry if
// necessary.
func (r *Run) attempt(ctx context.Context, next job) {
	attempt := newAttempt(next.request, next.number, next.probe)
	attempt.DueNs = r.sink.unixNano(r.started.Add(next.request.Due()))
	attempt.SentNs = r.sink.unixNano(r.clock.Now())
	// An attempt in progress is completed even if the run is cancelled.
	r.send(context.WithoutCancel(ctx), next.request, &attempt)
	attempt.EndNs = r.sink.unixNano(r.clock.Now())
	delay, retrying := r.retry(ctx, &attempt)
	attempt.Final = !retrying
	r.sink.Add(attempt)
	if !retrying {
		r.outstanding.Done()
		return
	}
	next.number++
	time.AfterFunc(delay, func() { r.enqueue(next) })
}

// retry reports whether the caller retries the request, and returns the delay
// before the retry. The retry has the same request id, so that pineturn can
// recognize a duplicate of a request that must run at most once.
func (r *Run) retry(ctx context.Context, attempt *report.Attempt) (time.Duration, bool) {
	if attempt.Outcome == report.Done || attempt.Probe || ctx.Err() != nil {
		return 0, false
	}
	if attempt.Number >= r.options.Attempts {
		return 0, false
	}
	if attempt.RetryAfterNs > 0 {
		return time.Duration(attempt.RetryAfterNs), true
	}
	switch attempt.Reason {
	case reasonRefused, reasonConnectionBroken, reasonTruncated:
		return defaultRetryDelay, true
	}
	return 0, false
}
