package metastore

import (
	"bytes"
	"context"
	"errors"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pineturn/core/clock"
	"pineturn/core/placement"
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

// TestReusedAddress guards against keys without an owner until a lease expires, though the
// owner has ended, and against taking a live target for an ended one.
func TestReusedAddress(t *testing.T) {
	const otherAddress = "10.0.0.2:80"
	entry := func(id, address string, offset int64) platform.Record {
		value := bytes.Replace(targetEntry(strconv.FormatInt(offset, 10)), []byte("10.0.0.1:80"), []byte(address), 1)
		return platform.Record{Key: id, Value: value, Offset: offset}
	}
	const address = "10.0.0.1:80"
	for _, c := range []struct {
		name        string
		records     []platform.Record
		complete    bool
		wantTargets int
		wantEnded   int
	}{
		{"another target registers the address", []platform.Record{entry("t1", address, 0), entry("t2", address, 1)}, false, 1, 1},
		{"the entry has lapsed before", []platform.Record{entry("t1", address, 0), {Key: "t1", Offset: 1}, entry("t2", address, 2)}, false, 1, 1},
		{"the entry lapses afterwards", []platform.Record{entry("t1", address, 0), entry("t2", address, 1), {Key: "t1", Offset: 2}}, false, 1, 1},
		{"another address", []platform.Record{entry("t1", address, 0), entry("t2", otherAddress, 1)}, false, 2, 0},
		{"a later entry of a target that had the address before", []platform.Record{entry("t2", address, 0), entry("t1", address, 1), entry("t2", address, 2)}, false, 2, 0},
		{"a list without an order", []platform.Record{entry("t1", address, 0), entry("t2", address, 1)}, true, 2, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			targets := placement.NewSet("a")
			catalog := NewCatalog(clock.NewFake(time.Unix(1000, 0)), targets)
			catalog.applyTargets(c.records, c.complete)
			ended := 0
			for _, removed := range catalog.RecentlyRemoved() {
				if removed.Ended {
					ended++
				}
			}
			if ended != c.wantEnded {
				t.Errorf("targets proved to have ended: got %d, want %d", ended, c.wantEnded)
			}
			wantTargets(t, targets, c.wantTargets)
		})
	}
}

func wantUninterrupted(t *testing.T, catalog *Catalog, want bool) {
	t.Helper()
	for _, w := range catalog.Watermarks() {
		if w.Uninterrupted != want {
			t.Errorf("uninterrupted watermark of %s: got %t, want %t", w.Topic, w.Uninterrupted, want)
		}
	}
}

// TestTopicsAfterSilence guards against a host that uses targets which have left: after
// it was cut off from the store without a reset, it must read all topics within a
// second.
func TestTopicsAfterSilence(t *testing.T) {
	const (
		callTimeout = 500 * time.Millisecond
		limit       = time.Second
	)
	catalog := NewCatalog(clock.System{}, placement.NewSet("a"))
	store := &silentStore{timeout: callTimeout}
	ctx, cancel := context.WithCancel(context.Background())
	go catalog.Run(ctx, store)
	defer func() {
		cancel()
		<-catalog.Done()
	}()
	waitFor(t, "the first read of all topics", func() bool { return len(catalog.Watermarks()) == 3 })
	store.silent.Store(true)
	waitFor(t, "the store is unreachable", func() bool { return !catalog.store.readableFor(0) })
	time.Sleep(callTimeout)
	store.calls.Store(0)
	time.Sleep(3 * time.Second)
	if got, want := int(store.calls.Load()), 2*int(3*time.Second/callTimeout); got > want {
		t.Errorf("calls in 3 s of silence: got %d, want at most %d", got, want)
	}
	store.silent.Store(false)
	healed := time.Now()
	waitFor(t, "a read of all topics", func() bool {
		for _, consumer := range catalog.consumers() {
			if _, provenAt := consumer.Position(); provenAt.Before(healed) {
				return false
			}
		}
		return true
	})
	if got := time.Since(healed); got > limit {
		t.Errorf("time to read all topics after the silence: got %v, want at most %v", got, limit)
	}
}

// TestPauseAfterFailure guards against many calls to a store that refuses or resets them at
// once, and against a late first call after a partition.
func TestPauseAfterFailure(t *testing.T) {
	for _, c := range []struct {
		took time.Duration
		led  bool
		want time.Duration
	}{
		{10 * time.Millisecond, false, 490 * time.Millisecond},
		{700 * time.Millisecond, false, minRetryPause},
		{10 * time.Millisecond, true, 1990 * time.Millisecond},
	} {
		if got := pauseAfter(c.took, c.led); got != c.want {
			t.Errorf("pause after a call that failed after %v, led %t: got %v, want %v", c.took, c.led, got, c.want)
		}
	}
}

// silentStore is a store without records. While it is silent, calls end without a
// response after a timeout.
type silentStore struct {
	timeout time.Duration
	silent  atomic.Bool
	calls   atomic.Int64
}

func (s *silentStore) Newest(ctx context.Context, _ string) (platform.Batch, error) {
	return platform.Batch{}, s.respond(ctx)
}

func (s *silentStore) Read(ctx context.Context, _ string, from int64, wait time.Duration) (platform.Batch, error) {
	err := s.respond(ctx)
	if err == nil {
		clock.Sleep(ctx, min(wait, 100*time.Millisecond))
	}
	return platform.Batch{Next: from}, err
}

