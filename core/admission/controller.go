package admission

import (
	"context"
	"errors"
	"sync"
	"time"

	"pineturn/core/clock"
	"pineturn/core/outcome"
)

// Controller is a Queue for concurrent use. Goroutines wait in Acquire for the slots
// of one target.
type Controller struct {
	clock clock.Clock

	mutex sync.Mutex
	queue *Queue
	// ready holds a channel per waiting ticket. It is closed when the ticket runs
	// or is refused.
	ready  map[*Ticket]chan struct{}
	timer  *time.Timer
	closed bool
}

// NewController returns a controller with an empty queue.
func NewController(source clock.Clock, options Options) *Controller {
	return &Controller{clock: source, queue: New(options), ready: make(map[*Ticket]chan struct{})}
}

// Slot is the permission to run one request. Release is called once.
type Slot struct {
	controller *Controller
	ticket     *Ticket
}

// Acquire waits for a slot for a request of key. It returns an error immediately if
// the request is refused, or when the deadline passes or ctx ends.
func (c *Controller) Acquire(ctx context.Context, key string, deadline time.Time) (*Slot, *outcome.Error) {
	ticket, ready := c.submit(key, deadline)
	if ready == nil {
		return c.slot(ticket)
	}
	timer := time.NewTimer(deadline.Sub(c.clock.Now()))
	defer timer.Stop()
	select {
	case <-ready:
		return c.slot(ticket)
	case <-ctx.Done():
		return c.abandon(ticket, errors.Is(ctx.Err(), context.Canceled))
	case <-timer.C:
		return c.abandon(ticket, false)
	}
}

// submit returns the ticket of a new request and a channel that is closed when the
// ticket runs or is refused. The channel is nil if that is already the case.
func (c *Controller) submit(key string, deadline time.Time) (*Ticket, chan struct{}) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := c.clock.Now()
	if c.closed {
		refusal := outcome.Refuse(outcome.NotLeaseholder, "this host no longer sends to the target", 0)
		return &Ticket{state: refused, refusal: refusal}, nil
	}
	ticket, displaced := c.queue.Submit(now, key, deadline)
	c.notify(displaced)
	if ticket.state != waiting {
		return ticket, nil
	}
	ready := make(chan struct{})
	c.ready[ticket] = ready
	c.schedule(now)
	return ticket, ready
}

func (c *Controller) slot(ticket *Ticket) (*Slot, *outcome.Error) {
	if ticket.refusal != nil {
		return nil, ticket.refusal
	}
	return &Slot{controller: c, ticket: ticket}, nil
}

// abandon removes a ticket from the queue. If the ticket got a slot in the meantime,
// abandon frees the slot.
func (c *Controller) abandon(ticket *Ticket, cancelled bool) (*Slot, *outcome.Error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := c.clock.Now()
	c.queue.Cancel(ticket)
	delete(c.ready, ticket)
	c.queue.Finish(now, ticket, Result{})
	c.schedule(now)
	switch {
	case ticket.refusal != nil:
		return nil, ticket.refusal
	case cancelled:
		return nil, outcome.Refuse(outcome.Cancelled, "cancelled in the queue", 0)
	}
	return nil, outcome.Refuse(outcome.DeadlineExceeded, "the deadline passed in the queue", c.queue.RetryAfter(now))
}

// Release frees the slot and reports the result of its request.
func (s *Slot) Release(result Result) {
	s.controller.mutex.Lock()
	defer s.controller.mutex.Unlock()
	now := s.controller.clock.Now()
	s.controller.queue.Finish(now, s.ticket, result)
	s.controller.schedule(now)
}

// SetSlots sets the number of the target's slots.
func (c *Controller) SetSlots(slots int) {
	c.update(func(now time.Time) { c.queue.SetSlots(now, slots) })
}

// SetQueueLength sets the maximum number of waiting requests.
func (c *Controller) SetQueueLength(length int) {
	c.update(func(time.Time) { c.queue.SetQueueLength(length) })
}

// WarmUp limits a cold target to few requests at first.
func (c *Controller) WarmUp() { c.update(c.queue.WarmUp) }

// Load returns the current load of the queue.
func (c *Controller) Load() Load {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.queue.Load(c.clock.Now())
}

// Open accepts requests again after Close. Requests that were running at the time of
// Close and still run keep their slots.
func (c *Controller) Open() {
	c.update(func(time.Time) { c.closed = false })
}

// Close refuses all waiting requests and all new ones until Open is called.
func (c *Controller) Close() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.closed = true
	for ticket := range c.ready {
		c.queue.Cancel(ticket)
		c.queue.refuse(ticket, outcome.NotLeaseholder, "this host no longer sends to the target", 0)
		c.notify([]*Ticket{ticket})
	}
	if c.timer != nil {
		c.timer.Stop()
	}
}

func (c *Controller) update(apply func(now time.Time)) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := c.clock.Now()
	apply(now)
	c.schedule(now)
}

// schedule starts waiting requests while slots are free, and sets the timer for the
// next request that can start later.
func (c *Controller) schedule(now time.Time) {
	c.notify(c.queue.StartWaiting(now))
	at, ok := c.queue.NextStart(now)
	if !ok || c.closed {
		return
	}
	wait := max(at.Sub(now), 0)
	if c.timer == nil {
		c.timer = time.AfterFunc(wait, c.onTimer)
		return
	}
	c.timer.Reset(wait)
}

func (c *Controller) onTimer() { c.update(func(time.Time) {}) }

func (c *Controller) notify(tickets []*Ticket) {
	for _, ticket := range tickets {
		if ready, ok := c.ready[ticket]; ok {
			delete(c.ready, ticket)
			close(ready)
		}
	}
}
