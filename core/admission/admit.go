// Package admit decides which requests a target is sent and when. A target
// has a fixed number of slots, and each running request holds one; others
// wait in a queue that is bounded by count and by deadline, and that serves
// its keys in turn. Queue is the decision alone, Gate the same for
// goroutines that wait.
package admission

import (
	"time"

	"pineturn/core/outcome"
)

// Queue is the requests that run on one target and those that wait for it. It
// is not safe for concurrent use; the caller passes the time in.
type Queue struct {
	options Options
	limit   limiter
	service time.Duration

	running int
	waiting int
	// progress is when a request ended last, or started with no other running.
	progress time.Time
	// turn is the lanes with waiting requests, the next one to serve first.
	turn  []*lane
	lanes map[string]*lane
}

// lane holds the waiting requests of one key, the oldest first.
type lane struct {
	key     string
	tickets []*Ticket
}

// Ticket is one request's place. It is in one of the states waiting, running,
// refused and finished.
type Ticket struct {
	key      string
	deadline time.Time
	arrived  time.Time
	started  time.Time
	state    state
	failure  *outcome.Error
}

type state uint8

const (
	waiting state = iota
	running
	refused
	finished
)

// Running reports whether the request holds a slot.
func (t *Ticket) Running() bool { return t.state == running }

// Refusal returns why the request was refused, or nil.
func (t *Ticket) Refusal() *outcome.Error { return t.failure }

// New returns an empty queue.
func New(options Options) *Queue {
	options = options.withDefaults()
	return &Queue{
		options: options,
		limit:   newLimiter(options),
		service: options.Service,
		lanes:   make(map[string]*lane),
	}
}

// Arrive takes a request in. Its ticket runs at once, waits, or is refused.
// The second result lists other tickets that are refused in its favour.
func (q *Queue) Arrive(now time.Time, key string, deadline time.Time) (ticket *Ticket, displaced []*Ticket) {
	ticket = &Ticket{key: key, deadline: deadline, arrived: now}
	if !now.Before(deadline) {
		q.refuse(ticket, outcome.DeadlineExceeded, "the deadline has passed", 0)
		return ticket, nil
	}
	if q.waiting == 0 && q.limit.open(now, q.running) {
		q.start(now, ticket)
		return ticket, nil
	}
	wait := q.estimate(now, key)
	if now.Add(wait + q.service).After(deadline) {
		q.refuse(ticket, outcome.Overloaded, "the queue is longer than the deadline", q.RetryAfter(now))
		return ticket, nil
	}
	if wait > q.options.MaxWait {
		q.refuse(ticket, outcome.Overloaded, "the queue is long", q.RetryAfter(now))
		return ticket, nil
	}
	if q.waiting >= q.options.Queue {
		victim := q.displace(now, key)
		if victim == nil {
			q.refuse(ticket, outcome.Overloaded, "the queue is full", q.RetryAfter(now))
			return ticket, nil
		}
		q.refuse(victim, outcome.Overloaded, "the queue is full", q.RetryAfter(now))
		displaced = append(displaced, victim)
	}
	q.push(ticket)
	return ticket, displaced
}

// Finish frees the slot of a running ticket and learns from its result.
func (q *Queue) Finish(now time.Time, ticket *Ticket, result Result) {
	if ticket.state != running {
		return
	}
	ticket.state = finished
	q.running--
	q.progress = now
	switch {
	case result.Shed:
		q.limit.shed(now, q.running, result.RetryAfter)
	case result.Served:
		q.limit.served(now)
		took := now.Sub(ticket.started)
		q.service += time.Duration(smoothing * float64(took-q.service))
	}
}

// Result is what became of a request that held a slot.
type Result struct {
	// Served reports that the target answered; its time is then observed.
	Served bool
	// Shed reports that the target had no slot for the request.
	Shed bool
	// RetryAfter is when the target said to come back.
	RetryAfter time.Duration
}

// Withdraw takes a waiting ticket out of the queue.
func (q *Queue) Withdraw(ticket *Ticket) {
	if ticket.state != waiting {
		return
	}
	ticket.state = finished
	q.remove(ticket)
}

