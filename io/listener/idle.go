package listener

import (
	"context"
	"sync/atomic"
	"time"

	"pineturn/core/idle"
)

const (
	// DefaultIdleTimeout is the time after which an idle connection is closed where the operator
	// states none.
	DefaultIdleTimeout = 120 * time.Second
	// expiryInterval is the time between checks for connections that have been idle for too long.
	expiryInterval = 500 * time.Millisecond
)

// Counts are the numbers of connections that were closed because nothing happened on them, and of those
// that were not accepted.
type Counts struct {
	// Expired connections were idle for the operator's limit, Displaced ones were closed to make room
	// for others.
	Expired, Displaced int64
	// Refused connections were closed at once, as there was no room.
	Refused int64
}

type counters struct{ expired, displaced, refused atomic.Int64 }

// Counts returns the numbers so far.
func (l *Listener) Counts() Counts {
	return Counts{Expired: l.counters.expired.Load(), Displaced: l.counters.displaced.Load(), Refused: l.counters.refused.Load()}
}

// Open returns the number of open connections.
func (l *Listener) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// CloseExpired closes connections that have been idle for their limit, until ctx is done. A host that
// was paused has requests to read on connections that look idle.
func (l *Listener) CloseExpired(ctx context.Context) {
	tick := time.NewTicker(expiryInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		limit, now := l.IdleTimeout(), time.Now()
		for _, c := range l.open() {
			if c.closeIf(func() bool { return c.idleState(limit).Expired(now) && !c.hasUnread() }) {
				l.counters.expired.Add(1)
			}
		}
	}
}

// open returns the open connections.
func (l *Listener) open() []*Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	conns := make([]*Conn, 0, len(l.conns))
	for c := range l.conns {
		conns = append(conns, c)
	}
	return conns
}

// makeRoom closes idle connections if there are too many, and reports whether there is room for a
// further one.
func (l *Listener) makeRoom() bool {
	limit := l.MaxConns
	if limit <= 0 || l.Open() < limit {
		return true
	}
	conns := l.open()
	states := make([]idle.Connection, len(conns))
	for i, c := range conns {
		c.mu.Lock()
		states[i] = c.idleState(0)
		c.mu.Unlock()
	}
	for _, i := range idle.Room(states, limit) {
		if conns[i].closeIf(func() bool { return conns[i].isIdle() && !conns[i].hasUnread() }) {
			l.counters.displaced.Add(1)
		}
	}
	return l.Open() < limit
}

// idleState returns the state of the connection while a limit is in force. The caller holds mu.
func (c *Conn) idleState(limit time.Duration) idle.Connection {
	c.idleLimit = max(c.idleLimit, limit)
	return idle.Connection{Since: c.idleSince, Limit: c.idleLimit, Busy: c.active, Begun: !c.isIdle()}
}
