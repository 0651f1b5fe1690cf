package coordinator

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"pineturn/core/owner"
)

// reclaimHeadStart is the time in a new era in which only the leader of the earlier one
// claims: it knows who holds the keys.
const reclaimHeadStart = time.Second

// ackedWrite is an assignment whose write was acknowledged, and when it was sent.
type ackedWrite struct {
	record *owner.Assignment
	sent   time.Time
}

// readPosition reads the store's era and the position in it, and remembers the newest
// assignment. It returns false if the topic has not been read in that era.
func (c *Coordinator) readPosition(now time.Time) (next int64, provenAt time.Time, read bool) {
	era := c.catalog.Era()
	next, provenAt = c.catalog.Position()
	a := c.catalog.Assignment()
	if c.catalog.Era() != era {
		return 0, time.Time{}, false
	}
	if c.eraSeenAt.IsZero() || era > c.era {
		c.era, c.eraSeenAt = era, now
	}
	if a != nil && (c.known == nil || a.Epoch >= c.known.Epoch) {
		c.known = a
	}
	return next, provenAt, next >= 0 && era == c.era
}

// inHeadStart reports whether this host leaves the claim in a new era to the leader of the
// earlier one.
func (c *Coordinator) inHeadStart(now time.Time) bool {
	return c.known != nil && c.known.Era < c.era && now.Sub(c.eraSeenAt) < reclaimHeadStart && !c.isSuccessor()
}

// tickEarlierEra does the work of a leader whose record is of an earlier era than the
// store's: it renews leases as during an outage of the store, and claims again once
// the topic has been read in the new era.
func (c *Coordinator) tickEarlierEra(ctx context.Context, next int64, read bool, now time.Time) {
	c.leader.LeaveEra()
	if !c.leader.Fenced() && now.Sub(c.lastProof()) < owner.MaxProofAgeForRenewal {
		c.send(ctx, c.currentTargets(), false, now)
	}
	if !read || c.isStopping() || now.Sub(c.writtenAt) < writeRetryInterval {
		return
	}
	klog.InfoS("Claiming again, the store is in a new era", "era", c.era, "eraBefore", c.leader.Era(), "epoch", c.leader.Epoch())
	c.writtenAt = now
	c.append(ctx, c.leader.Record().NextLeader(c.self.Name, c.process(), c.era), next)
}

// recordAcked records that a write was acknowledged. In a store with eras it is a proof of
// leadership only once it has been read back: the response may be from a later era.
func (c *Coordinator) recordAcked(a *owner.Assignment, sent time.Time) {
	if a.Era == 0 && c.catalog.Era() == 0 {
		c.recordProof(sent)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.acked = &ackedWrite{record: a, sent: sent}
}

// countAcked counts the last acknowledged write as a proof of leadership if it has been
// read back in its era.
func (c *Coordinator) countAcked() {
	c.mu.Lock()
	acked := c.acked
	c.mu.Unlock()
	if acked == nil || acked.record.Era != c.era || !equalAssignments(acked.record, c.catalog.Assignment()) || c.catalog.Era() != c.era {
		return
	}
	c.recordProof(acked.sent)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.acked == acked {
		c.acked = nil
	}
}

func (c *Coordinator) lastProof() time.Time { return c.recordProof(time.Time{}) }

// process returns this process as the record names it.
func (c *Coordinator) process() owner.LeaderProcess {
	return owner.LeaderProcess{Incarnation: c.self.Incarnation, Address: c.self.Address}
}
