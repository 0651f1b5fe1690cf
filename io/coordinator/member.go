package coordinator

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"pineturn/core/clock"
)

// maintainMembership keeps this host in the group from which the store elects the
// leader, until the context ends or the host stops. A host with less than
// minLeaderCores joins only if there has been no leader for lowCPUJoinDelay.
func (c *Coordinator) maintainMembership(ctx context.Context) {
	var generation int64
	var joinedAt time.Time
	leaderSeenAt := time.Now()
	for ctx.Err() == nil {
		if c.isStopping() {
			if err := c.store.Leave(ctx, c.self.Name, generation); err != nil {
				klog.InfoS("Failed to leave the election group", "err", err)
			}
			c.setElected(false)
			return
		}
		if c.isElected() || c.catalog.RelayActive() {
			leaderSeenAt = time.Now()
		}
		interval, ttl := c.joinTiming()
		deferred := c.self.Cores < minLeaderCores && !c.isElected() && time.Since(leaderSeenAt) < lowCPUJoinDelay
		if deferred || time.Since(joinedAt) < interval {
			clock.Sleep(ctx, joinPollInterval)
			continue
		}
		joinedAt = time.Now()
		membership, err := c.store.Join(ctx, c.self.Name, generation, ttl)
		if err != nil {
			c.setElected(false)
			continue
		}
		generation = membership.Generation
		c.setElected(membership.Elected)
	}
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
