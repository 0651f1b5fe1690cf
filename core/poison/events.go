package poison

import (
	"slices"
	"time"
)

const (
	// maxEvents events are kept for other hosts, and up to twice as many at times;
	// maxEventsPerReport bounds those that one report carries.
	maxEvents          = 4096
	maxEventsPerReport = 256
)

// ownEvent is an event that this host has observed.
type ownEvent struct {
	Event
	sentAt, endedAt time.Time
}

// AddEvents records what another host has observed.
func (t *Tracker) AddEvents(events []Event, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range events {
		endedAt := now.Add(-e.EndAge)
		switch {
		case e.Responded:
			t.addResponse(responder{e.Fingerprint, e.Target.Version}, endedAt, now)
		case !t.responded(e.Fingerprint, e.Target.Version, endedAt):
			t.addEnd(e.Fingerprint, end{target: e.Target, request: e.Request, sentAt: now.Add(-e.SentAge), endedAt: endedAt}, now)
		}
	}
}

// addResponse records a response to another host. The caller holds mu.
func (t *Tracker) addResponse(r responder, at, now time.Time) {
	t.remember(r, at)
	block, refused := t.block(r.request, now)
	switch {
	case !refused:
		t.clearVersion(r, now)
	case t.respondedToBlock(block, now):
		t.lift(r.request, now)
	}
}

// report adds an event for other hosts. The caller holds mu.
func (t *Tracker) report(e ownEvent) {
	t.events = append(t.events, e)
	if excess := len(t.events) - maxEvents; excess >= maxEvents {
		t.events = slices.Clone(t.events[excess:])
		t.dropped += excess
	}
}

// Events returns what this host has observed after the first n events, and the number of the
// events up to the last one returned.
func (t *Tracker) Events(n int, now time.Time) (events []Event, count int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	from := max(n-t.dropped, 0)
	to := min(len(t.events), from+maxEventsPerReport)
	for _, e := range t.events[min(from, to):to] {
		e.SentAge, e.EndAge = now.Sub(e.sentAt), now.Sub(e.endedAt)
		if e.EndAge <= suspectRetention {
			events = append(events, e.Event)
		}
	}
	return events, t.dropped + to
}
