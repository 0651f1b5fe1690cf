package proxy

import (
	"sync"

	"pineturn/core/owner"
)

// maxCountedKeys limits the number of keys counted between two reports.
const maxCountedKeys = 4096

type countedKey struct {
	service string
	key     uint16
}

// keyCounts counts the requests for each key since the last report.
type keyCounts struct {
	mu   sync.Mutex
	keys map[countedKey]float64
}

func (c *keyCounts) add(service string, key uint16) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.keys == nil {
		c.keys = make(map[countedKey]float64)
	}
	k := countedKey{service: service, key: key}
	if _, known := c.keys[k]; known || len(c.keys) < maxCountedKeys {
		c.keys[k]++
	}
}

// Report returns the request counts of keys and the processing statistics of
// targets since the previous call. If all is set, it returns the accumulated
// loads instead. It must be called from one goroutine at a time.
func (p *Proxy) Report(all bool) owner.Report {
	report := owner.Report{Counts: p.takeCounts(), Processing: p.targets.TakeProcessingStats()}
	p.loads.Add(report)
	p.loads.Decay(p.clock.Now())
	if all {
		return p.loads.Report()
	}
	return report
}

// takeCounts returns the counts and resets them.
func (p *Proxy) takeCounts() []owner.KeyCount {
	p.keyCounts.mu.Lock()
	defer p.keyCounts.mu.Unlock()
	var counted []owner.KeyCount
	for k, n := range p.keyCounts.keys {
		counted = append(counted, owner.KeyCount{Service: k.service, Key: k.key, Count: n})
	}
	clear(p.keyCounts.keys)
	return counted
}
