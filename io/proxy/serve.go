package proxy

import (
	"context"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"pineturn/core/attempt"
	"pineturn/core/placement"
	"pineturn/io/listener"
	"pineturn/platform"
)

// serve sends a request to a target, and retries it where that is allowed.
func (p *Proxy) serve(ctx context.Context, q *request) (*response, error) {
	// The caller may have disconnected while the request waited to be read.
	if listener.CallerDisconnected(ctx) {
		return nil, q.fail(http.StatusBadGateway, reasonCallerLeft, nil)
	}
	for {
		owner, err := p.owner(ctx, q)
		if err != nil {
			return nil, err
		}
		choice, err := p.chooseTarget(ctx, q, owner)
		if err != nil {
			return nil, err
		}
		sent := p.sendWithHedge(ctx, q, choice)
		q.lastTarget, q.expectedLatency = sent.target, sent.expectedLatency
		if ctx.Err() != nil && sent.result != attempt.Complete {
			return nil, p.interrupted(ctx, q, sent)
		}
		outcome := attempt.Outcome{Result: sent.result, TargetFull: sent.targetFull}
		switch q.progress.After(q.attemptRequest(), outcome, q.timeLeft(p.clock.Now()), func() bool { return p.mayRetry(q, sent.result) }) {
		case attempt.Deliver:
			return sent.response, nil
		case attempt.Retry:
			switch {
			case owner == "":
				q.excluded = append(q.excluded, sent.target)
			case sent.result == attempt.WrongTarget:
				waitFor(ctx, p.catalog.Changed(), grantDelay)
			}
		case attempt.Refuse:
			return nil, q.refuseAfter(sent)
		case attempt.ReportUnknown:
			return nil, q.fail(http.StatusBadGateway, reasonResponseLost, sent.err)
		}
	}
}

func (q *request) timeLeft(now time.Time) time.Duration { return q.deadline.Sub(now) }

// recentOwnerChange is the age of the last change of owners up to which a target
// that refused a key may still be about to receive it.
const recentOwnerChange = time.Second

// mayRetry reports whether a request may be sent again after a send with the given
// result: the whole body is buffered, the owners have changed recently if the target
// does not own the request's key, and the retry budget allows it.
func (p *Proxy) mayRetry(q *request, last attempt.Result) bool {
	if q.keyed() && last == attempt.WrongTarget && p.clock.Now().Sub(p.catalog.ChangedAt()) > recentOwnerChange {
		return false
	}
	return q.body.replayable() && p.budget.Spend(q.match.Service.Name, p.clock.Now())
}

func (q *request) keyed() bool { return q.match.Service.Keyed && q.HasKey }

// refuseAfter refuses a request that no target has run, with a backlog that
// depends on its last send.
func (q *request) refuseAfter(sent sendResult) error {
	if sent.result == attempt.Unsent {
		return q.refuse(reasonUnreachable, q.match.Route.Objective/4)
	}
	return q.refuse(reasonRefused, max(sent.expectedLatency, q.match.Route.Objective/4))
}

// interrupted returns the failure of a request whose context has ended: it timed
// out, its caller disconnected, or the host is stopping.
func (p *Proxy) interrupted(ctx context.Context, q *request, sent sendResult) error {
	if sent.result.NotRun() && !q.progress.MayHaveRun() {
		return q.refuse(reasonTimeout, 0)
	}
	if p.shutdownCtx.Err() != nil {
		return q.fail(http.StatusBadGateway, reasonStopping, sent.err)
	}
	if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return q.fail(http.StatusBadGateway, reasonCallerLeft, ctx.Err())
	}
	return q.fail(http.StatusGatewayTimeout, reasonTimeout, sent.err)
}

// ownerPollInterval is the time between checks of the owner of a key.
const ownerPollInterval = 100 * time.Millisecond

// owner returns the target that owns the key of a request; empty if the request
// has no key. For a key that is moving or has no owner, it waits up to
// attempt.QueueTimeout.
func (p *Proxy) owner(ctx context.Context, q *request) (string, error) {
	if !q.keyed() {
		return "", nil
	}
	p.keyCounts.add(q.match.Service.Name, q.Key)
	end := p.clock.Now().Add(attempt.QueueTimeout(q.attemptRequest(), q.timeLeft(p.clock.Now())))
	for {
		changed := p.catalog.Changed()
		target, reason := p.currentOwner(q)
		if reason == "" {
			return target, nil
		}
		wait := min(end.Sub(p.clock.Now()), ownerPollInterval)
		if wait <= 0 && reason == reasonMoving {
			// While the store is down, the new owner may already have its grant
			// without a record of it. If it has none, it refuses the request.
			return target, nil
		}
		if wait <= 0 || !waitFor(ctx, changed, wait) {
			return "", q.failOrRefuse(reason, q.match.Route.Objective/2, ctx.Err())
		}
	}
}

