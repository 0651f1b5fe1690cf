package target

import (
	"syscall"
	"time"
)

// tcpUserTimeout is TCP_USER_TIMEOUT of linux/tcp.h, in milliseconds.
const tcpUserTimeout = 0x12

// limitUnacknowledged makes the kernel close a connection whose sent bytes
// stay unacknowledged for limit.
func limitUnacknowledged(conn syscall.RawConn, limit time.Duration) error {
	var failure error
	err := conn.Control(func(fd uintptr) {
		failure = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(limit.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failure
}
