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

// Handle passes a caller's request on to its key's owner. The request has its
// id, method, path, header and body set, and in Left the caller's own time
// limit, if any. The caller closes the answer's body.
func (e *Ingress) Handle(ctx context.Context, service, key string, req *message.Request) (*message.Answer, *outcome.Error) {
	e.counts.requests.Add(1)
	e.Budget.RecordRequest()
	changed := e.Changed()
	way, failure := e.Route(service, key)
	start := e.Clock.Now()
	deadline := start.Add(timeLimit(way.Service, req.Left))
	ctx, cancel := context.WithTimeout(ctx, deadline.Sub(start))
	journey := &journey{
		entry:    e,
		service:  service,
		req:      *req,
		start:    start,
		deadline: deadline,
		waitEnd:  clock.Earlier(deadline, start.Add(orDefault(e.Wait, DefaultWait))),
		pause:    newBackoff(),
	}
	journey.req.Key = key
	answer, failure := journey.run(ctx, way, failure, changed)
	if failure != nil {
		cancel()
		return nil, failure
	}
	answer.Body = deadlineBody{ReadCloser: answer.Body, cancel: cancel}
	return answer, nil
}

// journey is one request's attempts.
type journey struct {
	entry    *Ingress
	service  string
	req      message.Request
	start    time.Time
	deadline time.Time
	waitEnd  time.Time
	pause    *backoff.ExponentialBackOff
	attempts int
	// uncertain and unreachable count the attempts that ended so.
	uncertain   int
	unreachable int
	// unknown is the first failure after which the request may have run.
	unknown *outcome.Error
}

func (j *journey) run(ctx context.Context, way route.Route, failure *outcome.Error, changed <-chan struct{}) (*message.Answer, *outcome.Error) {
	for {
		if failure == nil {
			var answer *message.Answer
			answer, failure = j.attempt(ctx, way)
			if failure == nil {
				return answer, nil
			}
		}
		j.note(failure)
		next := j.decide(failure)
		if next == giveUp || !j.await(ctx, next, way, failure.RetryAfter, changed) {
			return nil, j.verdict(failure)
		}
		changed = j.entry.Changed()
		way, failure = j.entry.Route(j.service, j.req.Key)
	}
}

// note keeps the first failure after which the request may have run.
func (j *journey) note(failure *outcome.Error) {
	if j.unknown == nil && failure.Outcome != outcome.NotRun {
		j.unknown = failure
	}
}

// verdict is what the caller is told: the last failure, unless an earlier
// attempt may have run.
func (j *journey) verdict(last *outcome.Error) *outcome.Error {
	if j.unknown != nil {
		return j.unknown
	}
	return withRetryAfter(last)
}

// attempt passes the request on once.
func (j *journey) attempt(ctx context.Context, way route.Route) (*message.Answer, *outcome.Error) {
	e := j.entry
	// The service's own limit was not known while no route was.
	limit := j.start.Add(timeLimit(way.Service, j.req.Left))
	left := clock.Earlier(limit, j.deadline).Sub(e.Clock.Now())
	if left <= 0 {
		return nil, outcome.Refuse(outcome.DeadlineExceeded, "the deadline has passed", 0)
	}
	req := j.req
	req.Shard, req.Epoch = way.Shard, way.Epoch
	req.Left, req.Retries = left-min(left/10, hopMargin), j.attempts
	req.Once = req.Once || way.Service.Once(req.Method, pathOnly(req.Path))
	j.req.Once = req.Once

	claim, refusal := j.claim(way, req.Once)
	if refusal != nil {
		return nil, refusal
	}
	e.counts.attempts.Add(1)
	if j.attempts > 0 {
		e.counts.retries.Add(1)
	}
	j.attempts++
	var answer *message.Answer
	var failure *outcome.Error
	if way.Leaseholder.Incarnation == e.Self.Incarnation {
		answer, failure = e.Local(ctx, e.Self, &req)
	} else {
		answer, failure = e.Forward(ctx, way.Leaseholder, &req)
	}
	if claim != nil {
		claim.Finish(fate(failure), nil)
	}
	return answer, ownDeadline(ctx, failure)
}

// ownDeadline names the cause of a cancellation that came from this host's
// own deadline, not from the caller.
func ownDeadline(ctx context.Context, failure *outcome.Error) *outcome.Error {
	if failure == nil || failure.Reason != outcome.Cancelled || !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return failure
	}
	late := *failure
	late.Reason, late.RetryAfter = outcome.DeadlineExceeded, retryLate
	return &late
}

