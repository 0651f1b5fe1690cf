package metastore

import (
	"context"
	"errors"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"pineturn/core/clock"
	"pineturn/platform"
)

const (
	// unreachableAfter is the time for which calls must have failed before the
	// store counts as unreachable. After platform.ErrStatus it does so at once.
	unreachableAfter = 1500 * time.Millisecond
	// maxProbeWait bounds how long a consumer waits for the retries of another
	// one, in case only its own topic can be read.
	maxProbeWait = 3 * time.Second
)

// reachability tracks whether the store responds to this host. The consumers of
// all topics share it: after failed calls only one of them retries, and its first
// success makes the others read at once. This keeps the calls during an outage few
// and the time until all topics are read after it short.
type reachability struct {
	clock clock.Clock

	mu           sync.Mutex
	failingSince time.Time
	unreachable  bool
	// readableSince is the time from which the store has been readable, or zero
	// before the first success. recoveredAt is the same, but zero until the store
	// was unreachable once.
	readableSince time.Time
	recoveredAt   time.Time
	// uninterrupted reports that the leader could read the store while this host could
	// not, so that no grace period applies to the end of this host's outage.
	uninterrupted bool
	// prober is the consumer that retries, nil unless calls fail. recovered is
	// closed and replaced when calls succeed again.
	prober    *Consumer
	recovered chan struct{}
}

func newReachability(clk clock.Clock) *reachability {
	return &reachability{clock: clk, recovered: make(chan struct{})}
}

// failing reports whether the last call failed.
func (r *reachability) failing() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.failingSince.IsZero()
}

// graceEnd returns the end of a grace period that starts when the store becomes
// reachable again. While the store is unreachable, the period starts now. There is
// none if the leader could read the store all the time.
func (r *reachability) graceEnd(grace time.Duration) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.uninterrupted:
		return time.Time{}
	case r.unreachable:
		return r.clock.Now().Add(grace)
	}
	return r.recoveredAt.Add(grace)
}

// readableFor reports whether the store has been readable for the given time.
func (r *reachability) readableFor(d time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.unreachable && !r.readableSince.IsZero() && r.clock.Now().Sub(r.readableSince) >= d
}

// recordFailure records a failed call of a consumer.
func (r *reachability) recordFailure(c *Consumer, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	if r.failingSince.IsZero() {
		r.failingSince = now
	}
	if r.unreachable || now.Sub(r.failingSince) < unreachableAfter && !errors.Is(err, platform.ErrStatus) {
		return
	}
	r.unreachable, r.uninterrupted = true, false
	klog.InfoS("Store is unreachable", "topic", c.Topic, "err", err)
}

// recordSuccess records that the store can be read, by this host or by the leader.
func (r *reachability) recordSuccess() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failingSince = time.Time{}
	if r.prober != nil {
		r.prober = nil
		close(r.recovered)
		r.recovered = make(chan struct{})
	}
	now := r.clock.Now()
	if r.readableSince.IsZero() {
		r.readableSince = now
	}
	if r.unreachable {
		r.unreachable, r.readableSince, r.recoveredAt = false, now, now
		klog.InfoS("Store is reachable again")
	}
}

// recordNewEra records that the store has lost records, as in an outage: targets can
// write their entries again within a grace period.
func (r *reachability) recordNewEra() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	r.uninterrupted, r.readableSince, r.recoveredAt = false, now, now
}

// recordUninterrupted records that the leader has read the store without an outage
// for at least recoveryGrace.
func (r *reachability) recordUninterrupted() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.uninterrupted = !r.unreachable
}

// awaitRetry returns when a consumer may call the store again after a failed call:
// after the pause if it is the one that retries, else when calls succeed again or
// after maxProbeWait.
func (r *reachability) awaitRetry(ctx context.Context, c *Consumer, pause time.Duration) {
	r.mu.Lock()
	if r.prober == nil {
		r.prober = c
	}
	isProber, recovered := r.prober == c, r.recovered
	r.mu.Unlock()
	if isProber {
		clock.Sleep(ctx, pause)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, maxProbeWait)
	defer cancel()
	select {
	case <-ctx.Done():
	case <-recovered:
	}
}
