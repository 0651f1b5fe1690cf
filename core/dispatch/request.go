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

// targetRequest holds the state of one request at its leaseholder, and the slot, permit
// and id that it uses.
type targetRequest struct {
	leaseholder *Leaseholder
	ingress     record.Member
	route       route.Route
	req         message.Request
	deadline    time.Time
	cancel      context.CancelFunc

	queue  *targetQueue
	claim  *dedup.Claim
	slot   *admission.Slot
	permit route.Permit
	// releasePermit releases the permit.
	releasePermit func()
	endOnce       sync.Once
}

// serve acquires a slot and a permit, claims the id, and sends the request.
func (r *targetRequest) serve(ctx context.Context) (*message.Response, *outcome.Error) {
	stored, failure := r.prepare(ctx)
	if failure != nil {
		r.end(failure, nil)
		return nil, failure
	}
	if stored != nil {
		r.end(errResponseStored, nil)
		return storedResponse(stored), nil
	}
	response, failure := r.send(ctx)
	if failure != nil {
		r.end(failure, nil)
		return nil, failure
	}
	return r.deliver(response)
}

// send sends the request to the target, unless the circuit breaker is open.
func (r *targetRequest) send(ctx context.Context) (*message.Response, *outcome.Error) {
	report, err := r.queue.breaker.Allow()
	if err != nil {
		return nil, outcome.Refuse(outcome.TargetFailed, "the target accepted no connection lately", breakerTimeout)
	}
	r.leaseholder.counts.sent.Add(1)
	response, failure := r.leaseholder.Send(ctx, r.permit, r.route.Target, &r.req, r.route.Service.LongRunning())
	if failure != nil && failure.Outcome == outcome.NotRun && failure.Reason == outcome.TargetFailed {
		report(failure)
	} else {
		report(nil)
	}
	return response, failure
}

// errResponseStored ends a request that was not sent because the response of an earlier
// attempt is stored.
var errResponseStored = outcome.Refuse(outcome.Duplicate, "the answer was kept", 0)

// prepare acquires a slot and a permit, and claims the id of a request that must not be
// repeated. It returns the stored response of an earlier attempt, if there is one.
func (r *targetRequest) prepare(ctx context.Context) (*dedup.Response, *outcome.Error) {
	if r.req.Once {
		if stored, failure := r.lookup(ctx); stored != nil || failure != nil {
			return stored, failure
		}
	}
	r.queue = r.leaseholder.queue(r.route)
	slot, failure := r.queue.Acquire(ctx, r.req.Key, r.deadline)
	if failure != nil {
		return nil, failure
	}
	r.slot = slot
	if failure := r.acquirePermit(); failure != nil || !r.req.Once {
		return nil, failure
	}
	return r.claimID(ctx)
}

// acquirePermit acquires a permit that replaces the current one, if there is one.
func (r *targetRequest) acquirePermit() *outcome.Error {
	permit, release, failure := r.leaseholder.Permit(r.req.Shard, r.req.Epoch, r.req.Key)
	if r.releasePermit != nil {
		r.releasePermit()
		r.releasePermit = nil
	}
	if failure != nil {
		return failure
	}
	r.permit, r.releasePermit = permit, release
	return nil
}

// deliver returns the target's response. A response of known length up to
// maxBufferedBytes is read completely first.
func (r *targetRequest) deliver(response *message.Response) (*message.Response, *outcome.Error) {
	if response.Head.Header == nil {
		response.Head.Header = make(map[string][]string, 2)
	}
	response.Head.Header[header.Target] = []string{r.route.Target.ID().String()}
	response.Head.Header[header.Epoch] = []string{strconv.FormatUint(r.permit.Epoch, 10)}
	length := contentLength(response.Head.Header)
	if length < 0 || length > maxBufferedBytes {
		response.Body = &streamedBody{request: r, inner: response.Body}
		return response, nil
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	if err != nil {
		failure := outcome.UnknownError(outcome.ResponseTruncated, "the target's answer was cut short")
		r.end(failure, nil)
		return nil, failure
	}
	stored := &dedup.Response{Status: response.Head.Status, Header: response.Head.Header, Body: body}
	r.end(nil, stored)
	response.Body = io.NopCloser(bytes.NewReader(body))
	return response, nil
}

// end releases the resources of the request: the slot when the target has certainly or
// very likely ended the request, the permit only when the target has certainly ended
// it. A non-nil response is stored for retries.
func (r *targetRequest) end(failure *outcome.Error, response *dedup.Response) {
	r.endOnce.Do(func() {
		r.cancel()
		if failure == nil {
			r.leaseholder.counts.done.Add(1)
		}
		if r.claim != nil {
			r.claim.Finish(targetOutcome(failure), response)
		}
		slotWait, permitWait := r.releaseDelays(failure)
		if r.slot != nil {
			runAfter(slotWait, func() { r.slot.Release(admissionResult(failure)) })
		}
		if r.releasePermit != nil {
			runAfter(permitWait, r.releasePermit)
		}
	})
}

// releaseDelays returns the times for which slot and permit are kept after the request
// ended on this host. A target ends a cancelled request when it detects that the
// connection was closed, and any request at its deadline.
func (r *targetRequest) releaseDelays(failure *outcome.Error) (slot, permit time.Duration) {
	if failure == nil || failure.Outcome != outcome.Unknown {
		return 0, 0
	}
	stop := r.deadline
	if !r.route.Service.LongRunning() {
		stop = clock.Earlier(stop, r.permit.Until)
	}
	left := max(stop.Sub(r.leaseholder.Clock.Now()), 0)
	slot = min(left, cancelGrace)
	if r.route.Service.LongRunning() {
		// The target aborts a long-running request when the grant expires, so the
		// permit need not outlast it.
		return slot, slot
	}
	return slot, left
}

func targetOutcome(failure *outcome.Error) outcome.Outcome {
	if failure == nil {
		return outcome.Done
	}
	return failure.Outcome
}

func admissionResult(failure *outcome.Error) admission.Result {
	switch {
	case failure == nil:
		return admission.Result{Served: true}
	case failure.Outcome == outcome.NotRun && failure.Reason == outcome.Shed:
		return admission.Result{Shed: true, RetryAfter: failure.RetryAfter}
	}
	return admission.Result{}
}

// streamedBody is the body of a long response. It ends its request at the end of the body
// or when it is closed.
type streamedBody struct {
	request *targetRequest
	inner   io.ReadCloser
}

// Read ends the request at the end of the body.
func (b *streamedBody) Read(data []byte) (int, error) {
	n, err := b.inner.Read(data)
	switch {
	case err == nil:
	case errors.Is(err, io.EOF):
		b.request.end(nil, nil)
	default:
		b.request.end(outcome.UnknownError(outcome.ResponseTruncated, "the target's answer was cut short"), nil)
	}
	return n, err
}

// Close ends the request as cancelled, unless the body was read completely.
func (b *streamedBody) Close() error {
	err := b.inner.Close()
	b.request.end(outcome.UnknownError(outcome.Cancelled, "the answer was not read to its end"), nil)
	return err
}

// storedResponse returns a stored response as a new one, or nil.
func storedResponse(stored *dedup.Response) *message.Response {
	if stored == nil {
		return nil
	}
	return &message.Response{
		Head: message.Head{Status: stored.Status, Header: stored.Header},
		Body: io.NopCloser(bytes.NewReader(stored.Body)),
	}
}

// contentLength returns the length in a response's header, in bytes, or -1 if there is
// none.
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
