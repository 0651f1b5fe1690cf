// Package idle decides which connections of callers are closed because nothing happens on them. It does
// no I/O.
//
// It answers the load pattern of callers that open connections and leave them: each takes a descriptor,
// until none is left for those who have a request.
package idle

import (
	"cmp"
	"slices"
	"time"
)

// Connection is a connection as far as the decisions depend on it.
type Connection struct {
	// Since is when a response was last sent, or data was last read of a request that is not whole
	// yet.
	Since time.Time
	// Limit is the highest limit on idle time that was in force since then.
	Limit time.Duration
	// Busy is set while a whole request has no response.
	Busy bool
	// Begun is set once data of the next request has been read.
	Begun bool
}

// Expired reports whether a connection has been idle for its limit.
func (c Connection) Expired(now time.Time) bool { return !c.Busy && now.Sub(c.Since) >= c.Limit }

// roomFraction is the part of the highest number of connections for which room is made at once.
const roomFraction = 1.0 / 32

// Room returns the indexes of the connections to close before a further one is accepted, so that there
// are at most limit: the idle ones, longest idle first, some at once. There may be too few of them.
func Room(conns []Connection, limit int) []int {
	if len(conns) < limit {
		return nil
	}
	var idle []int
	for i, c := range conns {
		if !c.Busy && !c.Begun {
			idle = append(idle, i)
		}
	}
	slices.SortFunc(idle, func(a, b int) int { return cmp.Compare(conns[a].Since.UnixNano(), conns[b].Since.UnixNano()) })
	excess := len(conns) - limit + 1
	return idle[:min(len(idle), excess+int(roomFraction*float64(limit)))]
}
