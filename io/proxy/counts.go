package proxy

import (
	"sync"

	"pineturn/core/owner"
)

// mostCounted bounds the keys that are counted between two reports.
const mostCounted = 4096

type countedKey struct {
	service string
	key     uint16
}

// counts are the requests for each key since the last report.
type counts struct {
	mu   sync.Mutex
	keys map[countedKey]float64
}

func (c *counts) add(service string, key uint16) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.keys == nil {
		c.keys = make(map[countedKey]float64)
	}
	k := countedKey{service: service, key: key}
	if _, known := c.keys[k]; known || len(c.keys) < mostCounted {
		c.keys[k]++
	}
}

// Report returns the requests for each key and the work of each key's target
// since the call before, or with all set what is remembered of them.
func (e *Proxy) Report(all bool) owner.Report {
	report := owner.Report{Counts: e.countsNow(), Processing: e.targets.TakeProcessingStats()}
	e.history.Add(report)
	e.history.Decay(e.clock.Now())
	if all {
		return e.history.Report()
	}
	return report
}

func (e *Proxy) countsNow() []owner.KeyCount {
	e.counts.mu.Lock()
	defer e.counts.mu.Unlock()
	var counted []owner.KeyCount
	for k, n := range e.counts.keys {
		counted = append(counted, owner.KeyCount{Service: k.service, Key: k.key, Count: n})
	}
	clear(e.counts.keys)
	return counted
}
