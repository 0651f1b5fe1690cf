package target

import (
	"net"
	"sync"
	"time"
)

// Listener limits the connections accepted from inner to the target's limit
// and delays each by the target's time to set one up.
func (t *Target) Listener(inner net.Listener) net.Listener {
	return &listener{Listener: inner, target: t}
}

type listener struct {
	net.Listener
	target *Target
}

// Accept returns the next connection within the limit and closes the others.
func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.target.openConn() {
			return &conn{Conn: accepted, target: l.target, accepted: time.Now()}, nil
		}
		_ = accepted.Close()
	}
}

// conn is a connection that counts against the limit until it is closed.
type conn struct {
	net.Conn
	target   *Target
	accepted time.Time
	ready    sync.Once
	closed   sync.Once
}

// Read reads; the first read waits until the connection is set up.
func (c *conn) Read(p []byte) (int, error) {
	c.ready.Do(func() { time.Sleep(c.target.connectTime - time.Since(c.accepted)) })
	return c.Conn.Read(p)
}

// Close closes the connection and takes it off the count.
func (c *conn) Close() error {
	c.closed.Do(c.target.closeConn)
	return c.Conn.Close()
}

func (t *Target) openConn() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.opened >= t.connections {
		t.counts.ConnsRefused++
		return false
	}
	t.opened++
	t.counts.Connections++
	return true
}

func (t *Target) closeConn() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.opened--
}
