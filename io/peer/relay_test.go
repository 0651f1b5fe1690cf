package peer

import (
	"net"
	"sync"
	"testing"
)

// relay forwards TCP connections and can stall or close them.
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
	client, server net.Conn

	mu     sync.Mutex
	resume chan struct{} // nil unless the link is stalled; closed at the end of the test
}

// newRelay inserts a relay between the client and the server of a fixture.
func newRelay(t *testing.T, r *fixture) *relay {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	relay := &relay{t: t, listener: listener, to: r.to.Address}
	r.to.Address = listener.Addr().String()
	relay.wg.Go(relay.accept)
	t.Cleanup(func() {
		relay.stopAccepting()
		relay.closeLinks()
		relay.wg.Wait()
	})
	return relay
}

func (r *relay) stopAccepting() { _ = r.listener.Close() }

func (r *relay) accept() {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", r.to)
		if err != nil {
			_ = client.Close()
			continue
		}
		l := &link{client: client, server: server}
		r.mu.Lock()
		r.links = append(r.links, l)
		r.mu.Unlock()
		r.wg.Go(func() { l.forward(client, server) })
		r.wg.Go(func() { l.forward(server, client) })
	}
}

// forward copies bytes until either end closes the connection.
func (l *link) forward(from, to net.Conn) {
	defer l.close()
	buffer := make([]byte, 4<<10)
	for {
		n, err := from.Read(buffer)
		if l.waitWhileStalled(); n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// waitWhileStalled blocks while the link is stalled.
func (l *link) waitWhileStalled() {
	l.mu.Lock()
	resume := l.resume
	l.mu.Unlock()
	if resume != nil {
		<-resume
	}
}

func (l *link) close() {
	_ = l.client.Close()
	_ = l.server.Close()
}

// stall stops all traffic on the connections that are open now, for the rest of
// the test. New connections work.
func (r *relay) stall() {
	resume := make(chan struct{})
	for _, l := range r.openLinks() {
		l.mu.Lock()
		l.resume = resume
		l.mu.Unlock()
	}
	r.t.Cleanup(func() { close(resume) })
}

// closeLinks closes the connections that are open now.
func (r *relay) closeLinks() {
	for _, l := range r.openLinks() {
		l.close()
	}
}

func (r *relay) openLinks() []*link {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]*link(nil), r.links...)
}
