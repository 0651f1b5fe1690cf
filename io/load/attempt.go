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

// The reasons that the load tool itself gives.
const (
	reasonRefused  = "connect-refused"
	reasonTimeout  = "caller-timeout"
	reasonBroken   = "connection-broken"
	reasonCut      = "answer-cut"
	reasonNoHeader = "no-outcome"
)

// Headers of the protocols for callers and targets.
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

// exchange sends one HTTP request and fills in attempt from the answer.
func exchange(client *http.Client, request *http.Request, attempt *report.Attempt) {
	answer, err := client.Do(request)
	if err != nil {
		fail(attempt, err)
		return
	}
	defer func() { _ = answer.Body.Close() }()
	readHead(answer, attempt)
	body := newBodyReader(attempt.ID)
	_, err = io.Copy(body, answer.Body)
	attempt.Bytes = body.bytes
	if err != nil {
		attempt.Outcome, attempt.Reason = report.Unknown, reasonCut
		return
	}
	if attempt.Outcome == report.Done || attempt.Reason == reasonNoHeader {
		body.check(attempt)
	}
}

// fail classifies an error without an answer. Only a connection that was
// never made shows that nothing ran.
func fail(attempt *report.Attempt, err error) {
	attempt.Outcome, attempt.Reason = report.Unknown, reasonBroken
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		attempt.Outcome, attempt.Reason = report.NotRun, reasonRefused
	case errors.Is(err, context.DeadlineExceeded):
		attempt.Reason = reasonTimeout
	}
}

func readHead(answer *http.Response, attempt *report.Attempt) {
	header := answer.Header
	attempt.Status = answer.StatusCode
	attempt.Outcome = header.Get(headerOutcome)
	attempt.Reason = header.Get(headerReason)
	attempt.Target = header.Get(headerTarget)
	attempt.Epoch, _ = strconv.ParseUint(header.Get(headerEpoch), 10, 64)
	attempt.RetryAfterNs = int64(retryAfter(header))
	switch attempt.Outcome {
	case report.Done, report.NotRun, report.Unknown:
	default:
		attempt.Outcome, attempt.Reason = report.Unknown, reasonNoHeader
	}
}

// retryAfter reads when to come back; zero when the answer does not say.
func retryAfter(header http.Header) time.Duration {
	if ms, err := strconv.ParseInt(header.Get(headerRetryAfterMs), 10, 64); err == nil && ms > 0 {
		return time.Duration(ms) * time.Millisecond
	}
	if seconds, err := strconv.ParseInt(header.Get(headerRetryAfter), 10, 64); err == nil && seconds > 0 {
		return time.Duration(seconds) * time.Second
	}
	return 0
}

// newAttempt returns the record of an attempt that is about to be sent.
func newAttempt(request *workload.Request, number int, probe bool) report.Attempt {
	operation := request.Operation()
	return report.Attempt{
		ID: request.ID(), Service: request.Service(), Operation: operation.Name(), Key: request.Key(),
		Once: operation.Once(), Probe: probe, Number: number,
		WantBytes: operation.Size(), WorkNs: int64(operation.ServiceTime()),
	}
}
