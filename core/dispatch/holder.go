package dispatch

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sony/gobreaker/v2"
	"golang.org/x/sync/singleflight"

	"pineturn/core/admission"
	"pineturn/core/clock"
	"pineturn/core/config"
	"pineturn/core/dedup"
	"pineturn/core/message"
	"pineturn/core/outcome"
	"pineturn/core/record"
	"pineturn/core/route"
	"pineturn/core/shard"
)

// Leaseholder sends requests to the targets whose leases this host holds. Its
// function fields are set before use.
type Leaseholder struct {
	Self  record.Member
	Clock clock.Clock
	// RouteShard returns the present way of a shard.
	RouteShard func(id shard.ID) (route.Route, *outcome.Error)
	// Permit allows one request of a shard to be sent, or says why not. The
	// function is called when the target certainly no longer runs it.
	Permit func(id shard.ID, epoch uint64, key string) (route.Permit, func(), *outcome.Error)
	// Send passes a request on to a target.
	Send func(ctx context.Context, permit route.Permit, target *config.Target, req *message.Request, longRunning bool) (*message.Answer, *outcome.Error)
	// Members lists the members of the cluster.
	Members func() []record.Member
	// Witness asks another host to remember a request's id.
	Witness func(ctx context.Context, witness record.Member, ask message.Witness) (message.WitnessReply, error)
	// QueryIDs asks another host which ids it remembers.
	QueryIDs func(ctx context.Context, member record.Member, ask message.IDQuery) (message.IDReply, error)
	Dedup    *dedup.Table

	collecting singleflight.Group
	// background holds the messages to witnesses on their way.
	background sync.WaitGroup

	// mutex guards gates; it is taken before a gate's own lock.
	mutex sync.Mutex
	gates map[record.Target]*gate
	// cold lists targets to be warmed when they get their gate.
	cold   map[record.Target]bool
	counts holderCounts
}

// gate is a target's queue with the figures that it was set up by.
type gate struct {
	*admission.Controller
	slots, queue int
	// dropped is set while another host is the leaseholder.
	dropped bool
	// breaker refuses requests while no connection to the target opens.
	breaker *gobreaker.TwoStepCircuitBreaker[any]
}

func newGate(source clock.Clock, name string, slots, queue int) *gate {
	return &gate{
		Controller: admission.NewController(source, admission.Options{Slots: slots, QueueLength: queue}),
		slots:      slots, queue: queue,
		breaker: gobreaker.NewTwoStepCircuitBreaker[any](gobreaker.Settings{
			Name:        name,
			Timeout:     breakerPause,
			ReadyToTrip: func(counts gobreaker.Counts) bool { return counts.ConsecutiveFailures >= breakerFailures },
		}),
	}
}

type holderCounts struct {
	requests, sent, done, shed, notRun, unknown atomic.Uint64
}

// LeaseholderCounts counts what a Holder did since its start.
type LeaseholderCounts struct {
	Requests uint64 `json:"requests"`
	// Sent counts requests given to the target's connection; of these, Done
	// were answered, Shed were refused for lack of a slot.
	Sent    uint64 `json:"sent"`
	Done    uint64 `json:"done"`
	Shed    uint64 `json:"shed"`
	NotRun  uint64 `json:"not_run"`
	Unknown uint64 `json:"unknown"`
}

// Counts returns the present counts.
func (h *Leaseholder) Counts() LeaseholderCounts {
	return LeaseholderCounts{
		Requests: h.counts.requests.Load(),
		Sent:     h.counts.sent.Load(),
		Done:     h.counts.done.Load(),
		Shed:     h.counts.shed.Load(),
		NotRun:   h.counts.notRun.Load(),
		Unknown:  h.counts.unknown.Load(),
	}
}

// QueueLoads returns the reading of each target's queue.
func (h *Leaseholder) QueueLoads() map[record.Target]admission.Load {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	loads := make(map[record.Target]admission.Load, len(h.gates))
	for target, gate := range h.gates {
		if !gate.dropped {
			loads[target] = gate.Load()
		}
	}
	return loads
}

// WarmUp lets a cold target have few requests at first.
func (h *Leaseholder) WarmUp(target record.Target) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if gate, ok := h.gates[target]; ok {
		gate.WarmUp()
		return
	}
	if h.cold == nil {
		h.cold = make(map[record.Target]bool)
	}
	h.cold[target] = true
}

// CloseQueue refuses what waits for a target, when this host ceases to be its
// leaseholder. Requests in flight end by themselves.
func (h *Leaseholder) CloseQueue(target record.Target) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	delete(h.cold, target)
	if gate, ok := h.gates[target]; ok {
		gate.dropped = true
		gate.Close()
	}
}

// Close waits until all messages to witnesses are sent. No request may be
// served any more.
func (h *Leaseholder) Close() { h.background.Wait() }

// Serve sends a request that an entry passed on, and returns the target's
// answer. It never tries again. The caller closes the answer's body.
func (h *Leaseholder) Serve(ctx context.Context, entry record.Member, req *message.Request) (*message.Answer, *outcome.Error) {
	h.counts.requests.Add(1)
	way, failure := h.RouteShard(req.Shard)
	if failure != nil {
		return nil, failure
	}
	if way.Leaseholder.Incarnation != h.Self.Incarnation {
		return nil, outcome.Refuse(outcome.NotLeaseholder, "another host holds the target", 0)
	}
	if way.Epoch != req.Epoch {
		return nil, outcome.Refuse(outcome.NotLeaseholder, "the shard has another epoch here", 0)
	}
	if req.Left <= 0 {
		return nil, outcome.Refuse(outcome.DeadlineExceeded, "the deadline has passed", 0)
	}
	start := h.Clock.Now()
	ctx, cancel := context.WithTimeout(ctx, req.Left)
	run := &run{
		holder: h, entry: entry, way: way, req: *req,
		deadline: start.Add(req.Left), cancel: cancel,
	}
	run.req.Once = req.Once || way.Service.Once(req.Method, pathOnly(req.Path))
	answer, failure := run.serve(ctx)
	if failure != nil {
		h.count(failure)
	}
	return answer, failure
}

func (h *Leaseholder) count(failure *outcome.Error) {
	switch {
	case failure.Reason == outcome.Shed:
		h.counts.shed.Add(1)
	case failure.Outcome == outcome.NotRun:
		h.counts.notRun.Add(1)
	default:
		h.counts.unknown.Add(1)
	}
}

// gate returns the queue of a target, with its present limits.
func (h *Leaseholder) gate(way route.Route) *gate {
	slots, queue := way.Target.Slots(), way.Service.Queue()
	id := way.Target.ID()
	h.mutex.Lock()
	defer h.mutex.Unlock()
	existing, ok := h.gates[id]
	if !ok {
		if h.gates == nil {
			h.gates = make(map[record.Target]*gate)
		}
		existing = newGate(h.Clock, id.String(), slots, queue)
		if h.cold[id] {
			delete(h.cold, id)
			existing.WarmUp()
		}
		h.gates[id] = existing
		return existing
	}
	if existing.dropped {
		existing.dropped = false
		existing.Open()
	}
	if existing.slots != slots {
		existing.slots = slots
		existing.SetSlots(slots)
	}
	if existing.queue != queue {
		existing.queue = queue
		existing.SetQueueLength(queue)
	}
	return existing
}

// after calls finish once d has passed.
func after(d time.Duration, finish func()) {
	if d <= 0 {
		finish()
		return
	}
	time.AfterFunc(d, finish)
}
