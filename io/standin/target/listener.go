package target

import (
	"net"
	"sync"
	"time"
)

// Listener wraps inner so that at most the configured number of connections is
// open, and the first read from a connection waits for the connect time.
func (t *Target) Listener(inner net.Listener) net.Listener {
	return &listener{Listener: inner, target: t}
}

type listener struct {
	net.Listener
	target *Target
}

// Accept returns the next connection within the limit. It closes connections
// beyond the limit.
func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.target.acquireConn() {
			return &conn{Conn: accepted, target: l.target, accepted: time.Now()}, nil
		}
		_ = accepted.Close()
	}
}

// conn is a connection that counts towards the limit until it is closed.
type conn struct {
	net.Conn
	target   *Target
	accepted time.Time
	ready    sync.Once
	closed   sync.Once
}

// Read reads from the connection. The first read waits until the connect time
// has passed since the connection was accepted.
func (c *conn) Read(p []byte) (int, error) {
	c.ready.Do(func() { time.Sleep(c.target.connectTime - time.Since(c.accepted)) })
	return c.Conn.Read(p)
}

// Close closes the connection and removes it from the count.
func (c *conn) Close() error {
	c.closed.Do(c.target.releaseConn)
	return c.Conn.Close()
}

func (t *Target) acquireConn() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.openConns >= t.connections {
		t.counts.ConnectionsRefused++
		return false
	}
	t.openConns++
	t.counts.Connections++
	return true
}

func (t *Target) releaseConn() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.openConns--
}
