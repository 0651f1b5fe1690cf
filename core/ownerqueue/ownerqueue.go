// Package ownerqueue orders the requests for one target, the owner of their keys, at the host that
// holds its queue. It does no I/O, and the calling code passes the current time.
//
// It answers the load pattern of hot keys: for seconds, the owner of one is asked for several times
// what it can do, by callers that each have an objective and a deadline, and that return when they
// are told to, or at once. No more requests are in progress at the target than it takes well; the
// others wait here. Those that can still be answered within their objective come before those that
// can't, and among these the more urgent ones. What can't be answered before its deadline is
// refused at once.
package ownerqueue

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// inTimeMargin is the multiple of the processing time that must be left until the objective
	// for a request to count as one that can be answered within it, servedMargin the same for
	// the deadline. Half of the requests take longer than the mean of their target.
	inTimeMargin = 1.2
	servedMargin = 1.0
	// lessUrgentTurn is the number of starts of which the last one is of a less urgent request,
	// if one waits: those must not starve.
	lessUrgentTurn = 10
	// rateHalfLife is the half-life of the memory of how many requests arrive, in times between two
	// starts at a busy target.
	rateHalfLife = 8.0
	// overloadShare is the share of what the target can do from which requests that can be
	// answered within their objective count as more than it can do, and spareShare the share that
	// is then assumed to be left for the others.
	overloadShare = 0.9
	spareShare    = 0.25
	// maxWaiting bounds the requests that wait.
	maxWaiting = 128
)

// Target is what is known of the target at a time.
type Target struct {
	// Limit is the number of requests up to which the queue sends to it, ProcessingTime how long it
	// takes for a request that does not wait.
	Limit          float64
	ProcessingTime time.Duration
	// Slots is the number of requests that it runs at the same time.
	Slots int
	// OtherHosts is the number of requests of other hosts that it has.
	OtherHosts float64
}

// Request is what the queue needs to know of a request.
type Request struct {
	// Rank is the priority of the request; zero is the highest.
	Rank int
	// Objective is the time until which its response has its full value, Deadline that until
	// which it has any.
	Objective, Deadline time.Time
	// Idempotent requests may be sent behind others that a target has not begun yet.
	Idempotent bool
	// Returned reports that the request was refused and has come back when it was told to. Its
	// objective is that of its first arrival.
	Returned bool
}

// state is the state of a ticket.
type state int

const (
	waiting state = iota
	running
	refused
	ended
)

// Ticket is the place of a request in a queue.
type Ticket struct {
	Request
	state      state
	retryAfter time.Duration
}

// Running reports whether the request may be sent.
func (t *Ticket) Running() bool { return t.state == running }

// Refused reports whether the request is refused, and the time after which its caller should
// return.
func (t *Ticket) Refused() (retryAfter time.Duration, ok bool) {
	return t.retryAfter, t.state == refused
}

// Queue holds the requests for one target. It is not safe for concurrent use.
type Queue struct {
	// Random returns a random number in [0, 1). It is set before use.
	Random func() float64

	target  Target
	running int
	waiting []*Ticket
	// urgentStarts counts the starts since the last one of a less urgent request, while one
	// waited.
	urgentStarts int
	// arrivals is the decaying number of the arrivals of requests that could be answered within
	// their objective, at arrivedAt.
	arrivals  float64
	arrivedAt time.Time
	// returnAt is the time until which refused callers have been told to return.
	returnAt time.Time
}

// New returns an empty queue.
func New() *Queue { return &Queue{Random: rand.Float64} }

// SetTarget sets what is known of the target. It is called before each other method that is passed
// a time.
func (q *Queue) SetTarget(target Target) { q.target = target }

// Submit adds a request and returns its ticket: it runs at once, waits, or is refused. Start
// returns the tickets of others that change through it.
func (q *Queue) Submit(r Request, now time.Time) *Ticket {
	t := &Ticket{Request: r}
	inTime := q.inTime(t, now)
	if inTime {
		q.countArrival(now)
	}
	if len(q.waiting) >= maxWaiting || !q.mayWait(t, q.ahead(t, now), now) {
		q.refuse(t, now)
		return t
	}
	q.waiting = append(q.waiting, t)
	return t
}

// Start starts waiting requests as far as there is room, and refuses those that can't be answered
// before their deadline any more. It returns the tickets that have changed.
func (q *Queue) Start(now time.Time) []*Ticket {
	changed := q.refuseHopeless(now)
	for {
		t := q.next(now)
		if t == nil {
			return changed
		}
		q.remove(t)
		t.state = running
		q.running++
		changed = append(changed, t)
	}
}

// End ends a request in whatever state it is.
func (q *Queue) End(t *Ticket) {
	switch t.state {
	case running:
		q.running--
	case waiting:
		q.remove(t)
	case refused, ended:
		return
	}
	t.state = ended
}

// Len returns the numbers of requests that wait and that are in progress at the target.
func (q *Queue) Len() (waiting, running int) { return len(q.waiting), q.running }

// next returns the request to start next, or nil if there is none or no room for it.
func (q *Queue) next(now time.Time) *Ticket {
	var best, lessUrgent *Ticket
	for _, t := range q.waiting {
		if best == nil || q.before(t, best, now) {
			best = t
		}
	}
	if best == nil {
		return nil
	}
	for _, t := range q.waiting {
		if t.Rank > best.Rank && (lessUrgent == nil || q.before(t, lessUrgent, now)) {
			lessUrgent = t
		}
	}
	turn := lessUrgent != nil && q.urgentStarts+1 >= lessUrgentTurn
	if turn {
		best = lessUrgent
	}
	if !q.hasRoom(best) {
		return nil
	}
	switch {
	case turn || lessUrgent == nil:
		q.urgentStarts = 0
	default:
		q.urgentStarts++
	}
	return best
}

// hasRoom reports whether the target takes one more request now. A target without any gets one, so
// that what is known of it does not stay as it is.
func (q *Queue) hasRoom(t *Ticket) bool {
	limit := q.target.Limit
	if !t.Idempotent {
		// A full target may reset the connection, and the outcome would be unknown.
		limit = min(limit, float64(q.target.Slots))
	}
	return q.running == 0 || float64(q.running+1)+q.target.OtherHosts <= limit+0.5
}

// before reports whether a is started before b.
func (q *Queue) before(a, b *Ticket, now time.Time) bool {
	if x, y := q.inTime(a, now), q.inTime(b, now); x != y {
		return x
	}
	if a.Rank != b.Rank {
		return a.Rank < b.Rank
	}
	if a.Returned != b.Returned {
		return a.Returned
	}
	if q.inTime(a, now) {
		return a.Objective.Before(b.Objective)
	}
	return a.Deadline.Before(b.Deadline)
}

// inTime reports whether a request can be answered within its objective if it starts now.
func (q *Queue) inTime(t *Ticket, now time.Time) bool {
	return !now.Add(q.work(inTimeMargin)).After(t.Objective)
}

// work returns a multiple of the target's processing time.
func (q *Queue) work(times float64) time.Duration {
	return time.Duration(times * float64(q.target.ProcessingTime))
}

func (q *Queue) remove(t *Ticket) {
	q.waiting = slices.DeleteFunc(q.waiting, func(other *Ticket) bool { return other == t })
}
