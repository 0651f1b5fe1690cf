package placement

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"pineturn/core/concurrency"
	"pineturn/core/owner"
	"pineturn/core/ratelimit"
)

// Set is the table of all targets. It is safe for concurrent use. In the lock order its
// mutex comes before those of hostcount.Counter and peers.Table, which Hosts, Learns,
// Dispatches and Sender take, and after all others. The functions that are set before use are called
// with the mutex held and must not call the set.
type Set struct {
	mu       sync.Mutex
	domain   string
	targets  map[string]*Target
	services map[string]*serviceState
	// changed is closed and replaced whenever an entry changes.
	changed chan struct{}
	// limitsChanged is set when a response has changed the limit of a target.
	limitsChanged bool
	// shares holds what the leader has said of the limits of targets.
	shares ratelimit.Shares
	// departures holds the targets that have said that they leave, rests the times until
	// which targets have asked for no requests.
	departures departures
	rests      rests
	// drained holds the failure domains that are drained.
	drained drainedDomains
	// Hosts returns the number of hosts that share the limits of targets. It is set
	// before use.
	Hosts func() int
	// Sender reports whether this host sends nearly all requests for a target, as the
	// others relay theirs to it. It is set before use.
	Sender func(target *Entry) bool
	// Cold returns what a target of a service bears while it is cold. It is set before use.
	Cold func(service string) Cold
	// Learns reports whether choices follow what was learned of each target. It is set
	// before use.
	Learns func() bool
	// Dispatches reports whether few hosts select the targets of services without keys for
	// all. It is set before use.
	Dispatches func() bool
	// Rand returns a random number of at least 0 and less than 1.
	Rand func() float64
}

// serviceState holds the targets of one service and their common measurements.
type serviceState struct {
	targets []*Target
	// meanProcessingTime is the moving average of the time per request, without
	// the time in the target's queue.
	meanProcessingTime time.Duration
	// learned is what was learned of the targets together.
	learned *concurrency.Service
	// refusedRank is the highest priority of the requests that found no capacity
	// within the yield period before refusedRankAt, the time of the last one of it. Zero
	// is the highest priority.
	refusedRank   int
	refusedRankAt time.Time
	// waiting is the number of this host's requests that wait for capacity at any
	// target of the service.
	waiting int
	// freed is closed when a request of this host ends or a target is added; nil if nobody waits
	// for that.
	freed chan struct{}
}

// NewSet returns an empty set for a host in the given failure domain.
func NewSet(domain string) *Set {
	return &Set{
		domain: domain, targets: make(map[string]*Target), services: make(map[string]*serviceState),
		rests: make(rests), changed: make(chan struct{}), Hosts: func() int { return 1 },
		Sender: func(*Entry) bool { return false }, Cold: func(string) Cold { return Cold{} },
		Learns: func() bool { return false }, Dispatches: func() bool { return false }, Rand: rand.Float64,
	}
}

// Changed returns a channel that is closed at the next change of an entry.
func (s *Set) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

func (s *Set) notifyChanged() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Set) service(service string) *serviceState {
	svc := s.services[service]
	if svc == nil {
		svc = &serviceState{meanProcessingTime: initialProcessingTime, learned: concurrency.NewService()}
		s.services[service] = svc
	}
	return svc
}

