//go:build review3

package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// span is a time for which a backend holds a key.
type span struct {
	backend     string
	first, last int
	from, to    time.Time
}

// execution is a run of a request at a backend.
type execution struct {
	backend, id, method, uri string
	key                      int
	body                     []byte
	at                       time.Time
}

// recorder writes what was sent, answered and run, and remembers what the checks need.
type recorder struct {
	start time.Time

	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	spans []span
	runs  []execution
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("create record: %w", err)
	}
	return &recorder{start: time.Now(), file: file, out: bufio.NewWriter(file)}, nil
}

// at returns a time in seconds since the start.
func (r *recorder) at(t time.Time) float64 { return t.Sub(r.start).Seconds() }

// line writes a line.
func (r *recorder) line(form string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f  %s\n", r.at(time.Now()), fmt.Sprintf(form, args...))
}

func (r *recorder) run(backend, id, method, uri string, key int, body []byte) {
	r.line("backend %s begins to run %s: %s %s, key %d", backend, id, method, uri, key)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = append(r.runs, execution{backend: backend, id: id, method: method, uri: uri, key: key, body: body, at: time.Now()})
}

// held records that a backend holds keys from one time to another, unless it releases them.
func (r *recorder) held(b *backend, first, last int, from, to time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.spans = append(r.spans, span{backend: b.id, first: first, last: last, from: from, to: to})
}

// released records that a backend has released keys.
func (r *recorder) released(b *backend, first, last int, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var cut []span
	for _, s := range r.spans {
		if s.backend != b.id || s.last < first || s.first > last || !s.to.After(at) {
			cut = append(cut, s)
			continue
		}
		if s.first < first {
			cut = append(cut, span{s.backend, s.first, first - 1, s.from, s.to})
		}
		if s.last > last {
			cut = append(cut, span{s.backend, last + 1, s.last, s.from, s.to})
		}
		if s.from.Before(at) {
			cut = append(cut, span{s.backend, max(s.first, first), min(s.last, last), s.from, at})
		}
	}
	r.spans = cut
}

// overlap is a time for which two backends held the same keys.
type overlap struct {
	one, other  span
	first, last int
	length      time.Duration
}

// longestOverlap returns the longest time for which two backends held the same keys.
func (r *recorder) longestOverlap() overlap {
	r.mu.Lock()
	defer r.mu.Unlock()
	var longest overlap
	for i, a := range r.spans {
		for _, b := range r.spans[i+1:] {
			if a.backend == b.backend || a.last < b.first || b.last < a.first {
				continue
			}
			from, to := a.from, a.to
			if b.from.After(from) {
				from = b.from
			}
			if b.to.Before(to) {
				to = b.to
			}
			if length := to.Sub(from); length > longest.length {
				longest = overlap{a, b, max(a.first, b.first), min(a.last, b.last), length}
			}
		}
	}
	return longest
}

// bothBegan returns two runs of requests that two backends began on keys that both held, in a time for
// which both held them.
func (r *recorder) bothBegan() (one, other execution, found bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, a := range r.spans {
		for _, b := range r.spans[i+1:] {
			if a.backend == b.backend || a.last < b.first || b.last < a.first {
				continue
			}
			shared := span{first: max(a.first, b.first), last: min(a.last, b.last), from: a.from, to: a.to}
			if b.from.After(shared.from) {
				shared.from = b.from
			}
			if b.to.Before(shared.to) {
				shared.to = b.to
			}
			one, began := r.begin(a.backend, shared)
			other, otherBegan := r.begin(b.backend, shared)
			if began && otherBegan {
				return one, other, true
			}
		}
	}
	return execution{}, execution{}, false
}

// begin returns a run that a backend began within a span. The caller holds mu.
func (r *recorder) begin(backend string, s span) (execution, bool) {
	for _, x := range r.runs {
		if x.backend == backend && x.key >= s.first && x.key <= s.last && x.at.After(s.from) && x.at.Before(s.to) {
			return x, true
		}
	}
	return execution{}, false
}

func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
