// Package admission controls which requests are sent to a target, and when. A
// target has a fixed number of slots, and each running request uses one. Other
// requests wait in a queue that is bounded by length and by their deadlines; the
// keys with waiting requests are served round-robin. Queue implements the decisions
// without locks or timers, Controller makes them available to goroutines.
package admission

import (
	"time"

	"pineturn/core/outcome"
)

// Queue holds the running and the waiting requests of one target. It is not safe
// for concurrent use. The calling code passes the current time to each method.
type Queue struct {
	options Options
	limit   limiter
	// serviceTime is the moving average of the observed service times.
	serviceTime time.Duration

	running int
	waiting int
	// lastProgress is the last time at which a request ended, or started while no
	// other request was running.
	lastProgress time.Time
	// turns lists the keys with waiting requests in the order in which they are
	// served.
	turns     []*keyQueue
	keyQueues map[string]*keyQueue
}

// keyQueue holds the waiting requests of one key, oldest first.
type keyQueue struct {
	key     string
	tickets []*Ticket
}

// Ticket is the place of one request in a Queue. It is in one of the states waiting,
// running, refused and finished.
type Ticket struct {
	key      string
	deadline time.Time
	arrived  time.Time
	started  time.Time
	state    state
	refusal  *outcome.Error
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

// Refusal returns the reason for which the request was refused, or nil.
func (t *Ticket) Refusal() *outcome.Error { return t.refusal }

// New returns an empty queue.
func New(options Options) *Queue {
	options = options.withDefaults()
	return &Queue{
		options:     options,
		limit:       newLimiter(options),
		serviceTime: options.ServiceTime,
		keyQueues:   make(map[string]*keyQueue),
	}
}

// Submit adds a request. Its ticket runs at once, waits, or is refused. displaced
// lists the waiting tickets that were refused to make room for it.
func (q *Queue) Submit(now time.Time, key string, deadline time.Time) (ticket *Ticket, displaced []*Ticket) {
	ticket = &Ticket{key: key, deadline: deadline, arrived: now}
	if !now.Before(deadline) {
		q.refuse(ticket, outcome.DeadlineExceeded, "the deadline has passed", 0)
		return ticket, nil
	}
	if q.waiting == 0 && q.limit.canStart(now, q.running) {
		q.start(now, ticket)
		return ticket, nil
	}
	wait := q.estimateWait(now, key)
	if now.Add(wait + q.serviceTime).After(deadline) {
		q.refuse(ticket, outcome.Overloaded, "the queue is longer than the deadline", q.RetryAfter(now))
		return ticket, nil
	}
	if wait > q.options.MaxWait {
		q.refuse(ticket, outcome.Overloaded, "the queue is long", q.RetryAfter(now))
		return ticket, nil
	}
	if q.waiting >= q.options.QueueLength {
		displacedTicket := q.displace(now, key)
		if displacedTicket == nil {
			q.refuse(ticket, outcome.Overloaded, "the queue is full", q.RetryAfter(now))
			return ticket, nil
		}
		q.refuse(displacedTicket, outcome.Overloaded, "the queue is full", q.RetryAfter(now))
		displaced = append(displaced, displacedTicket)
	}
	q.push(ticket)
	return ticket, displaced
}

// Finish frees the slot of a running ticket and adjusts the concurrency limit and
// the observed service time to its result.
func (q *Queue) Finish(now time.Time, ticket *Ticket, result Result) {
	if ticket.state != running {
		return
	}
	ticket.state = finished
	q.running--
	q.lastProgress = now
	switch {
	case result.Shed:
		q.limit.onShed(now, q.running, result.RetryAfter)
	case result.Served:
		q.limit.onServed(now)
		took := now.Sub(ticket.started)
		q.serviceTime += time.Duration(smoothing * float64(took-q.serviceTime))
	}
}

// Result is the result of a request that held a slot.
type Result struct {
	// Served means that the target responded. The request's service time is
	// observed.
	Served bool
	// Shed means that the target had no slot for the request.
	Shed bool
	// RetryAfter is the time after which the target asked for a retry.
	RetryAfter time.Duration
}

// Cancel removes a waiting ticket from the queue.
func (q *Queue) Cancel(ticket *Ticket) {
	if ticket.state != waiting {
		return
	}
	ticket.state = finished
	q.remove(ticket)
}

// StartWaiting starts waiting requests while slots are free, round-robin by key. It
// returns the tickets that now run and those that were refused because their
// remaining time is shorter than the service time.
func (q *Queue) StartWaiting(now time.Time) []*Ticket {
	var changed []*Ticket
	for q.waiting > 0 && q.limit.canStart(now, q.running) {
		ticket := q.pop()
		changed = append(changed, ticket)
		if now.Add(q.serviceTime).After(ticket.deadline) {
			q.refuse(ticket, outcome.DeadlineExceeded, "too little time was left after the queue", q.RetryAfter(now))
			continue
		}
		q.start(now, ticket)
	}
	return changed
}

// NextStart returns the earliest time at which StartWaiting can start a request
// without a slot being freed. It returns false if no request waits or if a slot must
// be freed first.
func (q *Queue) NextStart(now time.Time) (time.Time, bool) {
	if q.waiting == 0 {
		return time.Time{}, false
	}
	return q.limit.nextStart(now, q.running)
}

// SetSlots sets the number of the target's slots. Running requests keep theirs.
func (q *Queue) SetSlots(now time.Time, slots int) { q.limit.setSlots(now, slots) }

// SetQueueLength sets the maximum number of waiting requests.
func (q *Queue) SetQueueLength(length int) { q.options.QueueLength = length }

// WarmUp limits a cold target to one request at a time. The limit grows by one per
// Options.Recovery.
func (q *Queue) WarmUp(now time.Time) { q.limit.warmUp(now) }

// Load describes the state of a queue at one time.
type Load struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// Keys is the number of keys with waiting requests.
	Keys  int `json:"keys"`
	Slots int `json:"slots"`
	// Limit is the concurrency limit, at most Slots.
	Limit int `json:"limit"`
	// ServiceTime is the moving average of the observed service times. It is
	// written in nanoseconds.
	ServiceTime time.Duration `json:"service"`
	// Paused means that no request is started because the target shed requests.
	Paused bool `json:"paused"`
}

