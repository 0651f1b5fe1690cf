package admission

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Parameters of the model: modelHosts ingress hosts in modelDomains failure domains,
// and one target in the first domain.
const (
	modelHosts   = 12
	modelDomains = 4
	modelKeys    = 50
	// modelLocalDelay is the one-way delay within a failure domain.
	modelLocalDelay = 50 * time.Microsecond
	modelDeadline   = time.Second
	modelQueue      = 64
	modelDuration   = 200 * time.Second
)

// model is a discrete-event simulation of one target, the queues that send to it,
// and the network delay between them.
type model struct {
	random  *rand.Rand
	now     time.Time
	events  events
	queues  []*Queue
	waiting map[*Ticket]*pending
	// remoteDelay is the one-way delay between two failure domains.
	remoteDelay time.Duration
	serviceTime time.Duration
	slots       int
	busySlots   int
	// leaseholder is the domain of the only queue, or -1 if each ingress host has
	// its own queue.
	leaseholder int

	// hotShare is the share of requests for key 0, between 0 and 1.
	hotShare float64

	requests, shed, refused int
	latencies               []time.Duration
	// served counts served requests by second. cold counts the requests for other
	// keys than 0, coldRefused those that were refused.
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

// delay returns the one-way delay between two failure domains.
func (m *model) delay(from, to int) time.Duration {
	if from == to {
		return modelLocalDelay
	}
	return m.remoteDelay
}

func newModel(d deployment, leaseholder int) *model {
	m := &model{
		random: rand.New(rand.NewPCG(1, 2)), now: epoch, waiting: make(map[*Ticket]*pending), served: make(map[int]int), hotShare: 1.0 / modelKeys,
		remoteDelay: d.remoteDelay, serviceTime: d.serviceTime, slots: d.slots, leaseholder: leaseholder,
	}
	count := 1
	if leaseholder < 0 {
		count = modelHosts
	}
	for range count {
		m.queues = append(m.queues, New(Options{Slots: d.slots, QueueLength: modelQueue, Random: m.random.Float64}))
	}
	return m
}

// run simulates modelDuration. load is the request rate as a fraction of the
// target's capacity.
func (m *model) run(load float64) {
	mean := time.Duration(float64(m.serviceTime) / float64(m.slots) / load)
	var arrive func()
	arrive = func() {
		m.arrive(m.random.IntN(modelHosts))
		m.after(time.Duration(m.random.ExpFloat64()*float64(mean)), arrive)
	}
	m.after(0, arrive)
	for m.now.Sub(epoch) < modelDuration {
		next := heap.Pop(&m.events).(event)
		m.now = next.at
		next.run()
	}
}

// key returns a random key for a request.
func (m *model) key() string {
	if m.random.Float64() < m.hotShare {
		return "0"
	}
	m.cold++
	return fmt.Sprint(1 + m.random.IntN(modelKeys-1))
}

// pending is a request that has a ticket.
type pending struct {
	ticket *Ticket
	queue  int
	// domain is the failure domain of the queue.
	domain int
	// queueDelay is the one-way delay from the ingress host to the queue.
	queueDelay time.Duration
	start      time.Time
}

// arrive accepts a request at an ingress host and submits it to its queue.
func (m *model) arrive(host int) {
	m.requests++
	req := &pending{queue: host, domain: host % modelDomains, start: m.now}
	if m.leaseholder >= 0 {
		req.queue, req.queueDelay, req.domain = 0, m.delay(req.domain, m.leaseholder), m.leaseholder
	}
	key := m.key()
	m.after(req.queueDelay, func() {
		var displaced []*Ticket
		req.ticket, displaced = m.queues[req.queue].Submit(m.now, key, req.start.Add(modelDeadline))
		m.waiting[req.ticket] = req
		m.handleChanged(req.queue, append(displaced, req.ticket))
	})
}

// handleChanged sends the requests that got a slot and counts the refused ones.
func (m *model) handleChanged(queue int, changed []*Ticket) {
	changed = append(changed, m.queues[queue].StartWaiting(m.now)...)
	for _, ticket := range changed {
		req := m.waiting[ticket]
		switch {
		case req == nil:
		case ticket.Running():
			delete(m.waiting, ticket)
			m.after(m.delay(req.domain, 0), func() { m.runAtTarget(req) })
		case ticket.Refusal() != nil:
			delete(m.waiting, ticket)
			m.refused++
			if ticket.key != "0" {
				m.coldRefused++
			}
		}
	}
	if at, ok := m.queues[queue].NextStart(m.now); ok && at.After(m.now) {
		m.after(at.Sub(m.now), func() { m.handleChanged(queue, nil) })
	}
}

// runAtTarget runs a request, or sheds it if all slots are in use.
func (m *model) runAtTarget(req *pending) {
	back := m.delay(req.domain, 0)
	if m.busySlots >= m.slots {
		m.shed++
		m.after(back, func() { m.finish(req, Result{Shed: true}) })
		return
	}
	m.busySlots++
	m.after(time.Duration(m.random.ExpFloat64()*float64(m.serviceTime)), func() {
		m.busySlots--
		m.after(back, func() {
			m.served[int(m.now.Sub(epoch)/time.Second)]++
			m.latencies = append(m.latencies, m.now.Add(req.queueDelay).Sub(req.start))
			m.finish(req, Result{Served: true})
		})
	})
}

func (m *model) finish(req *pending, result Result) {
	m.queues[req.queue].Finish(m.now, req.ticket, result)
	m.handleChanged(req.queue, nil)
}

// quantile returns the q-quantile of the latencies, in milliseconds.
func (m *model) quantile(q float64) float64 {
	slices.Sort(m.latencies)
	return float64(m.latencies[int(q*float64(len(m.latencies)-1))]) / float64(time.Millisecond)
}

// servedBetween returns the number of requests served in the seconds first to last,
// inclusive.
func (m *model) servedBetween(first, last int) int {
	served := 0
	for second := first; second <= last; second++ {
		served += m.served[second]
	}
	return served
}
