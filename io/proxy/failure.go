package proxy

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"pineturn/core/attempt"
)

// Reasons of outcomes, for logs and metrics.
const (
	reasonAnswered  = "answered"
	reasonCutOff    = "answer-cut-off"
	reasonNoConfig  = "no-configuration"
	reasonNoRoute   = "no-route"
	reasonNoTarget  = "no-target"
	reasonNoRoom    = "no-room"
	reasonNoOwner   = "no-owner"
	reasonMoving    = "key-moving"
	reasonNotRun    = "refused-by-target"
	reasonUnsent    = "target-unreachable"
	reasonUnknown   = "answer-lost"
	reasonTimeout   = "timed-out"
	reasonHopeless  = "too-late"
	reasonTooLarge  = "body-too-large"
	reasonBadBody   = "body-cut-off"
	reasonCallerHas = "caller-left"
	reasonStopping  = "host-stops"
)

// restartPause is how long a host takes to learn the configuration.
const restartPause = 300 * time.Millisecond

// failure is an outcome without a target's answer.
type failure struct {
	request    *request
	status     int
	reason     string
	retryAfter time.Duration
	cause      error
}

// Error returns the reason.
func (f *failure) Error() string { return f.reason }

// Unwrap returns the cause.
func (f *failure) Unwrap() error { return f.cause }

func asFailure(err error) *failure {
	var f *failure
	if errors.As(err, &f) {
		return f
	}
	return &failure{request: &request{}, status: http.StatusInternalServerError, reason: "internal", cause: err}
}

func (q *request) fail(status int, reason string, cause error) error {
	return &failure{request: q, status: status, reason: reason, cause: cause}
}

// refuse says that the request has not run, and when to come back.
func (q *request) refuse(reason string, backlog time.Duration) error {
	left := q.Timeout
	if left <= 0 {
		left = defaultPatience
	}
	return &failure{
		request: q, status: http.StatusServiceUnavailable, reason: reason,
		retryAfter: attempt.RetryAfter(backlog, left),
	}
}

// giveUp ends a request that gets no answer, by what may have become of it.
func (q *request) giveUp(reason string, backlog time.Duration, cause error) error {
	if q.progress.MayHaveRun() {
		return q.fail(http.StatusBadGateway, reason, cause)
	}
	f := asFailure(q.refuse(reason, backlog))
	f.cause = cause
	return f
}
