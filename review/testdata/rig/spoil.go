package main

import (
	"fmt"
	"sync"
	"time"
)

// The dose of the disruption "garble, extra late": so long, and this share of a backend's answers.
// spoilMost keeps a window within it.
const (
	spoilTime  = 5 * time.Second
	spoilShare = 0.03
	spoilMost  = 1
)

// spoiler has one backend give some of its answers a second time, within the dose.
type spoiler struct {
	// wanted reports whether an answer is one to be sent again.
	wanted func(status int, order bool) bool

	mu              sync.Mutex
	until           time.Time
	answers, copies int
}

// begin begins a window of spoilTime.
func (s *spoiler) begin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.until, s.answers, s.copies = time.Now().Add(spoilTime), 0, 0
}

// spoil counts an answer of the backend, and reports whether it is sent again.
func (s *spoiler) spoil(_ *backend, status int, order bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Now().After(s.until) {
		return false
	}
	s.answers++
	if !s.wanted(status, order) || s.copies == spoilMost {
		return false
	}
	s.copies++
	return true
}

// end ends the window, and returns an error if more than spoilShare of the answers were sent again.
func (s *spoiler) end(b *bed, id string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.until = time.Time{}
	b.record.printf("window ends: %s has sent %d of its %d answers once more", id, s.copies, s.answers)
	if float64(s.copies) > spoilShare*float64(s.answers) {
		return fmt.Errorf("%s has sent %d of %d answers once more, which is too much", id, s.copies, s.answers)
	}
	return nil
}
