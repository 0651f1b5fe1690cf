package load

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"pineturn/core/report"
	"pineturn/core/workload"
)

// Reasons assigned by the load tool itself, in addition to those that hosts send.
const (
	reasonRefused          = "connect-refused"
	reasonTimeout          = "caller-timeout"
	reasonConnectionBroken = "connection-broken"
	reasonTruncated        = "answer-cut"
	reasonNoOutcome        = "no-outcome"
)

// Headers of the caller and target protocols.
const (
	headerService      = "Pineturn-Service"
	headerKey          = "Pineturn-Key"
	headerRequestID    = "Pineturn-Request-Id"
	headerTimeout      = "Pineturn-Timeout"
	headerOutcome      = "Pineturn-Outcome"
	headerReason       = "Pineturn-Reason"
	headerTarget       = "Pineturn-Target"
	headerEpoch        = "Pineturn-Epoch"
	headerRetryAfterMs = "Pineturn-Retry-After-Ms"
	headerRetryAfter   = "Retry-After"
)

// exchange sends one HTTP request and sets the result fields of attempt from
// the response or the error.
func exchange(client *http.Client, request *http.Request, attempt *report.Attempt) {
	response, err := client.Do(request)
	if err != nil {
		recordError(attempt, err)
		return
	}
	defer func() { _ = response.Body.Close() }()
	readHeader(response, attempt)
	body := newBodyVerifier(attempt.ID)
	_, err = io.Copy(body, response.Body)
	attempt.Bytes = body.bytes
	if err != nil {
		attempt.Outcome, attempt.Reason = report.Unknown, reasonTruncated
		return
	}
	if attempt.Outcome == report.Done || attempt.Reason == reasonNoOutcome {
		body.check(attempt)
	}
}

// recordError sets the outcome of an attempt that got no response. The outcome is
// not run only if the connection was refused, since no request was sent then;
// after any other error the request may have run.
func recordError(attempt *report.Attempt, err error) {
	attempt.Outcome, attempt.Reason = report.Unknown, reasonConnectionBroken
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		attempt.Outcome, attempt.Reason = report.NotRun, reasonRefused
	case errors.Is(err, context.DeadlineExceeded):
		attempt.Reason = reasonTimeout
	}
}

func readHeader(response *http.Response, attempt *report.Attempt) {
	header := response.Header
	attempt.Status = response.StatusCode
	attempt.Outcome = header.Get(headerOutcome)
	attempt.Reason = header.Get(headerReason)
	attempt.Target = header.Get(headerTarget)
	attempt.Epoch, _ = strconv.ParseUint(header.Get(headerEpoch), 10, 64)
	attempt.RetryAfterNs = int64(retryAfter(header))
	switch attempt.Outcome {
	case report.Done, report.NotRun, report.Unknown:
	default:
		attempt.Outcome, attempt.Reason = report.Unknown, reasonNoOutcome
	}
}

// retryAfter returns the retry delay from the response headers, or zero if they
// do not have one.
func retryAfter(header http.Header) time.Duration {
	if ms, err := strconv.ParseInt(header.Get(headerRetryAfterMs), 10, 64); err == nil && ms > 0 {
		return time.Duration(ms) * time.Millisecond
	}
	if seconds, err := strconv.ParseInt(header.Get(headerRetryAfter), 10, 64); err == nil && seconds > 0 {
		return time.Duration(seconds) * time.Second
	}
	return 0
}

// newAttempt returns the record of attempt number of request, with the fields
// that are set before the attempt is sent.
func newAttempt(request *workload.Request, number int, probe bool) report.Attempt {
	operation := request.Operation()
	return report.Attempt{
		ID: request.ID(), Service: request.Service(), Operation: operation.Name(), Key: request.Key(),
		Once: operation.Once(), Probe: probe, Number: number,
		WantBytes: operation.Size(), WorkNs: int64(operation.ServiceTime()),
	}
}
