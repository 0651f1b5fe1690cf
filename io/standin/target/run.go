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

// run is one request that the application runs. The target's lock guards
// lost and lostAt.
type run struct {
	target   *Target
	asked    request
	number   uint64
	keyRun   uint64
	start    time.Duration
	service  time.Duration
	method   string
	path     string
	bodyHash uint64
	bodySize int
	lost     bool
	lostAt   time.Duration
	finished bool
}

// The reasons for which a running request is cut.
const (
	cutDeadline  = string(outcome.DeadlineExceeded)
	cutCancelled = string(outcome.Cancelled)
	cutGrant     = string(outcome.LeaseLost)
	cutStopped   = "stopped"
)

func (t *Target) serveRequest(w http.ResponseWriter, r *http.Request) {
	asked, err := t.parseRequest(r)
	if err != nil {
		t.refuse(w, asked, refused{status: http.StatusBadRequest, reason: outcome.BadRequest})
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		t.refuse(w, asked, refused{status: http.StatusBadRequest, reason: outcome.BadRequest})
		return
	}
	running, why := t.admit(r.Context(), asked)
	if why != nil {
		t.refuse(w, asked, *why)
		return
	}
	running.method, running.path = r.Method, r.URL.Path
	running.bodyHash, running.bodySize = xxhash.Sum64(body), len(body)
	running.answer(w, r)
}

// admit starts a request in a slot, after a wait in the queue if it must, or
// says why not.
func (t *Target) admit(ctx context.Context, asked request) (*run, *refused) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if why := t.judgeRequest(asked); why != nil {
		return nil, t.turnAway(asked, why)
	}
	if t.busy < t.slots {
		t.busy++
		return t.begin(asked), nil
	}
	if len(t.waiting) >= t.queue {
		return nil, t.turnAway(asked, &refused{status: http.StatusServiceUnavailable, reason: outcome.Shed})
	}
	if why := t.await(ctx, asked); why != nil {
		return nil, t.turnAway(asked, why)
	}
	if why := t.judgeRequest(asked); why != nil {
		t.freeSlot()
		return nil, t.turnAway(asked, why)
	}
	return t.begin(asked), nil
}

// judgeRequest returns why a request can't start now, nil if it can.
func (t *Target) judgeRequest(asked request) *refused {
	now := t.now()
	t.lapse(now)
	stranger := asked.incarnation != t.incarnation && (asked.incarnation != "" || asked.deadline > 0)
	item, ok := t.grant.owns(asked.shard, asked.key)
	switch {
	case stranger:
		return &refused{status: http.StatusConflict, reason: reasonWrongIncarnation}
	case t.checked && asked.term < t.highTerm:
		return &refused{status: http.StatusConflict, reason: reasonStaleTerm}
	case !ok || t.checked && asked.epoch != item.epoch:
		return &refused{status: http.StatusConflict, reason: reasonNotOwner}
	case asked.deadline > 0 && now >= asked.deadline:
		return &refused{status: http.StatusGatewayTimeout, reason: outcome.DeadlineExceeded}
	case t.draining && now-t.drainAt >= t.drainRefuse:
		return &refused{status: http.StatusServiceUnavailable, reason: outcome.Draining}
	case now < t.shedUntil:
		return &refused{
			status: http.StatusServiceUnavailable, reason: outcome.Shed, retryAfter: t.shedUntil - now,
		}
	}
	return nil
}

// turnAway counts and records a request that was not run.
func (t *Target) turnAway(asked request, why *refused) *refused {
	t.counts.Refused[string(why.reason)]++
	entry := asked.entry()
	entry.Reason = string(why.reason)
	t.record(requestEntry(audit.Refused, entry), t.now())
	return why
}