// Put stores an entry unless a newer one of the same target is present, and
// reports whether the entry was stored. The measurements of a target are kept
// within an incarnation and reset at the next one; what was learned of it is also
// reset when its number of slots changes. A target that has said that it leaves
// counts as draining.
func (s *Set) Put(entry Entry, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry.Draining = entry.Draining || s.departures.known[Departure{Target: entry.ID, Born: entry.Born}]
	old := s.targets[entry.ID]
	if old != nil && !entry.replaces(&old.entry) {
		return false
	}
	if old != nil && sameIncarnation(&old.entry, &entry) {
		if entry.Draining && !old.entry.Draining {
			old.drainingSince = now
		}
		if entry.Slots != old.entry.Slots {
			old.learned = concurrency.New(entry.Slots, s.service(entry.Service).learned)
		}
		old.entry = entry
		old.warmEnd = now.Add(entry.WarmUp)
		s.applyWarmUp(old, &entry, now)
		s.notifyChanged()
		return true
	}
	if old != nil {
		s.detach(old)
	}
	svc := s.service(entry.Service)
	t := &Target{
		entry: entry, warmEnd: now.Add(entry.WarmUp), relativeTime: 1, restUntil: s.rests[owner.Incarnation{Target: entry.ID, Born: entry.Born}],
		learned: concurrency.New(entry.Slots, svc.learned), affinity: s.drawAffinity(&entry),
	}
	s.targets[entry.ID] = t
	s.informOfLimit(t, now)
	s.applyWarmUp(t, &entry, now)
	svc.targets = append(svc.targets, t)
	svc.notifyWaiters()
	s.notifyChanged()
	return true
}

func sameIncarnation(a, b *Entry) bool {
	return a.Born == b.Born && a.Service == b.Service && a.Address == b.Address
}

// Remove deletes a target and reports whether it was present.
func (s *Set) Remove(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.targets[id]
	if t == nil {
		return false
	}
	s.detach(t)
	delete(s.targets, id)
	s.notifyChanged()
	return true
}

func (s *Set) detach(t *Target) {
	svc := s.service(t.entry.Service)
	svc.targets = slices.DeleteFunc(svc.targets, func(o *Target) bool { return o == t })
}

// Entries returns the entries of a service's targets, sorted by ID. An empty
// service name selects all services.
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

// Entry returns the entry of a target and whether the target is present.
func (s *Set) Entry(id string) (Entry, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.targets[id]
	if t == nil {
		return Entry{}, false
	}
	return t.entry, true
}

// WarmingUp reports whether a target has started recently and is still slow.
func (s *Set) WarmingUp(id string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.targets[id]
	return t != nil && now.Before(t.warmEnd)
}

// State is a host's view of a target, as written to the state dump.
type State struct {
	Entry
	// InFlight is the number of this host's requests without a response.
	InFlight int `json:"in_flight"`
	// OtherHostsLoad is the number of other hosts' requests in the last report.
	OtherHostsLoad float64 `json:"others_work"`
	// ReportAgeS is the age of the last report in seconds, 0 without a report.
	ReportAgeS float64 `json:"report_age_s"`
	// RelativeProcessingTime is the target's processing time per request
	// divided by the mean of its service.
	RelativeProcessingTime float64 `json:"pace"`
	// FailureScore is the decayed sum of the weights of recent failures.
	FailureScore float64 `json:"trouble"`
	// Paused is true during a backoff.
	Paused bool `json:"paused"`
	// LearnedLimit and LearnedTimeS are the number of requests in progress up to which the
	// target stays fast, and its processing time in seconds, as far as they were learned.
	LearnedLimit float64 `json:"learned_limit,omitempty"`
	LearnedTimeS float64 `json:"learned_time_s,omitempty"`
	// Limit is the limit of requests a second that the target has named for all hosts,
	// and LimitShare this host's part of it; nil and 0 without one.
	Limit      *float64 `json:"limit,omitempty"`
	LimitShare float64  `json:"limit_share,omitempty"`
	// ColdS is the time in seconds for which the target is cold, or taken to be, ColdRate
	// the requests a second that it gets from all hosts until then, and ColdShare this
	// host's part of them; 0 unless it is cold.
	ColdS     float64 `json:"cold_s,omitempty"`
	ColdRate  float64 `json:"cold_rate,omitempty"`
	ColdShare float64 `json:"cold_share,omitempty"`
	// RestS is the time in seconds for which the target wants no requests.
	RestS float64 `json:"rest_s,omitempty"`
}

