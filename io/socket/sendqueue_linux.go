package socket

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// tcpClosed is the state TCP_CLOSE of a connection, after a reset for example.
const tcpClosed = 7

// sendQueue returns the number of bytes that were sent on a connection and have not been acknowledged, and whether the
// connection is still open. It returns 0 and true if it can't tell.
func sendQueue(conn net.Conn) (unsent int, open bool) {
	tcp, ok := conn.(syscall.Conn)
	if !ok {
		return 0, true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return 0, true
	}
	open = true
	err = raw.Control(func(fd uintptr) {
		// The queue of a connection that is reset is empty: it is looked at first.
		if n, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err == nil {
			unsent = n
		}
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			open = info.State != tcpClosed
		}
	})
	if err != nil {
		return 0, true
	}
	return unsent, open
}
