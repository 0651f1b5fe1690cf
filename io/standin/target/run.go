package target

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"pineturn/core/audit"
	"pineturn/core/outcome"
)

// run is one request that the application runs. Its number counts the runs of the
// target, keyRun those of the key. The times start and lostAt are by the target's
// clock. The target's lock guards lost, lostAt and finished. The target sets lost
// when it no longer owns the request's key, and lostAt to the time of that loss.
type run struct {
	target      *Target
	req         request
	number      uint64
	keyRun      uint64
	start       time.Duration
	serviceTime time.Duration
	method      string
	path        string
	bodyHash    uint64
	bodySize    int
	lost        bool
	lostAt      time.Duration
	finished    bool
}

// The reasons for which a running request is cut before it has completed.
const (
	cutDeadline  = string(outcome.DeadlineExceeded)
	cutCancelled = string(outcome.Cancelled)
	cutGrant     = string(outcome.LeaseLost)
	cutStopped   = "stopped"
)

func (t *Target) serveRequest(w http.ResponseWriter, r *http.Request) {
	req, err := t.parseRequest(r)
	if err != nil {
		t.refuse(w, req, requestRefusal{status: http.StatusBadRequest, reason: outcome.BadRequest})
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		t.refuse(w, req, requestRefusal{status: http.StatusBadRequest, reason: outcome.BadRequest})
		return
	}
	running, refusal := t.admit(r.Context(), req)
	if refusal != nil {
		t.refuse(w, req, *refusal)
		return
	}
	running.method, running.path = r.Method, r.URL.Path
	running.bodyHash, running.bodySize = xxhash.Sum64(body), len(body)
	running.respond(w, r)
}

// admit starts a request in a free slot, or in one that becomes free while the
// request waits in the queue. Otherwise it returns the refusal.
func (t *Target) admit(ctx context.Context, req request) (*run, *requestRefusal) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if refusal := t.checkRequest(req); refusal != nil {
		return nil, t.recordRefusal(req, refusal)
	}
	if t.inFlight < t.slots {
		t.inFlight++
		return t.startRun(req), nil
	}
	if len(t.waiters) >= t.queue {
		return nil, t.recordRefusal(req, &requestRefusal{status: http.StatusServiceUnavailable, reason: outcome.Shed})
	}
	if refusal := t.waitForSlot(ctx, req); refusal != nil {
		return nil, t.recordRefusal(req, refusal)
	}
	if refusal := t.checkRequest(req); refusal != nil {
		t.releaseSlot()
		return nil, t.recordRefusal(req, refusal)
	}
	return t.startRun(req), nil
}

// checkRequest returns the refusal of a request that can't start now, nil if it
// can.
func (t *Target) checkRequest(req request) *requestRefusal {
	now := t.now()
	t.expireGrant(now)
	incarnationMismatch := req.incarnation != t.incarnation && (req.incarnation != "" || req.deadline > 0)
	item, ok := t.grant.owns(req.shard, req.key)
	switch {
	case incarnationMismatch:
		return &requestRefusal{status: http.StatusConflict, reason: reasonWrongIncarnation}
	case t.checked && req.term < t.highestTerm:
		return &requestRefusal{status: http.StatusConflict, reason: reasonStaleTerm}
	case !ok || t.checked && req.epoch != item.epoch:
		return &requestRefusal{status: http.StatusConflict, reason: reasonNotOwner}
	case req.deadline > 0 && now >= req.deadline:
		return &requestRefusal{status: http.StatusGatewayTimeout, reason: outcome.DeadlineExceeded}
	case t.draining && now-t.drainStart >= t.drainRefuse:
		return &requestRefusal{status: http.StatusServiceUnavailable, reason: outcome.Draining}
	case now < t.shedUntil:
		return &requestRefusal{
			status: http.StatusServiceUnavailable, reason: outcome.Shed, retryAfter: t.shedUntil - now,
		}
	}
	return nil
}

// recordRefusal counts a request that was not run and records it in the audit.
// It returns refusal.
func (t *Target) recordRefusal(req request, refusal *requestRefusal) *requestRefusal {
	t.counts.Refused[string(refusal.reason)]++
	entry := req.entry()
	entry.Reason = string(refusal.reason)
	t.record(requestEntry(audit.Refused, entry), t.now())
	return refusal
}

// waitForSlot waits until releaseSlot passes a slot to the request. The caller
// holds mu, which waitForSlot releases while it waits.
func (t *Target) waitForSlot(ctx context.Context, req request) *requestRefusal {
	slot := make(chan struct{})
	t.waiters = append(t.waiters, slot)
	left := maxQueueTime
	if req.deadline > 0 {
		left = req.deadline - t.now()
	}
	t.mu.Unlock()
	timer := time.NewTimer(left)
	defer timer.Stop()
	reason := outcome.Shed
	select {
	case <-slot:
		t.mu.Lock()
		return nil
	case <-timer.C:
		reason = outcome.DeadlineExceeded
	case <-ctx.Done():
		reason = outcome.Cancelled
	case <-t.done:
	}
	t.mu.Lock()
	t.leaveQueue(slot)
	return &requestRefusal{status: http.StatusServiceUnavailable, reason: reason}
}

