package coordinator

import (
	"testing"
	"time"

	"pineturn/core/owner"
)

// TestReportWhileSpreading guards against a lock that is taken twice: whether keys are spread may
// depend on whether this host leads.
func TestReportWhileSpreading(t *testing.T) {
	c := newCoordinator(&fakeStore{}, &fakeCatalog{})
	c.SpreadKeys = func() bool {
		if !c.mu.TryLock() {
			t.Error("report: got the lock held where SpreadKeys is called, want it free")
			return true
		}
		c.mu.Unlock()
		return true
	}
	c.AddReport(owner.Report{Counts: []owner.KeyCount{{Service: "records", Key: 7, Count: 1}}})
}

// TestStoredOnceRead guards against a write that counts as stored because an earlier record is
// equal to it: another one may be on its way to the store until its own offset is read.
func TestStoredOnceRead(t *testing.T) {
	record := &owner.Assignment{Epoch: 1, LeaderIncarnation: "new", Services: map[string][]owner.Range{}}
	c := newCoordinator(&fakeStore{}, &fakeCatalog{assignment: record})
	c.leader = owner.NewLeader(record, owner.MaxLeaseDuration, time.Now())
	c.SpreadKeys = func() bool { return true }
	c.written, c.writtenOffset = record, 5
	for _, x := range []struct {
		next   int64
		stored bool
	}{{5, false}, {6, true}} {
		c.markStored(x.next)
		if got := c.written == nil; got != x.stored {
			t.Errorf("write at offset 5, read up to %d: got stored %t, want %t", x.next, got, x.stored)
		}
	}
}
