package metastore

import (
	"context"
	"fmt"
	"testing"
	"time"

	"pineturn/core/clock"
	"pineturn/core/placement"
	"pineturn/platform"
)

// fuzzRun plays a script of writes, returns of the store from an older copy, reads and
// relayed messages on one catalog.
type fuzzRun struct {
	t       *testing.T
	store   *eraStore
	clock   *clock.Fake
	catalog *Catalog
	targets *placement.Set
	// left holds the removal of each target that left and has not returned.
	left map[string]removal
	// version, epoch and sequence are the highest ones seen, sequence by target.
	version, epoch int64
	sequence       map[string]int64
}

func newFuzzRun(t *testing.T) *fuzzRun {
	t.Helper()
	fake, targets := clock.NewFake(time.Unix(1000, 0)), placement.NewSet("a")
	f := &fuzzRun{
		t: t, store: newEraStore(), clock: fake, targets: targets, catalog: NewCatalog(fake, targets),
		left: make(map[string]removal), sequence: make(map[string]int64),
	}
	f.catalog.SetReadTimes(func() time.Duration { return 0 }, func() time.Duration { return 0 }, func() time.Duration { return 0 })
	return f
}

func (f *fuzzRun) topicOf(n byte) string {
	return []string{platform.TopicConfig, platform.TopicTargets, platform.TopicOwners}[n%3]
}

// play plays one step: a kind and its argument.
func (f *fuzzRun) play(kind, n byte) {
	id := fmt.Sprint("t", n%3)
	switch kind % 9 {
	case 0:
		f.store.put(platform.TopicConfig, platform.KeyConfig, configOf(int(n)))
	case 1:
		f.store.put(platform.TopicTargets, id, newEntry(int(n%3)+1, fmt.Sprint(n)))
	case 2:
		f.store.put(platform.TopicTargets, id, nil)
	case 3:
		f.store.put(platform.TopicOwners, platform.KeyOwners, ownersOf(f.t, int64(n), f.store.era))
	case 4:
		f.store.rollBack(int(n % 8))
	case 5:
		f.read(f.catalog.consumers()[n%3])
	case 6:
		f.relay(f.topicOf(n), int64(n>>4)-2, n)
	case 7:
		f.clock.Advance(time.Duration(n) * 20 * time.Millisecond)
		f.catalog.expire()
	case 8:
		f.store.put(f.topicOf(n), "k", []byte{n})
	}
}

func (f *fuzzRun) read(c *Consumer) {
	if _, err := c.step(context.Background(), f.store); err != nil {
		f.t.Errorf("read of %s: got error %v, want none", c.Topic, err)
	}
}

// relay applies a batch and a watermark of an era that differs from the store's by
// difference, with a gap before the batch or none. The records are the store's in its
// era, and made up in any other. Of an era that the host has not left yet, when the store
// has, nothing is relayed.
func (f *fuzzRun) relay(topic string, difference int64, n byte) {
	era, records := f.store.era+difference, f.store.topics[topic]
	from := min(int64(n&3), int64(len(records)))
	if difference != 0 && era == f.catalog.Era() {
		return
	}
	if difference != 0 {
		records = []platform.Record{{Key: platform.KeyConfig, Value: configOf(1 << 20)}, {Key: "alien", Value: newEntry(9, "1")}}
		from = 0
	}
	next := from + int64(len(records[from:]))
	f.catalog.ApplyRelayed(
		[]Update{{Topic: topic, From: from, Next: next, Records: records[from:], Era: era}},
		[]Watermark{{Topic: topic, Next: next, Era: era}},
	)
}

// check asserts that nothing has gone back.
func (f *fuzzRun) check() {
	if got := version(f.catalog); got < f.version || got >= 1<<20 {
		f.t.Fatalf("configuration: got version %d after %d, want none that goes back or of another era", got, f.version)
	}
	if got := epoch(f.catalog); got < f.epoch {
		f.t.Fatalf("assignment: got epoch %d after %d, want no lower one", got, f.epoch)
	}
	f.version, f.epoch = version(f.catalog), epoch(f.catalog)
	for _, e := range f.targets.Entries("") {
		if e.ID == "alien" {
			f.t.Fatal("target: got one of a relayed batch of another era, want none")
		}
		if e.Sequence < f.sequence[e.ID] {
			f.t.Fatalf("target %s: got sequence number %d after %d, want no lower one", e.ID, e.Sequence, f.sequence[e.ID])
		}
	}
	f.checkLeft()
}

