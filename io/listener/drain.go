package listener

import (
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"pineturn/io/socket"
)

// Listen listens for callers at a TCP address.
func Listen(address string) (*Listener, error) {
	l, err := socket.Listen(address)
	if err != nil {
		return nil, err
	}
	return New(l), nil
}

// StopNew stops new connections. A caller whose connection is stopped has sent no
// request; its system connects again, at first after about 1 s. StopNew is called
// immediately before Drain, so that no connection arrives while the listener closes.
func (l *Listener) StopNew() error {
	conn, err := l.socket()
	if err != nil || conn == nil {
		return err
	}
	return errors.Wrap(socket.DropNewConns(conn), "stop new connections")
}

// Drain waits until the server has accepted the connections that are pending or being
// established, and closes the listener.
func (l *Listener) Drain() error {
	err := l.acceptPending()
	// The server may already have closed the listener after Accept failed.
	if closeErr := l.Close(); closeErr != nil && !errors.Is(closeErr, net.ErrClosed) {
		return errors.CombineErrors(err, errors.Wrap(closeErr, "close listener"))
	}
	// If the server no longer calls Accept, drained is never closed.
	select {
	case <-l.drained:
	case <-time.After(drainTimeout):
	}
	return err
}

// acceptPending waits until no connection is pending, for at most drainTimeout.
func (l *Listener) acceptPending() error {
	conn, err := l.socket()
	if err != nil || conn == nil {
		return err
	}
	for end := time.Now().Add(drainTimeout); time.Now().Before(end); time.Sleep(acceptPollInterval) {
		pending, err := socket.AwaitPending(conn, handshakeGrace)
		if err != nil || !pending {
			return errors.Wrap(err, "wait for pending connections")
		}
	}
	return errors.New("connections were still pending")
}

// socket returns the socket of the listener, nil if it has none.
func (l *Listener) socket() (syscall.RawConn, error) {
	inner, ok := l.Listener.(syscall.Conn)
	if !ok {
		return nil, nil
	}
	conn, err := inner.SyscallConn()
	return conn, errors.Wrap(err, "access socket")
}
