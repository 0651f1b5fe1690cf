package metastore

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"pineturn/core/clock"
	"pineturn/core/placement"
	"pineturn/io/logsink/logtest"
	"pineturn/platform"
)

// TestNewEra guards against a host that, after the store came back from an older copy,
// ignores new records until their offsets pass the old ones, or returns to older ones.
func TestNewEra(t *testing.T) {
	store := newEraStore()
	catalog, targets := runCatalog(t, store)
	for i := range 10 {
		store.put(platform.TopicConfig, platform.KeyConfig, configOf(i+1))
		store.put(platform.TopicTargets, "stays", newEntry(1, fmt.Sprint(i+1)))
		store.put(platform.TopicOwners, platform.KeyOwners, ownersOf(t, int64(i+1), 1))
	}
	store.put(platform.TopicTargets, "left", newEntry(2, "1"))
	waitFor(t, "all records", func() bool { return version(catalog) == 10 && ids(targets) == "left stays" && epoch(catalog) == 10 })
	store.put(platform.TopicTargets, "other", newEntry(3, "1"))
	store.put(platform.TopicTargets, "left", nil)
	waitFor(t, "removal", func() bool { return ids(targets) == "other stays" })
	store.rollBack(2)
	waitFor(t, "all topics read in the new era", func() bool {
		for _, w := range catalog.Watermarks() {
			if w.Era != 2 {
				return false
			}
		}
		return len(catalog.Watermarks()) == 3 && catalog.Era() == 2
	})
	t.Run("nothing goes back", func(t *testing.T) {
		if got := version(catalog); got != 10 {
			t.Errorf("configuration in force: got version %d, want 10", got)
		}
		if got := epoch(catalog); got != 10 {
			t.Errorf("assignment: got epoch %d, want 10", got)
		}
		if got, want := ids(targets), "other stays"; got != want {
			t.Errorf("targets: got %s, want %s", got, want)
		}
		next, provenAt := catalog.Position()
		if next != 8 || time.Since(provenAt) > time.Second {
			t.Errorf("position: got %d, proven %v ago, want 8 in the new era", next, time.Since(provenAt))
		}
	})
	t.Run("new records count", func(t *testing.T) {
		store.put(platform.TopicConfig, platform.KeyConfig, configOf(11))
		store.put(platform.TopicTargets, "stays", []byte(strings.Replace(string(newEntry(1, "11")), "ready", "draining", 1)))
		store.put(platform.TopicOwners, platform.KeyOwners, ownersOf(t, 11, 2))
		waitFor(t, "new records", func() bool {
			e, _ := targets.Entry("stays")
			return version(catalog) == 11 && e.Draining && epoch(catalog) == 11
		})
	})
	t.Run("a removed target returns with a newer entry alone", func(t *testing.T) {
		store.put(platform.TopicTargets, "left", newEntry(2, "1"))
		store.put(platform.TopicTargets, "mark", newEntry(4, "1"))
		waitFor(t, "the next record", func() bool { return strings.Contains(ids(targets), "mark") })
		if strings.Contains(ids(targets), "left") {
			t.Errorf("targets: got %s, want none that left", ids(targets))
		}
		store.put(platform.TopicTargets, "left", newEntry(2, "2"))
		waitFor(t, "the newer entry", func() bool { return strings.Contains(ids(targets), "left") })
	})
}

// TestRelayOfOtherEra guards against offsets of one era that are compared with those of
// another, and against a host that learns of a new era late.
func TestRelayOfOtherEra(t *testing.T) {
	const relayedOffset = 77
	store := newEraStore()
	var last atomic.Int64
	var relayed atomic.Bool
	c := newConsumer()
	c.Topic = platform.TopicConfig
	c.Wait = func() time.Duration { return 3 * time.Second }
	c.BatchDelay = func() time.Duration { return 300 * time.Millisecond }
	c.Apply = func(records []platform.Record, _ bool) {
		for _, r := range records {
			last.Store(r.Offset)
			relayed.Store(relayed.Load() || r.Offset == relayedOffset)
		}
	}
	batch := func(era int64) Update {
		return Update{Topic: c.Topic, From: 2, Next: relayedOffset + 1, Records: []platform.Record{{Key: "k", Value: []byte("v"), Offset: relayedOffset}}, Era: era}
	}
	wantRelay := func(t *testing.T, want bool) {
		t.Helper()
		if relayed.Load() || c.relayedWithin(c.RelayAge) != want {
			t.Errorf("batch applied, relay active: got %t, %t, want false, %t", relayed.Load(), c.relayedWithin(c.RelayAge), want)
		}
	}
	store.put(platform.TopicConfig, "k", []byte("v"))
	run(t, c, store)
	waitFor(t, "the first read", func() bool { next, _ := c.Position(); return next == 1 })
	store.put(platform.TopicConfig, "k", []byte("v"))
	waitFor(t, "the second record", func() bool { return last.Load() == 1 })
	t.Run("older batch and watermark", func(t *testing.T) {
		c.applyUpdate(batch(0))
		c.applyWatermark(Watermark{Topic: c.Topic, Next: 2})
		wantRelay(t, false)
		c.applyWatermark(Watermark{Topic: c.Topic, Next: 2, Era: 1})
		c.applyUpdate(batch(0))
		wantRelay(t, true)
	})
	t.Run("newer era", func(t *testing.T) {
		// The host waits for the relay, and no record wakes a read that waits.
		time.Sleep(500 * time.Millisecond)
		store.rollBack(0)
		start := time.Now()
		c.noticeEra(2)
		c.applyUpdate(batch(2))
		wantRelay(t, false)
		waitFor(t, "an active relay in the new era", func() bool {
			c.applyWatermark(Watermark{Topic: c.Topic, Next: 2, Era: 2})
			return c.relayedWithin(c.RelayAge)
		})
		wantRelay(t, true)
		if got := time.Since(start); got > 500*time.Millisecond {
			t.Errorf("time until the host has read the new era: got %v, want at most 500 ms", got)
		}
	})
}

