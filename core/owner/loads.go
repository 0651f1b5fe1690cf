package owner

import (
	"math"
	"slices"
	"time"
)

const (
	// loadHalfLife is the time in which the memory of a key's load halves.
	loadHalfLife = 4 * time.Second
	// mostKeys bounds the keys remembered of one service.
	mostKeys = Keys / 2
	// leastLoad is the load in requests a second at which a key is forgotten.
	leastLoad = 0.01
	// leastTold is the load of a key in requests a second that a new leader is
	// told of.
	leastTold = 0.05
	// evenLoad is the load in requests a second that all keys of a service are
	// taken to have together beyond what was seen of each.
	evenLoad = 1.0
)

// countScale is what one request adds to a load: as it fades by halves, a steady
// rate r adds up to r.
const countScale = math.Ln2 / (float64(loadHalfLife) / float64(time.Second))

// KeyCount is the number of requests for a key of a service.
type KeyCount struct {
	Service string  `cbor:"1,keyasint"`
	Key     uint16  `cbor:"2,keyasint"`
	Count   float64 `cbor:"3,keyasint"`
}

// keyLoad is the load of a key in requests a second.
type keyLoad struct {
	key  uint16
	load float64
}

// Report is what a host tells the one that leads of its callers' requests.
type Report struct {
	Counts     []KeyCount        `cbor:"1,keyasint,omitempty"`
	Processing []ProcessingStats `cbor:"2,keyasint,omitempty"`
}

// Loads are the loads of keys and the paces of targets, learned from all hosts'
// reports.
type Loads struct {
	services map[string]map[uint16]float64
	// sums are, by service, the loads of all keys below each key. They are made
	// when they are first asked for after a change.
	sums  map[string][]float32
	paces paces
	aged  time.Time
}

// NewLoads returns loads of nothing.
func NewLoads(now time.Time) *Loads {
	return &Loads{services: make(map[string]map[uint16]float64), sums: make(map[string][]float32), paces: make(paces), aged: now}
}

// Add takes a report in. The load of a steady rate r settles at r.
func (l *Loads) Add(report Report) {
	clear(l.sums)
	for _, w := range report.Processing {
		l.paces.add(w)
	}
	for _, c := range report.Counts {
		keys := l.services[c.Service]
		if keys == nil {
			keys = make(map[uint16]float64)
			l.services[c.Service] = keys
		}
		if _, known := keys[c.Key]; known || len(keys) < mostKeys {
			keys[c.Key] += c.Count * countScale
		}
	}
}

// Report returns what would have a leader that knows nothing learn the same.
func (l *Loads) Report() Report {
	var report Report
	for service, keys := range l.services {
		for key, load := range keys {
			if load >= leastTold {
				report.Counts = append(report.Counts, KeyCount{Service: service, Key: key, Count: load / countScale})
			}
		}
	}
	for _, targets := range l.paces {
		for _, w := range targets {
			report.Processing = append(report.Processing, *w)
		}
	}
	return report
}

// Decay lets old counts fade.
func (l *Loads) Decay(now time.Time) {
	clear(l.sums)
	l.paces.age(now.Sub(l.aged))
	keep := math.Exp2(-now.Sub(l.aged).Seconds() / loadHalfLife.Seconds())
	l.aged = now
	for _, keys := range l.services {
		for key, load := range keys {
			if load *= keep; load < leastLoad {
				delete(keys, key)
			} else {
				keys[key] = load
			}
		}
	}
}

// Range returns the load of a range of keys.
func (l *Loads) Range(service string, first, last uint16) float64 {
	sums := l.sumsOf(service)
	seen := float64(sums[int(last)+1] - sums[first])
	return seen + evenLoad*(float64(last)-float64(first)+1)/Keys
}

func (l *Loads) sumsOf(service string) []float32 {
	if sums := l.sums[service]; sums != nil {
		return sums
	}
	sums := make([]float32, Keys+1)
	for key, load := range l.services[service] {
		sums[int(key)+1] = float32(load)
	}
	for i := range Keys {
		sums[i+1] += sums[i]
	}
	l.sums[service] = sums
	return sums
}

// busy returns the keys of a range that have load, in their order.
func (l *Loads) busy(service string, first, last uint16) []keyLoad {
	var keys []keyLoad
	for key, n := range l.services[service] {
		if key >= first && key <= last {
			keys = append(keys, keyLoad{key: key, load: n})
		}
	}
	slices.SortFunc(keys, func(a, b keyLoad) int { return int(a.key) - int(b.key) })
	return keys
}
