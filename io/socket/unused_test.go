package socket

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"sync"
	"testing"
)

// TestUnusedWhileProcessesStart guards against an address that is still in use when it
// is returned, because a process that was started meanwhile holds its socket.
func TestUnusedWhileProcessesStart(t *testing.T) {
	const rounds = 4000
	done := make(chan struct{})
	var starters sync.WaitGroup
	defer starters.Wait()
	defer close(done)
	for range 2 {
		starters.Go(func() { startProcesses(t, done) })
	}
	failed := 0
	for range rounds {
		address, err := Unused("127.0.0.2:0")
		if err != nil {
			t.Fatal(err)
		}
		listener, err := net.Listen("tcp", address)
		if err != nil {
			failed++
			continue
		}
		_ = listener.Close()
	}
	if failed > 0 {
		t.Errorf("addresses in use: got %d of %d, want 0", failed, rounds)
	}
}

// startProcesses starts one process after the other until done is closed.
func startProcesses(t *testing.T, done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		default:
		}
		if err := exec.CommandContext(t.Context(), "true").Run(); err != nil {
			t.Errorf("start a process: got error %v, want none", err)
			return
		}
	}
}

// TestUnusedIsNoEphemeralPort guards against an address that an outgoing connection takes
// before a process listens there.
func TestUnusedIsNoEphemeralPort(t *testing.T) {
	data, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range")
	if err != nil {
		t.Skip(err)
	}
	var first, last int
	if _, err := fmt.Sscan(string(data), &first, &last); err != nil {
		t.Fatal(err)
	}
	for range 200 {
		address, err := Unused("127.0.0.3:0")
		if err != nil {
			t.Fatal(err)
		}
		parsed, err := netip.ParseAddrPort(address)
		if err != nil {
			t.Fatal(err)
		}
		if got := int(parsed.Port()); got >= first && got <= last {
			t.Fatalf("port: got %d, want none from %d to %d", got, first, last)
		}
	}
}
