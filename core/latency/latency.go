// Package latency estimates how long requests of each kind take, by the mean and the deviation of those
// that have ended, as TCP estimates round trips (RFC 6298).
package latency

import (
	"sync"
	"time"
)

const (
	// meanWeight and deviationWeight are the weights of a new latency in the moving averages.
	meanWeight      = 1.0 / 8
	deviationWeight = 1.0 / 4
	// deviations is the number of deviations above the mean that few requests exceed, minDeviation the
	// least deviation that is assumed, as a fraction of the mean.
	deviations   = 4
	minDeviation = 1.0 / 16
	// unknownFactor is the multiple of an expected latency that few requests exceed of a kind of which
	// none has ended. It is the bound after a first latency, whose deviation counts as half of it.
	unknownFactor = 1 + deviations/2.0
	// longestSample is the number of latencies from which the longest one is kept, longestFactor the multiple of it
	// that hardly any request exceeds.
	longestSample = 500
	longestFactor = 2
	// maxKinds is the number of kinds that a table keeps; others count as unknown.
	maxKinds = 4096
)

// Table holds the latencies of all kinds of requests. The zero value is ready for use. It is safe for
// concurrent use. In the lock order its mutex comes after all others.
type Table struct {
	mu    sync.Mutex
	kinds map[string]*estimate
}

type estimate struct {
	mean, deviation time.Duration
	// longest is the longest of the last count latencies, longestBefore that of the longestSample before them.
	longest, longestBefore time.Duration
	count                  int
}

// addLongest records a latency for the longest one.
func (e *estimate) addLongest(took time.Duration) {
	if e.count == longestSample {
		e.longestBefore, e.longest, e.count = e.longest, 0, 0
	}
	e.count++
	e.longest = max(e.longest, took)
}

// Observe records the latency of a request of a kind that has ended with a response.
func (t *Table) Observe(kind string, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.kinds == nil {
		t.kinds = make(map[string]*estimate)
	}
	e := t.kinds[kind]
	if e == nil {
		if len(t.kinds) < maxKinds {
			t.kinds[kind] = &estimate{mean: took, deviation: took / 2, longest: took, count: 1}
		}
		return
	}
	e.addLongest(took)
	off := (took - e.mean).Abs()
	e.deviation += time.Duration(deviationWeight * float64(off-e.deviation))
	e.mean += time.Duration(meanWeight * float64(took-e.mean))
}

// EndsWithin reports whether a request of a kind that begins now ends within left, most likely. Expected is
// what is known otherwise of its latency, 0 for nothing.
func (t *Table) EndsWithin(kind string, expected, left time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.kinds[kind].endsWithin(expected, left)
}

// SurelyEndsWithin reports whether even an unusually long request of a kind that begins now ends within left. Nothing
// is sure of a kind of which no latency is known.
func (t *Table) SurelyEndsWithin(kind string, expected, left time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.kinds[kind]
	return e != nil && longestFactor*max(e.longest, e.longestBefore) <= left && e.endsWithin(expected, left)
}

// endsWithin is EndsWithin for a kind's estimate, nil for none.
func (e *estimate) endsWithin(expected, left time.Duration) bool {
	if e == nil {
		return time.Duration(unknownFactor*float64(expected)) <= left
	}
	deviation := max(e.deviation, time.Duration(minDeviation*float64(e.mean)))
	return max(e.mean, expected)+deviations*deviation <= left
}
