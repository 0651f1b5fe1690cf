package dispatch

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"pineturn/core/admission"
	"pineturn/core/clock"
	"pineturn/core/dedup"
	"pineturn/core/header"
	"pineturn/core/message"
	"pineturn/core/outcome"
	"pineturn/core/record"
	"pineturn/core/route"
)

// run is one request at its holder, and what it has taken hold of.
type run struct {
	holder   *Leaseholder
	entry    record.Member
	way      route.Route
	req      message.Request
	deadline time.Time
	cancel   context.CancelFunc

	gate   *gate
	claim  *dedup.Claim
	slot   *admission.Slot
	permit route.Permit
	done   func()
	finish sync.Once
}

// serve takes a slot, a permit and the id in this order, and sends.
func (r *run) serve(ctx context.Context) (*message.Answer, *outcome.Error) {
	kept, failure := r.prepare(ctx)
	if failure != nil {
		r.end(failure, nil)
		return nil, failure
	}
	if kept != nil {
		r.end(errRepeated, nil)
		return repeat(kept), nil
	}
	answer, failure := r.send(ctx)
	if failure != nil {
		r.end(failure, nil)
		return nil, failure
	}
	return r.deliver(answer)
}

// send passes the request on, unless connections to the target lately failed
// to open.
func (r *run) send(ctx context.Context) (*message.Answer, *outcome.Error) {
	report, err := r.gate.breaker.Allow()
	if err != nil {
		return nil, outcome.Refuse(outcome.TargetFailed, "the target accepted no connection lately", breakerPause)
	}
	r.holder.counts.sent.Add(1)
	answer, failure := r.holder.Send(ctx, r.permit, r.way.Target, &r.req, r.way.Service.LongRunning())
	if failure != nil && failure.Outcome == outcome.NotRun && failure.Reason == outcome.TargetFailed {
		report(failure)
	} else {
		report(nil)
	}
	return answer, failure
}

// errRepeated ends a run that sent nothing, as its answer was kept.
var errRepeated = outcome.Refuse(outcome.Duplicate, "the answer was kept", 0)

// prepare gets a slot and a permit, and for a request that must not be
// repeated its id. It returns the kept answer of an earlier attempt, if any.
func (r *run) prepare(ctx context.Context) (*dedup.Answer, *outcome.Error) {
	if r.req.Once {
		if kept, failure := r.recall(ctx); kept != nil || failure != nil {
			return kept, failure
		}
	}
	r.gate = r.holder.gate(r.way)
	slot, failure := r.gate.Acquire(ctx, r.req.Key, r.deadline)
	if failure != nil {
		return nil, failure
	}
	r.slot = slot
	if failure := r.allow(); failure != nil || !r.req.Once {
		return nil, failure
	}
	return r.begin(ctx)
}

// allow gets a permit, in place of the one the run has.
func (r *run) allow() *outcome.Error {
	permit, done, failure := r.holder.Permit(r.req.Shard, r.req.Epoch, r.req.Key)
	if r.done != nil {
		r.done()
		r.done = nil
	}
	if failure != nil {
		return failure
	}
	r.permit, r.done = permit, done
	return nil
}

// deliver returns an answer. A short one is read whole first.
func (r *run) deliver(answer *message.Answer) (*message.Answer, *outcome.Error) {
	if answer.Head.Header == nil {
		answer.Head.Header = make(map[string][]string, 2)
	}
	answer.Head.Header[header.Target] = []string{r.way.Target.ID().String()}
	answer.Head.Header[header.Epoch] = []string{strconv.FormatUint(r.permit.Epoch, 10)}
	length := contentLength(answer.Head.Header)
	if length < 0 || length > maxBuffered {
		answer.Body = &runBody{run: r, inner: answer.Body}
		return answer, nil
	}
	body, err := io.ReadAll(answer.Body)
	_ = answer.Body.Close()
	if err != nil {
		failure := outcome.UnknownError(outcome.AnswerCut, "the target's answer was cut short")
		r.end(failure, nil)
		return nil, failure
	}
	kept := &dedup.Answer{Status: answer.Head.Status, Header: answer.Head.Header, Body: body}
	r.end(nil, kept)
	answer.Body = io.NopCloser(bytes.NewReader(body))
	return answer, nil
}

// end gives back what the run holds: the slot when the target has certainly
// or very likely ended the request, the permit only when it certainly has.
func (r *run) end(failure *outcome.Error, kept *dedup.Answer) {
	r.finish.Do(func() {
		r.cancel()
		if failure == nil {
			r.holder.counts.done.Add(1)
		}
		if r.claim != nil {
			r.claim.Finish(fateAtHolder(failure), kept)
		}
		slotWait, permitWait := r.linger(failure)
		if r.slot != nil {
			after(slotWait, func() { r.slot.Release(result(failure)) })
		}
		if r.done != nil {
			after(permitWait, r.done)
		}
	})
}

// linger returns how long slot and permit stay held after the request ended
// here. A target ends a cancelled request when it sees its connection closed,
// and any request at its deadline.
func (r *run) linger(failure *outcome.Error) (slot, permit time.Duration) {
	if failure == nil || failure.Outcome != outcome.Unknown {
		return 0, 0
	}
	stop := r.deadline
	if !r.way.Service.LongRunning() {
		stop = clock.Earlier(stop, r.permit.Until)
	}
	left := max(stop.Sub(r.holder.Clock.Now()), 0)
	slot = min(left, cancelLinger)
	if r.way.Service.LongRunning() {
		return slot, slot
	}
	return slot, left
}

func fateAtHolder(failure *outcome.Error) outcome.Outcome {
	if failure == nil {
		return outcome.Done
	}
	return failure.Outcome
}

func result(failure *outcome.Error) admission.Result {
	switch {
	case failure == nil:
		return admission.Result{Served: true}
	case failure.Outcome == outcome.NotRun && failure.Reason == outcome.Shed:
		return admission.Result{Shed: true, RetryAfter: failure.RetryAfter}
	}
	return admission.Result{}
}

// runBody is a long answer on its way; its run ends with it.
type runBody struct {
	run   *run
	inner io.ReadCloser
}

// Read ends the run at the end of the body.
func (b *runBody) Read(data []byte) (int, error) {
	n, err := b.inner.Read(data)
	switch {
	case err == nil:
	case errors.Is(err, io.EOF):
		b.run.end(nil, nil)
	default:
		b.run.end(outcome.UnknownError(outcome.AnswerCut, "the target's answer was cut short"), nil)
	}
	return n, err
}

// Close ends the run as cancelled, unless the body was read to its end.
func (b *runBody) Close() error {
	err := b.inner.Close()
	b.run.end(outcome.UnknownError(outcome.Cancelled, "the answer was not read to its end"), nil)
	return err
}

// repeat returns a kept answer once more, or nil.
func repeat(kept *dedup.Answer) *message.Answer {
	if kept == nil {
		return nil
	}
	return &message.Answer{
		Head: message.Head{Status: kept.Status, Header: kept.Header},
		Body: io.NopCloser(bytes.NewReader(kept.Body)),
	}
}

// contentLength returns the length that an answer's header states, or -1.
func contentLength(fields http.Header) int64 {
	values := fields["Content-Length"]
	if len(values) != 1 {
		return -1
	}
	length, err := strconv.ParseInt(values[0], 10, 64)
	if err != nil {
		return -1
	}
	return length
}
