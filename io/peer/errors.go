package peer

import (
	"errors"
	"fmt"
	"io"

	"github.com/coder/websocket"

	"pineturn/core/outcome"
	"pineturn/core/record"
)

// The WebSocket close codes that hosts use in addition to the standard codes.
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
	// ErrSilent means that no data was received on a connection for longer than
	// Options.SilenceTimeout while data was expected.
	ErrSilent = errors.New("connection silent")
	// ErrKeyNotProved means that the other host did not prove possession of the
	// shared key.
	ErrKeyNotProved = errors.New("shared key not proved")
	// ErrHostMismatch means that the certificate of the other side does not belong
	// to the host named in its hello.
	ErrHostMismatch = errors.New("certificate is another host's")
	// ErrOverloaded means that too many urgent frames are queued because the
	// receiving host does not read them fast enough.
	ErrOverloaded = errors.New("too much unread")
	// errHandlersRunning means that a handler did not return after its context had
	// ended.
	errHandlersRunning = errors.New("handler still running after its context ended")
	// errTooLarge means that a frame exceeds Options.MaxFrame.
	errTooLarge = errors.New("frame too large")
	// errIdle means that a Client's connection was unused for Options.IdleTimeout
	// or its server is shutting down.
	errIdle = errors.New("connection unused")
)

// IncarnationMismatchError means that another incarnation than the expected one runs
// at the address. The expected incarnation no longer runs there.
type IncarnationMismatchError struct {
	Want, Got record.Incarnation
}

// Error returns a message with both incarnations.
func (e *IncarnationMismatchError) Error() string {
	return fmt.Sprintf("host is %s, want %s", e.Got, e.Want)
}

// VersionMismatchError means that the other host uses another version of the peer
// protocol.
type VersionMismatchError struct {
	Got, Want int
}

// Error returns a message with both versions.
func (e *VersionMismatchError) Error() string {
	return fmt.Sprintf("peer protocol version %d, want %d", e.Got, e.Want)
}

// BadFrameError means that the other host sent an invalid frame.
type BadFrameError struct {
	Detail string
}

// Error returns a message that describes what is invalid.
func (e *BadFrameError) Error() string { return "bad frame: " + e.Detail }

// RemoteError is an error with which the other host replied to a call or
// truncated a response body.
type RemoteError struct {
	Detail string
}

// Error returns a message with the error text of the other host.
func (e *RemoteError) Error() string { return "other host: " + e.Detail }

// TruncatedError means that a response body ended before it was complete.
type TruncatedError struct {
	Cause error
}

// Error returns a message with the cause.
func (e *TruncatedError) Error() string { return "answer cut: " + e.Cause.Error() }

// Unwrap makes the error match io.ErrUnexpectedEOF and its cause.
func (e *TruncatedError) Unwrap() []error { return []error{io.ErrUnexpectedEOF, e.Cause} }

// closeStatus returns the close code and reason that are sent to the other host
// for err.
func closeStatus(err error) (websocket.StatusCode, string) {
	var (
		bad         *BadFrameError
		version     *VersionMismatchError
		incarnation *IncarnationMismatchError
	)
	code := websocket.StatusGoingAway
	switch {
	case errors.As(err, &bad):
		code = websocket.StatusProtocolError
	case errors.As(err, &version):
		code = statusVersion
	case errors.As(err, &incarnation):
		code = statusIncarnation
	case errors.Is(err, ErrKeyNotProved):
		code = statusKey
	case errors.Is(err, ErrHostMismatch):
		code = statusHost
	case errors.Is(err, ErrOverloaded):
		code = statusOverloaded
	}
	reason := err.Error()
	return code, reason[:min(len(reason), maxCloseReason)]
}

// maxCloseReason is the maximum length of the reason in a WebSocket close
// frame, in bytes.
const maxCloseReason = 123

// notSentError returns the error, with outcome not run, of a request of which
// certainly no part was written to the network.
func notSentError(err error) *outcome.Error {
	var version *VersionMismatchError
	if errors.As(err, &version) {
		return outcome.Refuse(outcome.VersionMismatch, err.Error(), 0)
	}
	if errors.Is(err, errTooLarge) {
		return outcome.Refuse(outcome.TooLarge, err.Error(), 0)
	}
	return outcome.Refuse(outcome.HostUnreachable, err.Error(), 0)
}

// isProtocolError reports whether err was caused by the other host: it violated
// the protocol, or it did not read fast enough.
func isProtocolError(err error) bool {
	var bad *BadFrameError
	return errors.As(err, &bad) || errors.Is(err, ErrOverloaded)
}
