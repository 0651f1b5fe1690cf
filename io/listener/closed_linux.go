package listener

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// rawConn returns the socket of the connection. It returns false if it has none.
func (c *Conn) rawConn() (syscall.RawConn, bool) {
	conn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, false
	}
	raw, err := conn.SyscallConn()
	return raw, err == nil
}

// remoteClosed reports whether the caller has closed or reset the connection, also if it has sent data that was not
// read.
func (c *Conn) remoteClosed() bool {
	raw, ok := c.rawConn()
	if !ok {
		return false
	}
	closed := false
	err := raw.Control(func(fd uintptr) { closed = hungUp(int(fd)) })
	return err == nil && closed
}

// hungUp reports whether the other end of a socket has closed or reset the connection.
func hungUp(fd int) bool {
	events := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(events, 0)
	return err == nil && n > 0 && events[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}

// hasUnread reports whether the caller has sent data that was not read.
func (c *Conn) hasUnread() bool {
	n, _, ok := c.peek()
	return ok && n > 0
}

// peek looks for one byte at the socket and consumes no data. It returns false if it can't look.
func (c *Conn) peek() (n int, err error, ok bool) {
	raw, ok := c.rawConn()
	if !ok {
		return 0, nil, false
	}
	var recvErr error
	err = raw.Control(func(fd uintptr) {
		var data [1]byte
		n, _, recvErr = unix.Recvfrom(int(fd), data[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	return n, recvErr, err == nil
}
