package peer

import (
	"net"
	"sync"
	"testing"
)

// relay passes TCP connections on, and can be told to misbehave.
type relay struct {
	t        *testing.T
	listener net.Listener
	to       string

	mu    sync.Mutex
	links []*link
	wg    sync.WaitGroup
}

// link is one connection through the relay.
type link struct {
	near, far net.Conn

	mu   sync.Mutex
	held chan struct{} // nil while bytes pass; closed at the end
}

// newRelay puts a relay between a rig's client and server.
func newRelay(t *testing.T, r *rig) *relay {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	y := &relay{t: t, listener: listener, to: r.to.Address}
	r.to.Address = listener.Addr().String()
	y.wg.Go(y.accept)
	t.Cleanup(func() {
		y.stopAccepting()
		y.cut()
		y.wg.Wait()
	})
	return y
}

func (y *relay) stopAccepting() { _ = y.listener.Close() }

func (y *relay) accept() {
	for {
		near, err := y.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", y.to)
		if err != nil {
			_ = near.Close()
			continue
		}
		l := &link{near: near, far: far}
		y.mu.Lock()
		y.links = append(y.links, l)
		y.mu.Unlock()
		y.wg.Go(func() { l.pass(near, far) })
		y.wg.Go(func() { l.pass(far, near) })
	}
}

// pass copies bytes until either end closes.
func (l *link) pass(from, to net.Conn) {
	defer l.close()
	buffer := make([]byte, 4<<10)
	for {
		n, err := from.Read(buffer)
		if l.wait(); n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// wait returns when bytes may pass.
func (l *link) wait() {
	l.mu.Lock()
	held := l.held
	l.mu.Unlock()
	if held != nil {
		<-held
	}
}

func (l *link) close() {
	_ = l.near.Close()
	_ = l.far.Close()
}

// hold stops all bytes on the connections that are open now, for the rest of
// the test. New ones work.
func (y *relay) hold() {
	held := make(chan struct{})
	for _, l := range y.open() {
		l.mu.Lock()
		l.held = held
		l.mu.Unlock()
	}
	y.t.Cleanup(func() { close(held) })
}

// cut closes the connections that are open now.
func (y *relay) cut() {
	for _, l := range y.open() {
		l.close()
	}
}

func (y *relay) open() []*link {
	y.mu.Lock()
	defer y.mu.Unlock()
	return append([]*link(nil), y.links...)
}
