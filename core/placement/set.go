package placement

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
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
	InFlight int     `json:"in_flight"`
	Others   float64 `json:"others_work"`
	// ReportAgeS is the age of the last report in seconds.
	ReportAgeS float64 `json:"report_age_s"`
	Pace       float64 `json:"pace"`
	Trouble    float64 `json:"trouble"`
	Paused     bool    `json:"paused"`
}

// States returns what is believed of all targets, in the order of their ids.
func (s *Set) States(now time.Time) []State {
	s.mu.Lock()
	defer s.mu.Unlock()
	states := make([]State, 0, len(s.targets))
	for _, t := range s.targets {
		state := State{
			Entry: t.entry, InFlight: t.inFlight, Others: t.others, Pace: t.pace,
			Trouble: t.troubleNow(now), Paused: now.Before(t.closedUntil),
		}
		if !t.reported.IsZero() {
			state.ReportAgeS = now.Sub(t.reported).Seconds()
		}
		states = append(states, state)
	}
	slices.SortFunc(states, func(a, b State) int { return cmp.Compare(a.ID, b.ID) })
	return states
}

// Demand is what is asked of a target.
type Demand struct {
	Service string
	// Owner is the only target that may run the request; empty for any.
	Owner string
	// Skip are targets that the request was sent to already.
	Skip []string
	// Fragile requests may be lost where the target is full.
	Fragile bool
	// Left is the time until the request is given up.
	Left time.Duration
}

// Verdict says why there is no choice.
type Verdict int

// Verdicts of a choice.
const (
	// Chosen says that there is a choice.
	Chosen Verdict = iota
	// NoTarget says that the service has no target to use.
	NoTarget
	// NoRoom says that all targets have as much work as they should.
	NoRoom
)

// Choice is a target that a request may be sent to. End must be called once.
type Choice struct {
	Entry Entry
	// Expected is the time that the answer should take.
	Expected time.Duration
	set      *Set
	target   *Target
	// depth is the work at the target, this request included, by its slots.
	depth float64
	sent  time.Time
}

const (
	// crossing is what a send to another failure domain is taken to cost.
	crossing = 25 * time.Millisecond
	// fragileDepth and sturdyDepth are the most work at a target, by its
	// slots, with which a request is still sent there.
	fragileDepth = 2.5
	sturdyDepth  = 3.5
	// jitter spreads the choices of hosts that know the same.
	jitter = 0.1
)

// Choose returns the target with the least expected time and books the
// request there. It answers bursts, which fill the fast targets first, and
// targets that turn slow, which get fewer requests as their answers take longer.
func (s *Set) Choose(d Demand, now time.Time) (*Choice, Verdict) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.group(d.Service)
	mean := g.meanOthers()
	var best *Choice
	bestCost := 0.0
	verdict := NoTarget
	for _, t := range g.targets {
		if !t.usable(d, now) {
			continue
		}
		if verdict == NoTarget {
			verdict = NoRoom
		}
		c := s.weigh(g, t, now, mean)
		if c.depth > maxDepth(d) {
			continue
		}
		cost := float64(c.Expected) * (1 + jitter*rand.Float64())
		if t.entry.Domain != s.domain {
			cost += float64(crossing)
		}
		cost *= 1 + t.troubleNow(now)
		if best == nil || cost < bestCost {
			best, bestCost = c, cost
		}
	}
	if best == nil {
		return nil, verdict
	}
	best.target.inFlight++
	return best, Chosen
}

func maxDepth(d Demand) float64 {
	if d.Fragile {
		return fragileDepth
	}
	return sturdyDepth
}

func (t *Target) usable(d Demand, now time.Time) bool {
	if t.entry.Draining && (d.Owner == "" || now.Sub(t.drainSeen) > ownerDrain) {
		return false
	}
	if slices.Contains(d.Skip, t.entry.ID) || d.Owner == "" && now.Before(t.closedUntil) {
		return false
	}
	return d.Owner == "" || t.entry.ID == d.Owner
}

func (s *Set) weigh(g *group, t *Target, now time.Time, mean float64) *Choice {
	slots := float64(t.entry.Slots)
	depth := (float64(t.inFlight) + t.othersNow(now, mean) + 1) / slots
	work := float64(g.work) * t.slowness(now)
	expected := work * (1 + max(0, depth-1))
	return &Choice{Entry: t.entry, Expected: time.Duration(expected), set: s, target: t, depth: depth, sent: now}
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

// Freed returns a channel that is closed when a request of this host to a
// service has ended, or a target was added.
func (s *Set) Freed(service string) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.group(service)
	w := make(chan struct{})
	g.waiters = append(g.waiters, w)
	return w
}

// Result is how a send ended.
type Result int

// Results of a send.
const (
	// Answered says that the target ran the request and answered.
	Answered Result = iota
	// Shed says that the target refused it as full.
	Shed
	// Misrouted says that the target is another one or lacks the key.
	Misrouted
	// Failed says that the target failed or answered badly.
	Failed
	// Unreachable says that no connection was made.
	Unreachable
	// Abandoned says that the caller left or time ran out.
	Abandoned
	// Superseded says that another send was faster.
	Superseded
)

// Report is the work that a target says that it has.
type Report struct {
	Running, Waiting int
}

const (
	// shedPause is how long a target that refused a request gets none.
	shedPause = 60 * time.Millisecond
	// failedPause is the same for one that broke off or spoiled an answer, as a
	// full one may.
	failedPause = 100 * time.Millisecond
	// unreachablePause is the same for one that could not be connected to.
	unreachablePause = 500 * time.Millisecond
)

// End notes how a send ended and what the target reported with it.
func (c *Choice) End(result Result, report *Report, now time.Time) {
	s := c.set
	s.mu.Lock()
	defer s.mu.Unlock()
	t := c.target
	t.inFlight--
	g := s.group(t.entry.Service)
	defer g.wake()
	if report != nil {
		t.report(max(0, float64(report.Running+report.Waiting-t.inFlight)), now)
	}
	took := now.Sub(c.sent)
	switch result {
	case Answered:
		c.learn(g, t, took)
		t.trouble = t.troubleNow(now) * 0.5
		t.troubleAt = now
	case Shed:
		t.addTrouble(now, 0.5)
		t.closedUntil = now.Add(shedPause)
	case Failed:
		t.addTrouble(now, 1)
		t.closedUntil = now.Add(failedPause)
	case Unreachable:
		t.addTrouble(now, 2)
		t.closedUntil = now.Add(unreachablePause)
	case Abandoned, Superseded:
		if took > 2*c.Expected {
			c.learn(g, t, took)
			t.addTrouble(now, 0.7)
		}
	case Misrouted:
	}
}

// Bounds of a target's learned time over the mean of its service.
const (
	minPace = 0.2
	maxPace = 20.0
)

// learn takes an answer's time, without the part spent in the queue, into the
// mean of the service and the target's pace.
func (c *Choice) learn(g *group, t *Target, took time.Duration) {
	work := float64(took) / max(1, c.depth)
	g.work += time.Duration(speedWeight / 4 * (work - float64(g.work)))
	pace := work / max(float64(g.work), float64(time.Millisecond))
	t.pace += speedWeight * (min(max(pace, minPace), maxPace) - t.pace)
}
