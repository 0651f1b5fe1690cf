// Package hostcount remembers how many hosts share what is limited for all hosts
// together. It does no I/O.
package hostcount

import (
	"sync"
	"time"
)

const (
	// assumedHosts is the number of hosts that is assumed at least until the first
	// counts are settled. It is more than there are: a host that assumes too few takes
	// more than its part of what all share.
	assumedHosts = 100_000
	// SettleTime is the time from the first count until counts are settled. A leader
	// that has just taken over counts the hosts as they connect.
	SettleTime = 3 * time.Second
	// Memory is the time for which a higher number of hosts is remembered at least.
	// Hosts that can't reach one another count too few.
	Memory = 60 * time.Second
)

// Counter holds the number of hosts: the highest count of some time. Too low counts thus do
// no harm for a minute. It is safe for concurrent use.
type Counter struct {
	mu sync.Mutex
	// recent is the highest count since recentSince, earlier that of the period before.
	recent, earlier int
	recentSince     time.Time
	settled         bool
}

// New returns a counter that assumes many hosts.
func New() *Counter { return &Counter{earlier: assumedHosts} }

// Set records the number of hosts that were counted at a time.
func (c *Counter) Set(n int, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.recentSince.IsZero() {
		c.recentSince = now
	}
	if !c.settled && now.Sub(c.recentSince) >= SettleTime {
		c.settled, c.earlier = true, 0
	}
	if now.Sub(c.recentSince) >= Memory {
		c.earlier, c.recent, c.recentSince = c.recent, 0, now
	}
	c.recent = max(c.recent, n)
}

// Hosts returns the number of hosts, at least 1.
func (c *Counter) Hosts() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(c.recent, c.earlier, 1)
}

// Counted returns the number of hosts as far as it was counted, 0 before the first count.
func (c *Counter) Counted() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.settled {
		return c.recent
	}
	return max(c.recent, c.earlier)
}
