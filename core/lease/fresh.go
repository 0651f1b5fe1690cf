package lease

import (
	"time"

	"pineturn/core/record"
)

// HeldTarget is a leaseholder's place in the log: the level of a term of a target.
type HeldTarget struct {
	Target record.Target
	Term   uint64
	Level  int
	// Deputies reports that the term has deputies, so that only a majority of
	// the members can confirm its leaseholders.
	Deputies bool
}

// HeldTargets lists the places that this host holds, in order of the targets.
func (t *Table) HeldTargets() []HeldTarget {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []HeldTarget
	for _, h := range t.sorted() {
		list = append(list, HeldTarget{Target: h.id, Term: h.term, Level: h.level, Deputies: h.deputies})
	}
	return list
}

// RecordFreshness records that a question sent at instant at proved, for one target,
// that this host knew the newest record and was its leaseholder.
func (t *Table) RecordFreshness(target record.Target, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if h := t.targets[target]; h != nil && at.After(h.fresh) {
		h.fresh = at
	}
}

// RecordFreshnessAll does what RecordFreshness does, for every held target.
func (t *Table) RecordFreshnessAll(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, h := range t.targets {
		if at.After(h.fresh) {
			h.fresh = at
		}
	}
}

// FreshUntil is when the latest proof of freshness for a target ends.
func (t *Table) FreshUntil(target record.Target) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.targets[target]
	if h == nil {
		return time.Time{}
	}
	return h.fresh.Add(t.options.Life)
}
