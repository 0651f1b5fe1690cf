package coordinator

import (
	"time"

	"k8s.io/klog/v2"

	"pineturn/core/owner"
)

const (
	// balanceInterval is the time between two rounds of rebalancing.
	balanceInterval = time.Second
	// spreadInterval is the shortest time between two rounds where keys are spread.
	spreadInterval = 250 * time.Millisecond
)

// roundDue reports whether the next tick starts a round that spreads keys. Then the assignment is
// written after the round and not before it, as writes are limited.
func (c *Coordinator) roundDue(now time.Time) bool {
	return c.SpreadKeys() && now.Sub(c.balancedAt) >= spreadInterval && now.Sub(c.writtenAt) >= c.writeInterval()
}

// reassign gives keys without a usable owner to others, and rebalances where that is due.
func (c *Coordinator) reassign(targets map[string]owner.Target, now time.Time) {
	spread := c.SpreadKeys()
	balance := now.Sub(c.balancedAt) >= balanceInterval && !c.leader.Unsaved()
	if spread {
		balance = c.roundDue(now) || now.Sub(c.balancedAt) >= balanceInterval
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leader.AssignFinely(spread)
	c.loads.JudgeRegions(spread)
	if balance {
		c.balancedAt = now
		c.loads.Decay(now)
		c.sender.retain(incarnationsOf(targets))
	}
	full := now.Sub(c.spreadAt) >= balanceInterval
	if balance && full {
		c.spreadAt = now
	}
	for _, service := range c.keyedServices() {
		if !c.leader.Assigned(service) && !c.initialDelayElapsed(targets, service, now) {
			continue
		}
		c.leader.Assign(service, targets, c.loads, now)
		switch {
		case balance && spread:
			c.spread(service, targets, full, now)
		case balance:
			if n := c.leader.Balance(service, targets, c.loads, now); n > 0 {
				klog.InfoS("Rebalancing moves ranges of keys", "service", service, "moves", n)
			}
		}
	}
}

// spread runs a round that spreads keys.
func (c *Coordinator) spread(service string, targets map[string]owner.Target, full bool, now time.Time) {
	moves := c.leader.Spread(service, targets, c.loads, full, now)
	c.HandleMoves(service, moves)
	if moves.Total() == 0 {
		return
	}
	klog.InfoS("Rebalancing moves ranges of keys", "service", service, "moves", moves.Total(), "offOverloaded", moves.Overload,
		"hotKeys", moves.HotKey, "joined", moves.Joined, "overloadedTargets", moves.Overloaded, "highestToMean", moves.Highest, "ranges", moves.Ranges, "unservable", moves.Unservable)
}
