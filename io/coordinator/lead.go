package coordinator

import (
	"bytes"
	"context"
	"math"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"pineturn/core/owner"
	"pineturn/core/placement"
	"pineturn/platform"
)

// isSuccessor reports whether the last leader was an earlier incarnation of
// this host. That process has ended, so this one claims leadership without waiting for
// the election. This covers a simultaneous restart of all hosts.
func (c *Coordinator) isSuccessor() bool {
	a := c.known
	return a != nil && a.Leader == c.self.Name && a.LeaderIncarnation != c.self.Incarnation && !c.isStopping()
}

// claimLeadership writes the record that makes this host the leader.
func (c *Coordinator) claimLeadership(ctx context.Context, next int64, now time.Time) {
	// Grants of an earlier epoch of this process must have ended: no other host would
	// wait for them.
	if now.Sub(c.writtenAt) < writeRetryInterval || c.MayGrant() || c.inHeadStart(now) {
		return
	}
	c.writtenAt = now
	a := c.known
	if a == nil {
		a = &owner.Assignment{}
	}
	claim := a.NextLeader(c.self.Name, c.process(), c.era)
	if offset, unreadable := c.catalog.UnreadableOwners(); unreadable {
		claim = claim.AfterUnreadable(offset)
		klog.InfoS("Record of owners can't be read, its leases are waited for", "offset", offset, "epoch", claim.Epoch)
	} else if c.known == nil && c.self.FirstStart {
		claim.Incomplete = false
	}
	c.append(ctx, claim, next)
}

func (c *Coordinator) append(ctx context.Context, a *owner.Assignment, next int64) {
	data, err := a.Encode()
	if err != nil {
		klog.ErrorS(err, "Failed to encode the assignment")
		return
	}
	sent := c.clock.Now()
	go func() {
		err := c.store.AppendAt(ctx, platform.TopicOwners, platform.KeyOwners, data, next)
		if err != nil && !errors.Is(err, platform.ErrConflict) {
			klog.InfoS("Failed to write the assignment", "epoch", a.Epoch, "at", next, "err", err)
		}
		if err == nil {
			c.recordAcked(a, sent)
		}
	}()
}

// tickLeader does the leader's work that is due: it writes changed assignments,
// reassigns keys and sends orders.
func (c *Coordinator) tickLeader(ctx context.Context, next int64, provenAt, now time.Time) {
	if c.leader.Fenced() {
		c.logFenced()
		return
	}
	targets := c.currentTargets()
	c.queryPredecessors(ctx, now)
	c.markStored(next)
	if !c.roundDue(now) {
		c.writeIfDirty(ctx, next, now)
	}
	mayReassign := now.Sub(provenAt) < maxProofAgeForChanges
	if mayReassign {
		c.reassign(targets, now)
	}
	for _, dropped := range c.leader.DropFormerOwners(targets, now) {
		logDropped(dropped)
	}
	c.writeIfDirty(ctx, next, now)
	c.writeBlocked(ctx, next, provenAt, now)
	if now.Sub(provenAt) >= owner.MaxProofAgeForRenewal || c.isStopping() && !mayReassign {
		return
	}
	c.send(ctx, targets, now.Sub(provenAt) < owner.MaxProofAgeForNewLease, now)
}

func logDropped(d owner.Dropped) {
	klog.InfoS("Former owner holds nothing any more", "service", d.Service, "first", d.First, "last", d.Last, "target", d.Owner.Target,
		"born", d.Owner.Born, "fence", d.FencingToken, "reason", d.Reason)
}

// logFenced logs, once an epoch, that a target reported the fencing token of a
// later leader. From then on tickLeader sends no orders.
func (c *Coordinator) logFenced() {
	if c.fencedEpoch == c.leader.Epoch() {
		return
	}
	c.fencedEpoch = c.leader.Epoch()
	klog.InfoS("Target reported a higher fencing token, no more grants are sent", "epoch", c.fencedEpoch)
}

func incarnationsOf(targets map[string]owner.Target) map[owner.Incarnation]bool {
	incarnations := make(map[owner.Incarnation]bool, len(targets))
	for _, t := range targets {
		incarnations[t.Incarnation] = true
	}
	return incarnations
}

// initialDelayElapsed reports whether the service has a target, and the first
// target of any service was read at least initialAssignDelay ago.
func (c *Coordinator) initialDelayElapsed(targets map[string]owner.Target, service string, now time.Time) bool {
	for _, t := range targets {
		if t.Service != service {
			continue
		}
		if c.firstTargetAt.IsZero() {
			c.firstTargetAt = now
		}
		return now.Sub(c.firstTargetAt) >= initialAssignDelay
	}
	return false
}

