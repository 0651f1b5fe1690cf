package load

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"pineturn/core/clock"
	"pineturn/core/report"
	"pineturn/core/route"
	"pineturn/core/shard"
	"pineturn/core/workload"
)

// Headers of the target protocol that are sent only in direct mode.
const (
	headerShard       = "Pineturn-Shard"
	headerTerm        = "Pineturn-Term"
	headerIncarnation = "Pineturn-Incarnation"
	headerDeadline    = "Pineturn-Deadline"
)

// Values of the grant fields in direct mode. A target that checks fencing tokens
// refuses them if it has accepted a grant with a higher term.
const (
	directTerm        = 1
	directEpoch       = 1
	directLeaseholder = "pineload#1"
	directGroup       = "direct"
)

// Direct sends requests directly to targets, as a baseline without pineturn. It
// grants each target one shard and limits concurrent requests to the slots of
// the target; requests beyond that wait in this process. No host may grant
// shards to these targets. Direct is safe for concurrent use.
type Direct struct {
	targets map[string][]*directTarget
	timeout time.Duration
	client  *http.Client
	clock   clock.Clock
	done    chan struct{}
	renewer sync.WaitGroup
}

// directTarget is a target and the state of its grant.
type directTarget struct {
	address string
	shard   shard.ID
	slots   chan struct{}

	mu       sync.Mutex
	status   targetStatus
	statusAt time.Time
}

// NewDirect grants a shard to each target and renews the grants until Close.
// targets maps a service to the addresses of its targets, host:port each.
func NewDirect(ctx context.Context, targets map[string][]string, callers int, timeout time.Duration, clk clock.Clock) (*Direct, error) {
	direct := &Direct{
		targets: map[string][]*directTarget{}, timeout: timeout,
		client: newClient(callers), clock: clk, done: make(chan struct{}),
	}
	for service, addresses := range targets {
		for i, address := range addresses {
			id := shard.ID{Service: service, Group: directGroup, Index: i}
			target := &directTarget{address: address, shard: id}
			if err := direct.setUp(ctx, target); err != nil {
				return nil, err
			}
			direct.targets[service] = append(direct.targets[service], target)
		}
	}
	direct.renewer.Add(1)
	go direct.renewLoop(ctx)
	return direct, nil
}

// Close stops the renewal of grants and closes idle connections.
func (d *Direct) Close() {
	close(d.done)
	d.renewer.Wait()
	d.client.CloseIdleConnections()
}

// Send sends one attempt to the target that the key hashes to.
func (d *Direct) Send(ctx context.Context, request *workload.Request, attempt *report.Attempt) {
	ctx, cancel := context.WithTimeout(ctx, d.timeout)
	defer cancel()
	targets := d.targets[request.Service()]
	if len(targets) == 0 {
		attempt.Outcome, attempt.Reason = report.NotRun, "no-target"
		return
	}
	target := targets[shard.IndexOf(request.Key(), len(targets))]
	select {
	case target.slots <- struct{}{}:
		defer func() { <-target.slots }()
	case <-ctx.Done():
		attempt.Outcome, attempt.Reason = report.NotRun, reasonTimeout
		return
	}
	d.sendTo(ctx, target, request, attempt)
}

func (d *Direct) sendTo(ctx context.Context, target *directTarget, request *workload.Request, attempt *report.Attempt) {
	attempt.Host = target.address
	url := "http://" + target.address + request.Operation().Path()
	out, err := http.NewRequestWithContext(ctx, request.Method(), url, http.NoBody)
	if err != nil {
		recordError(attempt, err)
		return
	}
	d.setHeaders(ctx, out.Header, target, request)
	exchange(d.client, out, attempt)
	// A target sends the outcome header only when it refuses a request. Any
	// other complete response means that the request is done.
	if attempt.Outcome == report.Unknown && attempt.Reason == reasonNoOutcome {
		attempt.Outcome, attempt.Reason = report.Done, ""
	}
	if attempt.Target == "" {
		attempt.Target = target.address
	}
	attempt.Epoch = directEpoch
}

func (d *Direct) setHeaders(ctx context.Context, header http.Header, target *directTarget, request *workload.Request) {
	status, readAt := target.lastStatus()
	header.Set(headerRequestID, request.ID())
	header.Set(headerKey, request.Key())
	header.Set(headerShard, target.shard.String())
	header.Set(headerEpoch, strconv.Itoa(directEpoch))
	header.Set(headerTerm, strconv.Itoa(directTerm))
	header.Set(headerIncarnation, status.Incarnation)
	if until, ok := ctx.Deadline(); ok {
		header.Set(headerDeadline, fmt.Sprint(route.DeadlineUs(status.ClockUs, readAt, until)))
	}
}

func (d *Direct) setUp(ctx context.Context, target *directTarget) error {
	readAt := d.clock.Now()
	status, err := readStatus(ctx, d.client, target.address)
	if err != nil {
		return errors.Wrapf(err, "set up target %s", target.address)
	}
	target.slots = make(chan struct{}, max(status.Slots, 1))
	target.setStatus(status, readAt)
	return errors.Wrapf(d.grant(ctx, target), "set up target %s", target.address)
}

// grant grants the target its shard until DefaultGrantDuration from now.
func (d *Direct) grant(ctx context.Context, target *directTarget) error {
	status, readAt := target.lastStatus()
	sent := d.clock.Now()
	request := grantRequest{
		Incarnation: status.Incarnation, Term: directTerm, Leaseholder: directLeaseholder, SetVersion: status.SetVersion + 1,
		ExpiresUs: route.DeadlineUs(status.ClockUs, readAt, sent.Add(DefaultGrantDuration)),
		Shards:    []grantShard{{Shard: target.shard, Epoch: directEpoch}},
	}
	status, err := putGrant(ctx, d.client, target.address, request)
	if err != nil {
		return err
	}
	target.setStatus(status, sent)
	return nil
}

func (d *Direct) renewLoop(ctx context.Context) {
	defer d.renewer.Done()
	ticker := time.NewTicker(DefaultGrantDuration / renewalsPerGrant)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			d.renewAll(ctx)
		case <-d.done:
			return
		}
	}
}

// renewAll renews the grants of all targets. Errors are ignored: once a grant has
// expired, its target refuses requests, which shows in their outcomes.
func (d *Direct) renewAll(ctx context.Context) {
	for _, targets := range d.targets {
		for _, target := range targets {
			_ = d.grant(ctx, target)
		}
	}
}

func (t *directTarget) lastStatus() (targetStatus, time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.status, t.statusAt
}

func (t *directTarget) setStatus(status targetStatus, readAt time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.status, t.statusAt = status, readAt
}
