// Package socket sets options of TCP sockets that package net does not expose, and defines
// how connections are opened.
package socket

import (
	"math"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// SetUserTimeout sets TCP_USER_TIMEOUT: the kernel closes the connection when
// sent data stays unacknowledged for longer than limit.
func SetUserTimeout(conn syscall.RawConn, limit time.Duration) error {
	return control(conn, func(fd int) error {
		return unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit.Milliseconds()))
	})
}

// MaxOpen returns the highest number of descriptors that the process may have open.
func MaxOpen() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return 0
	}
	return int(min(limit.Cur, math.MaxInt32))
}
