package proxy

import (
	"sync"
	"time"
)

// ProbeCounts counts the probes of other hosts that were not answered in time.
type ProbeCounts struct {
	// Silent is the number of all of them, Late that of those whose answer came later, and LateTime the sum of
	// the times of these answers.
	Silent, Late int64
	LateTime     time.Duration
}

// probeCounts is safe for concurrent use. In the lock order its mutex comes after all others.
type probeCounts struct {
	mu     sync.Mutex
	counts ProbeCounts
}

func (c *probeCounts) silent() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Silent++
}

func (c *probeCounts) late(took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Late++
	c.counts.LateTime += took
}

// ProbeCounts returns the counts of this host's probes of others.
func (p *Proxy) ProbeCounts() ProbeCounts {
	p.probes.mu.Lock()
	defer p.probes.mu.Unlock()
	return p.probes.counts
}
