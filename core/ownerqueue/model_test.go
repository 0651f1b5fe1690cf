package ownerqueue

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"testing"
	"time"
)

// call is a caller's request over all its attempts, with times in seconds since the start.
type call struct {
	rank                               int
	objective, timeout, deadline, work float64
	idempotent, obedient               bool
	first, arrived                     float64
	attempts                           int
	ticket                             *Ticket
}

// load is the requests to a target: the first kind, the other, and the share of the first. slots are
// those of the target, attempts those of each caller.
type load struct {
	kinds           [2]call
	share           float64
	slots, attempts int
}

// loads are the loads that the queue answers: requests that are short beside the time between them,
// and long ones, of which a target gets one or two a second.
var loads = map[string]load{
	"checks and confirmations": {[2]call{
		{objective: 0.5, timeout: 1.5, deadline: 3, work: 0.16, idempotent: true},
		{rank: 1, objective: 0.8, timeout: 2.5, deadline: 5, work: 0.21},
	}, 0.73, 3, 3},
	"listings": {[2]call{{objective: 0.8, timeout: 2.5, deadline: 5, work: 0.19, idempotent: true}}, 1, 3, 3},
	"histories and statements": {[2]call{
		{objective: 1.5, timeout: 3, deadline: 6, work: 0.55, idempotent: true},
		{objective: 2.5, timeout: 5, deadline: 10, work: 0.88, idempotent: true},
	}, 0.47, 2, 2},
}

// meanWork returns the mean work of the requests.
func (l load) meanWork() float64 { return l.share*l.kinds[0].work + (1-l.share)*l.kinds[1].work }

const (
	modelSeconds = 60
	// workSpread is the deviation of the logarithm of the work of requests of a kind.
	workSpread = 0.5
)

// event calls a function at a time.
type event struct {
	at float64
	do func()
}

// model is one target with its holder and its callers.
type model struct {
	load
	events []event
	now    float64
	random *rand.Rand
	speed  float64
	// target holds the requests at the target; the first ones run, one in each slot.
	target []*call
	// start decides about a request that has arrived; ended is told of each that the target ends.
	start, ended        func(*call)
	calls, inTime, late float64
}

func seconds(s float64) time.Duration { return time.Duration(s * 1e9) }

func (m *model) at(after float64, do func()) {
	// After those at the same time.
	i := sort.Search(len(m.events), func(i int) bool { return m.events[i].at > m.now+after })
	m.events = slices.Insert(m.events, i, event{m.now + after, do})
}

// send passes a request to the target.
func (m *model) send(c *call) {
	m.target = append(m.target, c)
	if len(m.target) <= m.slots {
		m.run(c)
	}
}

func (m *model) run(c *call) {
	m.at(c.work/m.speed, func() {
		m.target = slices.DeleteFunc(m.target, func(other *call) bool { return other == c })
		if len(m.target) >= m.slots {
			m.run(m.target[m.slots-1])
		}
		switch {
		case m.now-c.arrived > c.timeout:
			m.retry(c, 0)
		case m.now-c.first <= c.objective:
			m.inTime++
		default:
			m.late++
		}
		m.ended(c)
	})
}

// retry has the caller of a refused request or one that took too long return, at once if it does not
// do as it is told.
func (m *model) retry(c *call, after float64) {
	if !c.obedient {
		after = 0.01
	}
	if c.attempts >= m.attempts || m.now+after-c.first > c.deadline {
		return
	}
	again := *c
	again.attempts++
	m.at(after, func() {
		again.arrived = m.now
		m.start(&again)
	})
}

// modelSeeds is the number of plays of which the shares are the mean.
const modelSeeds = 5

// play plays callers that ask for times what the target can do, and returns the shares of the
// calls that were answered in time, late and never.
func play(l load, times, speed float64, policy func(*model)) (shares [3]float64) {
	for seed := range modelSeeds {
		for i, share := range playSeed(l, times, speed, policy, uint64(seed)) {
			shares[i] += share / modelSeeds
		}
	}
	return shares
}