// Load returns the current load.
func (q *Queue) Load(now time.Time) Load {
	return Load{
		Running:     q.running,
		Waiting:     q.waiting,
		Keys:        len(q.keyQueues),
		Slots:       q.limit.slots,
		Limit:       q.limit.limit(now),
		ServiceTime: q.serviceTime,
		Paused:      q.limit.paused(now),
	}
}

// RetryAfter returns the time after which a refused caller should retry: the time
// in which the running and the waiting requests will have been served, with random
// jitter.
func (q *Queue) RetryAfter(now time.Time) time.Duration {
	ahead := q.running + q.waiting
	after := q.timeToServe(now, ahead) + q.limit.pauseLeft(now) + q.stallTime(now)
	jitter := 1 + retryJitter*(2*q.options.Random()-1)
	after = time.Duration(float64(after) * jitter)
	return min(max(after, q.options.MinRetryAfter), q.options.MaxRetryAfter)
}

// estimateWait estimates the queue wait of a new request of key. Each key is served
// once per round, and the request is behind the waiting requests of its own key. The
// estimate assumes that the other keys always have waiting requests, as under
// overload.
func (q *Queue) estimateWait(now time.Time, key string) time.Duration {
	own, others := 0, len(q.keyQueues)
	if existing, ok := q.keyQueues[key]; ok {
		own = len(existing.tickets)
		others--
	}
	ahead := own + others*(own+1)
	free := max(q.limit.limit(now)-q.running, 0)
	return q.timeToServe(now, max(ahead+1-free, 0)) + q.limit.pauseLeft(now) + q.stallTime(now)
}

// stallTime returns the time since the target last ended a request if as many
// requests run as the concurrency limit allows and that time is at least stallFactor
// times the service time, otherwise 0. The stall is expected to last as long again.
func (q *Queue) stallTime(now time.Time) time.Duration {
	since := now.Sub(q.lastProgress)
	if q.running < q.limit.limit(now) || since < stallFactor*q.serviceTime {
		return 0
	}
	return since
}

// timeToServe returns the estimated time in which the target serves count requests.
func (q *Queue) timeToServe(now time.Time, count int) time.Duration {
	each := max(q.serviceTime, q.limit.shedPause())
	return each * time.Duration(count) / time.Duration(q.limit.limit(now))
}

func (q *Queue) start(now time.Time, ticket *Ticket) {
	ticket.state, ticket.started = running, now
	if q.running == 0 {
		q.lastProgress = now
	}
	q.running++
}

func (q *Queue) refuse(ticket *Ticket, reason outcome.Reason, detail string, after time.Duration) {
	ticket.state = refused
	ticket.refusal = outcome.Refuse(reason, detail, after)
}
