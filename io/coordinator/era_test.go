package coordinator

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"pineturn/core/clock"
	"pineturn/core/owner"
	"pineturn/core/placement"
)

// eraCatalog is a catalog of a store with eras.
type eraCatalog struct {
	fakeCatalog
	era      atomic.Int64
	next     int64
	provenAt time.Time
}

func (c *eraCatalog) Era() int64                   { return c.era.Load() }
func (c *eraCatalog) Position() (int64, time.Time) { return c.next, c.provenAt }

const eraTestTarget = "t"

var eraTestProcess = owner.LeaderProcess{Incarnation: "new", Address: "127.0.0.1:1"}

// newEraCoordinator returns a coordinator of a process that has recorded itself in era 1 as the
// leader of one range, and ticks it once. There is no proof of leadership yet.
func newEraCoordinator(t *testing.T, leader owner.LeaderProcess) (*Coordinator, *eraCatalog, *fakeStore, *clock.Fake) {
	t.Helper()
	clk := clock.NewFake(time.Unix(1000, 0))
	store, catalog := &fakeStore{}, &eraCatalog{}
	targets := placement.NewSet("a")
	targets.Put(placement.Entry{ID: eraTestTarget, Service: "records", Address: "127.0.0.1:1", Slots: 1}, clk.Now())
	c := New(Host{Name: "host-1", Incarnation: "new", Address: "127.0.0.1:1", Cores: 1}, owner.MaxLeaseDuration, store, catalog, targets, clk)
	c.Dial = func(context.Context, string, string) (net.Conn, error) {
		return nil, errors.New("no connections in this test")
	}
	first := &owner.Assignment{Services: map[string][]owner.Range{"records": {{Last: owner.Keys - 1, Owner: owner.Incarnation{Target: eraTestTarget}}}}}
	catalog.assignment = first.NextLeader("host of "+leader.Incarnation, leader, 1)
	catalog.era.Store(1)
	c.tick(t.Context())
	return c, catalog, store, clk
}

// tickAfter advances the clock and ticks a coordinator, and returns the records written so far.
func tickAfter(t *testing.T, c *Coordinator, clk *clock.Fake, store *fakeStore, d time.Duration) []*owner.Assignment {
	t.Helper()
	clk.Advance(d)
	c.tick(t.Context())
	time.Sleep(50 * time.Millisecond)
	_, written := store.count()
	return written
}

// TestClaimAgain guards against a leader that writes or starts leases in a new era before it has
// claimed in it, or that stops because the store has lost its claim.
func TestClaimAgain(t *testing.T) {
	c, catalog, store, clk := newEraCoordinator(t, eraTestProcess)
	catalog.era.Store(2)
	catalog.next = -1
	if got := tickAfter(t, c, clk, store, time.Second); len(got) > 0 {
		t.Errorf("records written before the topic was read in the new era: got %d, want none", len(got))
	}
	catalog.next, catalog.assignment = 0, &owner.Assignment{Epoch: 1 << 20, Era: 1, Leader: "host-2", LeaderIncarnation: "other"}
	written := tickAfter(t, c, clk, store, time.Second)
	if len(written) != 1 || !c.Leading() {
		t.Fatalf("got %d records and leading %v, want 1 and true", len(written), c.Leading())
	}
	claim := written[0]
	if claim.Era != 2 || claim.Epoch <= 2<<20 || !claim.Incomplete || len(claim.Services["records"]) != 1 {
		t.Errorf("claim: got %+v, want one of era 2 with the range", claim)
	}
	t.Run("it leads on once the claim is read back", func(t *testing.T) {
		catalog.assignment = claim
		c.tick(t.Context())
		if !c.Leading() || c.leader.Epoch() != claim.Epoch {
			t.Errorf("got leading %v in epoch %d, want true in %d", c.Leading(), c.leader.Epoch(), claim.Epoch)
		}
	})
	t.Run("it stops when another host has claimed", func(t *testing.T) {
		catalog.assignment = claim.NextLeader("host-2", owner.LeaderProcess{Incarnation: "other"}, 2)
		c.tick(t.Context())
		if c.Leading() {
			t.Error("leading after another host's claim: got true, want false")
		}
	})
}

