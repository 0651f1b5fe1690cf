package admission

import (
	"context"
	"errors"
	"sync"
	"time"

	"pineturn/core/clock"
	"pineturn/core/outcome"
)

// Gate lets goroutines wait for the slots of one target.
type Gate struct {
	clock clock.Clock

	mutex  sync.Mutex
	queue  *Queue
	ready  map[*Ticket]chan struct{}
	timer  *time.Timer
	closed bool
}

// NewGate returns a gate over an empty queue.
func NewGate(source clock.Clock, options Options) *Gate {
	return &Gate{clock: source, queue: New(options), ready: make(map[*Ticket]chan struct{})}
}

// Slot is the right to run one request. Release is called once.
type Slot struct {
	gate   *Gate
	ticket *Ticket
}

// Acquire waits for a slot, for a request of key. A refusal comes at once, or
// when the deadline passes or ctx ends.
func (g *Gate) Acquire(ctx context.Context, key string, deadline time.Time) (*Slot, *outcome.Error) {
	ticket, ready := g.arrive(key, deadline)
	if ready == nil {
		return g.slot(ticket)
	}
	timer := time.NewTimer(deadline.Sub(g.clock.Now()))
	defer timer.Stop()
	select {
	case <-ready:
		return g.slot(ticket)
	case <-ctx.Done():
		return g.giveUp(ticket, errors.Is(ctx.Err(), context.Canceled))
	case <-timer.C:
		return g.giveUp(ticket, false)
	}
}

// arrive returns a channel to wait on, or nil when the ticket is decided.
func (g *Gate) arrive(key string, deadline time.Time) (*Ticket, chan struct{}) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := g.clock.Now()
	if g.closed {
		refusal := outcome.Refuse(outcome.NotLeaseholder, "this host no longer sends to the target", 0)
		return &Ticket{state: refused, failure: refusal}, nil
	}
	ticket, displaced := g.queue.Arrive(now, key, deadline)
	g.announce(displaced)
	if ticket.state != waiting {
		return ticket, nil
	}
	ready := make(chan struct{})
	g.ready[ticket] = ready
	g.advance(now)
	return ticket, ready
}

func (g *Gate) slot(ticket *Ticket) (*Slot, *outcome.Error) {
	if ticket.failure != nil {
		return nil, ticket.failure
	}
	return &Slot{gate: g, ticket: ticket}, nil
}

// giveUp withdraws a ticket. When a slot came at the same moment it is freed.
func (g *Gate) giveUp(ticket *Ticket, cancelled bool) (*Slot, *outcome.Error) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := g.clock.Now()
	g.queue.Withdraw(ticket)
	delete(g.ready, ticket)
	g.queue.Finish(now, ticket, Result{})
	g.advance(now)
	switch {
	case ticket.failure != nil:
		return nil, ticket.failure
	case cancelled:
		return nil, outcome.Refuse(outcome.Cancelled, "cancelled in the queue", 0)
	}
	return nil, outcome.Refuse(outcome.DeadlineExceeded, "the deadline passed in the queue", g.queue.RetryAfter(now))
}

// Release frees the slot and tells what became of the request.
func (s *Slot) Release(result Result) {
	s.gate.mutex.Lock()
	defer s.gate.mutex.Unlock()
	now := s.gate.clock.Now()
	s.gate.queue.Finish(now, s.ticket, result)
	s.gate.advance(now)
}

// SetSlots changes the target's slots.
func (g *Gate) SetSlots(slots int) {
	g.change(func(now time.Time) { g.queue.SetSlots(now, slots) })
}

// SetQueue changes how many requests may wait.
func (g *Gate) SetQueue(length int) {
	g.change(func(time.Time) { g.queue.SetQueue(length) })
}

// Warm lets a cold target have few requests at first.
func (g *Gate) Warm() { g.change(g.queue.Warm) }

// Load returns the present reading.
func (g *Gate) Load() Load {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.queue.Load(g.clock.Now())
}

// Open takes requests in again after Close. Those that still run count.
func (g *Gate) Open() {
	g.change(func(time.Time) { g.closed = false })
}

// Close refuses all that wait and all that come.
func (g *Gate) Close() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.closed = true
	for ticket := range g.ready {
		g.queue.Withdraw(ticket)
		g.queue.refuse(ticket, outcome.NotLeaseholder, "this host no longer sends to the target", 0)
		g.announce([]*Ticket{ticket})
	}
	if g.timer != nil {
		g.timer.Stop()
	}
}

func (g *Gate) change(apply func(now time.Time)) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := g.clock.Now()
	apply(now)
	g.advance(now)
}

// advance starts what may start, and arms the timer for what may start later.
func (g *Gate) advance(now time.Time) {
	g.announce(g.queue.Advance(now))
	at, ok := g.queue.Next(now)
	if !ok || g.closed {
		return
	}
	wait := max(at.Sub(now), 0)
	if g.timer == nil {
		g.timer = time.AfterFunc(wait, g.wake)
		return
	}
	g.timer.Reset(wait)
}

func (g *Gate) wake() { g.change(func(time.Time) {}) }

func (g *Gate) announce(tickets []*Ticket) {
	for _, ticket := range tickets {
		if ready, ok := g.ready[ticket]; ok {
			delete(g.ready, ticket)
			close(ready)
		}
	}
}
