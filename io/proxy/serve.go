package proxy

import (
	"context"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"pineturn/core/attempt"
	"pineturn/core/placement"
	"pineturn/io/listener"
	"pineturn/io/socket"
	"pineturn/platform"
)

// serve sends a request to a target, and retries it where that is allowed.
func (p *Proxy) serve(ctx context.Context, q *request) (*response, error) {
	// The caller may have disconnected while the request waited to be read.
	if listener.CallerDisconnected(ctx) {
		return nil, q.fail(http.StatusBadGateway, reasonCallerLeft, nil)
	}
	if q.timeLeft(p.clock.Now()) <= 0 {
		return nil, q.refuse(reasonTimeout, 0)
	}
	for {
		sent, err := p.sendNext(ctx, q)
		if err != nil {
			p.returnRetry(q)
			return nil, err
		}
		q.lastTarget, q.expectedLatency = sent.target, sent.expectedLatency
		if ctx.Err() != nil && sent.result != attempt.Complete {
			return nil, p.interrupted(ctx, q, sent)
		}
		if sent.final != nil {
			return nil, sent.final
		}
		outcome := attempt.Outcome{Result: sent.result, TargetFull: sent.targetFull}
		switch q.progress.After(q.attemptRequest(), outcome, q.timeLeft(p.clock.Now()), func() bool { return p.mayRetry(ctx, q, sent.result) }) {
		case attempt.Deliver:
			return sent.response, nil
		case attempt.Retry:
			p.prepareRetry(ctx, q, sent)
		case attempt.Refuse:
			return nil, q.refuseAfter(sent)
		case attempt.ReportUnknown:
			return nil, q.failUnknown(sent)
		}
	}
}

// prepareRetry excludes the target of the last send from the next one, or waits for the key's grant to reach it. It
// records a refusal for the choice of the next connection.
func (p *Proxy) prepareRetry(ctx context.Context, q *request, last sendResult) {
	if last.result.NotRun() && last.target != "" && !q.match.Route.Idempotent {
		q.refusedBy = append(q.refusedBy, last.target)
	}
	switch {
	case !q.keyed() && last.target != "":
		q.excluded = append(q.excluded, last.target)
	case last.result == attempt.WrongTarget:
		waitFor(ctx, p.catalog.Changed(), grantDelay)
	}
}

// sendOnce sends a request to a target, or to another host if this one has no path to the
// targets.
func (p *Proxy) sendOnce(ctx context.Context, q *request) (sendResult, error) {
	block, blocked := p.blockOf(q)
	if blocked && !p.excludeBlocked(q, block) {
		return sendResult{}, q.refusePoison()
	}
	if err := p.refuseLate(q, 0); err != nil {
		return sendResult{}, err
	}
	if host, ok := p.peer(q); ok {
		if blocked && q.queueOwner != "" && p.covers(block, q.queueOwner) {
			return sendResult{}, q.refusePoison()
		}
		if !p.renewRetry(q) {
			return sendResult{}, q.failOrRefuse(reasonOverBudget, q.match.Route.Objective/2, nil)
		}
		return p.recordLatency(q, p.clock.Now(), p.relay(ctx, q, host)), nil
	}
	p.countForBudget(q)
	if q.relayed && p.reach.IsLost(q.match.Service.Name) {
		return sendResult{}, q.refuseFor(reasonDetached, 0, nil)
	}
	owner, err := p.owner(ctx, q)
	if err != nil {
		return sendResult{}, err
	}
	if blocked && owner != "" && p.covers(block, owner) {
		return sendResult{}, q.refusePoison()
	}
	choose := p.chooseTarget
	if owner != "" && p.OwnerQueue() {
		choose = p.chooseQueued
	}
	choice, err := choose(ctx, q, owner)
	if errors.Is(err, errOwnerChanged) {
		return p.sendOnce(ctx, q)
	}
	if err != nil {
		return sendResult{}, err
	}
	if err := p.refuseLate(q, choice.ExpectedLatency); err != nil {
		choice.End(placement.NotSent, nil, p.clock.Now())
		return sendResult{}, err
	}
	if !p.renewRetry(q) {
		choice.End(placement.NotSent, nil, p.clock.Now())
		return sendResult{}, q.failOrRefuse(reasonOverBudget, q.match.Route.Objective/2, nil)
	}
	return p.recordLatency(q, p.clock.Now(), p.sendWithHedge(ctx, q, choice)), nil
}

// countForBudget counts a request for the retry budget, unless that was done.
func (p *Proxy) countForBudget(q *request) {
	if !q.budgeted {
		p.budget.RecordRequest(q.match.Service.Name, q.started)
		q.budgeted = true
	}
}

// renewRetry counts a retry at the time when it is sent, and reports whether that is within
// the retry budget. A retry may have waited for its owner or for capacity.
func (p *Proxy) renewRetry(q *request) bool {
	counted := q.retryCounted
	q.retryCounted = time.Time{}
	return counted.IsZero() || p.budget.Renew(q.match.Service.Name, counted, p.clock.Now())
}

// returnRetry returns a retry that is not sent to the retry budget.
func (p *Proxy) returnRetry(q *request) {
	if q.retryCounted.IsZero() {
		return
	}
	p.budget.Return(q.match.Service.Name, q.retryCounted, p.clock.Now())
	q.retryCounted = time.Time{}
}

func (q *request) timeLeft(now time.Time) time.Duration { return q.deadline.Sub(now) }

// recentOwnerChange is the age of the last change of owners up to which a target
// that refused a key may still be about to receive it.
const recentOwnerChange = time.Second

