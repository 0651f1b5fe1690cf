package owner

import (
	"math"
	"slices"
	"time"
)

const (
	// loadHalfLife is the half-life of the load recorded for a key, stepHalfLife that
	// of the load by which a step shows. Loads are in requests per second.
	loadHalfLife = 4 * time.Second
	stepHalfLife = time.Second
	// regionHalfLife is used instead of stepHalfLife where regions of keys are judged: the
	// sums of many keys are smooth enough for it.
	regionHalfLife = 500 * time.Millisecond
	// stepDeviations is the difference between the two loads of a key, in standard
	// deviations of the second one, from which it counts as a step.
	stepDeviations = 3.0
	// regionDeviations is used instead where regions of keys are judged: there are many.
	regionDeviations = 4.0
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

// loadPerCount is the amount that one request adds to the load of a key. With the exponential
// decay, a steady rate of r requests per second gives a load of r.
const loadPerCount = math.Ln2 / (float64(loadHalfLife) / float64(time.Second))

// perCount returns what loadPerCount is for a half-life.
func perCount(halfLife time.Duration) float64 { return math.Ln2 / halfLife.Seconds() }

// stepRule is how a step in a load is found: the half-life of the recent load, and its difference
// to the other one in standard deviations.
type stepRule struct {
	halfLife   time.Duration
	deviations float64
}

// Rules for single keys, and where the sums of regions of keys are judged too.
var (
	keyRule    = stepRule{halfLife: stepHalfLife, deviations: stepDeviations}
	regionRule = stepRule{halfLife: regionHalfLife, deviations: regionDeviations}
)

// keyRate is the load of a key as averaged over two spans of time.
type keyRate struct {
	steady, recent float64
}

// load returns the load of the key: the average over the longer span, unless the recent
// load differs from it by more than requests at random times do. A key that becomes hot,
// or cools down, thus shows within about a second, while the loads of other keys stay
// smooth.
func (r keyRate) load(rule stepRule) float64 {
	if r.stepped(rule) {
		return r.recent
	}
	return r.steady
}

// stepped reports whether the two averages differ by more than requests at random times do.
func (r keyRate) stepped(rule stepRule) bool {
	// The variance of an average over requests at random times.
	variance := max(r.steady, r.recent) * perCount(rule.halfLife) / 2
	difference := r.recent - r.steady
	return difference*difference > rule.deviations*rule.deviations*variance
}

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
	// Full reports that Counts are all that the host remembers, not only the requests
	// since its previous report.
	Full bool `cbor:"5,keyasint,omitempty"`
}

// Loads holds the load of keys and the processing times of targets, aggregated
// from the reports of all hosts.
type Loads struct {
	services map[string]map[uint16]keyRate
	// prefixSums holds, by service, the total load of all keys below each key, and
	// sorted the loaded keys in order. Entries are computed on first use after a
	// change.
	prefixSums map[string][]float32
	sorted     map[string][]keyLoad
	processing targetStats
	decayedAt  time.Time
	// rule is how steps are found, and byRegion whether adjacent keys are judged together too.
	rule     stepRule
	byRegion bool
}

// NewLoads returns empty loads.
func NewLoads(now time.Time) *Loads {
	return &Loads{services: make(map[string]map[uint16]keyRate), prefixSums: make(map[string][]float32), sorted: make(map[string][]keyLoad), processing: make(targetStats), decayedAt: now, rule: keyRule}
}

// Add adds a report. Under a steady rate of r requests per second, the load of
// a key converges to r.
func (l *Loads) Add(report Report) { l.add(report, 0) }

// AddAt adds a report that arrived at a time since the last call of Decay. The next call
// does not count that part of the time against its requests.
func (l *Loads) AddAt(report Report, now time.Time) {
	if now.Sub(l.decayedAt) >= loadHalfLife {
		// What requests add grows with the time since.
		l.Decay(now)
	}
	l.add(report, max(now.Sub(l.decayedAt), 0))
}

func (l *Loads) add(report Report, sinceDecay time.Duration) {
	l.forgetDerived()
	steadyPerCount := loadPerCount * math.Exp2(sinceDecay.Seconds()/loadHalfLife.Seconds())
	for _, stats := range report.Processing {
		l.processing.add(stats)
	}
	recentPerCount := perCount(l.rule.halfLife)
	if report.Full {
		recentPerCount = loadPerCount
	}
	recentPerCount *= math.Exp2(sinceDecay.Seconds() / l.rule.halfLife.Seconds())
	for _, c := range report.Counts {
		keys := l.services[c.Service]
		if keys == nil {
			keys = make(map[uint16]keyRate)
			l.services[c.Service] = keys
		}
		rate, known := keys[c.Key]
		if !known && len(keys) >= maxTrackedKeys {
			continue
		}
		rate.steady += c.Count * steadyPerCount
		rate.recent += c.Count * recentPerCount
		keys[c.Key] = rate
	}
}

// Report returns a report from which a new leader obtains the same loads and
// processing times, except for keys with a load below minReportedLoad.
func (l *Loads) Report() Report {
	report := Report{Full: true}
	for service, keys := range l.services {
		for key, rate := range keys {
			if load := rate.load(l.rule); load >= minReportedLoad {
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
	elapsed := now.Sub(l.decayedAt).Seconds()
	steadyFactor, recentFactor := math.Exp2(-elapsed/loadHalfLife.Seconds()), math.Exp2(-elapsed/l.rule.halfLife.Seconds())
	l.decayedAt = now
	for _, keys := range l.services {
		for key, rate := range keys {
			rate.steady *= steadyFactor
			rate.recent *= recentFactor
			if rate.steady < minTrackedLoad {
				delete(keys, key)
			} else {
				keys[key] = rate
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
	stepped := l.steppedRegions(service)
	for key, rate := range l.services[service] {
		sums[int(key)+1] = float32(stepped.load(key, rate))
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
	stepped := l.steppedRegions(service)
	for key, rate := range l.services[service] {
		keys = append(keys, keyLoad{key: key, load: stepped.load(key, rate)})
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