// checkLeft asserts that no target that left has returned in a later era by an entry that
// is not newer.
func (f *fuzzRun) checkLeft() {
	f.sequence = make(map[string]int64)
	for _, e := range f.targets.Entries("") {
		f.sequence[e.ID] = e.Sequence
		r, ok := f.left[e.ID]
		if ok && r.era < f.catalog.era && e.Sequence <= r.entry.Sequence && f.clock.Now().Sub(r.at) <= removedRetention {
			f.t.Fatalf("target %s: got it back in era %d with sequence number %d, want none up to %d", e.ID, f.catalog.era, e.Sequence, r.entry.Sequence)
		}
		delete(f.left, e.ID)
	}
	for id, r := range f.catalog.removed {
		if r.left {
			f.left[id] = r
		}
	}
}

// wantRead asserts that, after new records, all topics are read up to their ends.
func (f *fuzzRun) wantRead() {
	f.store.put(platform.TopicConfig, platform.KeyConfig, configOf(1000))
	f.store.put(platform.TopicTargets, "new", newEntry(8, "1000"))
	f.store.put(platform.TopicOwners, platform.KeyOwners, ownersOf(f.t, 1000, f.store.era))
	for range 3 {
		for _, c := range f.catalog.consumers() {
			f.read(c)
		}
	}
	for _, c := range f.catalog.consumers() {
		if next, _ := c.Position(); next != int64(len(f.store.topics[c.Topic])) {
			f.t.Errorf("position in %s: got %d, want %d", c.Topic, next, len(f.store.topics[c.Topic]))
		}
	}
	if _, found := f.targets.Entry("new"); !found || version(f.catalog) != 1000 || epoch(f.catalog) != 1000 || f.catalog.Era() != f.store.era {
		f.t.Errorf("new records: got version %d, epoch %d, target %t, era %d, want all of era %d", version(f.catalog), epoch(f.catalog), found,
			f.catalog.Era(), f.store.era)
	}
}

// FuzzEras guards against a host that goes back or stops to read when the store comes back
// from older copies, with reads from offsets that it doesn't have, gaps in relayed batches
// and relayed messages of other eras.
func FuzzEras(f *testing.F) {
	f.Add([]byte{0, 5, 1, 9, 5, 0, 5, 1, 4, 2, 5, 0, 5, 1, 0, 6, 5, 0})
	f.Add([]byte{1, 4, 1, 5, 5, 1, 2, 4, 5, 1, 4, 1, 5, 1, 5, 1, 7, 200, 1, 4, 5, 1})
	f.Add([]byte{3, 4, 3, 5, 5, 2, 4, 1, 5, 2, 5, 2, 3, 4, 5, 2, 3, 7, 5, 2})
	f.Add([]byte{0, 3, 0, 4, 5, 0, 6, 0x21, 6, 0x30, 6, 0x10, 4, 1, 6, 0x20, 6, 0x23, 5, 0, 5, 0})
	f.Add([]byte{1, 4, 5, 1, 4, 1, 5, 1, 5, 1, 7, 50, 1, 4, 5, 1, 7, 120, 4, 7, 4, 7, 5, 1, 5, 1})
	f.Add([]byte{8, 1, 8, 1, 8, 0, 5, 1, 5, 0, 4, 7, 5, 1, 8, 1, 8, 1, 8, 1, 5, 1})
	f.Fuzz(func(t *testing.T, script []byte) {
		run := newFuzzRun(t)
		for len(script) > 1 && len(script) < 400 {
			run.play(script[0], script[1])
			run.check()
			script = script[2:]
		}
		run.wantRead()
	})
}