// currentOwner returns the owner of the key of a request, and a reason if there
// is none or if a former owner may still hold the key.
func (p *Proxy) currentOwner(q *request) (target, reason string) {
	assignment := p.catalog.Assignment()
	if assignment == nil {
		return "", reasonNoOwner
	}
	r, ok := assignment.Find(q.match.Service.Name, q.Key)
	switch {
	case !ok:
		return "", reasonNoOwner
	case len(r.Former) > 0:
		return r.Owner.Target, reasonMoving
	}
	return r.Owner.Target, ""
}

// waitFor waits for a signal or for timeout. It returns false if ctx is done.
func waitFor(ctx context.Context, signal <-chan struct{}, timeout time.Duration) bool {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-signal:
	case <-timer.C:
	}
	return true
}

// grantDelay is how long the grant of a new owner may lag behind its record.
const grantDelay = 80 * time.Millisecond

// capacityPollInterval is the time between checks for capacity while no request
// of this host ends.
const capacityPollInterval = 25 * time.Millisecond

// chooseTarget reserves capacity at a target. If there is none, it waits up to
// attempt.QueueTimeout.
func (p *Proxy) chooseTarget(ctx context.Context, q *request, owner string) (*placement.Choice, error) {
	end := p.clock.Now().Add(attempt.QueueTimeout(q.attemptRequest(), q.timeLeft(p.clock.Now())))
	queued := false
	defer func() {
		if queued {
			p.targets.LeaveQueue(owner)
		}
	}()
	for {
		capacityFreed := p.targets.CapacityFreed(q.match.Service.Name)
		choice, verdict := p.targets.Choose(p.criteria(q, owner), p.clock.Now())
		if verdict == placement.Chosen {
			return choice, nil
		}
		reason := reasonNoCapacity
		if verdict == placement.NoTarget {
			reason = reasonNoTarget
		}
		if owner != "" && verdict == placement.NoCapacity && !queued {
			if queued = p.targets.EnterQueue(owner); !queued {
				end = p.clock.Now()
			}
		}
		wait := min(end.Sub(p.clock.Now()), capacityPollInterval)
		if wait <= 0 || !waitFor(ctx, capacityFreed, wait) {
			p.recordEstimate(q, owner)
			return nil, q.failOrRefuse(reason, q.match.Route.Objective/2, ctx.Err())
		}
	}
}

// recordEstimate keeps for the log what is assumed of an owner without capacity.
func (p *Proxy) recordEstimate(q *request, owner string) {
	if estimate, ok := p.targets.OwnerEstimate(p.criteria(q, owner), p.clock.Now()); ok {
		q.lastTarget, q.estimate = owner, &estimate
	}
}

func (p *Proxy) criteria(q *request, owner string) placement.Criteria {
	return placement.Criteria{
		Service: q.match.Service.Name, Owner: owner, Exclude: q.excluded,
		NonIdempotent: !q.match.Route.Idempotent, Rank: q.match.Route.Rank,
	}
}

// sendResult is the result of one send.
type sendResult struct {
	result          attempt.Result
	targetFull      bool
	response        *response
	target          string
	expectedLatency time.Duration
	err             error
}

// sendWithHedge sends a request to a target and, if the response is late, to a
// second target as well. The first complete response is used.
func (p *Proxy) sendWithHedge(ctx context.Context, q *request, first *placement.Choice) sendResult {
	delay, hedged := attempt.HedgeDelay(q.attemptRequest(), first.ExpectedLatency, q.timeLeft(p.clock.Now()))
	if !hedged || q.keyed() || !q.body.replayable() || q.progress.Sends() > 0 {
		return p.send(ctx, q, first)
	}
	results := make(chan sendResult, 2)
	cancels := make(map[string]context.CancelCauseFunc, 2)
	start := func(choice *placement.Choice) {
		ctx, cancel := context.WithCancelCause(ctx)
		cancels[choice.Entry.ID] = cancel
		q.progress.RecordSend()
		go func() { results <- p.roundTrip(ctx, q, choice) }()
	}
	start(first)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case s := <-results:
		return s
	case <-timer.C:
	}
	second := p.chooseHedgeTarget(q, first)
	if second == nil {
		return <-results
	}
	start(second)
	s := <-results
	if s.result != attempt.Complete {
		return preferred(s, <-results)
	}
	for target, cancel := range cancels {
		if target != s.target {
			cancel(errSuperseded)
		}
	}
	return s
}

// preferred returns the result to report when the first of two sends did not
// complete: a complete response, else an error response, else the first one.
func preferred(a, b sendResult) sendResult {
	if b.result == attempt.Complete || b.result == attempt.Failed && a.result != attempt.Failed {
		return b
	}
	return a
}

var errSuperseded = errors.New("another target responded first")

