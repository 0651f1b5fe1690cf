package metastore

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"pineturn/core/clock"
	"pineturn/core/placement"
	"pineturn/platform"
)

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
