package idle

import (
	"slices"
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

func TestExpired(t *testing.T) {
	const limit = 15 * time.Second
	for _, c := range []struct {
		name string
		conn Connection
		age  time.Duration
		want bool
	}{
		{"before the limit", Connection{}, limit - 1, false},
		{"at the limit", Connection{}, limit, true},
		{"a part of a request read", Connection{Begun: true}, limit, true},
		{"a request without a response", Connection{Busy: true}, time.Hour, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			c.conn.Since, c.conn.Limit = start, limit
			if got := c.conn.Expired(start.Add(c.age)); got != c.want {
				t.Errorf("expired: got %t, want %t", got, c.want)
			}
		})
	}
}

func TestRoom(t *testing.T) {
	at := func(seconds int) Connection {
		return Connection{Since: start.Add(time.Duration(seconds) * time.Second)}
	}
	busy, begun := Connection{Busy: true}, Connection{Begun: true}
	for _, c := range []struct {
		name  string
		conns []Connection
		limit int
		want  []int
	}{
		{"below the limit", []Connection{at(1), at(2)}, 3, nil},
		{"the oldest", []Connection{at(3), at(1), at(2)}, 3, []int{1}},
		{"over the limit", []Connection{at(3), at(1), at(2)}, 2, []int{1, 2}},
		{"only idle ones", []Connection{busy, at(9), begun}, 3, []int{1}},
		{"none is idle", []Connection{busy, begun}, 2, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := Room(c.conns, c.limit); !slices.Equal(got, c.want) {
				t.Errorf("connections to close: got %v, want %v", got, c.want)
			}
		})
	}
}

// TestConnectionsLeftOpen guards against hosts without a descriptor left: callers open connections, send
// one request on each and leave them.
func TestConnectionsLeftOpen(t *testing.T) {
	const (
		limit     = 2_460
		perSecond = 790
		busyFor   = time.Second
	)
	var conns []Connection
	refused := 0
	for i := range 10 * perSecond {
		now := start.Add(time.Duration(i) * time.Second / perSecond)
		for j := range conns {
			conns[j].Busy = now.Sub(conns[j].Since) < busyFor
		}
		closing := Room(conns, limit)
		slices.Sort(closing)
		for _, j := range slices.Backward(closing) {
			conns = slices.Delete(conns, j, j+1)
		}
		if len(conns) >= limit {
			refused++
			continue
		}
		conns = append(conns, Connection{Since: now, Limit: 15 * time.Second})
	}
	if refused > 0 {
		t.Errorf("connections refused: got %d, want none", refused)
	}
	if len(conns) > limit {
		t.Errorf("open connections: got %d, want %d at most", len(conns), limit)
	}
}