func (s *silentStore) respond(ctx context.Context) error {
	s.calls.Add(1)
	if !s.silent.Load() {
		return nil
	}
	clock.Sleep(ctx, s.timeout)
	return errors.New("no response")
}

func wantTargets(t *testing.T, targets *placement.Set, want int) {
	t.Helper()
	if got := len(targets.Entries("")); got != want {
		t.Errorf("targets: got %d, want %d", got, want)
	}
}

// TestReadAtOnce guards against a topic whose end is proved only when a read that waits for a
// record ends.
func TestReadAtOnce(t *testing.T) {
	store := &fakeStore{}
	c := newConsumer()
	c.Wait = func() time.Duration { return time.Minute }
	run(t, c, store)
	reading := func(n int) func() bool {
		return func() bool {
			store.mu.Lock()
			defer store.mu.Unlock()
			return store.reads == n
		}
	}
	waitFor(t, "a read that waits", reading(1))
	for name, relayed := range map[string]bool{"while it reads": false, "while it is relayed": true} {
		t.Run(name, func(t *testing.T) {
			store.set(func(s *fakeStore) { s.reads = 0 })
			if relayed {
				c.applyWatermark(Watermark{Topic: c.Topic})
				c.mu.Lock()
				c.interrupt()
				c.mu.Unlock()
				time.Sleep(2 * relayPollInterval)
			}
			requested := time.Now()
			c.requestRead()
			waitFor(t, "a read at once, and one that waits", reading(2))
			if _, provenAt := c.Position(); provenAt.Before(requested) {
				t.Errorf("end of the topic: got it proved %v before the request, want after it", requested.Sub(provenAt))
			}
			if took := time.Since(requested); took > defaultRelayAge/2 {
				t.Errorf("reads: got them %v after the request, want them at once", took)
			}
		})
	}
}

// TestRetriesWhileLed guards against calls to a store that is down by all hosts at once, although
// the leader tries and tells them, and against hosts that then wait though the leader has read
// what they have not.
func TestRetriesWhileLed(t *testing.T) {
	const duration = time.Second
	failingReads := func(t *testing.T, feed func(*Catalog)) int64 {
		t.Helper()
		store := &failingStore{}
		catalog, _ := runCatalog(t, store)
		for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			feed(catalog)
		}
		return store.calls.Load()
	}
	// One call for each topic, and the retries of one of them.
	const topics = 3
	t.Run("without a leader", func(t *testing.T) {
		if got := failingReads(t, func(*Catalog) {}); got < topics+1 {
			t.Errorf("calls: got %d, want at least %d", got, topics+1)
		}
	})
	t.Run("with a leader that can't read", func(t *testing.T) {
		stale := []Watermark{{Topic: "another", Age: time.Minute}}
		if got := failingReads(t, func(c *Catalog) { c.ApplyRelayed(nil, stale) }); got > topics {
			t.Errorf("calls: got %d, want at most %d", got, topics)
		}
	})
	t.Run("with a leader that has read more", func(t *testing.T) {
		ahead := []Watermark{{Topic: platform.TopicConfig, Next: 5}}
		if got := failingReads(t, func(c *Catalog) { c.ApplyRelayed(nil, ahead) }); got < 2*topics {
			t.Errorf("calls: got %d, want at least %d", got, 2*topics)
		}
	})
}

// failingStore counts the calls, all of which fail at once.
type failingStore struct{ calls atomic.Int64 }

func (s *failingStore) Newest(context.Context, string) (platform.Batch, error) {
	s.calls.Add(1)
	return platform.Batch{}, platform.ErrStatus
}

func (s *failingStore) Read(context.Context, string, int64, time.Duration) (platform.Batch, error) {
	s.calls.Add(1)
	return platform.Batch{}, platform.ErrStatus
}

// TestDeferredReads guards against hosts that all begin to read a topic whose end they have just
// read, before the leader's relay begins, and against hosts that put a read off for longer than
// the relay may be silent, or though the leader has read more.
func TestDeferredReads(t *testing.T) {
	const age = 300 * time.Millisecond
	start := func(t *testing.T) (*Consumer, func() int) {
		t.Helper()
		store := &fakeStore{}
		c := newConsumer()
		c.RelayAge = age
		c.Defers = func() bool { return true }
		run(t, c, store)
		waitFor(t, "the first read", func() bool { next, _ := c.Position(); return next == 0 })
		return c, func() int {
			store.mu.Lock()
			defer store.mu.Unlock()
			return store.reads
		}
	}
	t.Run("without a relay", func(t *testing.T) {
		_, reads := start(t)
		time.Sleep(age / 2)
		if got := reads(); got != 0 {
			t.Errorf("reads after half the time: got %d, want 0", got)
		}
		time.Sleep(age)
		if got := reads(); got == 0 {
			t.Error("reads after the time: got none, want some")
		}
	})
	for name, news := range map[string]func(c *Consumer){
		"the leader has read more": func(c *Consumer) { c.applyWatermark(Watermark{Topic: c.Topic, Next: 3}) },
		"a gap in the relay":       func(c *Consumer) { c.applyUpdate(Update{Topic: c.Topic, From: 3, Next: 4}) },
		"a read is requested":      func(c *Consumer) { c.requestRead() },
		"a new era":                func(c *Consumer) { c.noticeEra(1) },
	} {
		t.Run(name, func(t *testing.T) {
			c, reads := start(t)
			news(c)
			time.Sleep(age / 2)
			if got := reads(); got == 0 {
				t.Error("reads after the news: got none, want some")
			}
		})
	}
}
