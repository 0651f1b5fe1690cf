package operator

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"

	"pineturn/core/config"
)

// ErrUnknownOutcome is wrapped by errors of Commands if the outcome of a change is
// unknown: the change may or may not have taken effect.
var ErrUnknownOutcome = errors.New("the change may or may not have taken effect")

// ErrUnavailable is wrapped by errors of Commands and Queries if the host can't
// serve the request now. A change then certainly has no effect.
var ErrUnavailable = errors.New("not available now")

// Code is a stable identifier of a kind of error.
type Code string

// The error codes of the protocol.
const (
	CodeBadRequest   Code = "bad-request"
	CodeUnauthorized Code = "unauthorized"
	CodeNotFound     Code = "not-found"
	// CodeRefused means that a change is invalid and has no effect.
	CodeRefused Code = "refused"
	// CodeConflict means that an earlier change replaced the expected version. The
	// change has no effect.
	CodeConflict Code = "conflict"
	// CodeUnavailable means that the host can't serve the request now. A change
	// has no effect.
	CodeUnavailable Code = "unavailable"
	// CodeUnknown means that the outcome of a change is unknown.
	CodeUnknown Code = "unknown"
)

// httpStatuses maps error codes to HTTP statuses.
var httpStatuses = map[Code]int{
	CodeBadRequest:   http.StatusBadRequest,
	CodeUnauthorized: http.StatusUnauthorized,
	CodeNotFound:     http.StatusNotFound,
	CodeRefused:      http.StatusUnprocessableEntity,
	CodeConflict:     http.StatusConflict,
	CodeUnavailable:  http.StatusServiceUnavailable,
	CodeUnknown:      http.StatusGatewayTimeout,
}

// Error is the body of a response that reports an error.
type Error struct {
	Code   Code   `json:"code"`
	Detail string `json:"detail,omitempty"`
	// File is the file that a conflict is about. Current is its version in force,
	// 0 if the file does not exist.
	File    string         `json:"file,omitempty"`
	Current uint64         `json:"current,omitempty"`
	Faults  []config.Fault `json:"faults,omitempty"`
}

// Error returns the code, the detail and the faults. Each fault has its own line.
func (e *Error) Error() string {
	lines := []string{string(e.Code)}
	if e.Detail != "" {
		lines[0] += ": " + e.Detail
	}
	for _, fault := range e.Faults {
		lines = append(lines, fault.String())
	}
	return strings.Join(lines, "\n")
}

// toError converts an error to the body of its response.
func toError(err error) *Error {
	var apiErr *Error
	switch {
	case errors.As(err, &apiErr):
		return apiErr
	case errors.Is(err, ErrUnknownOutcome):
		return &Error{Code: CodeUnknown, Detail: err.Error()}
	}
	return &Error{Code: CodeUnavailable, Detail: err.Error()}
}

func encodeError(_ context.Context, err error, w http.ResponseWriter) {
	apiErr := toError(err)
	status, ok := httpStatuses[apiErr.Code]
	if !ok {
		status = http.StatusInternalServerError
	}
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(apiErr)
}
