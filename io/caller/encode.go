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

// encodeResponse writes a response to the caller. If the response's body is
// truncated, encodeResponse aborts the connection, so that the caller does not take
// the body for a complete one.
func encodeResponse(_ context.Context, w http.ResponseWriter, value any) error {
	got := value.(result)
	defer func() { _ = got.response.Body.Close() }()
	fields := w.Header()
	for name, values := range got.response.Head.Header {
		fields[name] = values
	}
	fields[header.RequestID] = []string{got.id}
	fields[header.Outcome] = []string{outcome.Done.String()}
	w.WriteHeader(got.response.Head.Status)
	_, sized := fields["Content-Length"]
	if err := copyBody(w, got.response.Body, !sized); err != nil {
		panic(http.ErrAbortHandler)
	}
	return nil
}

// buffers pools the buffers for copying response bodies.
var buffers = sync.Pool{New: func() any { return new([chunkSize]byte) }}

// copyBody copies body to w as it arrives. If flush is set, each chunk is flushed
// immediately.
func copyBody(w http.ResponseWriter, body io.Reader, flush bool) error {
	control := http.NewResponseController(w)
	defer func() { _ = control.SetWriteDeadline(time.Time{}) }()
	buffer := buffers.Get().(*[chunkSize]byte)
	defer buffers.Put(buffer)
	for {
		n, err := body.Read(buffer[:])
		if n > 0 {
			if err := writeChunk(w, control, buffer[:n], flush); err != nil {
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

func writeChunk(w io.Writer, control *http.ResponseController, chunk []byte, flush bool) error {
	_ = control.SetWriteDeadline(time.Now().Add(DefaultWriteTimeout))
	if _, err := w.Write(chunk); err != nil {
		return err
	}
	if flush {
		return control.Flush()
	}
	return nil
}

// errorBody is the JSON body of an error response.
type errorBody struct {
	Outcome      string         `json:"outcome"`
	Reason       outcome.Reason `json:"reason"`
	Detail       string         `json:"detail,omitempty"`
	RequestID    string         `json:"request_id,omitempty"`
	RetryAfterMs int64          `json:"retry_after_ms,omitempty"`
}

// encodeError writes an error response with the outcome of the request. Errors
// that carry no outcome are reported as unknown.
func encodeError(_ context.Context, err error, w http.ResponseWriter) {
	var failure requestError
	if !errors.As(err, &failure) {
		failure = requestError{cause: outcome.UnknownError(outcome.TargetFailed, "internal error")}
	}
	cause := failure.cause
	body := errorBody{
		Outcome:      cause.Outcome.String(),
		Reason:       cause.Reason,
		Detail:       cause.Detail,
		RequestID:    failure.id,
		RetryAfterMs: cause.RetryAfter.Milliseconds(),
	}
	fields := w.Header()
	fields.Set("Content-Type", "application/json")
	fields.Set(header.Outcome, body.Outcome)
	fields.Set(header.Reason, string(body.Reason))
	if body.RequestID != "" {
		fields.Set(header.RequestID, body.RequestID)
	}
	if cause.RetryAfter > 0 {
		body.RetryAfterMs = max(body.RetryAfterMs, 1)
		fields.Set(header.RetryAfter, strconv.FormatInt(body.RetryAfterMs, 10))
		fields.Set("Retry-After", strconv.FormatInt(ceilSeconds(cause.RetryAfter), 10))
	}
	w.WriteHeader(Status(cause))
	_ = json.NewEncoder(w).Encode(body)
}

// ceilSeconds returns d in seconds, rounded up.
func ceilSeconds(d time.Duration) int64 {
	return int64((d + time.Second - 1) / time.Second)
}

// Status returns the HTTP status code for an outcome other than done.
func Status(cause *outcome.Error) int {
	switch cause.Reason {
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
	if cause.Outcome == outcome.Unknown {
		return http.StatusBadGateway
	}
	return http.StatusServiceUnavailable
}
