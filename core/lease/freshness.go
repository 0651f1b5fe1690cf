package lease

import (
	"time"

	"pineturn/core/record"
)

// HeldTarget is a target that this host is the leaseholder of, with the term and
// the level of that lease. The leaseholder named by the log has level 0, its
// deputies have level 1 and up.
type HeldTarget struct {
	Target record.Target
	Term   uint64
	Level  int
	// Deputies is set if the term has deputies. Only a majority of the members
	// can then confirm that this host is still the leaseholder.
	Deputies bool
}

// HeldTargets lists the held targets, sorted by service and name.
func (t *Table) HeldTargets() []HeldTarget {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []HeldTarget
	for _, l := range t.sortedTargets() {
		list = append(list, HeldTarget{Target: l.id, Term: l.term, Level: l.level, Deputies: l.deputies})
	}
	return list
}

// RecordFreshness records a proof of freshness for one target: a log read or
// heartbeats sent at sentAt or later proved that this host had folded the newest
// record and was the leaseholder of the target.
func (t *Table) RecordFreshness(target record.Target, sentAt time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if l := t.targets[target]; l != nil && sentAt.After(l.freshAt) {
		l.freshAt = sentAt
	}
}

// RecordFreshnessAll records a proof of freshness for every held target.
func (t *Table) RecordFreshnessAll(sentAt time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, l := range t.targets {
		if sentAt.After(l.freshAt) {
			l.freshAt = sentAt
		}
	}
}

// FreshUntil returns when the latest proof of freshness for a target expires, or
// the zero time if this host is not its leaseholder.
func (t *Table) FreshUntil(target record.Target) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.targets[target]
	if l == nil {
		return time.Time{}
	}
	return l.freshAt.Add(t.options.MaxGrantDuration)
}
