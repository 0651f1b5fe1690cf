// Package outcome says what became of a request.
package outcome

import "time"

// Outcome is the fate of a request, as far as it is certain.
type Outcome uint8

// The outcomes of a request.
const (
	// Done means the owner ran the request and its whole answer is at hand.
	Done Outcome = iota + 1
	// NotRun means it is certain that no target ran the request.
	NotRun
	// Unknown means a target may have run the request, in whole or part.
	Unknown
)

// String returns the outcome as it stands in the Pineturn-Outcome header.
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

// Reason is a short stable code for a request that was not done.
type Reason string

// The reasons, as they stand in the Pineturn-Reason header.
const (
	UnknownService   Reason = "unknown-service"
	MissingKey       Reason = "missing-key"
	BadRequest       Reason = "bad-request"
	TooLarge         Reason = "too-large"
	NoOwner          Reason = "no-owner"
	NotReady         Reason = "not-ready"
	NotLeaseholder   Reason = "not-leaseholder"
	Overloaded       Reason = "overloaded"
	Shed             Reason = "shed"
	Draining         Reason = "draining"
	DeadlineExceeded Reason = "deadline-exceeded"
	Cancelled        Reason = "cancelled"
	HostUnreachable  Reason = "host-unreachable"
	TargetFailed     Reason = "target-failed"
	AnswerCut        Reason = "answer-cut"
	Duplicate        Reason = "duplicate"
	LeaseLost        Reason = "lease-lost"
	VersionMismatch  Reason = "version-mismatch"
)

// Error is a request that was not done. RetryAfter is when to come back; zero
// when coming back does not help.
type Error struct {
	Outcome    Outcome       `cbor:"1,keyasint"`
	Reason     Reason        `cbor:"2,keyasint"`
	Detail     string        `cbor:"3,keyasint,omitempty"`
	RetryAfter time.Duration `cbor:"4,keyasint,omitempty"`
}

// Error returns outcome, reason and detail.
func (e *Error) Error() string {
	text := e.Outcome.String() + ": " + string(e.Reason)
	if e.Detail != "" {
		text += ": " + e.Detail
	}
	return text
}

// Refuse returns the error for a request that was certainly not run.
func Refuse(reason Reason, detail string, after time.Duration) *Error {
	return &Error{Outcome: NotRun, Reason: reason, Detail: detail, RetryAfter: after}
}

// UnknownError returns the error for a request that may have run.
func UnknownError(reason Reason, detail string) *Error {
	return &Error{Outcome: Unknown, Reason: reason, Detail: detail}
}
