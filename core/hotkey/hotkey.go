// Package hotkey finds the keys with the highest load, in bounded memory. It uses
// a space-saving sketch with exponentially decaying counts, so that keys which are
// hot now replace keys which were hot earlier.
package hotkey

import (
	"container/heap"
	"math"
	"sort"
	"sync"
	"time"
)

// Defaults of the settings.
const (
	// DefaultSize is the number of keys that a sketch counts.
	DefaultSize = 256
	// DefaultHalfLife is the half-life of the counts.
	DefaultHalfLife = 5 * time.Second
)

// maxExponent is the age of the origin, in half-lives, beyond which all counts are
// scaled down. It bounds the growth of the weights: 2^512 is far below the largest
// float64.
const maxExponent = 512

// Key is a counted key with its load per second.
type Key struct {
	name  string
	load  float64
	error float64
}

// Name returns the key.
func (k Key) Name() string { return k.name }

// Load returns the load per second. It is never too low and at most
// Uncertainty too high.
func (k Key) Load() float64 { return k.load }

// Uncertainty returns the largest part of Load that may belong to other keys.
func (k Key) Uncertainty() float64 { return k.error }

// Sketch counts the load of keys. It is safe for concurrent use.
type Sketch struct {
	size     int
	halfLife time.Duration

	mu      sync.Mutex
	origin  time.Time
	total   float64
	entries entries
	byKey   map[string]*entry
}

// entry is a counted key. Load that is added t half-lives after the origin has the
// weight 2^t. The growth of new weights is equivalent to a decay of old counts and
// needs no updates as time passes.
type entry struct {
	key   string
	count float64
	error float64
	index int
}

// New returns a sketch that counts size keys, at least one, with the given
// half-life, at least 1 ms.
func New(size int, halfLife time.Duration) *Sketch {
	return &Sketch{size: max(size, 1), halfLife: max(halfLife, time.Millisecond), byKey: map[string]*entry{}}
}

// Add adds load to key at now. Load may have any unit, such as requests or seconds
// of processing time. Successive calls must not go back in time.
func (s *Sketch) Add(now time.Time, key string, load float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	weight := load * s.weightAt(now)
	s.total += weight
	if found, ok := s.byKey[key]; ok {
		found.count += weight
		heap.Fix(&s.entries, found.index)
		return
	}
	if len(s.entries) < s.size {
		added := &entry{key: key, count: weight}
		s.byKey[key] = added
		heap.Push(&s.entries, added)
		return
	}
	s.replace(key, weight)
}

// Top returns the n keys with the highest load, or fewer, in descending order, and
// the total load per second of all keys.
func (s *Sketch) Top(now time.Time, n int) ([]Key, float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	scale := s.rateScale(now)
	keys := make([]Key, 0, len(s.entries))
	for _, e := range s.entries {
		keys = append(keys, Key{name: e.key, load: e.count * scale, error: e.error * scale})
	}
	sort.Slice(keys, func(i, j int) bool {
		if keys[i].load != keys[j].load {
			return keys[i].load > keys[j].load
		}
		return keys[i].name < keys[j].name
	})
	return keys[:min(n, len(keys))], s.total * scale
}

// replace assigns the entry with the lowest count to key. The count of the replaced
// key becomes the error of the new one. The caller holds mu.
func (s *Sketch) replace(key string, weight float64) {
	least := s.entries[0]
	delete(s.byKey, least.key)
	least.key, least.error = key, least.count
	least.count += weight
	s.byKey[key] = least
	heap.Fix(&s.entries, 0)
}

// weightAt returns the weight of a unit of load at now. The caller holds mu.
func (s *Sketch) weightAt(now time.Time) float64 {
	if s.origin.IsZero() {
		s.origin = now
	}
	exponent := float64(now.Sub(s.origin)) / float64(s.halfLife)
	if exponent > maxExponent {
		s.rescale(now, math.Exp2(-exponent))
		exponent = 0
	}
	return math.Exp2(exponent)
}

// rescale makes now the origin and multiplies all counts by factor, the weight of
// the old origin relative to the new one. The caller holds mu.
func (s *Sketch) rescale(now time.Time, factor float64) {
	s.origin = now
	s.total *= factor
	for _, e := range s.entries {
		e.count *= factor
		e.error *= factor
	}
}

// rateScale returns the factor from counts to load per second at now: a constant
// load of r per second has a decayed sum of r * halfLife / ln 2. The caller holds
// mu.
func (s *Sketch) rateScale(now time.Time) float64 {
	return math.Ln2 / s.halfLife.Seconds() / s.weightAt(now)
}

// entries implements heap.Interface, with the lowest count first.
type entries []*entry

// Len returns the number of entries.
func (e entries) Len() int { return len(e) }

// Less orders entries by count.
func (e entries) Less(i, j int) bool { return e[i].count < e[j].count }

// Swap exchanges two entries.
func (e entries) Swap(i, j int) {
	e[i], e[j] = e[j], e[i]
	e[i].index, e[j].index = i, j
}

// Push appends an entry.
func (e *entries) Push(value any) {
	added := value.(*entry)
	added.index = len(*e)
	*e = append(*e, added)
}

// Pop removes and returns the last entry.
func (e *entries) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}
