package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"

	"pineturn/core/clock"
	"pineturn/core/config"
	"pineturn/core/dedup"
	"pineturn/core/message"
	"pineturn/core/outcome"
	"pineturn/core/route"
)

// Handle forwards a caller's request to the owner of its key. The request has its id,
// method, path, header and body set, and Left to the caller's own timeout or to 0. The
// calling code closes the response's body.
func (i *Ingress) Handle(ctx context.Context, service, key string, req *message.Request) (*message.Response, *outcome.Error) {
	i.counts.requests.Add(1)
	i.Budget.RecordRequest()
	changed := i.Changed()
	rt, failure := i.Route(service, key)
	start := i.Clock.Now()
	deadline := i.untilStop(start.Add(timeLimit(rt.Service, req.Left)))
	ctx, cancel := context.WithTimeout(ctx, deadline.Sub(start))
	request := &ingressRequest{
		ingress:   i,
		service:   service,
		req:       *req,
		start:     start,
		deadline:  deadline,
		waitUntil: clock.Earlier(deadline, start.Add(orDefault(i.MaxWait, DefaultMaxWait))),
		backoff:   newBackoff(),
	}
	request.req.Key = key
	response, failure := request.run(ctx, rt, failure, changed)
	if failure != nil {
		cancel()
		return nil, failure
	}
	response.Body = deadlineBody{ReadCloser: response.Body, cancel: cancel}
	return response, nil
}

// ingressRequest holds the state of one caller's request across its attempts.
type ingressRequest struct {
	ingress  *Ingress
	service  string
	req      message.Request
	start    time.Time
	deadline time.Time
	// waitUntil is the end of the time in which the request may wait between
	// attempts.
	waitUntil time.Time
	backoff   *backoff.ExponentialBackOff
	attempts  int
	// unknownRetries counts the retries after an unknown outcome.
	unknownRetries int
	// unreachable counts the attempts that did not reach the leaseholder.
	unreachable int
	// firstUnknown is the error of the first attempt that may have run.
	firstUnknown *outcome.Error
}

func (r *ingressRequest) run(ctx context.Context, rt route.Route, failure *outcome.Error, changed <-chan struct{}) (*message.Response, *outcome.Error) {
	for {
		if failure == nil {
			var response *message.Response
			response, failure = r.attempt(ctx, rt)
			if failure == nil {
				return response, nil
			}
		}
		r.recordUnknown(failure)
		next := r.nextStep(failure)
		if next == giveUp || !r.wait(ctx, next, rt, failure.RetryAfter, changed) {
			return nil, r.callerError(failure)
		}
		changed = r.ingress.Changed()
		rt, failure = r.ingress.Route(r.service, r.req.Key)
	}
}

// recordUnknown records the error of the first attempt that may have run.
func (r *ingressRequest) recordUnknown(failure *outcome.Error) {
	if r.firstUnknown == nil && failure.Outcome != outcome.NotRun {
		r.firstUnknown = failure
	}
}

// callerError returns the error for the caller: that of the first attempt that may
// have run, otherwise the last one.
func (r *ingressRequest) callerError(last *outcome.Error) *outcome.Error {
	if r.firstUnknown != nil {
		return r.firstUnknown
	}
	return withRetryAfter(last)
}

