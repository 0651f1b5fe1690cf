package admit

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
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

	requests, shed, refused int
	latencies               []time.Duration
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
		random: rand.New(rand.NewPCG(1, 2)), now: epoch, waiting: make(map[*Ticket]*pending),
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
	key := fmt.Sprint(m.random.IntN(modelKeys))
	m.after(req.away, func() {
		var displaced []*Ticket
		req.ticket, displaced = m.queues[req.queue].Arrive(m.now, key, req.start.Add(modelDeadline))
		m.refused += len(displaced)
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

// user is the sizes of a user's targets.
type user struct {
	name    string
	slots   int
	far     time.Duration
	service time.Duration
}

var users = []user{
	{name: "caroni", slots: 2, far: 1500 * time.Microsecond, service: 9 * time.Millisecond},
	{name: "tomor", slots: 4, far: 500 * time.Microsecond, service: 7 * time.Millisecond},
}

// The ways of a request, by the domain of the leaseholder.
var ways = []struct {
	name   string
	holder int
}{
	{"direct", -1}, {"leaseholder apart", 1}, {"leaseholder beside target", 0},
}

// BenchmarkWay compares the ways to one target by simulated time.
func BenchmarkWay(b *testing.B) {
	for _, user := range users {
		for _, load := range []float64{0.5, 0.9, 2} {
			for _, way := range ways {
				b.Run(fmt.Sprintf("%s/%.0f%%/%s", user.name, load*100, way.name), func(b *testing.B) {
					m := newModel(user, way.holder)
					for b.Loop() {
						m = newModel(user, way.holder)
						m.run(load)
					}
					capacity := modelSpan.Seconds() * float64(user.slots) / user.service.Seconds()
					b.ReportMetric(0, "ns/op")
					b.ReportMetric(m.quantile(0.5), "p50_ms")
					b.ReportMetric(m.quantile(0.99), "p99_ms")
					b.ReportMetric(100*float64(len(m.latencies))/capacity, "goodput_%")
					b.ReportMetric(100*float64(m.shed)/float64(m.requests), "shed_%")
					b.ReportMetric(100*float64(m.refused)/float64(m.requests), "refused_%")
				})
			}
		}
	}
}
