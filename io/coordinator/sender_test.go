package coordinator

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"

	"pineturn/core/clock"
	"pineturn/core/owner"
	"pineturn/core/placement"
)

// TestUnansweredGrantIsDiscarded guards against grants that arrive after the time for which
// the leader accounts for them: when a grant has timed out, its connection must be reset, so
// that a kernel behind a network partition does not deliver it later.
func TestUnansweredGrantIsDiscarded(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	closed := make(chan error, 1)
	go func() {
		conn, err := l.Accept()
		if err != nil {
			closed <- err
			return
		}
		_, err = io.Copy(io.Discard, conn)
		closed <- err
	}()
	c := New(Host{Name: "host-1"}, owner.MaxLeaseDuration, &fakeStore{}, &fakeCatalog{}, placement.NewSet("a"), clock.Boot{})
	outcome := c.sender.send(t.Context(), l.Addr().String(), owner.Order{Kind: owner.Grant, Target: owner.Incarnation{Target: "t"}})
	if outcome.Responded() || outcome.Unsent {
		t.Errorf("outcome of a grant without a response: got %+v, want unknown", outcome)
	}
	if err := <-closed; !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("end of the connection at the target: got %v, want %v", err, syscall.ECONNRESET)
	}
}