// Advance starts waiting requests while there are slots, in turn by key, and
// returns the tickets that now run or that are refused because they would
// hardly end before their deadline.
func (q *Queue) Advance(now time.Time) []*Ticket {
	var changed []*Ticket
	for q.waiting > 0 && q.limit.open(now, q.running) {
		ticket := q.pop()
		changed = append(changed, ticket)
		if now.Add(q.service).After(ticket.deadline) {
			q.refuse(ticket, outcome.DeadlineExceeded, "too little time was left after the queue", q.RetryAfter(now))
			continue
		}
		q.start(now, ticket)
	}
	return changed
}

// Next returns when Advance may start a request although no slot is freed
// before, and false when nothing but a freed slot can.
func (q *Queue) Next(now time.Time) (time.Time, bool) {
	if q.waiting == 0 {
		return time.Time{}, false
	}
	return q.limit.next(now, q.running)
}

// SetSlots changes the target's slots; running requests keep theirs.
func (q *Queue) SetSlots(now time.Time, slots int) { q.limit.setSlots(now, slots) }

// SetQueue changes how many requests may wait.
func (q *Queue) SetQueue(length int) {
	q.options.Queue = length
	setDefault(&q.options.Queue, DefaultQueue)
}

// Warm sends a cold target one request at a time at first, and one more each
// time the options' recovery time has passed.
func (q *Queue) Warm(now time.Time) { q.limit.warm(now) }

// Load is a reading of a queue.
type Load struct {
	Running int           `json:"running"`
	Waiting int           `json:"waiting"`
	Keys    int           `json:"keys"`
	Slots   int           `json:"slots"`
	Limit   int           `json:"limit"`
	Service time.Duration `json:"service"`
	Paused  bool          `json:"paused"`
}

// Load returns the present reading.
func (q *Queue) Load(now time.Time) Load {
	return Load{
		Running: q.running,
		Waiting: q.waiting,
		Keys:    len(q.lanes),
		Slots:   q.limit.slots,
		Limit:   q.limit.allowed(now),
		Service: q.service,
		Paused:  q.limit.paused(now),
	}
}

// RetryAfter is when a refused caller should come back: when the requests
// that run and wait now will have been served, moved a little at random.
func (q *Queue) RetryAfter(now time.Time) time.Duration {
	ahead := q.running + q.waiting
	after := q.drainTime(now, ahead) + q.limit.pauseLeft(now) + q.stall(now)
	spread := 1 + retrySpread*(2*q.options.Random()-1)
	after = time.Duration(float64(after) * spread)
	return min(max(after, q.options.MinRetry), q.options.MaxRetry)
}

// estimate returns how long a new request of key would wait: its key's turn
// comes once a round, behind the key's own waiting requests. Other keys are
// taken to go on having requests, as they do under overload.
func (q *Queue) estimate(now time.Time, key string) time.Duration {
	own, lanes := 0, len(q.lanes)
	if lane, ok := q.lanes[key]; ok {
		own = len(lane.tickets)
		lanes--
	}
	ahead := own + lanes*(own+1)
	free := max(q.limit.allowed(now)-q.running, 0)
	return q.drainTime(now, max(ahead+1-free, 0)) + q.limit.pauseLeft(now) + q.stall(now)
}

// stall is how long a target has ended no request, when that is much longer
// than usual; it is likely to last as long again.
func (q *Queue) stall(now time.Time) time.Duration {
	since := now.Sub(q.progress)
	if q.running < q.limit.allowed(now) || since < stallFactor*q.service {
		return 0
	}
	return since
}

// drainTime is how long the target takes to serve count requests.
func (q *Queue) drainTime(now time.Time, count int) time.Duration {
	each := max(q.service, q.limit.pace())
	return each * time.Duration(count) / time.Duration(q.limit.allowed(now))
}

func (q *Queue) start(now time.Time, ticket *Ticket) {
	ticket.state, ticket.started = running, now
	if q.running == 0 {
		q.progress = now
	}
	q.running++
}

func (q *Queue) refuse(ticket *Ticket, reason outcome.Reason, detail string, after time.Duration) {
	ticket.state = refused
	ticket.failure = outcome.Refuse(reason, detail, after)
}
