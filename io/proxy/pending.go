package proxy

import (
	"context"
	"time"

	"pineturn/core/attempt"
)

// pendingSend is a send without a response. What looks silent may be well, and its target at work: so the send goes
// on while the request is sent again, and the first complete response of the two is used.
type pendingSend struct {
	sentAt time.Time
	// replied is closed once the send has ended. complete is set before if its response can be used.
	replied  chan struct{}
	complete bool
	// After the send has ended, either result is called once, by the goroutine of the request, and returns its
	// result, or discard, which releases its response.
	result  func() sendResult
	discard func()
	cancel  context.CancelCauseFunc
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
	again := func() bool { return p.mayRetry(ctx, q, sent.result) }
	if q.progress.After(q.attemptRequest(), attempt.Outcome{Result: sent.result}, q.timeLeft(p.clock.Now()), again) != attempt.Retry {
		return p.awaitPending(q), nil
	}
	if !q.keyed() && sent.target != "" {
		q.excluded = append(q.excluded, sent.target)
	}
	return p.sendBeside(ctx, q)
}

// awaitPending returns the result of the pending send.
func (p *Proxy) awaitPending(q *request) sendResult {
	first := q.pending
	<-first.replied
	q.pending = nil
	return p.recordLatency(q, first.sentAt, first.result())
}

// sendBeside sends a request beside its pending send. It returns the first complete response, or the result of this
// send if both have failed.
func (p *Proxy) sendBeside(ctx context.Context, q *request) (sendResult, error) {
	first := q.pending
	second, cancel := context.WithCancelCause(ctx)
	ended := make(chan struct{})
	go func() {
		select {
		case <-first.replied:
			if first.complete {
				cancel(errSuperseded)
			}
		case <-ended:
		}
	}()
	sent, err := p.sendOnce(second, q)
	close(ended)
	if err == nil && sent.result == attempt.Complete {
		q.pending = nil
		first.supersede()
		return sent, nil
	}
	cancel(nil)
	result := p.awaitPending(q)
	if result.result != attempt.Complete {
		return sent, err
	}
	if err != nil {
		p.returnRetry(q)
	}
	return result, nil
}