// await waits for a slot to be handed over. It lets go of mu meanwhile.
func (t *Target) await(ctx context.Context, asked request) *refused {
	slot := make(chan struct{})
	t.waiting = append(t.waiting, slot)
	left := maxWait
	if asked.deadline > 0 {
		left = asked.deadline - t.now()
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
	return &refused{status: http.StatusServiceUnavailable, reason: reason}
}

// maxWait bounds the time in the queue of a request without a deadline.
const maxWait = time.Minute

// leaveQueue gives up a place in the queue, or the slot that was handed over
// in that very moment.
func (t *Target) leaveQueue(slot chan struct{}) {
	for i, other := range t.waiting {
		if other == slot {
			t.waiting = append(t.waiting[:i], t.waiting[i+1:]...)
			return
		}
	}
	t.freeSlot()
}

// freeSlot hands a slot to the request that waited longest.
func (t *Target) freeSlot() {
	if len(t.waiting) > 0 {
		close(t.waiting[0])
		t.waiting = t.waiting[1:]
		return
	}
	t.busy--
	t.sample(t.now())
}

// begin records the start of a request that has a slot.
func (t *Target) begin(asked request) *run {
	now := t.now()
	t.sample(now)
	t.lastRun++
	t.counts.Runs++
	state, ok := t.keys[asked.key]
	if !ok {
		state = &keyState{}
		t.keys[asked.key] = state
	}
	state.shard = asked.shard
	state.runs++
	running := &run{
		target: t, asked: asked, number: t.lastRun, keyRun: state.runs, start: now,
		service: t.stretch(asked, state.runs, now),
	}
	t.running[running] = struct{}{}
	t.record(requestEntry(audit.Began, running.entry()), now)
	return running
}

// stretch returns how long a request runs: longer while its key is cold.
func (t *Target) stretch(asked request, runs uint64, now time.Duration) time.Duration {
	item, ok := t.grant.owns(asked.shard, asked.key)
	cold := ok && now-item.since < t.coldStart || runs <= uint64(t.coldRequests)
	if cold {
		return time.Duration(float64(asked.work.service) * t.coldFactor)
	}
	return asked.work.service
}

// pause lets the request run for d. It returns why it was cut, if it was.
func (x *run) pause(ctx context.Context, d time.Duration) string {
	t := x.target
	end := t.now() + d
	for {
		now, until, reason, changed := x.look(end)
		if reason != "" || now >= end {
			return reason
		}
		if reason := x.sleep(ctx, until-now, changed); reason != "" {
			return reason
		}
	}
}

// look returns the time, when to look again before end, and why the request
// is cut, if it is.
func (x *run) look(end time.Duration) (now, until time.Duration, reason string, changed <-chan struct{}) {
	t := x.target
	t.mu.Lock()
	defer t.mu.Unlock()
	now = t.now()
	reason = x.cut(now)
	until = end
	if x.asked.deadline > 0 {
		until = min(until, x.asked.deadline)
	}
	if x.asked.endWithGrant && !x.lost {
		until = min(until, t.grant.expires)
	}
	return now, until, reason, t.changed
}

// cut returns why the request must not run on at now.
func (x *run) cut(now time.Duration) string {
	x.target.lapse(now)
	switch {
	case x.asked.deadline > 0 && now >= x.asked.deadline:
		return cutDeadline
	case x.asked.endWithGrant && x.lost:
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

// finish ends the request and frees its slot. It returns why the request was
// cut, which is reason unless the grant or deadline ended it before.
func (x *run) finish(reason string) string {
	t := x.target
	t.mu.Lock()
	defer t.mu.Unlock()
	if x.finished {
		return reason
	}
	x.finished = true
	now := t.now()
	if found := x.cut(now); found != "" {
		reason = found
	}
	entry := x.entry()
	entry.EndUs = x.end(now).Microseconds()
	entry.Completed, entry.Reason = reason == "", reason
	if entry.Completed {
		t.counts.Completed++
	}
	delete(t.running, x)
	t.record(requestEntry(audit.Ended, entry), x.end(now))
	t.freeSlot()
	return reason
}

// end is when the request stopped having effects: now, or before it the
// deadline or the loss of the grant that it ends with.
func (x *run) end(now time.Duration) time.Duration {
	if x.asked.deadline > 0 {
		now = min(now, x.asked.deadline)
	}
	if x.asked.endWithGrant && x.lost {
		now = min(now, x.lostAt)
	}
	return max(now, x.start)
}

func (x *run) entry() audit.Request {
	entry := x.asked.entry()
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
