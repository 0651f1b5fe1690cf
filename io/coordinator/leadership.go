package coordinator

import (
	"slices"
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

// UnaccountedGrants returns the grants that this host sent as the leader and that targets may still apply. It
// returns nil while this host leads or awaits a response to a grant, or if there may be others.
func (c *Coordinator) UnaccountedGrants() []owner.UnaccountedGrant {
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leading || c.grantsInFlight > 0 || c.unnamed || !now.Before(c.unaccountedUntil) {
		return nil
	}
	return slices.Clone(c.unaccounted)
}

// addUnaccounted adds grants that targets may apply until a time, now that this host leads no more. The caller
// holds mu.
func (c *Coordinator) addUnaccounted(grants []owner.UnaccountedGrant, until, now time.Time) {
	if !now.Before(c.unaccountedUntil) {
		c.unaccounted, c.unnamed = nil, false
	}
	c.unaccounted = append(c.unaccounted, grants...)
	c.unaccountedUntil = clock.Later(c.unaccountedUntil, until)
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
	if until := r.outcome.UnaccountedUntil(now); c.leader == nil && !until.IsZero() {
		grant := owner.UnaccountedGrant{Service: r.order.Service, First: r.order.First, Last: r.order.Last}
		c.addUnaccounted([]owner.UnaccountedGrant{grant}, until, now)
	}
}

func (c *Coordinator) handlePredecessorEnd(end predecessorEnd) {
	if c.leader == nil || c.leader.Epoch() != end.epoch {
		return
	}
	process, at := end.process.Incarnation, end.end.At
	switch {
	case end.end.Accounted:
		c.leader.PredecessorEnded(process, at)
	case len(end.end.Unaccounted) == 0:
		c.leader.PredecessorKilled(process, at)
	case !c.leader.PredecessorStopped(process, at, end.end.Unaccounted):
		return
	}
	klog.InfoS("Earlier leader sends no more grants", "address", end.process.Address, "process", end.process.Incarnation, "epoch", end.epoch,
		"accounted", end.end.Accounted, "unaccounted", len(end.end.Unaccounted))
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
	now := c.clock.Now()
	grants, complete := c.leader.UnaccountedGrants(now)
	c.mu.Lock()
	c.addUnaccounted(grants, c.leader.UnaccountedUntil(), now)
	c.unnamed = c.unnamed || !complete
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
