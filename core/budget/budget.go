// Package budget bounds how often a host sends requests again, so that all
// hosts together keep to the operator's bound without talking to each other:
// each spends a share of its own requests only.
package budget

import (
	"sync"
	"time"
)

const (
	// steps is the number of parts that the window is counted in.
	steps = 10
	// safety is the part of the bound that is used.
	safety = 0.7
	// unknownHosts is the number of hosts that is taken before one is told.
	unknownHosts = 100
)

// Budget counts requests and repeated sends of each service.
type Budget struct {
	mu     sync.Mutex
	ratio  float64
	extra  float64
	hosts  int
	window time.Duration
	tables map[string]*counts
}

type counts struct {
	step     int64
	requests [steps]float64
	repeats  [steps]float64
}

// New returns a budget of ratio times the requests in a window plus this
// host's part of the extra that all hosts share.
func New(ratio, extra float64, window time.Duration) *Budget {
	return &Budget{ratio: ratio, extra: extra, hosts: unknownHosts, window: window, tables: make(map[string]*counts)}
}

// SetHosts tells how many hosts share the extra.
func (b *Budget) SetHosts(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hosts = max(n, 1)
}

func (b *Budget) at(service string, now time.Time) *counts {
	c := b.tables[service]
	if c == nil {
		c = &counts{}
		b.tables[service] = c
	}
	step := now.UnixNano() / int64(b.window/steps)
	for n := min(step-c.step, steps); n > 0; n-- {
		i := (step - n + 1) % steps
		c.requests[i], c.repeats[i] = 0, 0
	}
	c.step = max(c.step, step)
	return c
}

// RecordRequest counts a caller's request for a service.
func (b *Budget) RecordRequest(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.at(service, now)
	c.requests[c.step%steps]++
}

// Spend reports whether one more send is within the budget, and counts it.
func (b *Budget) Spend(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.at(service, now)
	var requests, repeats float64
	for i := range steps {
		requests += c.requests[i]
		repeats += c.repeats[i]
	}
	if repeats+1 > safety*(b.ratio*requests+b.extra/float64(b.hosts)) {
		return false
	}
	c.repeats[c.step%steps]++
	return true
}
