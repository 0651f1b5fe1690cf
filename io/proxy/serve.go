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

// serve carries a request to a target, more than once where that is allowed.
func (e *Proxy) serve(ctx context.Context, q *request) (*answer, error) {
	// A request that waited to be read may be one whose caller has left.
	if listener.CallerDisconnected(ctx) {
		return nil, q.fail(http.StatusBadGateway, reasonCallerHas, nil)
	}
	for {
		owner, err := e.owner(ctx, q)
		if err != nil {
			return nil, err
		}
		choice, err := e.choose(ctx, q, owner)
		if err != nil {
			return nil, err
		}
		sent := e.exchange(ctx, q, choice)
		q.last, q.expected = sent.target, sent.expected
		if ctx.Err() != nil && sent.result != attempt.Complete {
			return nil, e.expired(ctx, q, sent)
		}
		switch q.progress.After(q.rules(), sent.result, q.left(e.clock.Now()), func() bool { return e.again(q) }) {
		case attempt.Deliver:
			return sent.answer, nil
		case attempt.Retry:
			if owner == "" {
				q.skip = append(q.skip, sent.target)
			} else {
				pause(ctx, e.beliefs.Changed(), grantDelay)
			}
		case attempt.Refuse:
			return nil, q.refuseAfter(sent)
		case attempt.Fail:
			return nil, q.fail(http.StatusBadGateway, reasonUnknown, sent.err)
		}
	}
}

func (q *request) left(now time.Time) time.Duration { return q.deadline.Sub(now) }

// recentChange is the age of the newest change of owners up to which a target
// that lacks a key may be about to get it.
const recentChange = time.Second

// again reports whether a request may be sent once more: its body is still at
// hand, a key's owner may have it soon, and the budget allows it.
func (e *Proxy) again(q *request) bool {
	if q.keyed() && e.clock.Now().Sub(e.beliefs.ChangedAt()) > recentChange {
		return false
	}
	return q.body.replayable() && e.budget.Spend(q.match.Service.Name, e.clock.Now())
}

func (q *request) keyed() bool { return q.match.Service.Keyed && q.HasKey }

func (q *request) refuseAfter(sent sent) error {
	if sent.result == attempt.Unsent {
		return q.refuse(reasonUnsent, q.match.Route.Objective/4)
	}
	return q.refuse(reasonNotRun, max(sent.expected, q.match.Route.Objective/4))
}

// expired ends a request whose time has run out or whose caller has left.
func (e *Proxy) expired(ctx context.Context, q *request, sent sent) error {
	if sent.result.NotRun() && !q.progress.MayHaveRun() {
		return q.refuse(reasonTimeout, 0)
	}
	if e.ending.Err() != nil {
		return q.fail(http.StatusBadGateway, reasonStopping, sent.err)
	}
	if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return q.fail(http.StatusBadGateway, reasonCallerHas, ctx.Err())
	}
	return q.fail(http.StatusGatewayTimeout, reasonTimeout, sent.err)
}

// ownerPoll is the time between looks at the owner of a key.
const ownerPoll = 100 * time.Millisecond

// owner returns the target that owns a request's key, and waits a while for a
// key that is on its way to another one.
func (e *Proxy) owner(ctx context.Context, q *request) (string, error) {
	if !q.keyed() {
		return "", nil
	}
	e.counts.add(q.match.Service.Name, q.Key)
	end := e.clock.Now().Add(attempt.QueueTimeout(q.rules(), q.left(e.clock.Now())))
	for {
		changed := e.beliefs.Changed()
		target, reason := e.ownerNow(q)
		if reason == "" {
			return target, nil
		}
		wait := min(end.Sub(e.clock.Now()), ownerPoll)
		if wait <= 0 && reason == reasonMoving {
			// The new owner may have its grant while the store is down and the
			// record of it is not written. It refuses the request otherwise.
			return target, nil
		}
		if wait <= 0 || !pause(ctx, changed, wait) {
			return "", q.giveUp(reason, q.match.Route.Objective/2, ctx.Err())
		}
	}
}

func (e *Proxy) ownerNow(q *request) (target, reason string) {
	assignment := e.beliefs.Assignment()
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

// pause waits for a signal, and returns false when the context has ended.
func pause(ctx context.Context, signal <-chan struct{}, most time.Duration) bool {
	timer := time.NewTimer(most)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-signal:
	case <-timer.C:
	}
	return true
}

// grantDelay is how long a new owner's grant may lag behind the record of it.
const grantDelay = 80 * time.Millisecond

// roomPoll is the time between looks for room where no request has ended.
const roomPoll = 25 * time.Millisecond

// choose books a target, and waits a while for room.
func (e *Proxy) choose(ctx context.Context, q *request, owner string) (*placement.Choice, error) {
	end := e.clock.Now().Add(attempt.QueueTimeout(q.rules(), q.left(e.clock.Now())))
	for {
		freed := e.targets.CapacityFreed(q.match.Service.Name)
		choice, verdict := e.targets.Choose(e.demand(q, owner), e.clock.Now())
		if verdict == placement.Chosen {
			return choice, nil
		}
		reason := reasonNoRoom
		if verdict == placement.NoTarget {
			reason = reasonNoTarget
		}
		wait := min(end.Sub(e.clock.Now()), roomPoll)
		if wait <= 0 || !pause(ctx, freed, wait) {
			return nil, q.giveUp(reason, q.match.Route.Objective/2, ctx.Err())
		}
	}
}