// claim remembers the id of a request that must not be repeated before any
// other host sees it.
func (j *journey) claim(way route.Route, needed bool) (*dedup.Claim, *outcome.Error) {
	if !needed {
		return nil, nil
	}
	claim := j.entry.Dedup.Forward(onceRequest(way, &j.req), way.Leaseholder.Incarnation)
	if claim == nil {
		return nil, outcome.Refuse(outcome.Overloaded, "too many ids to remember", retryNoOwner)
	}
	return claim, nil
}

// fate is what an attempt's failure says of that attempt alone: a duplicate
// was not sent itself.
func fate(failure *outcome.Error) outcome.Outcome {
	switch {
	case failure == nil:
		return outcome.Done
	case failure.Reason == outcome.Duplicate:
		return outcome.NotRun
	}
	return failure.Outcome
}

// step is what follows a failed attempt.
type step uint8

const (
	giveUp step = iota
	// soon tries again after a pause, or when a route changes.
	soon
	// onChange tries again only when this request's route has changed.
	onChange
)

func (j *journey) decide(failure *outcome.Error) step {
	if j.attempts >= MaxAttempts {
		return giveUp
	}
	if failure.Outcome == outcome.Unknown {
		return j.decideUnknown(failure)
	}
	switch failure.Reason {
	case outcome.NotLeaseholder, outcome.NotReady, outcome.LeaseLost, outcome.TargetFailed:
		return soon
	case outcome.NoOwner, outcome.Draining:
		return onChange
	case outcome.HostUnreachable:
		return j.decideUnreachable()
	}
	return giveUp
}

// decideUnreachable tries a host that could not be reached once more, and
// from then on waits until another one is to be asked.
func (j *journey) decideUnreachable() step {
	j.unreachable++
	if j.unreachable > 1 || j.budgeted(soon) == giveUp {
		return onChange
	}
	return soon
}

// decideUnknown lets a request that may be run twice be sent once more when
// its connection failed.
func (j *journey) decideUnknown(failure *outcome.Error) step {
	if j.req.Once || j.uncertain >= MaxUncertain {
		return giveUp
	}
	switch failure.Reason {
	case outcome.TargetFailed, outcome.HostUnreachable, outcome.AnswerCut:
		j.uncertain++
		return j.budgeted(soon)
	}
	return giveUp
}

func (j *journey) budgeted(next step) step {
	if !j.entry.Budget.Allow() {
		j.entry.counts.overBudget.Add(1)
		return giveUp
	}
	return next
}

// await pauses before the next attempt, but not when the request's route has
// changed. It returns false when the request's time for waiting is over or
// too many others wait.
func (j *journey) await(ctx context.Context, next step, way route.Route, after time.Duration, changed <-chan struct{}) bool {
	e := j.entry
	left := j.waitEnd.Sub(e.Clock.Now())
	if left <= 0 {
		return false
	}
	if e.waiting.Add(1) > int64(orDefault(e.Waiters, DefaultWaiters)) {
		e.waiting.Add(-1)
		return false
	}
	defer e.waiting.Add(-1)
	e.counts.waits.Add(1)
	pause := left
	if next == soon {
		pause = min(max(j.pause.NextBackOff(), after), left)
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	for {
		select {
		case <-changed:
			changed = e.Changed()
			if j.moved(way) {
				return true
			}
		case <-timer.C:
			return next == soon && pause < left
		case <-ctx.Done():
			return false
		}
	}
}

// moved reports whether the request now has another route.
func (j *journey) moved(way route.Route) bool {
	fresh, failure := j.entry.Route(j.service, j.req.Key)
	return failure == nil && !sameWay(fresh, way)
}

func newBackoff() *backoff.ExponentialBackOff {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = firstBackoff, maxBackoff
	pause.Multiplier = 2
	pause.Reset()
	return pause
}

func timeLimit(service *config.Service, asked time.Duration) time.Duration {
	limit, most := DefaultTimeout, DefaultTimeout
	if service != nil {
		limit = orDefault(service.Timeout(), DefaultTimeout)
		most = orDefault(service.MaxTimeout(), limit)
	}
	if asked > 0 {
		limit = asked
	}
	return min(limit, most)
}

// onceRequest names a request that must not be repeated.
func onceRequest(way route.Route, req *message.Request) dedup.Request {
	return dedup.Request{
		Service: way.Shard.Service,
		Key:     req.Key,
		ID:      req.ID,
		Window:  orDefault(way.Service.OnceWindow(), dedup.DefaultWindow),
	}
}

func sameWay(a, b route.Route) bool {
	return a.Shard == b.Shard && a.Epoch == b.Epoch && a.Term == b.Term && a.Leaseholder.Incarnation == b.Leaseholder.Incarnation
}

// withRetryAfter tells the caller of a request without an owner when to come
// back.
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

func pathOnly(requestPath string) string {
	for i := range len(requestPath) {
		if requestPath[i] == '?' {
			return requestPath[:i]
		}
	}
	return requestPath
}
