package scenario

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"

	"pineturn/io/socket"
)

// scriptCount is the number of scripts started in this process.
var scriptCount atomic.Int64

// addressAllocator allocates loopback addresses for one script. The addresses
// are derived from the process ID and the script's number, so that no two scripts
// share an address. The ports are below the system's range of ephemeral ports, so
// that no outgoing connection uses one.
type addressAllocator struct {
	script int64
	used   int
}

func newAddressAllocator() *addressAllocator { return &addressAllocator{script: scriptCount.Add(1)} }

// next returns an unused IP:PORT. Its IP address differs from those of all addresses
// that were returned before.
func (a *addressAllocator) next() (string, error) {
	const first, last = 1, 250
	for a.used < last {
		a.used++
		pid := os.Getpid()
		ip := fmt.Sprintf("127.%d.%d.%d", 16+pid%224, a.script%250, first+a.used)
		address := net.JoinHostPort(ip, fmt.Sprint(10000+pid/224%2000*10))
		if free, err := socket.Unused(address); err == nil {
			return free, nil
		}
	}
	return "", fmt.Errorf("all loopback addresses of the script are used")
}