func playSeed(l load, times, speed float64, policy func(*model), seed uint64) [3]float64 {
	m := &model{load: l, random: rand.New(rand.NewPCG(1, seed)), speed: speed}
	policy(m)
	rate := times * float64(l.slots) * speed / l.meanWork()
	var arrive func()
	arrive = func() {
		c := l.kinds[0]
		if m.random.Float64() >= l.share {
			c = l.kinds[1]
		}
		c.first, c.arrived, c.attempts, c.obedient = m.now, m.now, 1, m.random.Float64() < 0.8
		c.work *= math.Exp(workSpread*m.random.NormFloat64() - workSpread*workSpread/2)
		m.calls++
		m.start(&c)
		m.at(m.random.ExpFloat64()/rate, arrive)
	}
	m.at(0, arrive)
	for m.events[0].at <= modelSeconds {
		e := m.events[0]
		m.events, m.now = m.events[1:], e.at
		e.do()
	}
	return [3]float64{m.inTime / m.calls, m.late / m.calls, 1 - (m.inTime+m.late)/m.calls}
}

// byQueue is the policy of this package.
func byQueue(m *model) {
	q, calls := New(), make(map[*Ticket]*call)
	q.Random = m.random.Float64
	q.SetTarget(Target{Slots: m.slots, Limit: float64(m.slots), ProcessingTime: seconds(m.meanWork() / m.speed)})
	now := func() time.Time { return time.Unix(0, int64(m.now*1e9)) }
	refuseOrSend := func(t *Ticket) {
		if after, refused := t.Refused(); refused {
			m.retry(calls[t], after.Seconds())
		} else if t.Running() {
			m.send(calls[t])
		}
	}
	step := func() {
		for _, t := range q.Start(now()) {
			refuseOrSend(t)
		}
	}
	m.start = func(c *call) {
		age := m.now - c.first
		c.ticket = q.Submit(Request{
			Rank: c.rank, Objective: now().Add(seconds(c.objective) - seconds(age)), Deadline: now().Add(min(seconds(c.timeout), seconds(c.deadline)-seconds(age))),
			Idempotent: c.idempotent, Returned: c.attempts > 1 && c.obedient,
		}, now())
		calls[c.ticket] = c
		if refuseOrSend(c.ticket); c.ticket.state != refused {
			step()
		}
	}
	m.ended = func(c *call) {
		q.End(c.ticket)
		step()
	}
}

// byDepth is the rule of hosts without the queue, at one host: up to a depth a request is sent, else
// it waits for 0.4 of its objective.
func byDepth(m *model) {
	m.ended = func(*call) {}
	m.start = func(c *call) {
		end, limit := m.now+0.4*c.objective, 2.5*float64(m.slots)
		if c.idempotent {
			limit = 3.5 * float64(m.slots)
		}
		var try func()
		try = func() {
			switch {
			case float64(len(m.target)+1) <= limit:
				m.send(c)
			case m.now >= end:
				m.retry(c, c.objective/2*(0.75+m.random.Float64()/2))
			default:
				m.at(0.025, try)
			}
		}
		try()
	}
}

// TestModel guards against a queue that answers fewer requests in time than the rule by depth, or
// serves fewer at all.
func TestModel(t *testing.T) {
	for name, l := range loads {
		for _, times := range []float64{0.5, 0.75, 1, 2, 4} {
			for _, speed := range []float64{0.6, 1, 1.6} {
				t.Run(fmt.Sprintf("%s, %v of the room, speed %v", name, times, speed), func(t *testing.T) {
					got, rule := play(l, times, speed, byQueue), play(l, times, speed, byDepth)
					t.Logf("in time, late, never: queue %.2f, rule by depth %.2f", got, rule)
					minGain := 0.03
					if times < 1 {
						minGain = -0.02
					}
					if got[0] < rule[0]+minGain {
						t.Errorf("share in time: got %.2f, want %.2f more than the %.2f of the rule by depth", got[0], minGain, rule[0])
					}
					if got[2] > rule[2]+0.05 {
						t.Errorf("share never answered: got %.2f, want at most 0.05 more than the %.2f of the rule by depth", got[2], rule[2])
					}
				})
			}
		}
	}
}
