package listener

import (
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// remoteClosed reports whether the caller has closed or reset the connection.
func (c *Conn) remoteClosed() bool {
	n, err, ok := c.peek()
	return ok && (n == 0 && err == nil || errors.Is(err, unix.ECONNRESET))
}

// hasUnread reports whether the caller has sent data that was not read.
func (c *Conn) hasUnread() bool {
	n, _, ok := c.peek()
	return ok && n > 0
}

// peek looks for one byte at the socket and consumes no data. It returns false if it can't look.
func (c *Conn) peek() (n int, err error, ok bool) {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return 0, nil, false
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return 0, nil, false
	}
	var recvErr error
	err = control.Control(func(fd uintptr) {
		var data [1]byte
		n, _, recvErr = unix.Recvfrom(int(fd), data[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	return n, recvErr, err == nil
}
