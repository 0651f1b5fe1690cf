package admission

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// The sizes of the model: entry hosts over failure domains, one target in the
// first domain.
const (
	modelHosts    = 12
	modelDomains  = 4
	modelKeys     = 50
	modelNear     = 50 * time.Microsecond
	modelDeadline = time.Second
	modelSpan     = 200 * time.Second
)

// model is a discrete-event model of one target, the queues that send to it
// and the time between them.
type model struct {
	random  *rand.Rand
	now     time.Time
	events  events
	queues  []*Queue
	waiting map[*Ticket]*pending
	far     time.Duration
	service time.Duration
	slots   int
	busy    int
	holder  int // domain of the only queue; -1 when each entry has its own

	// hot is the share of the requests that key 0 gets.
	hot float64

	requests, shed, refused int
	latencies               []time.Duration
	// served counts by second, coldRefused the refusals of other keys than 0.
	served      map[int]int
	coldRefused int
	cold        int
}

type event struct {
	at  time.Time
	run func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(item any)     { *e = append(*e, item.(event)) }

func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func (m *model) after(d time.Duration, run func()) {
	heap.Push(&m.events, event{at: m.now.Add(d), run: run})
}

func (m *model) hop(from, to int) time.Duration {
	if from == to {
		return modelNear
	}
	return m.far
}

func newModel(user user, holder int) *model {
	m := &model{
		random: rand.New(rand.NewPCG(1, 2)), now: epoch, waiting: make(map[*Ticket]*pending), served: make(map[int]int), hot: 1.0 / modelKeys,
		far: user.far, service: user.service, slots: user.slots, holder: holder,
	}
	count := 1
	if holder < 0 {
		count = modelHosts
	}
	for range count {
		m.queues = append(m.queues, New(Options{Slots: user.slots, Random: m.random.Float64}))
	}
	return m
}

// run offers a load, as a share of the target's capacity.
func (m *model) run(load float64) {
	mean := time.Duration(float64(m.service) / float64(m.slots) / load)
	var arrive func()
	arrive = func() {
		m.arrive(m.random.IntN(modelHosts))
		m.after(time.Duration(m.random.ExpFloat64()*float64(mean)), arrive)
	}
	m.after(0, arrive)
	for m.now.Sub(epoch) < modelSpan {
		next := heap.Pop(&m.events).(event)
		m.now = next.at
		next.run()
	}
}

// key draws the key of a request.
func (m *model) key() string {
	if m.random.Float64() < m.hot {
		return "0"
	}
	m.cold++
	return fmt.Sprint(1 + m.random.IntN(modelKeys-1))
}

// pending is a request that has a ticket.
type pending struct {
	ticket *Ticket
	queue  int
	// domain is the queue's, away the time from the entry to the queue.
	domain int
	away   time.Duration
	start  time.Time
}

// arrive takes a request in at an entry host, and on to its queue.
func (m *model) arrive(host int) {
	m.requests++
	req := &pending{queue: host, domain: host % modelDomains, start: m.now}
	if m.holder >= 0 {
		req.queue, req.away, req.domain = 0, m.hop(req.domain, m.holder), m.holder
	}
	key := m.key()
	m.after(req.away, func() {
		var displaced []*Ticket
		req.ticket, displaced = m.queues[req.queue].Arrive(m.now, key, req.start.Add(modelDeadline))
		m.waiting[req.ticket] = req
		m.follow(req.queue, append(displaced, req.ticket))
	})
}

// follow sends what has got a slot, and forgets what was refused.
func (m *model) follow(queue int, changed []*Ticket) {
	changed = append(changed, m.queues[queue].Advance(m.now)...)
	for _, ticket := range changed {
		req := m.waiting[ticket]
		switch {
		case req == nil:
		case ticket.Running():
			delete(m.waiting, ticket)
			m.after(m.hop(req.domain, 0), func() { m.atTarget(req) })
		case ticket.Refusal() != nil:
			delete(m.waiting, ticket)
			m.refused++
			if ticket.key != "0" {
				m.coldRefused++
			}
		}
	}
	if at, ok := m.queues[queue].Next(m.now); ok && at.After(m.now) {
		m.after(at.Sub(m.now), func() { m.follow(queue, nil) })
	}
}

// atTarget runs a request, or sheds it when all slots are taken.
func (m *model) atTarget(req *pending) {
	back := m.hop(req.domain, 0)
	if m.busy >= m.slots {
		m.shed++
		m.after(back, func() { m.finish(req, Result{Shed: true}) })
		return
	}
	m.busy++
	m.after(time.Duration(m.random.ExpFloat64()*float64(m.service)), func() {
		m.busy--
		m.after(back, func() {
			m.served[int(m.now.Sub(epoch)/time.Second)]++
			m.latencies = append(m.latencies, m.now.Add(req.away).Sub(req.start))
			m.finish(req, Result{Served: true})
		})
	})
}

func (m *model) finish(req *pending, result Result) {
	m.queues[req.queue].Finish(m.now, req.ticket, result)
	m.follow(req.queue, nil)
}

func (m *model) quantile(q float64) float64 {
	slices.Sort(m.latencies)
	return float64(m.latencies[int(q*float64(len(m.latencies)-1))]) / float64(time.Millisecond)
}

// window returns the requests served in the seconds from first to last, both
// included.
func (m *model) window(first, last int) int {
	served := 0
	for second := first; second <= last; second++ {
		served += m.served[second]
	}
	return served
}
