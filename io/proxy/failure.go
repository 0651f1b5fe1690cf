package proxy

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"pineturn/core/attempt"
)

// Reasons of outcomes, as written to logs and metrics.
const (
	reasonResponded       = "answered"
	reasonResponseCutOff  = "answer-cut-off"
	reasonNoConfig        = "no-configuration"
	reasonNewerConfig     = "newer-configuration"
	reasonNoRoute         = "no-route"
	reasonInvalidPath     = "invalid-path"
	reasonNoTarget        = "no-target"
	reasonNoCapacity      = "no-room"
	reasonNoOwner         = "no-owner"
	reasonTargetLimit     = "target-limited"
	reasonTargetRests     = "target-rests"
	reasonDomainDrained   = "domain-drained"
	reasonRegionForbidden = "region-not-allowed"
	reasonEndsTargets     = "ends-targets"
	reasonMoving          = "key-moving"
	reasonOverBudget      = "over-retry-budget"
	reasonRefused         = "refused-by-target"
	reasonUnreachable     = "target-unreachable"
	reasonResponseLost    = "answer-lost"
	reasonTimeout         = "timed-out"
	reasonBodyTooLarge    = "body-too-large"
	reasonBodyReadFailed  = "body-cut-off"
	reasonCallerLeft      = "caller-left"
	reasonStopping        = "host-stops"
	reasonDetached        = "host-detached"
	reasonRelayRefused    = "refused-by-host"
	reasonRelayFailed     = "relay-failed"
)

// configLoadTime is how long a host takes to read the configuration after its
// start.
const configLoadTime = 300 * time.Millisecond

// failure is the outcome of a request to which the host responds itself,
// without a response of a target.
type failure struct {
	request *request
	status  int
	reason  string
	// retryAfter is zero if the caller is not advised to retry.
	retryAfter time.Duration
	cause      error
}

// Error returns the reason, as written to logs and metrics.
func (f *failure) Error() string { return f.reason }

func (f *failure) Unwrap() error { return f.cause }

// asFailure returns err as a failure. Any other error becomes status 500 with
// the reason "internal".
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

// refuse returns a failure with status 503: the request has not run. Backlog is
// the estimated time until it could run, from which Retry-After is computed.
func (q *request) refuse(reason string, backlog time.Duration) error {
	return &failure{
		request: q, status: http.StatusServiceUnavailable, reason: reason,
		retryAfter: attempt.RetryAfter(backlog, q.callerTimeout()),
	}
}

// refuseFor returns a failure with the given time after which the caller may retry, zero
// for none: status 502 if a target may have run the request, else 503.
func (q *request) refuseFor(reason string, retryAfter time.Duration, cause error) error {
	f := asFailure(q.failOrRefuse(reason, 0, cause))
	if f.status == http.StatusServiceUnavailable {
		f.retryAfter = retryAfter
	}
	return f
}

// failOrRefuse returns a failure with status 502 if a target may have run the
// request, and refuses the request otherwise.
func (q *request) failOrRefuse(reason string, backlog time.Duration, cause error) error {
	if q.progress.MayHaveRun() {
		return q.fail(http.StatusBadGateway, reason, cause)
	}
	f := asFailure(q.refuse(reason, backlog))
	f.cause = cause
	return f
}
