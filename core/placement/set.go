package placement

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"pineturn/core/owner"
)

// Set is the table of all targets. It is safe for concurrent use; its lock is
// taken last.
type Set struct {
	mu       sync.Mutex
	domain   string
	targets  map[string]*Target
	services map[string]*group
	// changed is closed and replaced at each change of an entry.
	changed chan struct{}
}

// group is the targets of a service and what is learned of them together.
type group struct {
	targets []*Target
	// work is the mean time of a request at a target without a queue.
	work time.Duration
	// waiters are woken when a request of this host has ended.
	waiters []chan struct{}
}

// NewSet returns an empty set for a host in a failure domain.
func NewSet(domain string) *Set {
	return &Set{
		domain: domain, targets: make(map[string]*Target), services: make(map[string]*group),
		changed: make(chan struct{}),
	}
}

// Changed returns a channel that is closed at the next change of an entry.
func (s *Set) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

func (s *Set) announce() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Set) group(service string) *group {
	g := s.services[service]
	if g == nil {
		g = &group{work: meanWork}
		s.services[service] = g
	}
	return g
}

// Put notes an entry, unless a newer one of the same target is known, and
// reports whether it did.
func (s *Set) Put(entry Entry, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.targets[entry.ID]
	if old != nil && !entry.replaces(&old.entry) {
		return false
	}
	if old != nil && sameLife(&old.entry, &entry) {
		if entry.Draining && !old.entry.Draining {
			old.drainSeen = now
		}
		old.entry = entry
		old.warmEnd = now.Add(entry.WarmUp)
		s.announce()
		return true
	}
	if old != nil {
		s.drop(old)
	}
	t := &Target{entry: entry, warmEnd: now.Add(entry.WarmUp), pace: 1}
	s.targets[entry.ID] = t
	g := s.group(entry.Service)
	g.targets = append(g.targets, t)
	g.wake()
	s.announce()
	return true
}

func sameLife(a, b *Entry) bool {
	return a.Born == b.Born && a.Service == b.Service && a.Address == b.Address
}

// Remove forgets a target, and reports whether it was known.
func (s *Set) Remove(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.targets[id]
	if t == nil {
		return false
	}
	s.drop(t)
	delete(s.targets, id)
	s.announce()
	return true
}

func (s *Set) drop(t *Target) {
	g := s.group(t.entry.Service)
	g.targets = slices.DeleteFunc(g.targets, func(o *Target) bool { return o == t })
}

// Entries returns the entries of a service's targets, or of all services
// where the name is empty, in the order of their ids.
func (s *Set) Entries(service string) []Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	var entries []Entry
	for _, t := range s.targets {
		if service == "" || t.entry.Service == service {
			entries = append(entries, t.entry)
		}
	}
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.ID, b.ID) })
	return entries
}

// Entry returns the entry of a target.
func (s *Set) Entry(id string) (Entry, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.targets[id]
	if t == nil {
		return Entry{}, false
	}
	return t.entry, true
}

// State is what a host believes of a target, for dumps.
type State struct {
	Entry
	InFlight       int     `json:"in_flight"`
	OtherHostsLoad float64 `json:"others_work"`
	// ReportAgeS is the age of the last report in seconds.
	ReportAgeS             float64 `json:"report_age_s"`
	RelativeProcessingTime float64 `json:"pace"`
	FailureScore           float64 `json:"trouble"`
	Paused                 bool    `json:"paused"`
}

// States returns what is believed of all targets, in the order of their ids.
func (s *Set) States(now time.Time) []State {
	s.mu.Lock()
	defer s.mu.Unlock()
	states := make([]State, 0, len(s.targets))
	for _, t := range s.targets {
		state := State{
			Entry: t.entry, InFlight: t.inFlight, OtherHostsLoad: t.others, RelativeProcessingTime: t.pace,
			FailureScore: t.troubleNow(now), Paused: now.Before(t.closedUntil),
		}
		if !t.reported.IsZero() {
			state.ReportAgeS = now.Sub(t.reported).Seconds()
		}
		states = append(states, state)
	}
	slices.SortFunc(states, func(a, b State) int { return cmp.Compare(a.ID, b.ID) })
	return states
}

// TakeProcessingStats returns the work of targets that own keys since the call before.
func (s *Set) TakeProcessingStats() []owner.ProcessingStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []owner.ProcessingStats
	for id, t := range s.targets {
		if t.owned.Responses > 0 {
			t.owned.Service, t.owned.Target = t.entry.Service, id
			all = append(all, t.owned)
			t.owned = owner.ProcessingStats{}
		}
	}
	return all
}

func (g *group) meanOthers() float64 {
	if len(g.targets) == 0 {
		return 0
	}
	sum, n := 0.0, 0
	for _, t := range g.targets {
		if !t.reported.IsZero() {
			sum += t.others
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return sum / float64(n)
}

func (g *group) wake() {
	for _, w := range g.waiters {
		close(w)
	}
	g.waiters = nil
}

// CapacityFreed returns a channel that is closed when a request of this host to a
// service has ended, or a target was added.
func (s *Set) CapacityFreed(service string) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.group(service)
	w := make(chan struct{})
	g.waiters = append(g.waiters, w)
	return w
}