// maxQueueTime is the maximum time in the queue of a request without a deadline.
const maxQueueTime = time.Minute

// leaveQueue removes a request from the queue. If a slot was passed to the
// request concurrently, it releases the slot.
func (t *Target) leaveQueue(slot chan struct{}) {
	for i, other := range t.waiters {
		if other == slot {
			t.waiters = append(t.waiters[:i], t.waiters[i+1:]...)
			return
		}
	}
	t.releaseSlot()
}

// releaseSlot passes a slot to the request that has waited longest. Without
// such a request the slot becomes free.
func (t *Target) releaseSlot() {
	if len(t.waiters) > 0 {
		close(t.waiters[0])
		t.waiters = t.waiters[1:]
		return
	}
	t.inFlight--
	t.recordSample(t.now())
}

// startRun starts a request that has a slot.
func (t *Target) startRun(req request) *run {
	now := t.now()
	t.recordSample(now)
	t.lastRunNumber++
	t.counts.Runs++
	state, ok := t.keys[req.key]
	if !ok {
		state = &keyState{}
		t.keys[req.key] = state
	}
	state.shard = req.shard
	state.runs++
	running := &run{
		target: t, req: req, number: t.lastRunNumber, keyRun: state.runs, start: now,
		serviceTime: t.adjustedServiceTime(req, state.runs, now),
	}
	t.running[running] = struct{}{}
	t.record(requestEntry(audit.Began, running.entry()), now)
	return running
}

// adjustedServiceTime returns the service time of a request. It is longer by coldFactor
// after a recent grant of the shard and for the first requests of the key.
func (t *Target) adjustedServiceTime(req request, runs uint64, now time.Duration) time.Duration {
	item, ok := t.grant.owns(req.shard, req.key)
	cold := ok && now-item.since < t.coldStart || runs <= uint64(t.coldRequests)
	if cold {
		return time.Duration(float64(req.work.serviceTime) * t.coldFactor)
	}
	return req.work.serviceTime
}

// runFor lets the request run for d. It returns the reason if the request was
// cut, otherwise an empty string.
func (x *run) runFor(ctx context.Context, d time.Duration) string {
	t := x.target
	end := t.now() + d
	for {
		now, until, reason, changed := x.nextCheck(end)
		if reason != "" || now >= end {
			return reason
		}
		if reason := x.sleep(ctx, until-now, changed); reason != "" {
			return reason
		}
	}
}

// nextCheck returns the time, the time until which to wait before the next
// check, at most end, the reason if the request is cut, and the channel that is
// closed when the grant changes.
func (x *run) nextCheck(end time.Duration) (now, until time.Duration, reason string, changed <-chan struct{}) {
	t := x.target
	t.mu.Lock()
	defer t.mu.Unlock()
	now = t.now()
	reason = x.cutReason(now)
	until = end
	if x.req.deadline > 0 {
		until = min(until, x.req.deadline)
	}
	if x.req.endWithGrant && !x.lost {
		until = min(until, t.grant.expires)
	}
	return now, until, reason, t.changed
}

// cutReason returns the reason for which the request must end at now, otherwise
// an empty string.
func (x *run) cutReason(now time.Duration) string {
	x.target.expireGrant(now)
	switch {
	case x.req.deadline > 0 && now >= x.req.deadline:
		return cutDeadline
	case x.req.endWithGrant && x.lost:
		return cutGrant
	case x.target.closed:
		return cutStopped
	}
	return ""
}

func (x *run) sleep(ctx context.Context, d time.Duration, changed <-chan struct{}) string {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-changed:
	case <-x.target.done:
	case <-ctx.Done():
		return cutCancelled
	}
	return ""
}

// finish ends the request and releases its slot. It returns the reason if the
// request was cut: that of the deadline, the grant or the stop if one of them
// ended the request, otherwise the given reason.
func (x *run) finish(reason string) string {
	t := x.target
	t.mu.Lock()
	defer t.mu.Unlock()
	if x.finished {
		return reason
	}
	x.finished = true
	now := t.now()
	if cut := x.cutReason(now); cut != "" {
		reason = cut
	}
	entry := x.entry()
	entry.EndUs = x.endTime(now).Microseconds()
	entry.Completed, entry.Reason = reason == "", reason
	if entry.Completed {
		t.counts.Completed++
	}
	delete(t.running, x)
	t.record(requestEntry(audit.Ended, entry), x.endTime(now))
	t.releaseSlot()
	return reason
}

// endTime returns the time from which the request has no more effects: now, or
// an earlier deadline or loss of the grant that the request ends with.
func (x *run) endTime(now time.Duration) time.Duration {
	if x.req.deadline > 0 {
		now = min(now, x.req.deadline)
	}
	if x.req.endWithGrant && x.lost {
		now = min(now, x.lostAt)
	}
	return max(now, x.start)
}

func (x *run) entry() audit.Request {
	entry := x.req.entry()
	entry.Run = x.number
	entry.StartUs = x.start.Microseconds()
	return entry
}

func (r request) entry() audit.Request {
	return audit.Request{
		ID:    r.id,
		Key:   r.key,
		Shard: r.shard.String(),
		Epoch: r.epoch,
		Term:  r.term,
	}
}
