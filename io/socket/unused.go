package socket

import (
	"fmt"
	"net"
	"syscall"
)

// Unused returns a TCP address at which no process listens: the given one, or with
// port 0 one with a port of the system's choice. While it listens there, it lets no
// process start, because a new process holds all sockets until it executes its
// program.
func Unused(address string) (string, error) {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", fmt.Errorf("find an unused address: %w", err)
	}
	if err := listener.Close(); err != nil {
		return "", fmt.Errorf("release an unused address: %w", err)
	}
	return listener.Addr().String(), nil
}
