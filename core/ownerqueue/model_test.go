package ownerqueue

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pineturn/core/concurrency"
)

// kind is a kind of request of the modelled load.
type kind struct {
	share                        float64
	rank                         int
	objective, timeout, deadline time.Duration
	work                         time.Duration
	idempotent                   bool
}

// loads are those of the two deployments that asked for the queue.
var loads = map[string][]kind{
	"checks and confirmations": {
		{0.73, 0, 500 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second, 160 * time.Millisecond, true},
		{0.27, 1, 800 * time.Millisecond, 2500 * time.Millisecond, 5 * time.Second, 210 * time.Millisecond, false},
	},
	"listings": {
		{1, 0, 800 * time.Millisecond, 2500 * time.Millisecond, 5 * time.Second, 190 * time.Millisecond, true},
	},
}

const (
	modelSlots   = 3
	modelQueue   = 12
	modelSeconds = 60
	maxAttempts  = 3
)

// call is a caller's request over all its attempts, in seconds since the start.
type call struct {
	kind
	first, arrived float64
	attempts       int
	obedient       bool
	work           float64
	ticket         *Ticket
}

// event calls a function at a time.
type event struct {
	at float64
	do func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any          { old := *e; x := old[len(old)-1]; *e = old[:len(old)-1]; return x }

// model is one target with its holder and its callers.
type model struct {
	events events
	now    float64
	random *rand.Rand
	speed  float64
	target []*call // the target's own requests; the first modelSlots run
	// start decides about a request that has arrived; ended is told of each that the target ends.
	start func(*call)
	ended func(*call)
	call  func(*Ticket) *call
	// outcomes by rank: calls, answered within the objective, late.
	calls, inTime, late [2]float64
	refusals            float64
}

func (m *model) at(after float64, do func()) { heap.Push(&m.events, event{m.now + after, do}) }
func (m *model) time() time.Time             { return time.Unix(0, int64(m.now*1e9)) }

// send passes a request to the target, which may refuse it.
func (m *model) send(c *call) {
	if len(m.target) >= modelSlots+modelQueue {
		m.ended(c)
		m.refuse(c, 0.1)
		return
	}
	m.target = append(m.target, c)
	if len(m.target) <= modelSlots {
		m.run(c)
	}
}

func (m *model) run(c *call) {
	m.at(c.work/m.speed, func() {
		for i, other := range m.target {
			if other == c {
				m.target = append(m.target[:i:i], m.target[i+1:]...)
				break
			}
		}
		if len(m.target) >= modelSlots {
			m.run(m.target[modelSlots-1])
		}
		switch took := m.now - c.first; {
		case m.now-c.arrived > c.timeout.Seconds():
			m.retry(c, 0)
		case took <= c.objective.Seconds():
			m.inTime[c.rank]++
		default:
			m.late[c.rank]++
		}
		m.ended(c)
	})
}

// refuse refuses a request.
func (m *model) refuse(c *call, retryAfter float64) {
	m.refusals++
	m.retry(c, retryAfter)
}

func (m *model) retry(c *call, after float64) {
	if !c.obedient {
		after = 0.01
	}
	if c.attempts >= maxAttempts || m.now+after-c.first > c.deadline.Seconds() {
		return
	}
	again := *c
	again.ticket = nil
	again.attempts++
	m.at(after, func() {
		again.arrived = m.now
		m.start(&again)
	})
}

// play plays callers that ask for load times what the target can do, some of which return at once.
func play(kinds []kind, load, speed float64, policy func(*model)) *model {
	m := &model{random: rand.New(rand.NewPCG(1, 2)), speed: speed}
	policy(m)
	mean := 0.0
	for _, k := range kinds {
		mean += k.share * k.work.Seconds()
	}
	rate := load * modelSlots * speed / mean
	var arrive func()
	arrive = func() {
		k := kinds[0]
		if m.random.Float64() >= k.share {
			k = kinds[1]
		}
		const spread = 0.5
		c := &call{kind: k, first: m.now, arrived: m.now, attempts: 1, obedient: m.random.Float64() < 0.8}
		c.work = k.work.Seconds() * math.Exp(spread*m.random.NormFloat64()-spread*spread/2)
		m.calls[k.rank]++
		m.start(c)
		m.at(m.random.ExpFloat64()/rate, arrive)
	}
	m.at(0, arrive)
	for len(m.events) > 0 {
		e := heap.Pop(&m.events).(event)
		if m.now = e.at; m.now > modelSeconds {
			break
		}
		e.do()
	}
	return m
}

// byQueue is the policy of this package.
func byQueue(m *model) {
	q := New()
	q.Random = m.random.Float64
	step := func() {
		for _, t := range q.Start(m.time()) {
			c := m.call(t)
			if t.Running() {
				m.send(c)
				continue
			}
			after, _ := t.Refused()
			m.refuse(c, after.Seconds())
		}
	}
	q.SetTarget(Target{Slots: modelSlots, Estimate: concurrency.Estimate{
		Limit: modelSlots, ProcessingTime: time.Duration(float64(170*time.Millisecond) / m.speed),
	}})
	tickets := make(map[*Ticket]*call)
	m.call = func(t *Ticket) *call { return tickets[t] }
	m.start = func(c *call) {
		now := m.time()
		c.ticket = q.Submit(Request{
			Rank: c.rank, Objective: now.Add(c.objective - time.Duration((m.now-c.first)*1e9)), Deadline: now.Add(min(c.timeout, c.deadline-time.Duration((m.now-c.first)*1e9))),
			Idempotent: c.idempotent, Returned: c.attempts > 1 && c.obedient,
		}, now)
		tickets[c.ticket] = c
		if after, ok := c.ticket.Refused(); ok {
			m.refuse(c, after.Seconds())
			return
		}
		step()
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
		end := m.now + 0.4*c.objective.Seconds()
		var try func()
		try = func() {
			limit := 3.5 * modelSlots
			if !c.idempotent {
				limit = 2.5 * modelSlots
			}
			switch {
			case float64(len(m.target)+1) <= limit:
				m.send(c)
			case m.now >= end:
				m.refuse(c, c.objective.Seconds()/2*(0.75+m.random.Float64()/2))
			default:
				m.at(0.025, try)
			}
		}
		try()
	}
}

// shares returns the shares of the calls that were answered in time, late and never, and the
// refusals a call.
func (m *model) shares() [4]float64 {
	all := m.calls[0] + m.calls[1]
	inTime, late := (m.inTime[0]+m.inTime[1])/all, (m.late[0]+m.late[1])/all
	return [4]float64{inTime, late, 1 - inTime - late, m.refusals / all}
}

// TestModel guards against a queue that answers fewer requests in time than the rule by depth, serves
// fewer at all, or puts the urgent ones behind.
func TestModel(t *testing.T) {
	for name, kinds := range loads {
		for _, load := range []float64{0.5, 1, 2, 4} {
			for _, speed := range []float64{0.6, 1, 1.6} {
				t.Run(fmt.Sprintf("%s, %v of the room, speed %v", name, load, speed), func(t *testing.T) {
					queue, depth := play(kinds, load, speed, byQueue), play(kinds, load, speed, byDepth)
					got, rule := queue.shares(), depth.shares()
					t.Logf("in time, late, never, refused: queue %.2f, rule by depth %.2f", got, rule)
					minGain := 0.03
					if load < 1 {
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
