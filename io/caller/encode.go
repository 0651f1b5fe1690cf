package caller

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"pineturn/core/header"
	"pineturn/core/outcome"
)

// encodeAnswer passes an answer on. When its body was cut short, it aborts
// the connection, so that the caller does not take it for a whole one.
func encodeAnswer(_ context.Context, w http.ResponseWriter, response any) error {
	got := response.(result)
	defer func() { _ = got.answer.Body.Close() }()
	fields := w.Header()
	for name, values := range got.answer.Head.Header {
		fields[name] = values
	}
	fields[header.RequestID] = []string{got.id}
	fields[header.Outcome] = []string{outcome.Done.String()}
	w.WriteHeader(got.answer.Head.Status)
	_, sized := fields["Content-Length"]
	if err := copyBody(w, got.answer.Body, !sized); err != nil {
		panic(http.ErrAbortHandler)
	}
	return nil
}

// parts holds buffers for the bodies of answers.
var parts = sync.Pool{New: func() any { return new([chunk]byte) }}

// copyBody passes a body on as it comes, each part at once if flush is set.
func copyBody(w http.ResponseWriter, body io.Reader, flush bool) error {
	control := http.NewResponseController(w)
	defer func() { _ = control.SetWriteDeadline(time.Time{}) }()
	part := parts.Get().(*[chunk]byte)
	defer parts.Put(part)
	for {
		n, err := body.Read(part[:])
		if n > 0 {
			if err := writePart(w, control, part[:n], flush); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func writePart(w io.Writer, control *http.ResponseController, part []byte, flush bool) error {
	_ = control.SetWriteDeadline(time.Now().Add(DefaultWriteTimeout))
	if _, err := w.Write(part); err != nil {
		return err
	}
	if flush {
		return control.Flush()
	}
	return nil
}

// problem is the body of an error.
type problem struct {
	Outcome      string         `json:"outcome"`
	Reason       outcome.Reason `json:"reason"`
	Detail       string         `json:"detail,omitempty"`
	RequestID    string         `json:"request_id,omitempty"`
	RetryAfterMs int64          `json:"retry_after_ms,omitempty"`
}

// encodeError tells the caller what became of its request.
func encodeError(_ context.Context, err error, w http.ResponseWriter) {
	var failed failure
	if !errors.As(err, &failed) {
		failed = failure{cause: outcome.UnknownError(outcome.TargetFailed, "internal error")}
	}
	cause := failed.cause
	told := problem{
		Outcome:      cause.Outcome.String(),
		Reason:       cause.Reason,
		Detail:       cause.Detail,
		RequestID:    failed.id,
		RetryAfterMs: cause.RetryAfter.Milliseconds(),
	}
	fields := w.Header()
	fields.Set("Content-Type", "application/json")
	fields.Set(header.Outcome, told.Outcome)
	fields.Set(header.Reason, string(told.Reason))
	if told.RequestID != "" {
		fields.Set(header.RequestID, told.RequestID)
	}
	if cause.RetryAfter > 0 {
		told.RetryAfterMs = max(told.RetryAfterMs, 1)
		fields.Set(header.RetryAfter, strconv.FormatInt(told.RetryAfterMs, 10))
		fields.Set("Retry-After", strconv.FormatInt(wholeSeconds(cause.RetryAfter), 10))
	}
	w.WriteHeader(Status(cause))
	_ = json.NewEncoder(w).Encode(told)
}

// wholeSeconds rounds up.
func wholeSeconds(d time.Duration) int64 {
	return int64((d + time.Second - 1) / time.Second)
}

// Status returns the HTTP status of a request that was not done.
func Status(failed *outcome.Error) int {
	switch failed.Reason {
	case outcome.BadRequest, outcome.MissingKey:
		return http.StatusBadRequest
	case outcome.UnknownService:
		return http.StatusNotFound
	case outcome.TooLarge:
		return http.StatusRequestEntityTooLarge
	case outcome.Overloaded:
		return http.StatusTooManyRequests
	case outcome.DeadlineExceeded:
		return http.StatusGatewayTimeout
	}
	if failed.Outcome == outcome.Unknown {
		return http.StatusBadGateway
	}
	return http.StatusServiceUnavailable
}