func (c *Coordinator) writeIfDirty(ctx context.Context, next int64, now time.Time) {
	if !c.leader.Unsaved() {
		return
	}
	record := c.leader.Record()
	if equalAssignments(record, c.catalog.Assignment()) {
		c.leader.MarkPersisted(record)
		return
	}
	if now.Sub(c.writtenAt) < writeRetryInterval && next == c.writtenOffset {
		return
	}
	if now.Sub(c.writtenAt) < c.writeInterval() {
		return
	}
	c.writtenAt, c.writtenOffset, c.written = now, next, record
	c.append(ctx, record, next)
}

// writeInterval returns the time between two writes of the assignment.
func (c *Coordinator) writeInterval() time.Duration {
	return time.Duration(c.Hosts()) * writeIntervalPerHost
}

// markStored tells the leader that its last write is the newest record in the store, once that
// has been read back: changes since need not delay those that are in it. No earlier write can
// follow, as each names the offset at which it is to be stored.
func (c *Coordinator) markStored(next int64) {
	if !c.SpreadKeys() || c.written == nil || next <= c.writtenOffset || !equalAssignments(c.written, c.catalog.Assignment()) {
		return
	}
	c.leader.MarkStored(c.written)
	c.written = nil
}

func equalAssignments(a, b *owner.Assignment) bool {
	first, err := a.Encode()
	if err != nil {
		return false
	}
	second, err := b.Encode()
	return err == nil && bytes.Equal(first, second)
}

func (c *Coordinator) currentTargets() map[string]owner.Target {
	targets := make(map[string]owner.Target)
	c.entries = make(map[string]placement.Entry)
	for _, removed := range c.catalog.RecentlyRemoved() {
		targets[removed.ID] = ownerTarget(removed, true, unknownStaleness)
		c.entries[removed.ID] = removed
	}
	staleness := c.staleness()
	for _, e := range c.targets.Entries("") {
		target := ownerTarget(e, e.Draining || c.targets.DrainsDomain(e.Domain), staleness)
		now := c.clock.Now()
		target.WarmingUp, target.Limit = c.targets.WarmingUp(e.ID, now), c.targets.Limit(e.ID, now)
		targets[e.ID] = target
		c.entries[e.ID] = e
	}
	return targets
}

// unknownStaleness is the staleness of a target that is not known to have run at any time.
const unknownStaleness = time.Duration(math.MaxInt64)

// staleness returns how long ago the targets are last known to have run.
func (c *Coordinator) staleness() time.Duration {
	ranAt := c.catalog.TargetsRanAt()
	if ranAt.IsZero() {
		return unknownStaleness
	}
	return c.clock.Now().Sub(ranAt)
}

// ownerTarget converts an entry. A target that was removed, or whose failure domain is drained,
// counts as draining.
func ownerTarget(e placement.Entry, draining bool, staleness time.Duration) owner.Target {
	return owner.Target{
		Incarnation: owner.Incarnation{Target: e.ID, Born: e.Born}, Service: e.Service, Slots: e.Slots, Draining: draining, Staleness: staleness,
	}
}

func (c *Coordinator) send(ctx context.Context, targets map[string]owner.Target, allowNewLeases bool, now time.Time) {
	for _, order := range c.leader.Orders(targets, allowNewLeases, now) {
		address := c.entries[order.Target.Target].Address
		c.countGrant(order)
		go func() {
			outcome := c.sender.send(ctx, address, order)
			if noConnection := order.Renewal && outcome.Unsent; !outcome.Responded() && !noConnection {
				c.HandleUnanswered(order.Service)
			}
			select {
			case c.results <- result{order: order, outcome: outcome}:
			case <-ctx.Done():
			}
		}()
	}
}

// predecessorQueryInterval is the time between queries to the hosts of earlier
// leaders.
const predecessorQueryInterval = 300 * time.Millisecond

// queryPredecessors queries the hosts of earlier leaders for proof that they send no
// more grants. Without this proof, leases of an earlier leader count as in force until
// the last one that it could renew has expired, and moves that it began must wait.
func (c *Coordinator) queryPredecessors(ctx context.Context, now time.Time) {
	if now.Sub(c.queriedAt) < predecessorQueryInterval {
		return
	}
	c.queriedAt = now
	epoch := c.leader.Epoch()
	for _, process := range c.leader.Predecessors(now) {
		go func() {
			end, ok := c.PredecessorEnded(ctx, process, epoch)
			if !ok {
				return
			}
			select {
			case c.predecessorEnds <- predecessorEnd{process: process, end: end, epoch: epoch}:
			default:
			}
		}()
	}
}
