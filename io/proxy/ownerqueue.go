package proxy

import (
	"sync"
	"time"

	"pineturn/core/ownerqueue"
)

// ownerQueues holds the queues of the owners to which this host sends.
type ownerQueues struct {
	refusedCallers
	// load returns what is known of a target. It is set before use.
	load func(target string, now time.Time) (ownerqueue.Target, bool)

	mu     sync.Mutex
	queues map[string]*ownerqueue.Queue
	ready  ticketSignals
}

func newOwnerQueues() ownerQueues {
	return ownerQueues{queues: make(map[string]*ownerqueue.Queue), ready: make(ticketSignals)}
}

// submit adds a request to the queue of a target. It returns false if the target is not known.
func (o *ownerQueues) submit(target string, r ownerqueue.Request, now time.Time) (*ownerqueue.Ticket, <-chan struct{}, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	known, ok := o.load(target, now)
	if !ok {
		return nil, nil, false
	}
	q := o.queues[target]
	if q == nil {
		q = ownerqueue.New()
		o.queues[target] = q
	}
	q.SetTarget(known)
	t := q.Submit(r, now)
	ready := o.ready.add(t)
	o.start(target, q, now)
	return t, ready, true
}

// poll starts the requests of a queue for which there is room now.
func (o *ownerQueues) poll(target string, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if q := o.queues[target]; q != nil {
		o.start(target, q, now)
	}
}

// start starts requests of a queue and removes an empty one. The caller holds mu.
func (o *ownerQueues) start(target string, q *ownerqueue.Queue, now time.Time) {
	if known, ok := o.load(target, now); ok {
		q.SetTarget(known)
	}
	for _, t := range q.Start(now) {
		o.ready.notify(t)
	}
	if waiting, running := q.Len(); waiting+running == 0 {
		delete(o.queues, target)
	}
}

// state returns what has become of a ticket.
func (o *ownerQueues) state(t *ownerqueue.Ticket) (running bool, retryAfter time.Duration, refused bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	retryAfter, refused = t.Refused()
	return t.Running(), retryAfter, refused
}

// end ends a request and starts others in its place.
func (o *ownerQueues) end(target string, t *ownerqueue.Ticket, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ready.remove(t)
	if q := o.queues[target]; q != nil {
		q.End(t)
		o.start(target, q, now)
	}
}

// lengths returns the numbers of requests that wait in this host's queues of owners, and that are in
// progress at these.
func (o *ownerQueues) lengths() (waiting, running int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, q := range o.queues {
		w, r := q.Len()
		waiting, running = waiting+w, running+r
	}
	return waiting, running
}
