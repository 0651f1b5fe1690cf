package placement

import "time"

// maxDepartures bounds the departures that are remembered.
const maxDepartures = 4096

// Departure is the incarnation of a target that has said that it leaves.
type Departure struct {
	Target string `cbor:"1,keyasint"`
	// Born is the start of the incarnation, as in Entry.
	Born int64 `cbor:"2,keyasint,omitempty"`
}

// departures holds the latest departures, in the order in which this host learned of them.
type departures struct {
	list []knownDeparture
	// dropped is the number of departures that were removed from the begin of the list.
	dropped int
	known   map[Departure]bool
}

// knownDeparture is a departure. own reports that the target has said so to this host.
type knownDeparture struct {
	Departure
	own bool
}

// add adds a departure and reports whether it is new.
func (d *departures) add(departure Departure, own bool) bool {
	if d.known[departure] {
		return false
	}
	if d.known == nil {
		d.known = make(map[Departure]bool)
	}
	if len(d.list) == maxDepartures {
		delete(d.known, d.list[0].Departure)
		d.list = d.list[1:]
		d.dropped++
	}
	d.known[departure] = true
	d.list = append(d.list, knownDeparture{departure, own})
	return true
}

// since returns the departures after the first n that this host learned of.
func (d *departures) since(n int) []knownDeparture { return d.list[max(n-d.dropped, 0):] }

// count returns the number of departures that this host has learned of.
func (d *departures) count() int { return d.dropped + len(d.list) }

// ObserveLeaving records that a target has said in a response to this host that it leaves.
// It then counts as draining until its incarnation has ended, whatever its entry says. It
// reports whether that is new.
func (s *Set) ObserveLeaving(id string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.targets[id]
	return t != nil && s.addDeparture(Departure{Target: id, Born: t.entry.Born}, true, now)
}

// ApplyDepartures records departures of which this host has learned from another one.
func (s *Set) ApplyDepartures(all []Departure, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, departure := range all {
		s.addDeparture(departure, false, now)
	}
}

func (s *Set) addDeparture(departure Departure, own bool, now time.Time) bool {
	if !s.departures.add(departure, own) {
		return false
	}
	t := s.targets[departure.Target]
	if t == nil || t.entry.Born != departure.Born || t.entry.Draining {
		return true
	}
	t.entry.Draining, t.drainingSince = true, now
	s.service(t.entry.Service).notifyWaiters()
	s.notifyChanged()
	return true
}

// Departures returns the departures of present targets after the first n that this host has
// learned of, and the number of all. If own is set, those that it has learned of from other
// hosts are left out.
func (s *Set) Departures(n int, own bool) (departures []Departure, count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, d := range s.departures.since(n) {
		if t := s.targets[d.Target]; t != nil && t.entry.Born == d.Born && (d.own || !own) {
			departures = append(departures, d.Departure)
		}
	}
	return departures, s.departures.count()
}
