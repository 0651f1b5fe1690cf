package metastore

import "sync"

// eras holds the era of the store whose records a host has read. The consumers of a host
// share it.
type eras struct {
	// mu is held for reading while records of the current era are applied. It is taken
	// after Consumer.applyMu and before any other lock.
	mu      sync.RWMutex
	current int64
	// begin is called with mu held at the begin of each era but the first. It discards
	// what holds within the old era.
	begin func(old, era int64)
}

func newEras() *eras { return &eras{begin: func(int64, int64) {}} }

func (e *eras) get() int64 {
	e.mu.RLock()
	defer e.mu.RUnlock()
	return e.current
}

// enter begins an era if it is newer than the current one, and reports whether it was.
func (e *eras) enter(era int64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if era <= e.current {
		return false
	}
	old := e.current
	e.current = era
	e.begin(old, era)
	return true
}

// apply calls f, in which no other era begins, if era is the current one, and reports
// whether it was.
func (e *eras) apply(era int64, f func()) bool {
	e.mu.RLock()
	defer e.mu.RUnlock()
	if era != e.current {
		return false
	}
	f()
	return true
}
