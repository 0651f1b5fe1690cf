package listener

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// remoteClosed reports whether the caller has closed or reset the connection. It
// peeks at the socket and consumes no data.
func (c *Conn) remoteClosed() bool {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	closed := false
	err = control.Control(func(fd uintptr) {
		var data [1]byte
		n, _, recvErr := unix.Recvfrom(int(fd), data[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		closed = n == 0 && recvErr == nil || recvErr == unix.ECONNRESET
	})
	return err == nil && closed
}
