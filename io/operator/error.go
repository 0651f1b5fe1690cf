package operator

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"

	"pineturn/core/config"
)

// ErrUnknownOutcome is wrapped by what Commands return when a change may or may
// not have taken effect.
var ErrUnknownOutcome = errors.New("the change may or may not have taken effect")

// ErrUnavailable is wrapped by what Commands and Queries return when the host
// can't answer now, and a change certainly has no effect.
var ErrUnavailable = errors.New("not available now")

// Code is a short stable name of what went wrong.
type Code string

// The codes of errors.
const (
	CodeBadRequest   Code = "bad-request"
	CodeUnauthorized Code = "unauthorized"
	CodeNotFound     Code = "not-found"
	// CodeRefused means that a change is wrong and has no effect.
	CodeRefused Code = "refused"
	// CodeConflict means that another change came first; this one has no effect.
	CodeConflict Code = "conflict"
	// CodeUnavailable means that the host can't answer now; a change has no effect.
	CodeUnavailable Code = "unavailable"
	// CodeUnknown means that a change may or may not have taken effect.
	CodeUnknown Code = "unknown"
)

// statuses maps codes to HTTP statuses.
var statuses = map[Code]int{
	CodeBadRequest:   http.StatusBadRequest,
	CodeUnauthorized: http.StatusUnauthorized,
	CodeNotFound:     http.StatusNotFound,
	CodeRefused:      http.StatusUnprocessableEntity,
	CodeConflict:     http.StatusConflict,
	CodeUnavailable:  http.StatusServiceUnavailable,
	CodeUnknown:      http.StatusGatewayTimeout,
}

// Error is the body of an answer that is not a success.
type Error struct {
	Code   Code   `json:"code"`
	Detail string `json:"detail,omitempty"`
	// File and Current name the file that a conflict is about and its
	// current version, 0 when it does not exist.
	File    string         `json:"file,omitempty"`
	Current uint64         `json:"current,omitempty"`
	Faults  []config.Fault `json:"faults,omitempty"`
}

// Error returns code, detail and faults.
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

// asError turns any error into the body that tells it.
func asError(err error) *Error {
	var told *Error
	switch {
	case errors.As(err, &told):
		return told
	case errors.Is(err, ErrUnknownOutcome):
		return &Error{Code: CodeUnknown, Detail: err.Error()}
	}
	return &Error{Code: CodeUnavailable, Detail: err.Error()}
}

func encodeError(_ context.Context, err error, w http.ResponseWriter) {
	told := asError(err)
	status, ok := statuses[told.Code]
	if !ok {
		status = http.StatusInternalServerError
	}
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(told)
}
