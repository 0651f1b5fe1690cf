package metastore

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"pineturn/core/clock"
	"pineturn/platform"
)

// fakeStore is a store whose records and failures are set by a test.
type fakeStore struct {
	mu      sync.Mutex
	records []platform.Record
	fail    bool
	waits   []time.Duration
	reads   int
}

func (s *fakeStore) set(update func(*fakeStore)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	update(s)
}

func (s *fakeStore) Newest(context.Context, string) (platform.Batch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fail {
		return platform.Batch{}, errors.New("no response")
	}
	return platform.Batch{}, nil
}

func (s *fakeStore) Read(ctx context.Context, _ string, from int64, wait time.Duration) (platform.Batch, error) {
	s.mu.Lock()
	s.reads++
	s.waits = append(s.waits, wait)
	if s.fail {
		s.mu.Unlock()
		return platform.Batch{Next: from}, errors.New("no response")
	}
	records := s.records[min(from, int64(len(s.records))):]
	s.mu.Unlock()
	if len(records) == 0 {
		clock.Sleep(ctx, wait)
	}
	return platform.Batch{Records: records, Next: from + int64(len(records))}, nil
}

func run(t *testing.T, c *Consumer, store Reader) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	go c.Run(ctx, store)
	t.Cleanup(func() {
		cancel()
		<-c.Done()
	})
}

func newConsumer() *Consumer {
	c := NewConsumer("topic", newReachability(clock.System{}), newEras())
	c.Wait = func() time.Duration { return 50 * time.Millisecond }
	c.Apply = func([]platform.Record, bool) {}
	return c
}

func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("%s: not seen within 3 s", what)
}

// TestReadsWhileStoreUnreachable checks that reads don't wait while the store is unreachable.
// If they did, the end of an outage would be detected late.
func TestReadsWhileStoreUnreachable(t *testing.T) {
	store := &fakeStore{}
	c := newConsumer()
	run(t, c, store)
	waitFor(t, "the first read", func() bool { next, _ := c.Position(); return next == 0 })
	store.set(func(s *fakeStore) { s.fail = true })
	waitFor(t, "the store is unreachable", func() bool { return !c.store.readableFor(0) })
	store.set(func(s *fakeStore) { s.waits = nil })
	time.Sleep(1500 * time.Millisecond)
	store.set(func(s *fakeStore) {
		for _, wait := range s.waits {
			if wait != 0 {
				t.Errorf("wait of a read while the store is unreachable: got %v, want 0", wait)
			}
		}
		s.fail = false
	})
	waitFor(t, "the store is reachable again", func() bool { return c.store.readableFor(0) })
}

// TestRelay checks how a host applies the updates and watermarks that the leader
// relays, and when the host reads from the store itself.
func TestRelay(t *testing.T) {
	record := func(offset int64) platform.Record {
		return platform.Record{Key: "k", Value: []byte("v"), Offset: offset}
	}
	store := &fakeStore{}
	var applied []int64
	var mu sync.Mutex
	c := newConsumer()
	c.Apply = func(records []platform.Record, _ bool) {
		mu.Lock()
		defer mu.Unlock()
		for _, r := range records {
			applied = append(applied, r.Offset)
		}
	}
	run(t, c, store)
	waitFor(t, "the first read", func() bool { next, _ := c.Position(); return next == 0 })
	t.Run("no reads while watermarks arrive", func(t *testing.T) {
		c.applyWatermark(Watermark{Topic: "topic", Next: 0})
		time.Sleep(100 * time.Millisecond)
		store.set(func(s *fakeStore) { s.reads = 0 })
		for range 10 {
			c.applyWatermark(Watermark{Topic: "topic", Next: 0, Age: 500 * time.Millisecond})
			time.Sleep(50 * time.Millisecond)
		}
		store.set(func(s *fakeStore) {
			if s.reads != 0 {
				t.Errorf("reads while watermarks arrive: got %d, want 0", s.reads)
			}
		})
	})
	t.Run("a batch is applied once", func(t *testing.T) {
		store.set(func(s *fakeStore) { s.records = []platform.Record{record(0), record(1)} })
		batch := Update{Topic: "topic", From: 0, Next: 2, Records: []platform.Record{record(0), record(1)}}
		c.applyUpdate(batch)
		c.applyUpdate(batch)
		mu.Lock()
		defer mu.Unlock()
		if len(applied) != 2 {
			t.Errorf("records applied: got %v, want offsets 0 and 1", applied)
		}
	})
	t.Run("a gap is read from the store", func(t *testing.T) {
		store.set(func(s *fakeStore) { s.records = append(s.records, record(2), record(3)) })
		c.applyUpdate(Update{Topic: "topic", From: 3, Next: 4, Records: []platform.Record{record(3)}})
		waitFor(t, "read of the missing records", func() bool { next, _ := c.Position(); return next == 4 })
	})
	t.Run("the host reads when watermarks stop", func(t *testing.T) {
		c.applyWatermark(Watermark{Topic: "topic", Next: 4})
		store.set(func(s *fakeStore) { s.records = append(s.records, record(4)) })
		start := time.Now()
		waitFor(t, "read of the new record", func() bool { next, _ := c.Position(); return next == 5 })
		if got := time.Since(start); got > 2*time.Second {
			t.Errorf("time to read after the last watermark: got %v, want at most 2 s", got)
		}
	})
}

func wantUninterrupted(t *testing.T, catalog *Catalog, want bool) {
	t.Helper()
	for _, w := range catalog.Watermarks() {
		if w.Uninterrupted != want {
			t.Errorf("uninterrupted watermark of %s: got %t, want %t", w.Topic, w.Uninterrupted, want)
		}
	}
}