// States returns the states of all targets, sorted by ID.
func (s *Set) States(now time.Time) []State {
	s.mu.Lock()
	defer s.mu.Unlock()
	states := make([]State, 0, len(s.targets))
	for _, t := range s.targets {
		state := State{
			Entry: t.entry, InFlight: t.inFlight, OtherHostsLoad: t.otherHostsLoad, RelativeProcessingTime: t.relativeTime,
			FailureScore: t.failureScoreAt(now), Paused: now.Before(t.backoffUntil),
		}
		if !t.reported.IsZero() {
			state.ReportAgeS = now.Sub(t.reported).Seconds()
		}
		if limit := t.pacer.Limit(); limit.Named {
			state.Limit, state.LimitShare = &limit.PerSecond, t.pacer.Rate(now, s.Hosts())
		}
		if s.isCold(t, now) {
			p := s.coldPacer(t, now)
			state.ColdS, state.ColdRate, state.ColdShare = max(t.cold.end.Sub(now), 0).Seconds(), p.Limit().PerSecond, p.Rate(now, s.sharing(t))
		}
		if learned := t.learned.Estimate(now); learned.Known && s.Learns() {
			state.LearnedLimit, state.LearnedTimeS = learned.Limit, learned.ProcessingTime.Seconds()
		}
		if t.resting(now) {
			state.RestS = t.restUntil.Sub(now).Seconds()
		}
		states = append(states, state)
	}
	slices.SortFunc(states, func(a, b State) int { return cmp.Compare(a.ID, b.ID) })
	return states
}

// TakeProcessingStats returns the numbers and processing times of the responses to
// requests that were sent to key owners, by target, since the previous call.
func (s *Set) TakeProcessingStats() []owner.ProcessingStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []owner.ProcessingStats
	for id, t := range s.targets {
		if t.ownerStats.Responses > 0 {
			t.ownerStats.Service, t.ownerStats.Target = t.entry.Service, id
			all = append(all, t.ownerStats)
			t.ownerStats = owner.ProcessingStats{}
		}
	}
	return all
}

// recordNoCapacity records that a request of a priority found no capacity.
func (svc *serviceState) recordNoCapacity(rank int, now time.Time) {
	if !svc.yields(rank, now) {
		svc.refusedRank, svc.refusedRankAt = rank, now
	}
}

// yields reports whether a request of a priority leaves room for others of a higher one,
// which recently found no capacity.
func (svc *serviceState) yields(rank int, now time.Time) bool {
	return rank > svc.refusedRank && !svc.refusedRankAt.IsZero() && now.Sub(svc.refusedRankAt) < svc.yieldPeriod()
}

// yieldPeriod returns how long requests yield after one of a higher priority found no
// capacity, by the slots of the largest target.
func (svc *serviceState) yieldPeriod() time.Duration {
	slots := 0
	for _, t := range svc.targets {
		slots = max(slots, t.entry.Slots)
	}
	return time.Duration(slots) * yieldPeriodPerSlot
}

// meanOtherHostsLoad returns the mean of the reported loads, each of which decays with its
// age. Otherwise, a host that sends nothing, as all targets look full, would go on so.
func (svc *serviceState) meanOtherHostsLoad(now time.Time) float64 {
	if len(svc.targets) == 0 {
		return 0
	}
	sum, n := 0.0, 0
	for _, t := range svc.targets {
		if !t.reported.IsZero() {
			sum += t.otherHostsLoad * decay(now.Sub(t.reported), averageHalfLife)
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return sum / float64(n)
}

func (svc *serviceState) notifyWaiters() {
	if svc.freed != nil {
		close(svc.freed)
		svc.freed = nil
	}
}

// CapacityFreed returns a channel that is closed when a request of this host to
// the service ends or a target is added to the service.
func (s *Set) CapacityFreed(service string) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	svc := s.service(service)
	if svc.freed == nil {
		svc.freed = make(chan struct{})
	}
	return svc.freed
}
