package owner

import (
	"maps"
	"time"
)

// A target's entry may stay in the store though another target has its address, or may be another writer's.
// Such a target would get keys, lose them with the answer to the first grant, and get keys again, as one
// without any.

// recordEnded records that another target has answered at the address of a target.
func (l *Leader) recordEnded(target Incarnation, now time.Time) {
	maps.DeleteFunc(l.endedAt, func(_ Incarnation, at time.Time) bool { return now.Sub(at) >= endedRetention })
	l.endedAt[target] = now
}

// hasEnded reports whether another target has answered at the address of a target within endedRetention.
func (l *Leader) hasEnded(target Incarnation, now time.Time) bool {
	at, ok := l.endedAt[target]
	return ok && now.Sub(at) < endedRetention
}