// TestAssignmentOrder guards against an assignment that replaces a newer one because its
// offset in another era is higher.
func TestAssignmentOrder(t *testing.T) {
	for _, c := range []struct {
		name             string
		epoch, writtenIn int64
		readIn, offset   int64
		want             bool
	}{
		{"lower epoch, higher offset, newer era", 4, 2, 2, 900, false},
		{"higher epoch, lower offset, newer era", 6, 2, 2, 1, true},
		{"higher epoch, older era", 6, 1, 1, 1, true},
		{"same epoch and offset", 5, 1, 1, 50, false},
		{"same epoch, later", 5, 1, 1, 51, true},
		{"same epoch, earlier, read in a newer era", 5, 1, 2, 49, false},
		{"same epoch, later, read in a newer era", 5, 1, 2, 51, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			catalog := NewCatalog(clock.NewFake(time.Unix(1000, 0)), placement.NewSet("a"))
			known := platform.Record{Key: platform.KeyOwners, Value: ownersOf(t, 5, 1), Offset: 50, Era: 1}
			catalog.ApplyOwners(known)
			catalog.ApplyOwners(platform.Record{Key: platform.KeyOwners, Value: ownersOf(t, c.epoch, c.writtenIn), Offset: c.offset, Era: c.readIn})
			r, _ := catalog.OwnersRecord()
			if got := r.Offset != known.Offset || r.Era != known.Era; got != c.want {
				t.Errorf("assignment replaced: got %t, want %t", got, c.want)
			}
		})
	}
}

// TestProofsOfOldEra guards against a leader that starts leases, and a host that doesn't
// read, on a proof from before the store lost records.
func TestProofsOfOldEra(t *testing.T) {
	run := newFuzzRun(t)
	run.store.put(platform.TopicOwners, platform.KeyOwners, ownersOf(t, 1, 1))
	for _, c := range run.catalog.consumers() {
		run.read(c)
	}
	run.catalog.ApplyRelayed(nil, []Watermark{{Topic: platform.TopicOwners, Next: 1, Era: 1, Uninterrupted: true}})
	if next, provenAt := run.catalog.Position(); next != 1 || provenAt.IsZero() || !run.catalog.RelayActive() {
		t.Fatalf("first era: got position %d, proven at %v, relay active %t, want 1, a time, true", next, provenAt, run.catalog.RelayActive())
	}
	run.store.rollBack(0)
	run.read(run.catalog.configConsumer)
	if next, provenAt := run.catalog.Position(); next >= 0 || !provenAt.IsZero() || run.catalog.RelayActive() || run.catalog.Era() != 2 {
		t.Errorf("new era %d: got position %d, proven at %v, relay active %t, want none and false in era 2", run.catalog.Era(), next, provenAt,
			run.catalog.RelayActive())
	}
	if got := len(run.catalog.Watermarks()); got != 0 {
		t.Errorf("watermarks before the first read of the era: got %d, want none", got)
	}
	run.clock.Advance(recoveryGrace - 1)
	run.read(run.catalog.ownerConsumer)
	wantUninterrupted(t, run.catalog, false)
	run.clock.Advance(1)
	wantUninterrupted(t, run.catalog, true)
}

