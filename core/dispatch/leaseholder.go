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

// Leaseholder sends requests to the targets whose leases this host holds. Its exported
// fields are set before use.
type Leaseholder struct {
	Self  record.Member
	Clock clock.Clock
	// RouteShard returns the current route of a shard.
	RouteShard func(id shard.ID) (route.Route, *outcome.Error)
	// Permit permits one request of a shard to be sent, or returns the reason for
	// which it is refused. The returned function is called when it is certain that
	// the target no longer runs the request.
	Permit func(id shard.ID, epoch uint64, key string) (route.Permit, func(), *outcome.Error)
	// Send sends a request to a target.
	Send func(ctx context.Context, permit route.Permit, target *config.Target, req *message.Request, longRunning bool) (*message.Response, *outcome.Error)
	// Members returns the members of the cluster.
	Members func() []record.Member
	// Witness asks another host to remember a request's id.
	Witness func(ctx context.Context, member record.Member, witness message.Witness) (message.WitnessReply, error)
	// QueryIDs queries another host for the request ids that it remembers.
	QueryIDs func(ctx context.Context, member record.Member, query message.IDQuery) (message.IDReply, error)
	Dedup    *dedup.Table

	// collections merges concurrent collections of the same ids.
	collections singleflight.Group
	// background tracks the revocations that are being sent.
	background sync.WaitGroup

	// mutex guards the fields below. It is locked before the lock of a queue.
	mutex  sync.Mutex
	queues map[record.Target]*targetQueue
	// cold holds the targets to warm up when their queue is created.
	cold   map[record.Target]bool
	counts leaseholderCounts
}

// targetQueue is the queue of a target, with the limits that it was configured with.
type targetQueue struct {
	*admission.Controller
	slots, length int
	// closed is set while another host is the leaseholder.
	closed bool
	// breaker refuses requests while connections to the target fail to open.
	breaker *gobreaker.TwoStepCircuitBreaker[any]
}

func newTargetQueue(source clock.Clock, name string, slots, length int) *targetQueue {
	return &targetQueue{
		Controller: admission.NewController(source, admission.Options{Slots: slots, QueueLength: length}),
		slots:      slots, length: length,
		breaker: gobreaker.NewTwoStepCircuitBreaker[any](gobreaker.Settings{
			Name:        name,
			Timeout:     breakerTimeout,
			ReadyToTrip: func(counts gobreaker.Counts) bool { return counts.ConsecutiveFailures >= breakerFailures },
		}),
	}
}

type leaseholderCounts struct {
	requests, sent, done, shed, notRun, unknown atomic.Uint64
}

// LeaseholderCounts holds the counters of a Leaseholder since its start.
type LeaseholderCounts struct {
	Requests uint64 `json:"requests"`
	// Sent counts the requests for which a send to the target was started. Done
	// counts those with a response, Shed those that the target refused because
	// it had no slot.
	Sent    uint64 `json:"sent"`
	Done    uint64 `json:"done"`
	Shed    uint64 `json:"shed"`
	NotRun  uint64 `json:"not_run"`
	Unknown uint64 `json:"unknown"`
}

// Counts returns the current counters.
func (l *Leaseholder) Counts() LeaseholderCounts {
	return LeaseholderCounts{
		Requests: l.counts.requests.Load(),
		Sent:     l.counts.sent.Load(),
		Done:     l.counts.done.Load(),
		Shed:     l.counts.shed.Load(),
		NotRun:   l.counts.notRun.Load(),
		Unknown:  l.counts.unknown.Load(),
	}
}

// QueueLoads returns the load of each target's open queue.
func (l *Leaseholder) QueueLoads() map[record.Target]admission.Load {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	loads := make(map[record.Target]admission.Load, len(l.queues))
	for target, queue := range l.queues {
		if !queue.closed {
			loads[target] = queue.Load()
		}
	}
	return loads
}

// WarmUp limits a cold target to few requests at first.
func (l *Leaseholder) WarmUp(target record.Target) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if queue, ok := l.queues[target]; ok {
		queue.WarmUp()
		return
	}
	if l.cold == nil {
		l.cold = make(map[record.Target]bool)
	}
	l.cold[target] = true
}

// CloseQueue refuses the requests that wait for a target. It is called when this host
// is no longer the target's leaseholder. Requests in flight are not interrupted.
func (l *Leaseholder) CloseQueue(target record.Target) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.cold, target)
	if queue, ok := l.queues[target]; ok {
		queue.closed = true
		queue.Close()
	}
}

// Close waits until all revocations are sent. Serve must not be called any more.
func (l *Leaseholder) Close() { l.background.Wait() }

// Serve sends a request that an ingress forwarded, and returns the target's response. It
// does not retry. The calling code closes the response's body.
func (l *Leaseholder) Serve(ctx context.Context, ingress record.Member, req *message.Request) (*message.Response, *outcome.Error) {
	l.counts.requests.Add(1)
	rt, failure := l.RouteShard(req.Shard)
	if failure != nil {
		return nil, failure
	}
	if rt.Leaseholder.Incarnation != l.Self.Incarnation {
		return nil, outcome.Refuse(outcome.NotLeaseholder, "another host holds the target", 0)
	}
	if rt.Epoch != req.Epoch {
		return nil, outcome.Refuse(outcome.NotLeaseholder, "the shard has another epoch here", 0)
	}
	if req.Left <= 0 {
		return nil, outcome.Refuse(outcome.DeadlineExceeded, "the deadline has passed", 0)
	}
	start := l.Clock.Now()
	ctx, cancel := context.WithTimeout(ctx, req.Left)
	request := &targetRequest{
		leaseholder: l, ingress: ingress, route: rt, req: *req,
		deadline: start.Add(req.Left), cancel: cancel,
	}
	request.req.Once = req.Once || rt.Service.Once(req.Method, pathOnly(req.Path))
	response, failure := request.serve(ctx)
	if failure != nil {
		l.count(failure)
	}
	return response, failure
}

func (l *Leaseholder) count(failure *outcome.Error) {
	switch {
	case failure.Reason == outcome.Shed:
		l.counts.shed.Add(1)
	case failure.Outcome == outcome.NotRun:
		l.counts.notRun.Add(1)
	default:
		l.counts.unknown.Add(1)
	}
}

// queue returns the queue of a route's target, with its limits updated from the
// configuration.
func (l *Leaseholder) queue(rt route.Route) *targetQueue {
	slots, length := rt.Target.Slots(), rt.Service.Queue()
	id := rt.Target.ID()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	existing, ok := l.queues[id]
	if !ok {
		if l.queues == nil {
			l.queues = make(map[record.Target]*targetQueue)
		}
		existing = newTargetQueue(l.Clock, id.String(), slots, length)
		if l.cold[id] {
			delete(l.cold, id)
			existing.WarmUp()
		}
		l.queues[id] = existing
		return existing
	}
	if existing.closed {
		existing.closed = false
		existing.Open()
	}
	if existing.slots != slots {
		existing.slots = slots
		existing.SetSlots(slots)
	}
	if existing.length != length {
		existing.length = length
		existing.SetQueueLength(length)
	}
	return existing
}

// runAfter calls f after d, or immediately if d is not positive.
func runAfter(d time.Duration, f func()) {
	if d <= 0 {
		f()
		return
	}
	time.AfterFunc(d, f)
}
