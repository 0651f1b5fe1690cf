package placement

import (
	"strconv"
	"time"

	"pineturn/core/clock"
	"pineturn/core/ratelimit"
)

// Cold is what a target of a service bears while it is cold.
type Cold struct {
	// Time is how long a target is cold after a start or a pause.
	Time  time.Duration
	Bound ratelimit.Bound
}

// entryDelay is the time that an entry may take from a target to this host. An entry that
// arrives within it says nothing of what has happened to the target since.
const entryDelay = time.Second

// coldState is what a host knows of how long a target is cold.
type coldState struct {
	// end is the time at which the target is no longer cold.
	end time.Time
	// suspectedAt is the time from which the target may be cold although no entry says so;
	// zero if there is none. lost is set while it takes no connections.
	suspectedAt time.Time
	lost        bool
	// failures is the number of connections without result since the last response.
	failures int
	// sequence is the number of the entry at suspectedAt.
	sequence int64
	// pacer keeps this host within its part of what the target bears. Each time that the target
	// becomes cold it is a new one: requests of an earlier time return to that of then.
	pacer *ratelimit.Pacer
	// reported is set once this host has told the leader of its demand.
	reported bool
}

// coldName is the name under which the bound of a cold incarnation of a target is divided. It
// is not that of the limit that the target names, which holds beside it.
func coldName(entry *Entry) string {
	return entry.ID + "@" + strconv.FormatInt(entry.Born, 10) + " cold"
}

// isCold reports whether the target is cold, or may be, and its service bounds the requests for
// cold targets.
func (s *Set) isCold(t *Target, now time.Time) bool {
	return t.cold.lasts(now) && s.Cold(t.entry.Service).Bound.PerSecond > 0
}

// lasts reports whether the target may be cold: that is not over before it has responded.
func (c *coldState) lasts(now time.Time) bool { return c.lost || now.Before(c.end) }

// warmsUntil records that the target is cold until a time.
func (s *Set) warmsUntil(t *Target, end, now time.Time) {
	if !t.cold.lasts(now) && now.Before(end) {
		t.cold.pacer, t.cold.reported = nil, false
	}
	t.cold.end = end
}

// coldPacer returns the pacer of a cold target, by the bound that is configured now.
func (s *Set) coldPacer(t *Target, now time.Time) *ratelimit.Pacer {
	if t.cold.pacer == nil {
		t.cold.pacer = &ratelimit.Pacer{}
	}
	p := t.cold.pacer
	if limit := s.Cold(t.entry.Service).Bound.Limit(); p.Limit() != limit {
		p.Learn(limit, now, now)
		s.shares.Inform(coldName(&t.entry), p, now)
	}
	return p
}

// applyWarmUp records what an entry says of how long the target is cold.
func (s *Set) applyWarmUp(t *Target, entry *Entry, now time.Time) {
	end := now.Add(entry.WarmUp)
	if c := &t.cold; !c.suspectedAt.IsZero() {
		if entry.Sequence <= c.sequence || now.Sub(c.suspectedAt) < entryDelay {
			s.warmsUntil(t, clock.Later(c.end, end), now)
			return
		}
		c.suspectedAt, c.lost = time.Time{}, false
	}
	s.warmsUntil(t, end, now)
}

// suspectCold records that the target may be cold from now on, whatever its entries say until
// one arrives that it has written since.
func (s *Set) suspectCold(t *Target, now time.Time) {
	cold := s.Cold(t.entry.Service)
	if !(cold.Bound.PerSecond > 0) {
		return
	}
	t.cold.suspectedAt, t.cold.sequence = now, t.entry.Sequence
	s.warmsUntil(t, clock.Later(t.cold.end, now.Add(cold.Time)), now)
}

// lostConnections is the number of connections in a row, without a response between them, that end
// in nothing at a target that may have started again. One may be lost on the way.
const lostConnections = 2

// ObserveNoConnection records that a connection to a target was refused, or that nothing answered.
// The target may have started again under its id once it takes connections.
func (s *Set) ObserveNoConnection(id string, refused bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.targets[id]
	if t == nil {
		return
	}
	if t.cold.failures++; refused || t.cold.failures >= lostConnections {
		s.suspectCold(t, now)
		t.cold.lost = true
	}
}

// recordBack records a response of the target.
func (s *Set) recordBack(t *Target, now time.Time) {
	t.cold.failures = 0
	if t.cold.lost {
		s.suspectCold(t, now)
		t.cold.lost = false
	}
}

// SuspectCold records that the targets of a failure domain may be cold from now on: no requests
// were sent there for some time.
func (s *Set) SuspectCold(domain string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.targets {
		if t.entry.Domain == domain {
			s.suspectCold(t, now)
		}
	}
}

// ObserveCold records what a target has said in a health response of how long it stays cold.
func (s *Set) ObserveCold(id string, left time.Duration, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t := s.targets[id]; t != nil {
		t.cold.suspectedAt, t.cold.lost = time.Time{}, false
		s.warmsUntil(t, now.Add(left), now)
	}
}

// recordColdDemand counts a request for a cold target. The leader hears of the first one at
// once.
func (s *Set) recordColdDemand(t *Target, now time.Time) {
	s.coldPacer(t, now).RecordDemand(now)
	if !t.cold.reported {
		t.cold.reported, s.limitsChanged = true, true
	}
}

// ColdTargets returns the number of targets that are taken to be cold.
func (s *Set) ColdTargets(now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, t := range s.targets {
		if s.isCold(t, now) {
			n++
		}
	}
	return n
}

// recordCold records what the result of a send means for the coldness of its target. A request
// that was not sent, or reached another target, does not count for the bound.
func (c *Choice) recordCold(t *Target, result Result, now time.Time) {
	switch result {
	case NotSent, WrongTarget, Unreachable:
		if c.cold != nil {
			c.cold.Return()
		}
	case Complete, Shed, Failed:
		c.set.recordBack(t, now)
	}
}