// TestAddressInNewEra guards against a live target that is removed because another has its address
// in a new era.
func TestAddressInNewEra(t *testing.T) {
	run := newFuzzRun(t)
	read := func() { run.read(run.catalog.targetConsumer) }
	read()
	run.store.put(platform.TopicTargets, "first", newEntry(1, "1"))
	read()
	run.store.rollBack(1)
	read()
	read()
	for range 3 {
		run.store.put(platform.TopicTargets, "other", newEntry(2, "1"))
	}
	run.store.put(platform.TopicTargets, "second", newEntry(1, "1"))
	read()
	if got, want := ids(run.targets), "first other second"; got != want {
		t.Errorf("targets: got %s, want %s", got, want)
	}
}

// TestMissingInNewEra guards against targets that are removed though they can still write
// their lost entry again, and against those that never do and are kept.
func TestMissingInNewEra(t *testing.T) {
	run := newFuzzRun(t)
	read := func() { run.read(run.catalog.targetConsumer) }
	read()
	run.store.put(platform.TopicTargets, "gone", newEntry(1, "1"))
	run.store.put(platform.TopicTargets, "stays", newEntry(2, "1"))
	read()
	run.store.rollBack(2)
	read()
	read()
	wantTargets(t, run.targets, 2)
	run.clock.Advance(recoveryGrace - 1)
	run.catalog.expire()
	wantTargets(t, run.targets, 2)
	run.store.put(platform.TopicTargets, "stays", newEntry(2, "1"))
	read()
	run.clock.Advance(1)
	run.catalog.expire()
	if got, want := ids(run.targets), "stays"; got != want {
		t.Errorf("targets after the grace period: got %s, want %s", got, want)
	}
	run.store.put(platform.TopicTargets, "gone", newEntry(1, "1"))
	read()
	if got, want := ids(run.targets), "gone stays"; got != want {
		t.Errorf("targets after a late entry: got %s, want %s", got, want)
	}
}

// TestLineOfNewEra guards against a change of era that an operator can't see, and against
// lines at the start of a host or for each topic.
func TestLineOfNewEra(t *testing.T) {
	logged := logtest.Capture(t, logtest.Info)
	run := newFuzzRun(t)
	run.store.put(platform.TopicConfig, platform.KeyConfig, configOf(1))
	readAll := func() {
		for range 2 {
			for _, c := range run.catalog.consumers() {
				run.read(c)
			}
		}
	}
	readAll()
	if strings.Contains(logged(), "oldEra") {
		t.Errorf("log at the start: got %q, want no change of era", logged())
	}
	run.store.rollBack(1)
	readAll()
	const want = "oldEra=1 era=2 configOffset=1 targetsOffset=0 ownersOffset=0 droppedOffsets=1"
	if got := strings.Count(logged(), "oldEra"); got != 1 || !strings.Contains(logged(), want) {
		t.Errorf("log after a change of era: got %d lines in %q, want 1 with %q", got, logged(), want)
	}
}

// TestReadWithoutResponse guards against a host that waits for a response of the store that
// was away, while another host has read the next era, and against reads that are ended by
// each message of that host.
func TestReadWithoutResponse(t *testing.T) {
	store := &muteStore{eraStore: newEraStore()}
	c := newConsumer()
	c.Topic = platform.TopicConfig
	run(t, c, store)
	waitFor(t, "the first read", func() bool { next, _ := c.Position(); return next == 0 })
	store.mute.Store(true)
	waitFor(t, "a read without a response", func() bool { return store.waiting.Load() == 1 })
	store.rollBack(0)
	store.mute.Store(false)
	start := time.Now()
	c.noticeEra(2)
	waitFor(t, "a read in the new era", func() bool { return c.eras.get() == 2 })
	if got := time.Since(start); got > 300*time.Millisecond {
		t.Errorf("time until the host has read the new era: got %v, want at most 300 ms", got)
	}
	store.mute.Store(true)
	waitFor(t, "another read without a response", func() bool { return store.waiting.Load() == 1 })
	c.noticeEra(3)
	waitFor(t, "a read after the news", func() bool { return store.reads.Load() == 3 && store.waiting.Load() == 1 })
	for range 10 {
		c.noticeEra(3)
		time.Sleep(10 * time.Millisecond)
	}
	if got := store.reads.Load(); got != 3 {
		t.Errorf("reads without a response: got %d, want 3", got)
	}
}

// muteStore is a store that does not respond while it is mute.
type muteStore struct {
	*eraStore
	mute           atomic.Bool
	waiting, reads atomic.Int64
}

func (s *muteStore) Read(ctx context.Context, topic string, from int64, wait time.Duration) (platform.Batch, error) {
	if s.mute.Load() {
		s.reads.Add(1)
		s.waiting.Add(1)
		defer s.waiting.Add(-1)
		<-ctx.Done()
		return platform.Batch{}, ctx.Err()
	}
	return s.eraStore.Read(ctx, topic, from, wait)
}