// attempt forwards the request once.
func (r *ingressRequest) attempt(ctx context.Context, rt route.Route) (*message.Response, *outcome.Error) {
	i := r.ingress
	// The deadline was set without the service's own limit if there was no route.
	asked := r.start.Add(timeLimit(rt.Service, r.req.Left))
	if refusal := i.refuseLate(r.service, asked); refusal != nil {
		return nil, refusal
	}
	limit := clock.Earlier(asked, r.deadline)
	left := limit.Sub(i.Clock.Now())
	if left <= r.attemptMargin(limit.Sub(r.start)) {
		return nil, outcome.Refuse(outcome.DeadlineExceeded, "too little time is left", retryDeadlineExceeded)
	}
	req := r.req
	req.Shard, req.Epoch = rt.Shard, rt.Epoch
	// The margin is at most a tenth, so that it does not use up a short deadline.
	req.Left, req.Retries = left-min(left/10, forwardMargin), r.attempts
	req.Once = req.Once || rt.Service.Once(req.Method, pathOnly(req.Path))
	r.req.Once = req.Once

	claim, refusal := r.claim(rt, req.Once)
	if refusal != nil {
		return nil, refusal
	}
	i.counts.attempts.Add(1)
	if r.attempts > 0 {
		i.counts.retries.Add(1)
	}
	r.attempts++
	began := i.Clock.Now()
	var response *message.Response
	var failure *outcome.Error
	if rt.Leaseholder.Incarnation == i.Self.Incarnation {
		response, failure = i.Local(ctx, i.Self, &req)
	} else {
		response, failure = i.Forward(ctx, rt.Leaseholder, &req)
	}
	if claim != nil {
		claim.Finish(attemptOutcome(failure), nil)
	}
	if failure == nil {
		i.latencies.Observe(r.service, i.Clock.Now().Sub(began))
	}
	return response, withOwnDeadline(ctx, failure)
}

// attemptMargin returns the time that must be left for an attempt if the request had the
// given time in all. A later attempt is likely to be cut by the deadline, so that its
// outcome is unknown. If the outcome is unknown already, any attempt can only improve it.
func (r *ingressRequest) attemptMargin(total time.Duration) time.Duration {
	if r.firstUnknown != nil {
		return 0
	}
	return min(total/10, maxAttemptMargin)
}

// withOwnDeadline replaces the reason Cancelled by DeadlineExceeded if the attempt was
// cancelled by this host's own deadline and not by the caller.
func withOwnDeadline(ctx context.Context, failure *outcome.Error) *outcome.Error {
	if failure == nil || failure.Reason != outcome.Cancelled || !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return failure
	}
	late := *failure
	late.Reason, late.RetryAfter = outcome.DeadlineExceeded, retryDeadlineExceeded
	return &late
}

// claim remembers the id of a request that must not be repeated, before the request is
// forwarded to another host.
func (r *ingressRequest) claim(rt route.Route, needed bool) (*dedup.Claim, *outcome.Error) {
	if !needed {
		return nil, nil
	}
	claim := r.ingress.Dedup.Forward(dedupRequest(rt, &r.req), rt.Leaseholder.Incarnation)
	if claim == nil {
		return nil, outcome.Refuse(outcome.Overloaded, "too many ids to remember", retryNoOwner)
	}
	return claim, nil
}

// attemptOutcome returns the outcome of a single attempt. An attempt that was refused
// as a duplicate was itself not sent.
func attemptOutcome(failure *outcome.Error) outcome.Outcome {
	switch {
	case failure == nil:
		return outcome.Done
	case failure.Reason == outcome.Duplicate:
		return outcome.NotRun
	}
	return failure.Outcome
}

// step is the step after a failed attempt.
type step uint8

const (
	giveUp step = iota
	// retryAfterPause retries after a pause, or earlier if the request's route
	// changes.
	retryAfterPause
	// retryOnRouteChange retries only after the request's route has changed.
	retryOnRouteChange
)

func (r *ingressRequest) nextStep(failure *outcome.Error) step {
	if r.attempts >= MaxAttempts {
		return giveUp
	}
	if failure.Outcome == outcome.Unknown {
		return r.stepAfterUnknown(failure)
	}
	switch failure.Reason {
	case outcome.NotLeaseholder, outcome.NotReady, outcome.LeaseLost, outcome.TargetFailed:
		return retryAfterPause
	case outcome.NoOwner, outcome.Draining:
		return retryOnRouteChange
	case outcome.HostUnreachable:
		return r.stepAfterUnreachable()
	}
	return giveUp
}

// stepAfterUnreachable retries an unreachable leaseholder once, if the retry budget
// allows it. After that, or without the retry, the request waits until its route
// changes, for example to another leaseholder.
func (r *ingressRequest) stepAfterUnreachable() step {
	r.unreachable++
	if r.unreachable > 1 || r.withinBudget(retryAfterPause) == giveUp {
		return retryOnRouteChange
	}
	return retryAfterPause
}

