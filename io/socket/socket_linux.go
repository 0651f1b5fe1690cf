// Package socket sets options of TCP connections that net has no name for.
package socket

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// SetUserTimeout has the kernel end a connection whose sent bytes stay
// unacknowledged for limit.
func SetUserTimeout(conn syscall.RawConn, limit time.Duration) error {
	var failed error
	err := conn.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}
