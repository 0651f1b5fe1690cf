package coordinator

import (
	"time"

	"k8s.io/klog/v2"

	"pineturn/core/clock"
	"pineturn/core/owner"
)

// MayGrant reports whether this host is the leader, awaits responses to grants that it
// sent as the leader, or has got none to one that the target may still apply.
func (c *Coordinator) MayGrant() bool {
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leading || c.grantsInFlight > 0 || now.Before(c.unaccountedUntil)
}

// awaitsOwnGrants reports whether this host does not lead, but targets may still apply a
// grant that it sent as the leader.
func (c *Coordinator) awaitsOwnGrants() bool {
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.leading && now.Before(c.unaccountedUntil)
}

// countGrant counts an order that is about to be sent if it is a grant.
func (c *Coordinator) countGrant(order owner.Order) {
	if order.Kind != owner.Grant {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.grantsInFlight++
}

// handleResult applies the outcome of an order. The leader accounts for its own grants;
// those that end when this host no longer leads are accounted for here.
func (c *Coordinator) handleResult(r result) {
	now := c.clock.Now()
	if c.leader != nil {
		c.leader.HandleOutcome(r.order, r.outcome, now)
	}
	if r.order.Kind != owner.Grant {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.grantsInFlight--
	if c.leader == nil {
		c.unaccountedUntil = clock.Later(c.unaccountedUntil, r.outcome.UnaccountedUntil(now))
	}
}

func (c *Coordinator) handlePredecessorEnd(end predecessorEnd) {
	if c.leader == nil || c.leader.Epoch() != end.epoch {
		return
	}
	if end.accounted {
		c.leader.PredecessorEnded(end.process.Incarnation, end.at)
	} else {
		c.leader.PredecessorKilled(end.process.Incarnation, end.at)
	}
	klog.InfoS("Earlier leader sends no more grants", "address", end.process.Address, "process", end.process.Incarnation, "epoch", end.epoch,
		"accounted", end.accounted)
}

// setLeading records whether this host is the leader. Loads decay while it is not, so
// that those which the other hosts then report keep their weight.
func (c *Coordinator) setLeading(leading bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leading = leading
	c.loads.Decay(c.clock.Now())
}

// stopLeading makes this host a follower. Its grants that have no outcome stay accounted
// for.
func (c *Coordinator) stopLeading() {
	c.mu.Lock()
	c.unaccountedUntil = clock.Later(c.unaccountedUntil, c.leader.UnaccountedUntil())
	c.mu.Unlock()
	c.leader = nil
	c.setLeading(false)
}

// recordProof moves the time of the last proof of leadership forward to at, and
// returns the time of the last proof.
func (c *Coordinator) recordProof(at time.Time) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at.After(c.provenAt) {
		c.provenAt = at
	}
	return c.provenAt
}

// updateLeadership starts to lead when the record read back names this
// incarnation as the leader, and stops when the record has another incarnation or
// epoch. A leader of an earlier era that has claimed again leads on.
func (c *Coordinator) updateLeadership(now time.Time) {
	a := c.known
	if a == nil {
		return
	}
	own := a.LeaderIncarnation == c.self.Incarnation
	switch {
	case c.leader == nil && own && !c.isStopping() && a.Era >= c.era:
		c.setLeading(true)
		if c.catalog.Assignment() != a {
			// A later leader may already have been told that this host follows it.
			c.setLeading(false)
			return
		}
		c.leader = owner.NewLeader(a, c.maxLease, now)
		c.balancedAt, c.written = now, nil
		c.catalog.ReadAtOnce()
		klog.InfoS("This host is the leader", "epoch", a.Epoch)
	case c.leader != nil && own && a.Epoch > c.leader.Epoch() && a.Era > c.leader.Era():
		klog.InfoS("This host leads on in a new era of the store", "epoch", a.Epoch, "epochBefore", c.leader.Epoch(), "era", a.Era)
		c.leader, c.written = c.leader.Succeed(a, c.lastProof(), now), nil
	case c.leader != nil && (!own || a.Epoch != c.leader.Epoch()):
		klog.InfoS("Another host is the leader", "leader", a.Leader, "epoch", a.Epoch, "epochHere", c.leader.Epoch())
		c.stopLeading()
		c.resetLoads(now)
	}
}
