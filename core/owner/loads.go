package owner

import (
	"math"
	"slices"
	"time"
)

const (
	// loadHalfLife is the half-life of the load recorded for a key. Loads are in
	// requests per second.
	loadHalfLife = 4 * time.Second
	// maxTrackedKeys bounds the number of keys tracked per service.
	maxTrackedKeys = Keys / 2
	// minTrackedLoad is the load in requests per second below which a key is no
	// longer tracked.
	minTrackedLoad = 0.01
	// minReportedLoad is the load in requests per second from which a key is
	// reported to a new leader.
	minReportedLoad = 0.05
	// baseLoad is the load in requests per second that is assumed for all keys
	// of a service together, in addition to the observed load, so that idle ranges
	// count too and idle keys are spread evenly.
	baseLoad = 1.0
)

// loadPerCount is the amount that one request adds to a load. With the
// exponential decay, a steady rate of r requests per second gives a load of r.
const loadPerCount = math.Ln2 / (float64(loadHalfLife) / float64(time.Second))

// KeyCount is the number of requests for a key of a service.
type KeyCount struct {
	Service string `cbor:"1,keyasint"`
	Key     uint16 `cbor:"2,keyasint"`
	// Count is fractional in a report to a new leader.
	Count float64 `cbor:"3,keyasint"`
}

// keyLoad is the load of a key in requests per second.
type keyLoad struct {
	key  uint16
	load float64
}

// Report is what a host reports to the leader about the requests of its
// callers.
type Report struct {
	Counts     []KeyCount        `cbor:"1,keyasint,omitempty"`
	Processing []ProcessingStats `cbor:"2,keyasint,omitempty"`
}

// Loads holds the load of keys and the processing times of targets, aggregated
// from the reports of all hosts.
type Loads struct {
	services map[string]map[uint16]float64
	// prefixSums holds, by service, the total load of all keys below each key, and
	// sorted the loaded keys in order. Entries are computed on first use after a
	// change.
	prefixSums map[string][]float32
	sorted     map[string][]keyLoad
	processing targetStats
	decayedAt  time.Time
}

// NewLoads returns empty loads.
func NewLoads(now time.Time) *Loads {
	return &Loads{services: make(map[string]map[uint16]float64), prefixSums: make(map[string][]float32), sorted: make(map[string][]keyLoad), processing: make(targetStats), decayedAt: now}
}

// Add adds a report. Under a steady rate of r requests per second, the load of
// a key converges to r.
func (l *Loads) Add(report Report) {
	l.forgetDerived()
	for _, stats := range report.Processing {
		l.processing.add(stats)
	}
	for _, c := range report.Counts {
		keys := l.services[c.Service]
		if keys == nil {
			keys = make(map[uint16]float64)
			l.services[c.Service] = keys
		}
		if _, known := keys[c.Key]; known || len(keys) < maxTrackedKeys {
			keys[c.Key] += c.Count * loadPerCount
		}
	}
}

// Report returns a report from which a new leader obtains the same loads and
// processing times, except for keys with a load below minReportedLoad.
func (l *Loads) Report() Report {
	var report Report
	for service, keys := range l.services {
		for key, load := range keys {
			if load >= minReportedLoad {
				report.Counts = append(report.Counts, KeyCount{Service: service, Key: key, Count: load / loadPerCount})
			}
		}
	}
	for _, targets := range l.processing {
		for _, stats := range targets {
			report.Processing = append(report.Processing, *stats)
		}
	}
	return report
}

// Decay reduces the weight of earlier reports by the time since the previous
// call.
func (l *Loads) Decay(now time.Time) {
	l.forgetDerived()
	l.processing.decay(now.Sub(l.decayedAt))
	factor := math.Exp2(-now.Sub(l.decayedAt).Seconds() / loadHalfLife.Seconds())
	l.decayedAt = now
	for _, keys := range l.services {
		for key, load := range keys {
			if load *= factor; load < minTrackedLoad {
				delete(keys, key)
			} else {
				keys[key] = load
			}
		}
	}
}

// RangeLoad returns the load of a range of keys in requests per second.
func (l *Loads) RangeLoad(service string, first, last uint16) float64 {
	sums := l.prefixSumsOf(service)
	observed := float64(sums[int(last)+1] - sums[first])
	return observed + baseLoad*(float64(last)-float64(first)+1)/Keys
}

func (l *Loads) prefixSumsOf(service string) []float32 {
	if sums := l.prefixSums[service]; sums != nil {
		return sums
	}
	sums := make([]float32, Keys+1)
	for key, load := range l.services[service] {
		sums[int(key)+1] = float32(load)
	}
	for i := range Keys {
		sums[i+1] += sums[i]
	}
	l.prefixSums[service] = sums
	return sums
}

// loadedKeys returns the keys of a range that have load, in key order. The result must
// not be modified.
func (l *Loads) loadedKeys(service string, first, last uint16) []keyLoad {
	keys := l.sortedKeys(service)
	start, _ := slices.BinarySearchFunc(keys, first, func(k keyLoad, key uint16) int { return int(k.key) - int(key) })
	end, found := slices.BinarySearchFunc(keys, last, func(k keyLoad, key uint16) int { return int(k.key) - int(key) })
	if found {
		end++
	}
	return keys[start:end]
}

func (l *Loads) sortedKeys(service string) []keyLoad {
	if keys := l.sorted[service]; keys != nil {
		return keys
	}
	keys := make([]keyLoad, 0, len(l.services[service]))
	for key, load := range l.services[service] {
		keys = append(keys, keyLoad{key: key, load: load})
	}
	slices.SortFunc(keys, func(a, b keyLoad) int { return int(a.key) - int(b.key) })
	l.sorted[service] = keys
	return keys
}

// forgetDerived drops what was computed from the loads.
func (l *Loads) forgetDerived() {
	clear(l.prefixSums)
	clear(l.sorted)
}
