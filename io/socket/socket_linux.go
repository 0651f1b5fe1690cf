// Package socket sets options of TCP sockets that package net does not expose, and defines
// how connections are opened.
package socket

import (
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
