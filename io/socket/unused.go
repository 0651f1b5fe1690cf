package socket

import (
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
)

// Unused returns a TCP address at which no process listens: the given one, or with
// port 0 one with a port of the system's choice. While it listens there, it lets no
// process start, because a new process holds all sockets until it executes its
// program.
func Unused(address string) (string, error) {
	awaitFirstFork()
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

// awaitFirstFork makes package os check what the kernel offers for its processes. It does so
// once, at the first start of a process, by a fork that does not take syscall.ForkLock.
var awaitFirstFork = sync.OnceFunc(func() {
	if process, err := os.FindProcess(os.Getpid()); err == nil {
		_ = process.Release()
	}
})
