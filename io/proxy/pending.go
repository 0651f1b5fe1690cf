package proxy

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"pineturn/core/attempt"
)

// pendingSend is a send without a response. What looks silent may be well, and its target at work: so the send goes
// on while the request is sent again, and the first success of the two is used.
type pendingSend struct {
	sentAt time.Time
	// replied is closed once the send has ended. complete is set before if it was a success.
	replied  chan struct{}
	complete bool
	// After the send has ended, either result is called once, by the goroutine of the request, and returns its
	// result, or discard, which releases its response.
	result  func() sendResult
	discard func()
	cancel  context.CancelCauseFunc
	// takeAttempt reports whether there is an attempt to send the request again beside this send; nil if this
	// host has all of them.
	takeAttempt func() bool
}

// supersede ends a send whose response is not needed any more.
func (s *pendingSend) supersede() {
	s.cancel(errSuperseded)
	go func() {
		<-s.replied
		s.discard()
	}()
}

// repeatable reports whether a request may be sent again while a target may be at work on it.
func (q *request) repeatable() bool { return q.match.Route.Idempotent && q.body.replayable() }

// suspicion returns the channel of a suspicion, or nil if the request is sent beside a pending send already.
func (q *request) suspicion(suspected <-chan struct{}) <-chan struct{} {
	if q.pending != nil {
		return nil
	}
	return suspected
}

// suspend keeps a send to a target, empty if unknown, whose host or path looks lost, and returns its result so far.
func (q *request) suspend(s *pendingSend, target string, err error) sendResult {
	q.pending = s
	q.suspected++
	return sendResult{result: attempt.Unknown, target: target, err: err, suspended: true}
}

// sendNext sends a request, and once more beside that send if this looks lost and it may be sent again.
func (p *Proxy) sendNext(ctx context.Context, q *request) (sendResult, error) {
	sent, err := p.sendOnce(ctx, q)
	if err != nil || !sent.suspended {
		return sent, err
	}
	if !q.progress.SendBeside(q.attemptRequest(), q.timeLeft(p.clock.Now()), func() bool { return p.maySendBeside(ctx, q, sent.result) }) {
		return p.awaitPending(q), nil
	}
	p.prepareRetry(ctx, q, sent)
	return p.sendBeside(ctx, q)
}

// maySendBeside reports whether a request may be sent again beside its pending send.
func (p *Proxy) maySendBeside(ctx context.Context, q *request, last attempt.Result) bool {
	if !p.mayRetry(ctx, q, last) {
		return false
	}
	if take := q.pending.takeAttempt; take != nil && !take() {
		p.returnRetry(q)
		return false
	}
	return true
}

// awaitPending returns the result of the pending send.
func (p *Proxy) awaitPending(q *request) sendResult {
	first := q.pending
	<-first.replied
	q.pending = nil
	return p.recordLatency(q, first.sentAt, first.result())
}

// sendBeside sends a request beside its pending send, further times if a send does not reach a target that runs it.
// It returns the first success, or else what there is to be told to the caller.
func (p *Proxy) sendBeside(ctx context.Context, q *request) (sendResult, error) {
	for {
		sent, firstWins, err := p.sendAgainst(ctx, q)
		switch {
		case firstWins:
			return p.useFirst(q, sent, err), nil
		case err == nil && sent.succeeded():
			p.supersedePending(q)
			return sent, nil
		case err != nil || sent.final != nil || !sent.result.NotRun():
			return p.awaitFirst(q, sent, err)
		}
		outcome := attempt.Outcome{Result: sent.result, TargetFull: sent.targetFull}
		again := func() bool { return p.mayRetry(ctx, q, sent.result) }
		if q.progress.After(q.attemptRequest(), outcome, q.timeLeft(p.clock.Now()), again) != attempt.Retry {
			sent.final = q.fail(http.StatusBadGateway, reasonResponseLost, sent.err)
			return p.awaitFirst(q, sent, nil)
		}
		p.prepareRetry(ctx, q, sent)
	}
}

// sendAgainst sends a request beside its pending send once, until one of the two has succeeded. firstWins is set if
// that is the pending one.
func (p *Proxy) sendAgainst(ctx context.Context, q *request) (sent sendResult, firstWins bool, err error) {
	first := q.pending
	// decided is set by the first success, or once this send has ended.
	var decided atomic.Bool
	second, cancel := context.WithCancelCause(ctx)
	ended := make(chan struct{})
	go func() {
		select {
		case <-first.replied:
			if first.complete && decided.CompareAndSwap(false, true) {
				cancel(errSuperseded)
			}
		case <-ended:
		}
	}()
	sent, err = p.sendOnce(second, q)
	close(ended)
	return sent, !decided.CompareAndSwap(false, true), err
}

// succeeded reports whether a target has responded without an error of its own.
func (s *sendResult) succeeded() bool {
	return s.result == attempt.Complete && s.final == nil && s.response.status < http.StatusInternalServerError
}

// supersedePending ends the pending send.
func (p *Proxy) supersedePending(q *request) {
	q.pending.supersede()
	q.pending = nil
}

// useFirst returns the result of the pending send, and releases the other one.
func (p *Proxy) useFirst(q *request, second sendResult, err error) sendResult {
	if err != nil {
		p.returnRetry(q)
	}
	if second.response != nil {
		second.response.close()
	}
	return p.awaitPending(q)
}

// awaitFirst awaits the pending send beside which another one was no success. If the other one has brought an error
// response, it does so for half of the time that is left.
func (p *Proxy) awaitFirst(q *request, second sendResult, err error) (sendResult, error) {
	first := q.pending
	var late <-chan time.Time
	if err == nil && second.response != nil {
		timer := time.NewTimer(q.timeLeft(p.clock.Now()) / 2)
		defer timer.Stop()
		late = timer.C
	}
	select {
	case <-first.replied:
	case <-late:
		p.supersedePending(q)
		return second, nil
	}
	if err == nil && second.response != nil && !first.complete {
		q.pending = nil
		first.discard()
		return second, nil
	}
	if first.complete {
		return p.useFirst(q, second, err), nil
	}
	result := p.awaitPending(q)
	if result.response != nil {
		if err != nil {
			p.returnRetry(q)
		}
		// It is delivered: sending the request again has been tried.
		result.result = attempt.Complete
		return result, nil
	}
	return second, err
}
