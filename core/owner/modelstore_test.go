package owner

import "time"

// What leaders of the model know of its targets, and the connections on which they send them grants.
//
// A target writes its entry to the store while that is up. The entry of one that writes nothing is removed after
// modelEntryLifetime, in which the store was up. So the store may show an incarnation as running that has ended,
// while a later one runs. Leaders that can't read the store know what they have read last.

const (
	// modelEntryLifetime is the time without a write after which an entry is removed.
	modelEntryLifetime = 13 * modelStep
	// modelEntryBound is the time after which a leader counts on that.
	modelEntryBound = modelEntryLifetime + 4*modelStep
	// unknownStaleness is that of a target which is not known to have run at any time.
	unknownStaleness = 1000 * time.Hour
)

// modelEntry is the entry of a target in the store.
type modelEntry struct {
	target    Target
	writtenAt time.Time
}

// writeEntries lets the targets write their entries, after a time has passed.
func (m *model) writeEntries(passed time.Duration) {
	for id, t := range m.targets {
		e := m.entries[id]
		if m.away {
			e.writtenAt = e.writtenAt.Add(passed)
		} else if t.alive && !m.now.Before(t.silentUntil) {
			e = modelEntry{writtenAt: m.now, target: Target{
				Incarnation: Incarnation{Target: id, Born: t.born}, Service: modelService, Slots: 2, Draining: t.draining,
			}}
		}
		m.entries[id] = e
	}
}

// storeView is what a leader has read last.
type storeView struct {
	entries map[string]modelEntry
	// readAt is the time of the last read, calmSince that since which all have succeeded.
	readAt, calmSince time.Time
	failed            bool
}

// readStore lets a leader read the entries of the targets, if it can.
func (m *model) readStore(l *modelLeader) {
	if l.disconnected || m.away {
		l.view.failed = true
		return
	}
	if l.view.failed || l.view.readAt.IsZero() {
		l.view.failed, l.view.calmSince = false, m.now
	}
	l.view.readAt = m.now
	l.view.entries = make(map[string]modelEntry)
	for id, e := range m.entries {
		e.target.Draining = e.target.Draining || m.now.Sub(e.writtenAt) >= modelEntryLifetime
		l.view.entries[id] = e
	}
}

// targets returns the targets as the leader sees them at a time. A removed one counts as draining.
func (v *storeView) targets(now time.Time) map[string]Target {
	ranAt := v.readAt.Add(-modelEntryBound)
	targets := make(map[string]Target)
	for id, e := range v.entries {
		e.target.Staleness = now.Sub(ranAt)
		if ranAt.Before(v.calmSince) || v.readAt.Sub(e.writtenAt) >= modelEntryLifetime {
			e.target.Staleness = unknownStaleness
		}
		targets[id] = e.target
	}
	return targets
}

// targetViews returns the targets as a leader sees them that has just read the store for the first time.
func (m *model) targetViews() map[string]Target {
	l := &modelLeader{}
	m.readStore(l)
	return l.view.targets(m.now)
}

// connections holds the open connection to each target, as its leader takes it for.
type connections map[Incarnation]modelConnection

// modelConnection is a connection that an incarnation of a target has accepted.
type modelConnection struct {
	born     int64
	openedAt time.Time
}

// connect gives a grant the connection to its target, and reports whether there is one. A renewal opens none.
func (f *orderInFlight) connect(t *modelTarget, now time.Time) bool {
	target, conns := f.order.Target, f.leader.connections
	if c, ok := conns[target]; ok && (!t.alive || c.born != t.born) {
		delete(conns, target)
	}
	if _, ok := conns[target]; !ok {
		if !t.alive || f.order.Renewal {
			return false
		}
		conns[target] = modelConnection{born: t.born, openedAt: now}
	}
	f.connectedAt = conns[target].openedAt
	return true
}
