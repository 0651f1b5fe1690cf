package metastore

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"pineturn/core/clock"
	"pineturn/core/placement"
	"pineturn/platform"
)

// script is a store whose answers are set by a test.
type script struct {
	mu      sync.Mutex
	records []platform.Record
	fail    bool
	waits   []time.Duration
	reads   int
}

func (s *script) set(f func(*script)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s)
}

func (s *script) Newest(context.Context, string) ([]platform.Record, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fail {
		return nil, 0, errors.New("no answer")
	}
	return nil, 0, nil
}

func (s *script) Read(ctx context.Context, _ string, from int64, wait time.Duration) ([]platform.Record, int64, error) {
	s.mu.Lock()
	s.reads++
	s.waits = append(s.waits, wait)
	if s.fail {
		s.mu.Unlock()
		return nil, from, errors.New("no answer")
	}
	records := s.records[min(from, int64(len(s.records))):]
	s.mu.Unlock()
	if len(records) == 0 {
		clock.Sleep(ctx, wait)
	}
	return records, from + int64(len(records)), nil
}

func run(t *testing.T, f *Consumer, store Reader) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	go f.Run(ctx, store)
	t.Cleanup(func() {
		cancel()
		<-f.Done()
	})
}

func newFollower() *Consumer {
	f := NewConsumer("topic", clock.System{})
	f.Wait = func() time.Duration { return 50 * time.Millisecond }
	f.Apply = func([]platform.Record, bool) {}
	return f
}

func until(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatalf("%s: got no such thing within 3 s, want it", what)
}

// TestReadsWhileLost replays an outage: reads don't wait in it, so that its end
// is noticed soon.
func TestReadsWhileLost(t *testing.T) {
	store := &script{}
	f := newFollower()
	run(t, f, store)
	until(t, "a first read", func() bool { next, _ := f.Position(); return next == 0 })
	store.set(func(s *script) { s.fail = true })
	until(t, "the store counts as lost", func() bool { return f.RecentlyLost(0) })
	store.set(func(s *script) { s.waits = nil })
	time.Sleep(1500 * time.Millisecond)
	store.set(func(s *script) {
		for _, wait := range s.waits {
			if wait != 0 {
				t.Errorf("wait of a read while the store is lost: got %v, want 0", wait)
			}
		}
		s.fail = false
	})
	until(t, "the store is back", func() bool { return !f.RecentlyLost(0) })
}

// TestRelay replays what a host hears from the one that leads.
func TestRelay(t *testing.T) {
	record := func(offset int64) platform.Record {
		return platform.Record{Key: "k", Value: []byte("v"), Offset: offset}
	}
	store := &script{}
	var applied []int64
	var mu sync.Mutex
	f := newFollower()
	f.Apply = func(records []platform.Record, _ bool) {
		mu.Lock()
		defer mu.Unlock()
		for _, r := range records {
			applied = append(applied, r.Offset)
		}
	}
	run(t, f, store)
	until(t, "a first read", func() bool { next, _ := f.Position(); return next == 0 })
	t.Run("marks spare reads", func(t *testing.T) {
		f.mark(Watermark{Topic: "topic", Next: 0})
		time.Sleep(100 * time.Millisecond)
		store.set(func(s *script) { s.reads = 0 })
		for range 10 {
			f.mark(Watermark{Topic: "topic", Next: 0, Age: 500 * time.Millisecond})
			time.Sleep(50 * time.Millisecond)
		}
		store.set(func(s *script) {
			if s.reads != 0 {
				t.Errorf("reads while marks come: got %d, want 0", s.reads)
			}
		})
	})
	t.Run("a batch is applied once", func(t *testing.T) {
		store.set(func(s *script) { s.records = []platform.Record{record(0), record(1)} })
		batch := Update{Topic: "topic", From: 0, Next: 2, Records: []platform.Record{record(0), record(1)}}
		f.relay(batch)
		f.relay(batch)
		mu.Lock()
		defer mu.Unlock()
		if len(applied) != 2 {
			t.Errorf("records applied: got %v, want offsets 0 and 1", applied)
		}
	})
	t.Run("a gap is read", func(t *testing.T) {
		store.set(func(s *script) { s.records = append(s.records, record(2), record(3)) })
		f.relay(Update{Topic: "topic", From: 3, Next: 4, Records: []platform.Record{record(3)}})
		until(t, "what was missed is read", func() bool { next, _ := f.Position(); return next == 4 })
	})
	t.Run("silence has the host read", func(t *testing.T) {
		f.mark(Watermark{Topic: "topic", Next: 4})
		store.set(func(s *script) { s.records = append(s.records, record(4)) })
		began := time.Now()
		until(t, "the host reads itself", func() bool { next, _ := f.Position(); return next == 5 })
		if got := time.Since(began); got > 2*time.Second {
			t.Errorf("time to read after the last mark: got %v, want at most 2 s", got)
		}
	})
}

func target(sequence string) []byte {
	return []byte(`{"address":"10.0.0.1:80","info":{"service":"s","zone":"a","capacity":2},` +
		`"status":{"state":"ready","sequence":` + sequence + `,"warmup_left_s":0}}`)
}

// TestLapsedEntries replays an outage in which targets' entries lapse.
func TestLapsedEntries(t *testing.T) {
	fake := clock.NewFake(time.Unix(1000, 0))
	newCatalog := func() (*Catalog, *placement.Set) {
		targets := placement.NewSet("a")
		k := NewCatalog(fake, targets)
		k.applyTargets([]platform.Record{{Key: "t1", Value: target("1"), Offset: 0}}, false)
		return k, targets
	}
	gone := platform.Record{Key: "t1", Offset: 1}
	t.Run("in calm, the target is gone at once", func(t *testing.T) {
		k, targets := newCatalog()
		k.applyTargets([]platform.Record{gone}, false)
		wantTargets(t, targets, 0)
	})
	t.Run("after an outage, it may come back", func(t *testing.T) {
		k, targets := newCatalog()
		k.targetFollower.lost = true
		k.applyTargets([]platform.Record{gone}, false)
		wantTargets(t, targets, 1)
		k.applyTargets([]platform.Record{{Key: "t1", Value: target("2"), Offset: 2}}, false)
		fake.Advance(2 * returnGrace)
		k.expire()
		wantTargets(t, targets, 1)
	})
	t.Run("one that lapses some time after the outage is gone when the grace ends", func(t *testing.T) {
		k, targets := newCatalog()
		k.targetFollower.lost = true
		k.targetFollower.back()
		fake.Advance(returnGrace / 4)
		k.applyTargets([]platform.Record{gone}, false)
		wantTargets(t, targets, 1)
		fake.Advance(returnGrace * 3 / 4)
		k.expire()
		wantTargets(t, targets, 0)
	})
	t.Run("one that stays away is gone", func(t *testing.T) {
		k, targets := newCatalog()
		k.targetFollower.lost = true
		k.applyTargets([]platform.Record{gone}, false)
		fake.Advance(returnGrace)
		k.expire()
		wantTargets(t, targets, 0)
		if got := len(k.RecentlyRemoved()); got != 1 {
			t.Errorf("targets remembered for releases: got %d, want 1", got)
		}
	})
}

func wantTargets(t *testing.T, targets *placement.Set, want int) {
	t.Helper()
	if got := len(targets.Entries("")); got != want {
		t.Errorf("targets: got %d, want %d", got, want)
	}
}
