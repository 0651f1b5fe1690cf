package placement

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"
)

// load is the load of one service without keys in the model.
type load struct {
	name           string
	hosts, targets int
	perSecond      float64
	work           time.Duration
	spread, tail   float64
	speeds         []float64
	objective      time.Duration
	nonIdempotent  bool
	// burst is the factor of the load between 5 s and 8 s.
	burst float64
	// fullFactor is how much longer work takes at a target whose slots are all in use.
	fullFactor float64
	// slowShare is the share of the targets that are five times as slow from 4 s to 9 s.
	slowShare float64
	// skew is the share of the requests that go to hosts of the first domain beyond its part.
	skew float64
	// overload marks a burst that is beyond what the targets can run.
	overload bool
}

// result is how the requests of a model fared.
type result struct {
	requests, inTime, refused, sends, shed, cross int
	took                                          []time.Duration
}

func (r *result) inTimeShare() float64 { return float64(r.inTime) / float64(r.requests) }

func (r *result) p99() time.Duration {
	slices.Sort(r.took)
	return r.took[len(r.took)*99/100]
}

const (
	modelSlots   = 3
	modelQueue   = 12
	modelDomains = 3
	noisePeriod  = 400 * time.Millisecond
	noiseShare   = 0.2
	noiseFactor  = 3.0
	modelLength  = 12 * time.Second
	maxSends     = 3
	modelSeeds   = 3
	// inTimeTolerance is the difference between two shares that chance may make.
	inTimeTolerance = 0.005
)

// cluster plays hosts and targets by virtual time.
type cluster struct {
	load
	// rand draws the load, choices what hosts decide by chance.
	rand         *rand.Rand
	choices      *rand.Rand
	now          time.Time
	events       events
	sets         []*Set
	waiting      [][]*call
	modelTargets []*modelTarget
	result       result
}

// modelTarget is a target of the model.
type modelTarget struct {
	id      string
	domain  int
	speed   float64
	running int
	queue   []func()
	noise   uint64
	slow    bool
}

// call is a request of a caller.
type call struct {
	host           int
	start, waitEnd time.Time
	retries, sends int
	excluded       []string
	queued         bool
	// work is how long the request takes at a target of speed 1, in seconds.
	work float64
}

