// Package clock is the source of time that decision code is given.
package clock

import "time"

// Clock tells the time. Readings carry a monotonic part, so differences
// between two readings of one clock are not affected by wall clock steps.
type Clock interface {
	Now() time.Time
}

// System is the clock of the operating system.
type System struct{}

// Now returns the current time with its monotonic reading.
func (System) Now() time.Time { return time.Now() }

// Fake is a clock that moves only when told to. It is not safe for
// concurrent use with Advance.
type Fake struct {
	now time.Time
}

// NewFake returns a fake clock that reads start.
func NewFake(start time.Time) *Fake { return &Fake{now: start} }

// Now returns the reading set last.
func (f *Fake) Now() time.Time { return f.now }

// Advance moves the clock forward by d.
func (f *Fake) Advance(d time.Duration) { f.now = f.now.Add(d) }

// Later returns the later of two times.
func Later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Earlier returns the earlier of two times.
func Earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
