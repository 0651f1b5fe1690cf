package listener

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// left looks whether the other end has closed the connection, without reading.
func (c *Conn) left() bool {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	ended := false
	err = control.Control(func(fd uintptr) {
		var data [1]byte
		n, _, failed := unix.Recvfrom(int(fd), data[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		ended = n == 0 && failed == nil || failed == unix.ECONNRESET
	})
	return err == nil && ended
}
