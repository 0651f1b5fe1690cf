package peer

import (
	"errors"
	"fmt"
	"io"

	"github.com/coder/websocket"

	"pineturn/core/outcome"
	"pineturn/core/record"
)

// The WebSocket close codes that hosts use besides the standard ones.
const (
	statusVersion     websocket.StatusCode = 4001
	statusIncarnation websocket.StatusCode = 4002
	statusKey         websocket.StatusCode = 4003
	statusOverloaded  websocket.StatusCode = 4004
	statusHost        websocket.StatusCode = 4005
)

var (
	// ErrClosed means that the Client or Server was closed.
	ErrClosed = errors.New("closed")
	// ErrSilent means that a connection said nothing for too long.
	ErrSilent = errors.New("connection silent")
	// ErrKeyNotProved means that the other host did not prove that it holds the shared key.
	ErrKeyNotProved = errors.New("shared key not proved")
	// ErrHostMismatch means that the other side's certificate is another host's.
	ErrHostMismatch = errors.New("certificate is another host's")
	// ErrOverloaded means that the other host leaves too much unread.
	ErrOverloaded = errors.New("too much unread")
	// errStuck means that a handler did not return after its context ended.
	errStuck = errors.New("a handler goes on after its context's end")
	// errTooLarge means that a frame exceeds the limit.
	errTooLarge = errors.New("frame too large")
	// errIdle means that a connection was not used for long.
	errIdle = errors.New("connection unused")
)

// IncarnationMismatch means that the address is now another incarnation's: the
// wanted one runs no more there.
type IncarnationMismatch struct {
	Want, Got record.Incarnation
}

// Error names both incarnations.
func (e *IncarnationMismatch) Error() string {
	return fmt.Sprintf("host is %s, want %s", e.Got, e.Want)
}

// VersionMismatch means that the other host speaks another protocol version.
type VersionMismatch struct {
	Got, Want int
}

// Error names both versions.
func (e *VersionMismatch) Error() string {
	return fmt.Sprintf("peer protocol version %d, want %d", e.Got, e.Want)
}

// BadFrame means that the other host sent what is no valid frame.
type BadFrame struct {
	Detail string
}

// Error says what is wrong with the frame.
func (e *BadFrame) Error() string { return "bad frame: " + e.Detail }

// RemoteError is a Call that the other host answered with an error.
type RemoteError struct {
	Detail string
}

// Error returns the other host's text.
func (e *RemoteError) Error() string { return "other host: " + e.Detail }

// TruncatedError is an answer's body that ended before it was complete.
type TruncatedError struct {
	Cause error
}

// Error says why the body ended.
func (e *TruncatedError) Error() string { return "answer cut: " + e.Cause.Error() }

// Unwrap makes the error match io.ErrUnexpectedEOF and its cause.
func (e *TruncatedError) Unwrap() []error { return []error{io.ErrUnexpectedEOF, e.Cause} }

// closeStatus returns the close code and reason that tell the other host of err.
func closeStatus(err error) (websocket.StatusCode, string) {
	var (
		bad     *BadFrame
		version *VersionMismatch
		other   *IncarnationMismatch
	)
	code := websocket.StatusGoingAway
	switch {
	case errors.As(err, &bad):
		code = websocket.StatusProtocolError
	case errors.As(err, &version):
		code = statusVersion
	case errors.As(err, &other):
		code = statusIncarnation
	case errors.Is(err, ErrKeyNotProved):
		code = statusKey
	case errors.Is(err, ErrHostMismatch):
		code = statusHost
	case errors.Is(err, ErrOverloaded):
		code = statusOverloaded
	}
	reason := err.Error()
	return code, reason[:min(len(reason), maxReason)]
}

// maxReason is the longest reason of a WebSocket close frame, in bytes.
const maxReason = 123

// notSent returns the outcome of a request that was certainly not handed to
// the network.
func notSent(err error) *outcome.Error {
	var version *VersionMismatch
	if errors.As(err, &version) {
		return outcome.Refuse(outcome.VersionMismatch, err.Error(), 0)
	}
	if errors.Is(err, errTooLarge) {
		return outcome.Refuse(outcome.TooLarge, err.Error(), 0)
	}
	return outcome.Refuse(outcome.HostUnreachable, err.Error(), 0)
}

// isProtocolError reports whether the other host broke the protocol.
func isProtocolError(err error) bool {
	var bad *BadFrame
	return errors.As(err, &bad) || errors.Is(err, ErrOverloaded)
}
