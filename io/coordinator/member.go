package coordinator

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"pineturn/core/clock"
)

// maintainMembership keeps this host in the group from which the store elects the
// leader, until the context ends or the host stops. A host with less than
// minLeaderCores, or one that yields, joins only if there has been no leader for
// unfitJoinDelay. A host also yields while it must not claim the leadership because of
// grants of its last term. A host that yields leaves the group, elected or not: the store would
// elect it until it had missed its join calls. If it has joined because there was no
// leader, it stays until there is one, which may be itself: it goes on leading then.
func (c *Coordinator) maintainMembership(ctx context.Context) {
	var generation int64
	joined, lastResort, failed := false, false, false
	var joinedAt time.Time
	leaderSeenAt := time.Now()
	for ctx.Err() == nil {
		if c.isStopping() {
			c.leave(ctx, generation)
			return
		}
		yields := c.Yields() || c.awaitsOwnGrants()
		led := c.catalog.RelayActive() || yields && c.Leading()
		if c.isElected() || led {
			leaderSeenAt = time.Now()
		}
		if yields && joined && (led || !lastResort) {
			klog.InfoS("Leaving the election, other hosts can lead now and this one can't", "ownGrants", c.awaitsOwnGrants())
			c.leave(ctx, generation)
			joined = false
		}
		interval, ttl := c.joinTiming()
		if failed && !c.Leading() {
			interval = max(interval, failedJoinInterval)
		}
		unfit := yields || c.self.Cores < minLeaderCores
		deferred := unfit && !c.isElected() && time.Since(leaderSeenAt) < unfitJoinDelay
		if deferred || time.Since(joinedAt) < interval {
			clock.Sleep(ctx, joinPollInterval)
			continue
		}
		joinedAt, lastResort = time.Now(), yields
		membership, err := c.store.Join(ctx, c.self.Name, generation, ttl)
		if failed = err != nil; failed {
			c.setElected(false)
			continue
		}
		generation, joined = membership.Generation, true
		c.setElected(membership.Elected)
	}
}

// leave takes this host out of the group, so that another host is elected. A leader goes
// on until it reads the record of the next one.
func (c *Coordinator) leave(ctx context.Context, generation int64) {
	if err := c.store.Leave(ctx, c.self.Name, generation); err != nil {
		klog.InfoS("Failed to leave the election group", "err", err)
	}
	c.setElected(false)
}

// joinTiming returns the time between two join calls, and the time without a join
// call after which the store removes this host from the group.
func (c *Coordinator) joinTiming() (interval, ttl time.Duration) {
	switch {
	case c.isElected():
		return leaderJoinInterval, memberTTL
	case c.catalog.RelayActive():
		return standbyJoinInterval, standbyTTL
	}
	return electionJoinInterval, memberTTL
}

func (c *Coordinator) isStopping() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stopping
}

func (c *Coordinator) setElected(elected bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.elected != elected {
		klog.InfoS("Election result for this host changed", "chosen", elected)
	}
	c.elected = elected
}

func (c *Coordinator) isElected() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.elected
}
