package placement

import (
	"math/rand/v2"
	"slices"
	"time"

	"pineturn/core/clock"
)

// Criteria is what is asked of a target.
type Criteria struct {
	Service string
	// Owner is the only target that may run the request; empty for any.
	Owner string
	// Exclude are targets that the request was sent to already.
	Exclude []string
	// NonIdempotent requests may be lost where the target is full.
	NonIdempotent bool
}

// ChoiceStatus says why there is no choice.
type ChoiceStatus int

// Verdicts of a choice.
const (
	// Chosen says that there is a choice.
	Chosen ChoiceStatus = iota
	// NoTarget says that the service has no target to use.
	NoTarget
	// NoCapacity says that all targets have as much work as they should.
	NoCapacity
)

// Choice is a target that a request may be sent to. End must be called once.
type Choice struct {
	Entry Entry
	// ExpectedLatency is the time that the answer should take.
	ExpectedLatency time.Duration
	set             *Set
	target          *Target
	// owned says that only this target may run the request.
	owned bool
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
func (s *Set) Choose(d Criteria, now time.Time) (*Choice, ChoiceStatus) {
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
			verdict = NoCapacity
		}
		c := s.weigh(g, t, now, mean)
		if c.depth > maxDepth(d) || d.Owner != "" && t.full(now) {
			continue
		}
		cost := float64(c.ExpectedLatency) * (1 + jitter*rand.Float64())
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
	best.owned = d.Owner != ""
	return best, Chosen
}

func maxDepth(d Criteria) float64 {
	if d.NonIdempotent {
		return fragileDepth
	}
	return sturdyDepth
}

func (t *Target) usable(d Criteria, now time.Time) bool {
	if t.entry.Draining && (d.Owner == "" || now.Sub(t.drainSeen) > ownerDrain) {
		return false
	}
	if slices.Contains(d.Exclude, t.entry.ID) || d.Owner == "" && now.Before(t.closedUntil) {
		return false
	}
	return d.Owner == "" || t.entry.ID == d.Owner
}

func (s *Set) weigh(g *group, t *Target, now time.Time, mean float64) *Choice {
	slots := float64(t.entry.Slots)
	depth := (float64(t.inFlight) + t.othersNow(now, mean) + 1) / slots
	work := float64(g.work) * t.slowness(now)
	expected := work * (1 + max(0, depth-1))
	return &Choice{Entry: t.entry, ExpectedLatency: time.Duration(expected), set: s, target: t, depth: depth, sent: now}
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
	// Failed says that the target answered that it failed.
	Failed
	// ConnectionLost says that the connection ended without a good answer, as that of
	// a full target may.
	ConnectionLost
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
	if c.owned && (result == Shed || result == ConnectionLost) {
		t.refused(now)
	}
	switch result {
	case Answered:
		c.learn(g, t, took)
		t.trouble = t.troubleNow(now) * 0.5
		t.troubleAt = now
		t.refusals = 0
	case Shed:
		t.addTrouble(now, 0.5)
		t.closedUntil = clock.Later(t.closedUntil, now.Add(shedPause))
	case Failed, ConnectionLost:
		t.addTrouble(now, 1)
		t.closedUntil = clock.Later(t.closedUntil, now.Add(failedPause))
	case Unreachable:
		t.addTrouble(now, 2)
		t.closedUntil = now.Add(unreachablePause)
	case Abandoned, Superseded:
		if took > 2*c.ExpectedLatency {
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
	if c.owned {
		t.owned.Responses++
		t.owned.Seconds += time.Duration(work).Seconds()
	}
	pace := work / max(float64(g.work), float64(time.Millisecond))
	t.pace += speedWeight * (min(max(pace, minPace), maxPace) - t.pace)
}
