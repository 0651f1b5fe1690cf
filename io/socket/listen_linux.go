package socket

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Listen listens at a TCP address without Multipath TCP, whose sockets take no filter.
func Listen(address string) (net.Listener, error) {
	var config net.ListenConfig
	config.SetMultipathTCP(false)
	return config.Listen(context.Background(), "tcp", address)
}

// The flags of a TCP header, and their offset in it in bytes.
const (
	flagsOffset = 13
	flagSYN     = 0x02
	flagACK     = 0x10
)

// DropNewConns makes the kernel drop the first packet of each further connection
// to a listener, so that the client sends it again. Connections whose first packet
// has arrived before are still established.
func DropNewConns(listener syscall.RawConn) error {
	program := []unix.SockFilter{
		{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: flagsOffset},
		{Code: unix.BPF_ALU | unix.BPF_AND | unix.BPF_K, K: flagSYN | flagACK},
		{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, K: flagSYN, Jt: 0, Jf: 1},
		{Code: unix.BPF_RET | unix.BPF_K, K: 0},
		{Code: unix.BPF_RET | unix.BPF_K, K: 1<<32 - 1},
	}
	return control(listener, func(fd int) error {
		return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER,
			&unix.SockFprog{Len: uint16(len(program)), Filter: &program[0]})
	})
}

// AwaitPending waits until a listener has a connection that is not accepted yet, and
// returns false if it has none within limit. The limit is counted in milliseconds.
func AwaitPending(listener syscall.RawConn, limit time.Duration) (bool, error) {
	var pending bool
	err := control(listener, func(fd int) error {
		events := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(events, int(limit.Milliseconds()))
		for err == unix.EINTR {
			n, err = unix.Poll(events, int(limit.Milliseconds()))
		}
		pending = n > 0
		return err
	})
	return pending, err
}

// control calls f with the file descriptor of a socket.
func control(conn syscall.RawConn, f func(fd int) error) error {
	var result error
	if err := conn.Control(func(fd uintptr) { result = f(int(fd)) }); err != nil {
		return err
	}
	return result
}
