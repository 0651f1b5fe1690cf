// Package hotkey finds the keys with the most load, in bounded memory. It is a
// space-saving sketch whose counts decay, so that a key which was hot before
// gives way to one that is hot now.
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
	// DefaultSize is the number of counted keys.
	DefaultSize = 256
	// DefaultHalfLife is the time in which a count decays to a half.
	DefaultHalfLife = 5 * time.Second
)

// maxExponent bounds the growth of weights, in half-lives, before all counts are scaled
// down; 2^512 is far from the largest float64.
const maxExponent = 512

// Key is a key with its load for each second.
type Key struct {
	name  string
	load  float64
	error float64
}

// Name returns the key.
func (k Key) Name() string { return k.name }

// Load is the load a second, at most Error too high and never too low.
func (k Key) Load() float64 { return k.load }

// Error bounds how much of Load may belong to other keys.
func (k Key) Error() float64 { return k.error }

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

// entry is a counted key. Counts grow with time instead of decaying: what is
// added at t half-lives after the origin weighs 2^t, so nothing needs
// to be touched as time passes.
type entry struct {
	key   string
	count float64
	error float64
	index int
}

// New returns a sketch of size keys whose counts halve in halfLife.
func New(size int, halfLife time.Duration) *Sketch {
	return &Sketch{size: max(size, 1), halfLife: max(halfLife, time.Millisecond), byKey: map[string]*entry{}}
}

// Add counts load for key at now. Load is in any unit, such as requests or
// seconds of work. Time must not go backwards.
func (s *Sketch) Add(now time.Time, key string, load float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	weight := load * s.growth(now)
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

// Top returns at most n keys by falling load, and the load of all keys.
func (s *Sketch) Top(now time.Time, n int) ([]Key, float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	scale := s.perSecond(now)
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

// replace gives the entry with the lowest count to key, which takes over its
// count as its error.
func (s *Sketch) replace(key string, weight float64) {
	least := s.entries[0]
	delete(s.byKey, least.key)
	least.key, least.error = key, least.count
	least.count += weight
	s.byKey[key] = least
	heap.Fix(&s.entries, 0)
}

// growth is the weight of a unit of load at now. The caller holds mu.
func (s *Sketch) growth(now time.Time) float64 {
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

// rescale makes now the origin.
func (s *Sketch) rescale(now time.Time, factor float64) {
	s.origin = now
	s.total *= factor
	for _, e := range s.entries {
		e.count *= factor
		e.error *= factor
	}
}

// perSecond converts counts to load a second at now: a steady load of r a
// second has a decayed sum of r * halfLife / ln 2.
func (s *Sketch) perSecond(now time.Time) float64 {
	return math.Ln2 / s.halfLife.Seconds() / s.growth(now)
}

// entries is a heap with the lowest count first.
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

// Pop takes the last entry off.
func (e *entries) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}