// TestNoLeasesOfEarlierEra guards against a lease that a leader starts after the store has
// returned without the records that the leader rests on.
func TestNoLeasesOfEarlierEra(t *testing.T) {
	for era, want := range map[int64]int{1: 1, 2: 0} {
		c, catalog, store, clk := newEraCoordinator(t, eraTestProcess)
		c.recordProof(clk.Now())
		catalog.era.Store(era)
		catalog.provenAt = clk.Now()
		tickAfter(t, c, clk, store, tickInterval)
		if c.grantsInFlight != want {
			t.Errorf("new leases in era %d after a claim in era 1: got %d, want %d", era, c.grantsInFlight, want)
		}
	}
}

// TestHeadStart guards against keys without an owner because an elected host claims in a new era
// before the leader of the earlier one, which knows who holds the keys.
func TestHeadStart(t *testing.T) {
	c, catalog, store, clk := newEraCoordinator(t, owner.LeaderProcess{Incarnation: "other"})
	c.setElected(true)
	catalog.era.Store(2)
	for _, x := range []struct {
		after time.Duration
		want  int
	}{{after: time.Second}, {after: reclaimHeadStart - time.Millisecond}, {after: time.Millisecond, want: 1}} {
		if got := len(tickAfter(t, c, clk, store, x.after)); got != x.want {
			t.Errorf("records written: got %d, want %d", got, x.want)
		}
	}
}

// TestAckedWrite guards against a proof of leadership from an acknowledged write that the store
// has lost, or that it has acknowledged in a later era.
func TestAckedWrite(t *testing.T) {
	for era, want := range map[int64]bool{1: true, 2: false} {
		c, catalog, _, clk := newEraCoordinator(t, eraTestProcess)
		sent := clk.Now()
		c.recordAcked(catalog.assignment, sent)
		if !c.lastProof().IsZero() {
			t.Error("proof before the write is read back: got one, want none")
		}
		catalog.era.Store(era)
		c.tick(t.Context())
		if got := c.lastProof().Equal(sent); got != want {
			t.Errorf("write in era 1 is a proof in era %d: got %v, want %v", era, got, want)
		}
	}
}

// TestFirstStart guards against keys without owners for the time of a lost leader's leases when a
// store that came back before, for others, is used for the first time; and against the lack of that
// wait when the only record was lost.
func TestFirstStart(t *testing.T) {
	for _, firstStart := range []bool{true, false} {
		t.Run(fmt.Sprintf("first start %t", firstStart), func(t *testing.T) {
			store, catalog := &fakeStore{}, &eraCatalog{}
			catalog.era.Store(7)
			clk := clock.NewFake(time.Unix(1000, 0))
			c := New(Host{Name: "host-1", FirstStart: firstStart}, owner.MaxLeaseDuration, store, catalog, placement.NewSet("a"), clk)
			c.setElected(true)
			written := tickAfter(t, c, clk, store, time.Second)
			if len(written) != 1 {
				t.Fatalf("records: got %d, want 1", len(written))
			}
			if got := written[0].Incomplete; got == firstStart {
				t.Errorf("claim may lack lost records: got %t, want %t", got, !firstStart)
			}
		})
	}
}

// TestUnreadableOwners guards against a record of owners that can't be read and counts as none: a leader
// with an epoch that was used before, or one that does not wait for the leases of the record's owners.
func TestUnreadableOwners(t *testing.T) {
	for _, known := range []*owner.Assignment{nil, {Epoch: 3, Leader: "host-2", LeaderIncarnation: "other"}} {
		t.Run(fmt.Sprintf("an older record is known %t", known != nil), func(t *testing.T) {
			store, catalog := &fakeStore{}, &eraCatalog{}
			catalog.assignment, catalog.unreadableAt = known, 41
			clk := clock.NewFake(time.Unix(1000, 0))
			c := New(Host{Name: "host-1", FirstStart: true}, owner.MaxLeaseDuration, store, catalog, placement.NewSet("a"), clk)
			c.setElected(true)
			written := tickAfter(t, c, clk, store, time.Second)
			if len(written) != 1 {
				t.Fatalf("records: got %d, want 1", len(written))
			}
			if !written[0].Incomplete {
				t.Error("claim waits for leases that it does not know: got false, want true")
			}
			if got, want := written[0].Epoch, int64(43); got < want {
				t.Errorf("epoch: got %d, want %d or more, above one for each record", got, want)
			}
		})
	}
}
