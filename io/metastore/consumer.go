// Package metastore reads the topics of the platform's metadata store, directly
// or relayed by the leader, and keeps a host's local copy of the configuration,
// the targets and the owners of keys.
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
	// retryInterval is the time from a failed call to the next one, and minRetryPause
	// the shortest time between the end of one and the next. Random jitter of up to
	// half of the pause is added.
	retryInterval = 500 * time.Millisecond
	minRetryPause = 150 * time.Millisecond
	// minWaitShare is the share of a read's wait that the store has certainly
	// waited, with an allowance for the difference between the clocks.
	minWaitShare = 0.9
)

// Reader is the part of the store's client that a Consumer uses.
type Reader interface {
	Read(ctx context.Context, topic string, from int64, wait time.Duration) (platform.Batch, error)
	Newest(ctx context.Context, topic string) (platform.Batch, error)
}

// Consumer reads the records of a topic and applies them in their order. Its
// function fields are set before Run.
type Consumer struct {
	Topic string
	Clock clock.Clock
	// Wait returns how long the store may hold a read back until there is a
	// record.
	Wait func() time.Duration
	// BatchDelay returns the time between a read that returned records and the
	// next read, so that several records are read in one batch.
	BatchDelay func() time.Duration
	// Publish is called with each batch that was read from the store.
	Publish func(u Update)
	// Apply is called with new records. If complete is set, they are the newest
	// record of every key.
	Apply func(records []platform.Record, complete bool)

	// applyMu is held while records are applied. It is taken before mu.
	applyMu sync.Mutex
	mu      sync.Mutex
	next    int64
	// relayProvenAt is a time at which the leader had read no record beyond
	// next, or zero without a relay.
	relayProvenAt time.Time
	// provenAt is the time of the last proof, by a read of this host, that no
	// record was missing.
	provenAt time.Time
	// store is shared by the consumers of a host.
	store *reachability
	done  chan struct{}
}

// NewConsumer returns a consumer of a topic. store is shared by the consumers of a
// host.
func NewConsumer(topic string, store *reachability) *Consumer {
	return &Consumer{
		Topic: topic, Clock: store.clock, next: -1, store: store, done: make(chan struct{}),
		Publish: func(Update) {}, BatchDelay: func() time.Duration { return 0 },
	}
}

// Done is closed when Run has returned.
func (c *Consumer) Done() <-chan struct{} { return c.done }

// Position returns the offset after the newest record read, or a negative number
// before the first read, and the time of the last proof, by a read of this host,
// that no record was missing.
func (c *Consumer) Position() (next int64, provenAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.next, c.provenAt
}

// Run reads the topic until the context ends.
func (c *Consumer) Run(ctx context.Context, store Reader) {
	defer close(c.done)
	for ctx.Err() == nil {
		c.waitWhileRelayed(ctx)
		start := c.Clock.Now()
		n, err := c.step(ctx, store)
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			c.store.recordFailure(c, err)
			pause := pauseAfter(c.Clock.Now().Sub(start))
			c.store.awaitRetry(ctx, c, pause+rand.N(pause/2))
		case n > 0:
			clock.Sleep(ctx, c.BatchDelay())
		}
	}
}

// pauseAfter returns the time between a failed call and the next one. After a call
// that has waited for a response until its timeout it is short, so that the end of a
// network partition shows soon; after a call that was refused or reset at once, it keeps
// the number of calls low.
func pauseAfter(took time.Duration) time.Duration {
	return max(retryInterval-took, minRetryPause)
}

func (c *Consumer) step(ctx context.Context, store Reader) (int, error) {
	sent := c.Clock.Now()
	next, _ := c.Position()
	if next < 0 {
		batch, err := store.Newest(ctx, c.Topic)
		if err != nil {
			return 0, err
		}
		c.applyMu.Lock()
		defer c.applyMu.Unlock()
		c.Apply(batch.Records, true)
		c.advance(batch.Next, sent)
		return len(batch.Records), nil
	}
	wait := c.readWait()
	batch, err := store.Read(ctx, c.Topic, next, wait)
	if errors.Is(err, platform.ErrExpired) {
		klog.InfoS("Records of a topic have expired, reading the newest record of each key", "topic", c.Topic, "from", next)
		c.restart()
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	c.applyMu.Lock()
	defer c.applyMu.Unlock()
	if len(batch.Records) > 0 {
		c.Apply(batch.Records, false)
	}
	if batch.Next > next {
		c.Publish(Update{Topic: c.Topic, From: next, Next: batch.Next, Records: batch.Records, Era: batch.Era})
	}
	c.advance(batch.Next, c.provenEnd(sent, wait, batch.Next > next))
	return int(batch.Next - next), nil
}

// provenEnd returns a time at which the topic had no further record. The store
// responds to a read without records at the end of its wait, so the topic had none
// until then. For a read that returned records, or that ended before its wait, the
// result is the time at which the read was sent.
func (c *Consumer) provenEnd(sent time.Time, wait time.Duration, hasRecords bool) time.Time {
	if hasRecords || c.Clock.Now().Sub(sent) < wait {
		return sent
	}
	return sent.Add(time.Duration(minWaitShare * float64(wait)))
}

// readWait returns how long a read waits for a record. After a failed call reads
// don't wait, so that the recovery of the store is detected early.
func (c *Consumer) readWait() time.Duration {
	if c.store.failing() {
		return 0
	}
	return c.Wait()
}

func (c *Consumer) restart() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next = -1
}

func (c *Consumer) advance(next int64, provenAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next, c.provenAt = max(next, c.next), provenAt
	c.store.recordSuccess()
}
