// Package load sends a workload to pineturn's entry hosts, or directly to
// targets, on an open loop schedule, and records each attempt. Latencies
// count from the time at which the schedule meant a request to be sent.
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

// Send makes one attempt of a request and fills in its result.
type Send func(ctx context.Context, request *workload.Request, attempt *report.Attempt)

// Run is one load run: a schedule, a pool of callers that send its requests,
// and a collector of their attempts. Its goroutines share the jobs channel
// and the sink; the sink's lock is taken alone.
type Run struct {
	options Options
	send    Send
	clock   clock.Clock
	sink    *Sink
	started time.Time
	jobs    chan job
	// outstanding counts the requests that have not had their last attempt.
	outstanding sync.WaitGroup
	done        chan struct{}
	callers     sync.WaitGroup
}

// job is an attempt that is due.
type job struct {
	request *workload.Request
	number  int
	probe   bool
}

// NewRun returns a run that sends with send and records to sink. Its clock
// starts now.
func NewRun(options Options, send Send, clk clock.Clock, sink *Sink) *Run {
	return &Run{
		options: options, send: send, clock: clk, sink: sink, started: sink.started,
		jobs: make(chan job, waiting), done: make(chan struct{}),
	}
}

// Do sends the whole schedule and returns when each request has had its last
// attempt, or soon after ctx ends.
func (r *Run) Do(ctx context.Context) error {
	defer r.close()
	for range r.options.Callers {
		r.callers.Add(1)
		go r.call(ctx)
	}
	var probing sync.WaitGroup
	if r.options.Probes > 0 {
		probing.Add(1)
		go func() { defer probing.Done(); r.probe(ctx) }()
	}
	err := r.schedule(ctx)
	probing.Wait()
	r.outstanding.Wait()
	return err
}

// close ends the callers.
func (r *Run) close() {
	close(r.done)
	r.callers.Wait()
}

// schedule hands each request to the callers when it is due.
func (r *Run) schedule(ctx context.Context) error {
	if r.options.Schedule.Rate == 0 {
		r.sleepUntil(ctx, r.options.Schedule.Duration)
		return nil
	}
	schedule, err := workload.NewSchedule(r.options.Workload, r.options.Schedule)
	if err != nil {
		return errors.Wrap(err, "start run")
	}
	for {
		request, ok := schedule.Next()
		if !ok || !r.sleepUntil(ctx, request.Due()) {
			return nil
		}
		r.outstanding.Add(1)
		r.push(job{request: request, number: 1})
	}
}

// push gives the job to the callers.
func (r *Run) push(due job) {
	select {
	case r.jobs <- due:
	case <-r.done:
		r.outstanding.Done()
	}
}

// sleepUntil waits until at, counted from the start of the run, and reports
// false when ctx ended before.
func (r *Run) sleepUntil(ctx context.Context, at time.Duration) bool {
	left := at - r.clock.Now().Sub(r.started)
	if left <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// call makes attempts until the run is closed.
func (r *Run) call(ctx context.Context) {
	defer r.callers.Done()
	for {
		select {
		case due := <-r.jobs:
			r.attempt(ctx, due)
		case <-r.done:
			return
		}
	}
}

// attempt sends a job once, records the result and plans a retry.
func (r *Run) attempt(ctx context.Context, due job) {
	attempt := newAttempt(due.request, due.number, due.probe)
	attempt.DueNs = r.sink.stamp(r.started.Add(due.request.Due()))
	attempt.SentNs = r.sink.stamp(r.clock.Now())
	// What is on its way may end when the run is stopped early.
	r.send(context.WithoutCancel(ctx), due.request, &attempt)
	attempt.EndNs = r.sink.stamp(r.clock.Now())
	pause, again := r.retry(ctx, &attempt)
	attempt.Final = !again
	r.sink.Add(attempt)
	if !again {
		r.outstanding.Done()
		return
	}
	due.number++
	time.AfterFunc(pause, func() { r.push(due) })
}

// retry decides whether the caller sends the request again, and when. The
// request keeps its id, so pineturn can tell a repeated payout.
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
	case reasonRefused, reasonBroken, reasonCut:
		return defaultRetryAfter, true
	}
	return 0, false
}
