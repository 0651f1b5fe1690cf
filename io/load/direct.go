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

// Headers of the target protocol that only direct mode sends.
const (
	headerShard       = "Pineturn-Shard"
	headerTerm        = "Pineturn-Term"
	headerIncarnation = "Pineturn-Incarnation"
	headerDeadline    = "Pineturn-Deadline"
)

// The tokens of direct mode. A target that checks them may refuse them.
const (
	directTerm   = 1
	directEpoch  = 1
	directHolder = "pineload#1"
	directGroup  = "direct"
)

// Direct sends requests straight to targets, as a baseline without pineturn.
// It grants each target a shard and keeps to its slots, with a queue in
// this process. Its targets must belong to nobody else. It is safe for concurrent use.
type Direct struct {
	targets map[string][]*directTarget
	timeout time.Duration
	client  *http.Client
	clock   clock.Clock
	done    chan struct{}
	renewer sync.WaitGroup
}

// directTarget is one target with the grant that direct mode gave it.
type directTarget struct {
	address string
	shard   shard.ID
	slots   chan struct{}

	mu     sync.Mutex
	status targetStatus
	read   time.Time
}

// NewDirect grants a shard to each target, by service, and starts to renew
// the grants until Close.
func NewDirect(ctx context.Context, targets map[string][]string, callers int, timeout time.Duration, clk clock.Clock) (*Direct, error) {
	direct := &Direct{
		targets: map[string][]*directTarget{}, timeout: timeout,
		client: newClient(callers), clock: clk, done: make(chan struct{}),
	}
	for service, addresses := range targets {
		for i, address := range addresses {
			id := shard.ID{Service: service, Group: directGroup, Index: i}
			target := &directTarget{address: address, shard: id}
			if err := direct.open(ctx, target); err != nil {
				return nil, err
			}
			direct.targets[service] = append(direct.targets[service], target)
		}
	}
	direct.renewer.Add(1)
	go direct.renew(ctx)
	return direct, nil
}

// Close ends the renewals and closes the idle connections.
func (d *Direct) Close() {
	close(d.done)
	d.renewer.Wait()
	d.client.CloseIdleConnections()
}

// Send makes one attempt at the target that the key hashes to.
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
		fail(attempt, err)
		return
	}
	d.setHeaders(ctx, out.Header, target, request)
	exchange(d.client, out, attempt)
	// A target marks only refusals; any other whole answer is done.
	if attempt.Outcome == report.Unknown && attempt.Reason == reasonNoHeader {
		attempt.Outcome, attempt.Reason = report.Done, ""
	}
	if attempt.Target == "" {
		attempt.Target = target.address
	}
	attempt.Epoch = directEpoch
}

func (d *Direct) setHeaders(ctx context.Context, header http.Header, target *directTarget, request *workload.Request) {
	status, read := target.reading()
	header.Set(headerRequestID, request.ID())
	header.Set(headerKey, request.Key())
	header.Set(headerShard, target.shard.String())
	header.Set(headerEpoch, strconv.Itoa(directEpoch))
	header.Set(headerTerm, strconv.Itoa(directTerm))
	header.Set(headerIncarnation, status.Incarnation)
	if until, ok := ctx.Deadline(); ok {
		header.Set(headerDeadline, fmt.Sprint(route.DeadlineUs(status.ClockUs, read, until)))
	}
}

func (d *Direct) open(ctx context.Context, target *directTarget) error {
	read := d.clock.Now()
	status, err := readClock(ctx, d.client, target.address)
	if err != nil {
		return errors.Wrapf(err, "open target %s", target.address)
	}
	target.slots = make(chan struct{}, max(status.Slots, 1))
	target.keep(status, read)
	return errors.Wrapf(d.grant(ctx, target), "open target %s", target.address)
}

// grant gives the target its shard for DefaultGrantLife from now.
func (d *Direct) grant(ctx context.Context, target *directTarget) error {
	status, read := target.reading()
	sent := d.clock.Now()
	order := grantOrder{
		Incarnation: status.Incarnation, Term: directTerm, Holder: directHolder, Set: status.Set + 1,
		ExpiresUs: route.DeadlineUs(status.ClockUs, read, sent.Add(DefaultGrantLife)),
		Shards:    []grantShard{{Shard: target.shard, Epoch: directEpoch}},
	}
	status, err := putGrant(ctx, d.client, target.address, order)
	if err != nil {
		return err
	}
	target.keep(status, sent)
	return nil
}

func (d *Direct) renew(ctx context.Context) {
	defer d.renewer.Done()
	ticker := time.NewTicker(DefaultGrantLife / renewEvery)
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

// renewAll renews each grant. A failure shows in the requests' outcomes.
func (d *Direct) renewAll(ctx context.Context) {
	for _, targets := range d.targets {
		for _, target := range targets {
			_ = d.grant(ctx, target)
		}
	}
}

func (t *directTarget) reading() (targetStatus, time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.status, t.read
}

func (t *directTarget) keep(status targetStatus, read time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.status, t.read = status, read
}
