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
	// ledProbeWait is used instead while this host has a link to the leader.
	ledProbeWait = 6 * time.Second
	// feedMemory is the time after a feed of the leader for which its link counts as
	// intact.
	feedMemory = 1500 * time.Millisecond
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
	// calmSince is the time from which no call has failed, or zero before the first success.
	calmSince time.Time
	// uninterrupted reports that the leader could read the store while this host could
	// not, so that no grace period applies to the end of this host's outage.
	uninterrupted bool
	// fedAt is the time of the last feed from the leader.
	fedAt time.Time
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

// recordFeed records a feed from the leader.
func (r *reachability) recordFeed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fedAt = r.clock.Now()
}

// led reports whether this host has a link to the leader, which may be unable to read the store
// itself.
func (r *reachability) led() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.fedAt.IsZero() && r.clock.Now().Sub(r.fedAt) < feedMemory
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

// calmAt reports whether no call has failed since a time.
func (r *reachability) calmAt(at time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.failingSince.IsZero() && !r.calmSince.IsZero() && !at.Before(r.calmSince)
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
	now := r.clock.Now()
	if r.calmSince.IsZero() || !r.failingSince.IsZero() {
		r.calmSince = now
	}
	r.failingSince = time.Time{}
	r.endWaits()
	if r.readableSince.IsZero() {
		r.readableSince = now
	}
	if r.unreachable {
		r.unreachable, r.readableSince, r.recoveredAt = false, now, now
		klog.InfoS("Store is reachable again")
	}
}

// endWaits ends the waits of all consumers after failed calls. The caller holds mu.
func (r *reachability) endWaits() {
	if r.prober == nil {
		return
	}
	r.prober = nil
	close(r.recovered)
	r.recovered = make(chan struct{})
}

// retryNow makes the consumers that wait after a failed call read again: the leader has read
// what this host has not.
func (r *reachability) retryNow() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.endWaits()
}

// recordNewEra records that the store has lost records, as in an outage: targets can
// write their entries again within a grace period.
func (r *reachability) recordNewEra() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	r.uninterrupted, r.readableSince, r.recoveredAt, r.calmSince = false, now, now, now
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
// after maxProbeWait or ledProbeWait.
func (r *reachability) awaitRetry(ctx context.Context, c *Consumer, pause time.Duration) {
	r.mu.Lock()
	if r.prober == nil {
		r.prober = c
	}
	isProber, recovered := r.prober == c, r.recovered
	r.mu.Unlock()
	if isProber {
		r.awaitProbe(ctx, pause, recovered)
		return
	}
	wait := maxProbeWait
	if r.led() {
		wait = ledProbeWait
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	select {
	case <-ctx.Done():
	case <-recovered:
	}
}

// awaitProbe returns after a pause, or when calls succeed again: the leader may relay what it
// reads.
func (r *reachability) awaitProbe(ctx context.Context, pause time.Duration, recovered <-chan struct{}) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-recovered:
	}
}
