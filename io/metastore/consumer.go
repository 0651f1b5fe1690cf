// Package metastore follows the topics of the platform's metadata store and
// keeps what a host believes of the configuration, the targets and the owners
// of keys.
package metastore

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"pineturn/core/clock"
	"pineturn/platform"
)

const (
	// retryPause is the pause after a call to the store that failed, lengthened
	// at random by up to half.
	retryPause = 500 * time.Millisecond
	// waitTrust is the part of a read's wait that the store is sure to have kept
	// by its own clock.
	waitTrust = 0.9
	// impairedAfter is the time without an answer after which the store counts
	// as lost.
	impairedAfter = 1500 * time.Millisecond
)

// Reader is the part of the store's client that a follower needs.
type Reader interface {
	Read(ctx context.Context, topic string, from int64, wait time.Duration) ([]platform.Record, int64, error)
	Newest(ctx context.Context, topic string) ([]platform.Record, int64, error)
}

// Consumer applies the records of a topic in their order. Its function fields
// are set before Run.
type Consumer struct {
	Topic string
	Clock clock.Clock
	// Wait returns how long a read waits for a record.
	Wait func() time.Duration
	// Pause returns the time between a read that brought records and the next,
	// in which more may gather.
	Pause func() time.Duration
	// Publish takes each batch that was read.
	Publish func(u Update)
	// Apply takes new records. Whole says that they are the newest record of
	// every key.
	Apply func(records []platform.Record, whole bool)

	// applying is held while records are applied. It is taken before mu.
	applying sync.Mutex
	mu       sync.Mutex
	next     int64
	// proven is a time at which another host knew of nothing more.
	proven   time.Time
	fresh    time.Time
	failing  time.Time
	lost     bool
	regained time.Time
	done     chan struct{}
}

// NewConsumer returns a follower of a topic.
func NewConsumer(topic string, c clock.Clock) *Consumer {
	return &Consumer{Topic: topic, Clock: c, next: -1, done: make(chan struct{}), Publish: func(Update) {}, Pause: func() time.Duration { return 0 }}
}

// Done is closed when Run has returned.
func (f *Consumer) Done() <-chan struct{} { return f.done }

// Position returns the offset after the newest record read, or a negative
// number before the first, and the time at which the read was sent that proved
// it to be the end.
func (f *Consumer) Position() (next int64, fresh time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.next, f.fresh
}

// RecentlyLost reports whether the store was lost within a time before now.
func (f *Consumer) RecentlyLost(within time.Duration) bool {
	return f.Clock.Now().Before(f.GraceEnd(within))
}

// GraceEnd returns when a grace after the store's return ends. While the store
// is lost it is taken to return now.
func (f *Consumer) GraceEnd(grace time.Duration) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lost {
		return f.Clock.Now().Add(grace)
	}
	return f.regained.Add(grace)
}

// Run follows the topic until the context ends.
func (f *Consumer) Run(ctx context.Context, store Reader) {
	defer close(f.done)
	for ctx.Err() == nil {
		f.awaitUncovered(ctx)
		n, err := f.step(ctx, store)
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			f.failed(err)
			clock.Sleep(ctx, retryPause+rand.N(retryPause/2))
		case n > 0:
			clock.Sleep(ctx, f.Pause())
		}
	}
}

func (f *Consumer) step(ctx context.Context, store Reader) (int, error) {
	sent := f.Clock.Now()
	next, _ := f.Position()
	if next < 0 {
		records, end, err := store.Newest(ctx, f.Topic)
		if err != nil {
			return 0, err
		}
		f.applying.Lock()
		defer f.applying.Unlock()
		f.Apply(records, true)
		f.read(end, sent)
		return len(records), nil
	}
	patience := f.patience()
	records, after, err := store.Read(ctx, f.Topic, next, patience)
	if errors.Is(err, platform.ErrExpired) {
		klog.InfoS("History of a topic has expired, reading the newest records", "topic", f.Topic, "from", next)
		f.reset()
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	f.applying.Lock()
	defer f.applying.Unlock()
	if len(records) > 0 {
		f.Apply(records, false)
	}
	if after > next {
		f.Publish(Update{Topic: f.Topic, From: next, Next: after, Records: records})
	}
	f.read(after, f.endedAt(sent, patience, after > next))
	return int(after - next), nil
}

// endedAt returns a time at which the topic had no further record. A read
// without news was answered after its whole wait, with all there was by then.
func (f *Consumer) endedAt(sent time.Time, patience time.Duration, news bool) time.Time {
	if news || f.Clock.Now().Sub(sent) < patience {
		return sent
	}
	return sent.Add(time.Duration(waitTrust * float64(patience)))
}

// patience returns how long a read waits for a record. While the store is lost
// it doesn't, so that its return is noticed soon.
func (f *Consumer) patience() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.failing.IsZero() {
		return 0
	}
	return f.Wait()
}

func (f *Consumer) reset() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.next = -1
}

func (f *Consumer) read(next int64, sent time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.next, f.fresh = max(next, f.next), sent
	f.back()
}

func (f *Consumer) failed(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Clock.Now()
	if f.failing.IsZero() {
		f.failing = now
	}
	if f.lost || now.Sub(f.failing) < impairedAfter && !errors.Is(err, platform.ErrRefused) {
		return
	}
	f.lost = true
	klog.InfoS("Store is lost", "topic", f.Topic, "offset", f.next, "lastRead", f.fresh, "err", err)
}
