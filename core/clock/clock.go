// Package clock provides the time sources that are passed to code whose
// decisions depend on time, so that tests can control it.
package clock

import "time"

// Clock is a source of time. Differences between two readings of one clock
// are not affected by wall clock steps.
type Clock interface {
	Now() time.Time
}

// System is the system clock; its readings include the monotonic clock.
type System struct{}

// Now returns the current time.
func (System) Now() time.Time { return time.Now() }

// Fake is a clock for tests that changes only when Advance is called. Advance
// must not run concurrently with Now.
type Fake struct {
	now time.Time
}

// NewFake returns a fake clock set to start.
func NewFake(start time.Time) *Fake { return &Fake{now: start} }

// Now returns the current reading.
func (f *Fake) Now() time.Time { return f.now }

// Advance adds d to the clock's reading.
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