func (e *Proxy) demand(q *request, owner string) placement.Criteria {
	return placement.Criteria{
		Service: q.match.Service.Name, Owner: owner, Exclude: q.skip,
		NonIdempotent: !q.match.Route.Idempotent,
	}
}

// sent is how a send ended.
type sent struct {
	result   attempt.Result
	answer   *answer
	target   string
	expected time.Duration
	err      error
}

// exchange sends a request to a target and, where the answer is late, to a
// second one as well. The first good answer counts.
func (e *Proxy) exchange(ctx context.Context, q *request, first *placement.Choice) sent {
	delay, hedged := attempt.HedgeDelay(q.rules(), first.ExpectedLatency, q.left(e.clock.Now()))
	if !hedged || q.keyed() || !q.body.replayable() || q.progress.Sends() > 0 {
		return e.send(ctx, q, first)
	}
	results := make(chan sent, 2)
	cancels := make(map[string]context.CancelCauseFunc, 2)
	start := func(choice *placement.Choice) {
		ctx, cancel := context.WithCancelCause(ctx)
		cancels[choice.Entry.ID] = cancel
		q.progress.Sent()
		go func() { results <- e.sendOnly(ctx, q, choice) }()
	}
	start(first)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case s := <-results:
		return s
	case <-timer.C:
	}
	second := e.hedge(q, first)
	if second == nil {
		return <-results
	}
	start(second)
	s := <-results
	if s.result != attempt.Complete {
		return better(s, <-results)
	}
	for target, cancel := range cancels {
		if target != s.target {
			cancel(errSuperseded)
		}
	}
	return s
}

// better returns the more telling of two sends' ends.
func better(a, b sent) sent {
	if b.result == attempt.Complete || b.result == attempt.Error && a.result != attempt.Error {
		return b
	}
	return a
}

var errSuperseded = errors.New("another target has answered")

// hedge books a second target for a request whose answer is late.
func (e *Proxy) hedge(q *request, first *placement.Choice) *placement.Choice {
	demand := e.demand(q, "")
	demand.Exclude = append(demand.Exclude[:len(demand.Exclude):len(demand.Exclude)], first.Entry.ID)
	now := e.clock.Now()
	second, verdict := e.targets.Choose(demand, now)
	if verdict != placement.Chosen {
		return nil
	}
	if second.ExpectedLatency > q.left(now) || !e.budget.Spend(q.match.Service.Name, now) {
		second.End(placement.Unreachable, nil, now)
		return nil
	}
	return second
}

func (e *Proxy) send(ctx context.Context, q *request, choice *placement.Choice) sent {
	q.progress.Sent()
	return e.sendOnly(ctx, q, choice)
}

// sendOnly sends a request to a target and reads the answer.
func (e *Proxy) sendOnly(ctx context.Context, q *request, choice *placement.Choice) sent {
	s := sent{target: choice.Entry.ID, expected: choice.ExpectedLatency}
	resp, err := e.pool.Get(choice.Entry.ID).RoundTrip(e.outgoing(ctx, q, choice))
	if err != nil {
		s.err = errors.Wrapf(err, "send to target %s", choice.Entry.ID)
		s.result = sendFailure(err)
		e.end(ctx, choice, s, nil)
		return s
	}
	a, err := readAnswer(q, resp)
	if err != nil {
		// The connection is closed with the unread body: what follows on it
		// may belong to no request.
		s.err = errors.Wrapf(err, "answer of target %s", choice.Entry.ID)
		s.result = attempt.Unknown
		e.abandon(choice.Entry.ID, resp)
		e.end(ctx, choice, s, nil)
		return s
	}
	if a.rest == nil {
		_ = resp.Body.Close()
	}
	s.answer = a
	s.result = answerResult(a)
	e.end(ctx, choice, s, a.said.Load)
	return s
}

// abandon closes a connection whose answer is not to be trusted, and the idle
// ones to that target.
func (e *Proxy) abandon(target string, resp *http.Response) {
	_ = resp.Body.Close()
	e.pool.Get(target).CloseIdleConnections()
}

func (e *Proxy) outgoing(ctx context.Context, q *request, choice *placement.Choice) *http.Request {
	req := &http.Request{
		Method: q.method, Host: q.host,
		URL: &url.URL{
			Scheme: "http", Host: choice.Entry.Address, Opaque: q.path, RawQuery: q.query, ForceQuery: q.emptyQuery,
		},
		Header: platform.RequestHeaders(q.header, choice.Entry.ID, q.left(e.clock.Now())),
		Proto:  "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Body: q.body.reader(), ContentLength: q.body.length,
	}
	return req.WithContext(ctx)
}

// sendFailure tells a send that has reached no target from one that may have.
func sendFailure(err error) attempt.Result {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return attempt.Unsent
	}
	return attempt.Unknown
}

func answerResult(a *answer) attempt.Result {
	switch {
	case a.said.WrongTarget:
		return attempt.WrongTarget
	case a.said.NotRun && a.status != http.StatusBadRequest:
		return attempt.NotRun
	case a.status >= http.StatusInternalServerError:
		return attempt.Error
	}
	return attempt.Complete
}

func (e *Proxy) end(ctx context.Context, choice *placement.Choice, s sent, load *platform.Load) {
	var report *placement.Report
	if load != nil {
		report = &placement.Report{Running: load.Running, Waiting: load.Waiting}
	}
	choice.End(placementResult(ctx, s), report, e.clock.Now())
}

func placementResult(ctx context.Context, s sent) placement.Result {
	switch {
	case s.result == attempt.Complete:
		return placement.Answered
	case s.result == attempt.WrongTarget:
		return placement.Misrouted
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