// mayRetry reports whether a request may be sent again after a send with the given
// result: the whole body is buffered, the owners have changed recently if the target
// does not own the request's key, the retry budget allows it, and the host that has relayed
// the request, if any, has an attempt left.
func (p *Proxy) mayRetry(ctx context.Context, q *request, last attempt.Result) bool {
	if q.keyed() && last == attempt.WrongTarget && p.clock.Now().Sub(p.catalog.ChangedAt()) > recentOwnerChange {
		return false
	}
	now := p.clock.Now()
	if !q.body.replayable() || !p.budget.Spend(q.match.Service.Name, now) {
		return false
	}
	if !p.acquireAttempt(ctx, q) {
		p.budget.Return(q.match.Service.Name, now, p.clock.Now())
		return false
	}
	q.retryCounted = now
	return true
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

// failUnknown returns the failure of a request that a target may have run and whose response did not come.
func (q *request) failUnknown(sent sendResult) error {
	if sent.timedOut {
		return q.fail(http.StatusGatewayTimeout, reasonTimeout, sent.err)
	}
	return q.fail(http.StatusBadGateway, reasonResponseLost, sent.err)
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

// sendResult is the result of one send.
type sendResult struct {
	result          attempt.Result
	targetFull      bool
	response        *response
	target          string
	expectedLatency time.Duration
	err             error
	// timedOut is set if the request was relayed to another host and its time ended there.
	timedOut bool
	// final is the failure that ends the request whatever its progress; nil for none.
	final error
	// suspended is set if there is no response yet, and the send is the request's pending one.
	suspended bool
}

// fromOther reports whether another target than the one that was chosen has responded.
func (s *sendResult) fromOther() bool {
	return s.response != nil && s.response.info.Instance != "" && s.response.info.Instance != s.target
}

// roundTrip sends a request to a target and reads the response. It calls onLost, which may be nil, if the path to the
// target looks lost meanwhile.
func (p *Proxy) roundTrip(ctx context.Context, q *request, choice *placement.Choice, onLost func()) sendResult {
	s := sendResult{target: choice.Entry.ID, expectedLatency: choice.ExpectedLatency}
	sentAt := p.clock.Now()
	send := p.reach.Sent(q.match.Service.Name, choice.ExpectedLatency, onLost, sentAt)
	var use socket.Use
	resp, err := p.transport(q, choice.Entry.ID, sentAt).RoundTrip(p.targetRequest(use.Trace(ctx), q, choice))
	p.reach.End(send, err == nil, p.clock.Now())
	if err != nil {
		s.err = errors.Wrapf(err, "send to target %s", choice.Entry.ID)
		s.result = classifySendError(err)
		s.targetFull = choice.TargetFull(nil)
		p.recordLost(ctx, q, choice, s, sentAt)
		p.endChoice(ctx, choice, s, nil)
		return s
	}
	r, err := readResponse(q, resp)
	if err == nil {
		err = p.checkRefusal(q, choice.Entry.ID, r, &use)
	}
	if err != nil {
		// The connection must not be reused: the data that follows on it may not
		// belong to any request.
		s.err = errors.Wrapf(err, "response of target %s", choice.Entry.ID)
		s.result = attempt.Unknown
		p.discardConnections(choice.Entry.ID, resp)
		s.targetFull = choice.TargetFull(nil)
		p.recordLost(ctx, q, choice, s, sentAt)
		p.endChoice(ctx, choice, s, nil)
		return s
	}
	if r.unread == nil {
		_ = resp.Body.Close()
	}
	s.response = r
	s.result = classifyResponse(r)
	p.recordResponded(q, choice, s)
	p.observe(s, sentAt)
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

// RecordUnanswered records that a target of a service did not answer an order of this host.
func (p *Proxy) RecordUnanswered(service string) { p.reach.Failed(service, p.clock.Now()) }

// recordDial records the result of a connection to a target.
func (p *Proxy) recordDial(target string, err error) {
	entry, ok := p.targets.Entry(target)
	switch {
	case !ok || errors.Is(err, context.Canceled):
	case err != nil:
		p.reach.Failed(entry.Service, p.clock.Now())
		p.recordRefused(entry, err)
	default:
		p.reach.Connected(entry.Service, p.clock.Now())
	}
}

func (p *Proxy) targetRequest(ctx context.Context, q *request, choice *placement.Choice) *http.Request {
	return q.outgoing(ctx, choice.Entry.Address, platform.RequestHeaders(q.header, choice.Entry.ID, q.timeLeft(p.clock.Now())))
}

// url returns the URL of the request at an address. Its path is sent as the caller sent it.
func (q *request) url(address string) *url.URL {
	u := &url.URL{Scheme: "http", Host: address, RawQuery: q.query, ForceQuery: q.emptyQuery}
	if !strings.HasPrefix(q.path, "//") {
		u.Opaque = q.path
		return u
	}
	// An opaque part that begins so would be taken for a host.
	u.RawPath = q.path
	u.Path, _ = url.PathUnescape(q.path)
	return u
}

// outgoing returns the request as it is sent to an address, with the given headers.
func (q *request) outgoing(ctx context.Context, address string, header http.Header) *http.Request {
	req := &http.Request{
		Method: q.method, Host: q.host,
		URL:    q.url(address),
		Header: header,
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

// loadReport converts a target's load report, nil if it sent none that counts its requests.
func loadReport(load *platform.Load) *placement.Report {
	if load == nil || !load.Counted {
		return nil
	}
	return &placement.Report{Running: load.Running, Waiting: load.Waiting, Slowdown: load.Slowdown}
}

func placementResult(ctx context.Context, s sendResult) placement.Result {
	switch {
	case s.result == attempt.Complete:
		return placement.Complete
	case s.result == attempt.WrongTarget && s.fromOther():
		return placement.Unreachable
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
