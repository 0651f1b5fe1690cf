package metastore

import (
	"bytes"
	"strconv"
	"testing"
	"time"

	"pineturn/core/clock"
	"pineturn/core/placement"
	"pineturn/platform"
)

func targetEntry(sequence string) []byte {
	return []byte(`{"address":"10.0.0.1:80","info":{"service":"s","zone":"a","capacity":2},` +
		`"status":{"state":"ready","sequence":` + sequence + `,"warmup_left_s":0}}`)
}

// TestLapsedEntries guards against removing live targets after an outage of the
// store, in which targets could not renew their entries and the entries lapsed.
func TestLapsedEntries(t *testing.T) {
	fake := clock.NewFake(time.Unix(1000, 0))
	newCatalog := func() (*Catalog, *placement.Set) {
		targets := placement.NewSet("a")
		catalog := NewCatalog(fake, targets)
		catalog.applyTargets([]platform.Record{{Key: "t1", Value: targetEntry("1"), Offset: 0}}, false)
		return catalog, targets
	}
	deletion := platform.Record{Key: "t1", Offset: 1}
	t.Run("without an outage, the target is removed at once", func(t *testing.T) {
		catalog, targets := newCatalog()
		catalog.applyTargets([]platform.Record{deletion}, false)
		wantTargets(t, targets, 0)
	})
	t.Run("after an outage, the target may renew its entry", func(t *testing.T) {
		catalog, targets := newCatalog()
		catalog.store.unreachable = true
		catalog.applyTargets([]platform.Record{deletion}, false)
		wantTargets(t, targets, 1)
		catalog.applyTargets([]platform.Record{{Key: "t1", Value: targetEntry("2"), Offset: 2}}, false)
		fake.Advance(2 * recoveryGrace)
		catalog.expire()
		wantTargets(t, targets, 1)
	})
	t.Run("an entry that lapses after the outage is removed when the grace period ends", func(t *testing.T) {
		catalog, targets := newCatalog()
		catalog.store.unreachable = true
		catalog.store.recordSuccess()
		fake.Advance(recoveryGrace / 4)
		catalog.applyTargets([]platform.Record{deletion}, false)
		wantTargets(t, targets, 1)
		fake.Advance(recoveryGrace * 3 / 4)
		catalog.expire()
		wantTargets(t, targets, 0)
	})
	t.Run("after an outage of this host alone, the target is removed at once", func(t *testing.T) {
		catalog, targets := newCatalog()
		catalog.targetConsumer.next = 1
		catalog.store.unreachable = true
		catalog.applyTargets([]platform.Record{deletion}, false)
		wantTargets(t, targets, 1)
		catalog.ApplyRelayed(nil, []Watermark{{Topic: platform.TopicTargets, Next: 1, Uninterrupted: true}})
		catalog.expire()
		wantTargets(t, targets, 0)
	})
	t.Run("a leader that was cut off as well proves nothing", func(t *testing.T) {
		catalog, targets := newCatalog()
		catalog.targetConsumer.next = 1
		catalog.store.unreachable = true
		catalog.applyTargets([]platform.Record{deletion}, false)
		catalog.ApplyRelayed(nil, []Watermark{{Topic: platform.TopicTargets, Next: 1}})
		catalog.expire()
		wantTargets(t, targets, 1)
	})
	t.Run("a host vouches for removals only some time after its outage", func(t *testing.T) {
		catalog, _ := newCatalog()
		catalog.targetConsumer.next = 1
		catalog.store.unreachable = true
		catalog.store.recordSuccess()
		wantUninterrupted(t, catalog, false)
		fake.Advance(recoveryGrace)
		wantUninterrupted(t, catalog, true)
	})
	t.Run("a target that does not renew its entry is removed", func(t *testing.T) {
		catalog, targets := newCatalog()
		catalog.store.unreachable = true
		catalog.applyTargets([]platform.Record{deletion}, false)
		fake.Advance(recoveryGrace)
		catalog.expire()
		wantTargets(t, targets, 0)
		if got := len(catalog.RecentlyRemoved()); got != 1 {
			t.Errorf("removed targets kept for releases: got %d, want 1", got)
		}
	})
}

// TestEntryAtAddressOfAnother guards against a live target that gets no requests, or loses its keys,
// because of another writer's entry with its address, in whatever order they come.
func TestEntryAtAddressOfAnother(t *testing.T) {
	const address = "10.0.0.1:80"
	entry := func(id string, offset int64) platform.Record {
		value := bytes.Replace(targetEntry(strconv.FormatInt(offset, 10)), []byte("10.0.0.1:80"), []byte(address), 1)
		return platform.Record{Key: id, Value: value, Offset: offset}
	}
	for _, c := range []struct {
		name     string
		records  []platform.Record
		complete bool
		want     int
	}{
		{"another entry has the address", []platform.Record{entry("t1", 0), entry("t2", 1)}, false, 2},
		{"a list without an order", []platform.Record{entry("t1", 0), entry("t2", 1)}, true, 2},
		{"the entry has lapsed before", []platform.Record{entry("t1", 0), {Key: "t1", Offset: 1}, entry("t2", 2)}, false, 1},
		{"the entry lapses afterwards", []platform.Record{entry("t1", 0), entry("t2", 1), {Key: "t1", Offset: 2}}, false, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			targets := placement.NewSet("a")
			catalog := NewCatalog(clock.NewFake(time.Unix(1000, 0)), targets)
			catalog.applyTargets(c.records, c.complete)
			wantTargets(t, targets, c.want)
		})
	}
}

func wantTargets(t *testing.T, targets *placement.Set, want int) {
	t.Helper()
	if got := len(targets.Entries("")); got != want {
		t.Errorf("targets: got %d, want %d", got, want)
	}
}