// chooseHedgeTarget reserves capacity at a second target for a request whose
// response is late. It returns nil if there is no target with capacity, the
// second response could not arrive in time, or the retry budget is spent.
func (p *Proxy) chooseHedgeTarget(q *request, first *placement.Choice) *placement.Choice {
	criteria := p.criteria(q, "")
	criteria.Exclude = append(criteria.Exclude[:len(criteria.Exclude):len(criteria.Exclude)], first.Entry.ID)
	now := p.clock.Now()
	second, verdict := p.targets.Choose(criteria, now)
	if verdict != placement.Chosen {
		return nil
	}
	if second.ExpectedLatency > q.timeLeft(now) || !p.budget.Spend(q.match.Service.Name, now) {
		second.End(placement.NotSent, nil, now)
		return nil
	}
	return second
}

func (p *Proxy) send(ctx context.Context, q *request, choice *placement.Choice) sendResult {
	q.progress.RecordSend()
	return p.roundTrip(ctx, q, choice)
}

// roundTrip sends a request to a target and reads the response.
func (p *Proxy) roundTrip(ctx context.Context, q *request, choice *placement.Choice) sendResult {
	s := sendResult{target: choice.Entry.ID, expectedLatency: choice.ExpectedLatency}
	resp, err := p.pool.Get(choice.Entry.ID).RoundTrip(p.targetRequest(ctx, q, choice))
	if err != nil {
		s.err = errors.Wrapf(err, "send to target %s", choice.Entry.ID)
		s.result = classifySendError(err)
		s.targetFull = choice.TargetFull(nil)
		p.endChoice(ctx, choice, s, nil)
		return s
	}
	r, err := readResponse(q, resp)
	if err != nil {
		// The connection must not be reused: the data that follows on it may not
		// belong to any request.
		s.err = errors.Wrapf(err, "response of target %s", choice.Entry.ID)
		s.result = attempt.Unknown
		p.discardConnections(choice.Entry.ID, resp)
		s.targetFull = choice.TargetFull(nil)
		p.endChoice(ctx, choice, s, nil)
		return s
	}
	if r.unread == nil {
		_ = resp.Body.Close()
	}
	s.response = r
	s.result = classifyResponse(r)
	report := loadReport(r.info.Load)
	s.targetFull = choice.TargetFull(report)
	p.endChoice(ctx, choice, s, report)
	return s
}

// discardConnections closes the connection of an invalid response and all idle
// connections to the same target.
func (p *Proxy) discardConnections(target string, resp *http.Response) {
	_ = resp.Body.Close()
	p.pool.Get(target).CloseIdleConnections()
}

func (p *Proxy) targetRequest(ctx context.Context, q *request, choice *placement.Choice) *http.Request {
	req := &http.Request{
		Method: q.method, Host: q.host,
		URL: &url.URL{
			Scheme: "http", Host: choice.Entry.Address, Opaque: q.path, RawQuery: q.query, ForceQuery: q.emptyQuery,
		},
		Header: platform.RequestHeaders(q.header, choice.Entry.ID, q.timeLeft(p.clock.Now())),
		Proto:  "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Body: q.body.reader(), ContentLength: q.body.length,
	}
	return req.WithContext(ctx)
}

// classifySendError returns Unsent if no connection was made, and Unknown if the
// target may have received the request.
func classifySendError(err error) attempt.Result {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return attempt.Unsent
	}
	return attempt.Unknown
}

func classifyResponse(r *response) attempt.Result {
	switch {
	case r.info.WrongTarget:
		return attempt.WrongTarget
	case r.info.NotRun && r.status != http.StatusBadRequest:
		return attempt.NotRun
	case r.status >= http.StatusInternalServerError:
		return attempt.Failed
	}
	return attempt.Complete
}

// endChoice releases the capacity that was reserved for a send and reports the
// result to the target set.
func (p *Proxy) endChoice(ctx context.Context, choice *placement.Choice, s sendResult, report *placement.Report) {
	choice.End(placementResult(ctx, s), report, p.clock.Now())
}

// loadReport converts a target's load report, nil if it sent none.
func loadReport(load *platform.Load) *placement.Report {
	if load == nil {
		return nil
	}
	return &placement.Report{Running: load.Running, Waiting: load.Waiting}
}

func placementResult(ctx context.Context, s sendResult) placement.Result {
	switch {
	case s.result == attempt.Complete:
		return placement.Complete
	case s.result == attempt.WrongTarget:
		return placement.WrongTarget
	case s.result == attempt.NotRun:
		return placement.Shed
	case errors.Is(context.Cause(ctx), errSuperseded):
		return placement.Superseded
	case ctx.Err() != nil:
		return placement.Abandoned
	case s.result == attempt.Unsent:
		return placement.Unreachable
	}
	if s.result == attempt.Unknown {
		return placement.ConnectionLost
	}
	return placement.Failed
}
