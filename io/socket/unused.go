package socket

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
)

const (
	// firstPort and lastPort are the ports from which Unused chooses. They are below the
	// range from which the kernel takes the ports of outgoing connections by default.
	firstPort = 10000
	lastPort  = 32000
	ports     = lastPort - firstPort + 1
	// maxTries is the number of ports that Unused tries.
	maxTries = 100
)

// nextPort counts through the ports from a random one on, so that a process is given none
// twice in a short time, and rarely one that another process is given.
var nextPort = func() *atomic.Uint64 {
	var next atomic.Uint64
	next.Store(rand.Uint64N(ports))
	return &next
}()

// Unused returns a TCP address at which no process listens: the given one, or with port 0 one
// whose port no outgoing connection takes.
func Unused(address string) (string, error) {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return "", fmt.Errorf("find an unused address: %w", err)
	}
	if port != "0" {
		return address, tryListen(address)
	}
	for range maxTries {
		address = net.JoinHostPort(host, strconv.Itoa(firstPort+int(nextPort.Add(1)%ports)))
		if err = tryListen(address); err == nil {
			return address, nil
		}
	}
	return "", fmt.Errorf("find an unused address in %d tries: %w", maxTries, err)
}

// tryListen reports whether it can listen at an address. While it listens there, it lets no
// process start, because a new process holds all sockets until it executes its program.
func tryListen(address string) error {
	awaitFirstFork()
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	if err := listener.Close(); err != nil {
		return fmt.Errorf("release an address: %w", err)
	}
	return nil
}

// awaitFirstFork makes package os check what the kernel offers for its processes. It does so
// once, at the first start of a process, by a fork that does not take syscall.ForkLock.
var awaitFirstFork = sync.OnceFunc(func() {
	if process, err := os.FindProcess(os.Getpid()); err == nil {
		_ = process.Release()
	}
})