type event struct {
	at time.Time
	do func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func (c *cluster) after(d time.Duration, do func()) { heap.Push(&c.events, event{c.now.Add(d), do}) }

// play plays a load with a seed. change is called for the set of each host first.
func play(l load, seed uint64, change func(*Set)) *result {
	c := &cluster{load: l, rand: rand.New(rand.NewPCG(seed, 3)), choices: rand.New(rand.NewPCG(seed, 4)), now: start, waiting: make([][]*call, l.hosts)}
	for i := range l.targets {
		c.modelTargets = append(c.modelTargets, &modelTarget{id: strconv.Itoa(i), domain: i % modelDomains, speed: l.speeds[i/modelDomains%len(l.speeds)], noise: c.rand.Uint64(), slow: c.rand.Float64() < l.slowShare})
	}
	for i := range l.hosts {
		s := NewSet(strconv.Itoa(i % modelDomains))
		s.Rand = c.choices.Float64
		change(s)
		for _, b := range c.modelTargets {
			s.Put(Entry{ID: b.id, Service: service, Domain: strconv.Itoa(b.domain), Slots: modelSlots, Sequence: 1}, start)
		}
		c.sets = append(c.sets, s)
	}
	c.arrive()
	for c.events.Len() > 0 {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.do()
	}
	return &c.result
}

// arrive brings a request to a host, and the next one.
func (c *cluster) arrive() {
	if c.now.Sub(start) > modelLength {
		return
	}
	c.result.requests++
	c.serve(&call{host: c.drawHost(), start: c.now, work: c.drawWork()})
	rate := c.perSecond
	if since := c.now.Sub(start); since > 5*time.Second && since < 8*time.Second {
		rate *= max(c.burst, 1)
	}
	c.after(time.Duration(c.rand.ExpFloat64()/rate*float64(time.Second)), c.arrive)
}

func (c *cluster) serve(q *call) {
	q.waitEnd = c.now.Add(c.objective * 2 / 5)
	if !c.try(q) {
		c.waiting[q.host] = append(c.waiting[q.host], q)
		c.poll(q.host)
	}
}

// poll lets the requests that wait at a host try again.
func (c *cluster) poll(host int) {
	c.waiting[host] = slices.DeleteFunc(c.waiting[host], c.try)
	if len(c.waiting[host]) > 0 {
		c.after(25*time.Millisecond, func() { c.poll(host) })
	}
}

// try sends a request and reports whether it need not wait.
func (c *cluster) try(q *call) bool {
	s := c.sets[q.host]
	choice, status := s.Choose(Criteria{Service: service, Exclude: q.excluded, NonIdempotent: c.nonIdempotent, Objective: c.objective}, c.now)
	if status == NoCapacity && !q.queued {
		if q.queued = s.EnterQueue(service, ""); !q.queued {
			q.waitEnd = c.now
		}
	}
	if status != Chosen && c.now.Before(q.waitEnd) {
		return false
	}
	if q.queued {
		s.LeaveQueue(service, "")
		q.queued = false
	}
	if status != Chosen {
		c.refuse(q)
		return true
	}
	q.sends++
	c.result.sends++
	c.send(q, choice)
	return true
}

// refuse refuses a request. Its caller comes back twice.
func (c *cluster) refuse(q *call) {
	q.excluded, q.sends = nil, 0
	if q.retries++; q.retries > 2 {
		c.result.refused++
		return
	}
	c.after(time.Duration(float64(c.objective)/2*(0.75+c.choices.Float64()/2)), func() { c.serve(q) })
}

func (c *cluster) send(q *call, choice *Choice) {
	i, _ := strconv.Atoi(choice.Entry.ID)
	b := c.modelTargets[i]
	delay := 200 * time.Microsecond
	if b.domain != q.host%modelDomains {
		c.result.cross++
		delay = 1400 * time.Microsecond
	}
	c.after(delay, func() {
		if len(b.queue) >= modelQueue {
			c.result.shed++
			report := c.report(b)
			c.after(delay, func() {
				choice.End(Shed, &report, c.now)
				c.poll(q.host)
				q.excluded = append(q.excluded, b.id)
				if q.sends >= maxSends {
					c.refuse(q)
					return
				}
				c.serve(q)
			})
			return
		}
		b.queue = append(b.queue, func() {
			c.after(c.workAt(b, q.work), func() {
				report := c.report(b)
				b.running--
				c.startNext(b)
				c.after(delay, func() { c.respond(q, choice, report) })
			})
		})
		c.startNext(b)
	})
}

func (c *cluster) startNext(b *modelTarget) {
	for b.running < modelSlots && len(b.queue) > 0 {
		next := b.queue[0]
		b.queue = b.queue[1:]
		b.running++
		next()
	}
}

func (c *cluster) respond(q *call, choice *Choice, report Report) {
	choice.End(Complete, &report, c.now)
	took := c.now.Sub(q.start)
	c.result.took = append(c.result.took, took)
	if took <= c.objective {
		c.result.inTime++
	}
	c.poll(q.host)
}

func (c *cluster) report(b *modelTarget) Report {
	return Report{Running: b.running, Waiting: len(b.queue), Slowdown: b.slowdown(c.now)}
}

// slowdown returns how much longer work takes on the machine of a target at a time.
func (b *modelTarget) slowdown(now time.Time) float64 {
	period := uint64(now.Sub(start) / noisePeriod)
	if rand.New(rand.NewPCG(b.noise, period)).Float64() < noiseShare {
		return noiseFactor
	}
	return 1
}

// drawHost draws the host that a request comes to.
func (c *cluster) drawHost() int {
	host := c.rand.IntN(c.hosts)
	if c.rand.Float64() < c.skew {
		host -= host % modelDomains
	}
	return host
}

// drawWork draws how long a request takes at a target of speed 1, in seconds.
func (c *cluster) drawWork() float64 {
	work := c.work.Seconds() * math.Exp(c.spread*c.rand.NormFloat64()-c.spread*c.spread/2)
	if c.rand.Float64() < c.tail {
		work *= 5
	}
	return work
}

// workAt returns how long a request takes that begins now.
func (c *cluster) workAt(b *modelTarget, work float64) time.Duration {
	left := work / b.speed
	if since := c.now.Sub(start); b.slow && since > 4*time.Second && since < 9*time.Second {
		left *= 5
	}
	if b.running == modelSlots {
		left *= max(c.fullFactor, 1)
	}
	at := c.now
	for {
		slowdown := b.slowdown(at)
		piece := at.Truncate(noisePeriod).Add(noisePeriod).Sub(at)
		if need := time.Duration(left * slowdown * float64(time.Second)); need <= piece {
			return at.Add(need).Sub(c.now)
		}
		left -= piece.Seconds() / slowdown
		at = at.Add(piece)
	}
}

var loads = []load{
	{name: "91 hosts", hosts: 91, targets: 93, perSecond: 316, work: 400 * time.Millisecond, spread: 0.8, tail: 0.01, speeds: []float64{0.7, 0.7, 1.6}, objective: 2500 * time.Millisecond, burst: 1.7},
	{name: "non-idempotent", hosts: 83, targets: 50, perSecond: 272, work: 250 * time.Millisecond, spread: 0.8, tail: 0.03, speeds: []float64{0.6, 1, 1.6}, objective: time.Second, nonIdempotent: true, burst: 1.4},
	{name: "long requests", hosts: 83, targets: 75, perSecond: 210, work: 470 * time.Millisecond, spread: 0.8, tail: 0.03, speeds: []float64{0.7, 0.7, 1.6}, objective: 1500 * time.Millisecond, burst: 1.4},
	{name: "few targets", hosts: 83, targets: 10, perSecond: 173, work: 75 * time.Millisecond, spread: 0.8, tail: 0.03, speeds: []float64{0.6, 1, 1.4}, objective: 400 * time.Millisecond, burst: 1.4},
	{name: "some targets become slow", hosts: 91, targets: 93, perSecond: 316, work: 400 * time.Millisecond, spread: 0.8, tail: 0.01, speeds: []float64{0.7, 0.7, 1.6}, objective: 2500 * time.Millisecond, burst: 1.7, slowShare: 0.12},
	{name: "non-idempotent, some targets become slow", hosts: 83, targets: 50, perSecond: 272, work: 250 * time.Millisecond, spread: 0.8, tail: 0.03, speeds: []float64{0.6, 1, 1.6}, objective: time.Second, nonIdempotent: true, burst: 1.4, slowShare: 0.12},
	{name: "overload", hosts: 91, targets: 93, perSecond: 316, work: 400 * time.Millisecond, spread: 0.8, tail: 0.01, speeds: []float64{0.7, 0.7, 1.6}, objective: 2500 * time.Millisecond, burst: 2.8, overload: true},
	{name: "non-idempotent, overload", hosts: 83, targets: 50, perSecond: 272, work: 250 * time.Millisecond, spread: 0.8, tail: 0.03, speeds: []float64{0.6, 1, 1.6}, objective: time.Second, nonIdempotent: true, burst: 2.4, overload: true},
	{name: "most requests in one domain", hosts: 91, targets: 93, perSecond: 316, work: 400 * time.Millisecond, spread: 0.8, tail: 0.01, speeds: []float64{0.7, 0.7, 1.6}, objective: 2500 * time.Millisecond, burst: 1.7, skew: 0.5},
	{name: "36 hosts", hosts: 36, targets: 40, perSecond: 190, work: 250 * time.Millisecond, spread: 0.5, speeds: []float64{0.5, 1, 1.6}, objective: time.Second, burst: 1.4},
	{name: "9 hosts", hosts: 9, targets: 12, perSecond: 58, work: 250 * time.Millisecond, spread: 0.5, speeds: []float64{0.5, 1, 1.6}, objective: time.Second, burst: 1.4},
	{name: "slow when full", hosts: 36, targets: 40, perSecond: 120, work: 250 * time.Millisecond, spread: 0.5, speeds: []float64{1}, objective: time.Second, burst: 1.4, fullFactor: 2},
}

// playAll plays a load with some seeds, with or without what was learned.
func playAll(l load, seeds int, learns bool) *result {
	all := &result{}
	for seed := range seeds {
		r := play(l, uint64(seed), func(s *Set) { s.Learns = func() bool { return learns } })
		all.requests += r.requests
		all.inTime += r.inTime
		all.refused += r.refused
		all.sends += r.sends
		all.shed += r.shed
		all.cross += r.cross
		all.took = append(all.took, r.took...)
	}
	return all
}

// TestServiceWithoutKeys guards against targets that are filled though others have room, and
// against callers who are served worse by what was learned.
func TestServiceWithoutKeys(t *testing.T) {
	for _, l := range loads {
		t.Run(l.name, func(t *testing.T) {
			without, with := playAll(l, modelSeeds, false), playAll(l, modelSeeds, true)
			for i, r := range []*result{without, with} {
				t.Logf("learned %t: in time %.3f, shed %d of %d, refused %d of %d, p99 %.2f s, p50 %.3f s, cross %.2f", i == 1, r.inTimeShare(), r.shed, r.sends, r.refused, r.requests, r.p99().Seconds(), r.took[len(r.took)/2].Seconds(), float64(r.cross)/float64(r.sends))
			}
			if got, want := with.inTimeShare(), without.inTimeShare()-inTimeTolerance; got < want {
				t.Errorf("share in time: got %.3f, want at least %.3f", got, want)
			}
			if got, want := float64(with.refused)/float64(with.requests), float64(without.refused)/float64(without.requests)+inTimeTolerance; got > want {
				t.Errorf("share of refused requests: got %.3f, want at most %.3f", got, want)
			}
			if got, want := float64(with.cross)/float64(with.sends), max(float64(without.cross)/float64(without.sends), 1.0/modelDomains); got > want {
				t.Errorf("share of sends to other failure domains: got %.2f, want at most %.2f", got, want)
			}
			if share := float64(with.shed) / float64(with.sends); share > 0.05 && !l.overload {
				t.Errorf("sends that targets refused: got %.3f, want at most 0.05", share)
			}
		})
	}
}