// stepAfterUnknown retries a request whose connection failed if the request may run
// more than once, at most MaxUnknownRetries times.
func (r *ingressRequest) stepAfterUnknown(failure *outcome.Error) step {
	if r.req.Once || r.unknownRetries >= MaxUnknownRetries {
		return giveUp
	}
	switch failure.Reason {
	case outcome.TargetFailed, outcome.HostUnreachable, outcome.ResponseTruncated:
		r.unknownRetries++
		return r.withinBudget(retryAfterPause)
	}
	return giveUp
}

// withinBudget takes one retry from the retry budget. It returns next, or giveUp if the
// budget is used up.
func (r *ingressRequest) withinBudget(next step) step {
	if !r.ingress.Budget.Spend() {
		r.ingress.counts.overBudget.Add(1)
		return giveUp
	}
	return next
}

// wait pauses before the next attempt, until the pause is over or the request's route
// changes. It returns false if the request's time for waiting is used up, if too many
// other requests wait, or if ctx ends.
func (r *ingressRequest) wait(ctx context.Context, next step, rt route.Route, after time.Duration, changed <-chan struct{}) bool {
	i := r.ingress
	left := r.waitUntil.Sub(i.Clock.Now())
	if left <= 0 {
		return false
	}
	if i.waiting.Add(1) > int64(orDefault(i.MaxWaiters, DefaultMaxWaiters)) {
		i.waiting.Add(-1)
		return false
	}
	defer i.waiting.Add(-1)
	i.counts.waits.Add(1)
	pause := left
	if next == retryAfterPause {
		pause = min(max(r.backoff.NextBackOff(), after), left)
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	for {
		select {
		case <-changed:
			changed = i.Changed()
			if r.routeChanged(rt) {
				return true
			}
		case <-timer.C:
			return next == retryAfterPause && pause < left
		case <-ctx.Done():
			return false
		}
	}
}

// routeChanged reports whether the request has a route other than previous.
func (r *ingressRequest) routeChanged(previous route.Route) bool {
	current, failure := r.ingress.Route(r.service, r.req.Key)
	return failure == nil && !sameRoute(current, previous)
}

func newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = firstBackoff, maxBackoff
	b.Multiplier = 2
	b.Reset()
	return b
}

// timeLimit returns the timeout of a request for which the caller asked for the given
// timeout, or 0 for the default. It is bounded by the service's maximum, or by
// DefaultTimeoutWithoutRoute if there is no service.
func timeLimit(service *config.Service, asked time.Duration) time.Duration {
	limit, most := DefaultTimeoutWithoutRoute, DefaultTimeoutWithoutRoute
	if service != nil {
		limit = orDefault(service.Timeout(), DefaultTimeoutWithoutRoute)
		most = orDefault(service.MaxTimeout(), limit)
	}
	if asked > 0 {
		limit = asked
	}
	return min(limit, most)
}

// dedupRequest returns the identification of a request that must not be repeated,
// without its digest.
func dedupRequest(rt route.Route, req *message.Request) dedup.Request {
	return dedup.Request{
		Service: rt.Shard.Service,
		Key:     req.Key,
		ID:      req.ID,
		Window:  rt.Service.OnceWindow(),
	}
}

func sameRoute(a, b route.Route) bool {
	return a.Shard == b.Shard && a.Epoch == b.Epoch && a.Token == b.Token && a.Leaseholder.Incarnation == b.Leaseholder.Incarnation
}

// withRetryAfter sets the retry time of an error for a request that was not run because
// its owner was not available.
func withRetryAfter(failure *outcome.Error) *outcome.Error {
	if failure.RetryAfter > 0 || failure.Outcome != outcome.NotRun {
		return failure
	}
	switch failure.Reason {
	case outcome.NoOwner, outcome.NotReady, outcome.NotLeaseholder, outcome.LeaseLost,
		outcome.HostUnreachable, outcome.TargetFailed, outcome.Draining:
		later := *failure
		later.RetryAfter = retryNoOwner
		return &later
	}
	return failure
}

func orDefault[T time.Duration | int](value, other T) T {
	if value <= 0 {
		return other
	}
	return value
}

// pathOnly returns a request path without its query.
func pathOnly(requestPath string) string {
	for i := range len(requestPath) {
		if requestPath[i] == '?' {
			return requestPath[:i]
		}
	}
	return requestPath
}
