package scenario

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

// scripts counts the scripts of this process.
var scripts atomic.Int64

// addresses hands out loopback addresses of one script. They depend on the
// process and the script, so that no two scripts share any, and their ports
// are below those that the system gives to outgoing connections.
type addresses struct {
	script int64
	used   int
}

func newAddresses() *addresses { return &addresses{script: scripts.Add(1)} }

// next returns an address with an IP number of its own.
func (a *addresses) next() (string, error) {
	const first, last = 1, 250
	for a.used < last {
		a.used++
		pid := os.Getpid()
		ip := fmt.Sprintf("127.%d.%d.%d", 16+pid%224, a.script%250, first+a.used)
		address := net.JoinHostPort(ip, fmt.Sprint(10000+pid/224%2000*10))
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		if err := listener.Close(); err != nil {
			return "", fmt.Errorf("release address: %w", err)
		}
		return address, nil
	}
	return "", fmt.Errorf("no unused address")
}
