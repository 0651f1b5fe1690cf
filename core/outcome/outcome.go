// Package outcome defines the outcomes of requests and the errors that report them.
package outcome

import "time"

// Outcome is the outcome of a request. The zero value is invalid.
type Outcome uint8

// The outcomes of a request.
const (
	// Done means that the owner ran the request and that its complete response
	// was received.
	Done Outcome = iota + 1
	// NotRun means that it is certain that no target ran the request.
	NotRun
	// Unknown means that a target may have run the request, completely or in
	// part.
	Unknown
)

// String returns the value of the Pineturn-Outcome header for the outcome.
func (o Outcome) String() string {
	switch o {
	case Done:
		return "done"
	case NotRun:
		return "not-run"
	case Unknown:
		return "unknown"
	}
	return "invalid"
}

// Reason is a stable code for the cause of an outcome other than done.
type Reason string

// The reasons, as values of the Pineturn-Reason header.
const (
	UnknownService    Reason = "unknown-service"
	MissingKey        Reason = "missing-key"
	BadRequest        Reason = "bad-request"
	TooLarge          Reason = "too-large"
	NoOwner           Reason = "no-owner"
	NotReady          Reason = "not-ready"
	NotLeaseholder    Reason = "not-leaseholder"
	Overloaded        Reason = "overloaded"
	Shed              Reason = "shed"
	Draining          Reason = "draining"
	DeadlineExceeded  Reason = "deadline-exceeded"
	Cancelled         Reason = "cancelled"
	HostUnreachable   Reason = "host-unreachable"
	TargetFailed      Reason = "target-failed"
	ResponseTruncated Reason = "answer-cut"
	Duplicate         Reason = "duplicate"
	LeaseLost         Reason = "lease-lost"
	VersionMismatch   Reason = "version-mismatch"
	Stopping          Reason = "stopping"
)

// Error is the error of a request whose outcome is not done. RetryAfter is the
// delay after which the caller should retry, zero if a retry would not help.
type Error struct {
	Outcome    Outcome       `cbor:"1,keyasint"`
	Reason     Reason        `cbor:"2,keyasint"`
	Detail     string        `cbor:"3,keyasint,omitempty"`
	RetryAfter time.Duration `cbor:"4,keyasint,omitempty"`
}

// Error returns the outcome, the reason and, unless empty, the detail.
func (e *Error) Error() string {
	text := e.Outcome.String() + ": " + string(e.Reason)
	if e.Detail != "" {
		text += ": " + e.Detail
	}
	return text
}

// Refuse returns an error with the outcome not run. The argument after is the
// retry delay, zero if a retry would not help.
func Refuse(reason Reason, detail string, after time.Duration) *Error {
	return &Error{Outcome: NotRun, Reason: reason, Detail: detail, RetryAfter: after}
}

// UnknownError returns an error with the outcome unknown.
func UnknownError(reason Reason, detail string) *Error {
	return &Error{Outcome: Unknown, Reason: reason, Detail: detail}
}
