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
	// ledRetryInterval is used instead while this host has a link to the leader, which
	// relays what it reads as soon as it can read again.
	ledRetryInterval = 2 * time.Second
	// minWaitShare is the share of a read's wait that the store has certainly
	// waited, with an allowance for the difference between the clocks.
	minWaitShare = 0.9
)

// errEarlierEra means that a batch is of an earlier era than the current one.
var errEarlierEra = errors.New("batch of an earlier era")

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
	// RelayAge is the age of the last watermark up to which this host relies on the relay
	// and does not read from the store.
	RelayAge time.Duration
	// Defers reports whether this host, after a read that proved the end of the topic, puts
	// off the next one for RelayAge, in which the leader may begin to relay the topic.
	Defers func() bool
	// Publish is called with each batch that was read from the store.
	Publish func(u Update)
	// Apply is called with new records. If complete is set, they are the newest
	// record of every key.
	Apply func(records []platform.Record, complete bool)
	// HandleList is called before Apply with the newest record of every key, and the offset
	// before which all records count in them.
	HandleList func(records []platform.Record, end int64)

	// applyMu is held while records are applied. It is taken before mu.
	applyMu sync.Mutex
	mu      sync.Mutex
	next    int64
	// reached is the largest next of the current era.
	reached int64
	// noticed is the newest era that another host has read. readAtOnce reports that it
	// is new, so that the next read does not wait for records.
	noticed    int64
	readAtOnce bool
	// behind reports that the leader has read what this host has not.
	behind bool
	// leaderPosition is how far the leader has read by its last watermark, and lackingSince
	// the time since when that is known to be ahead of this host, or zero.
	leaderPosition position
	lackingSince   time.Time
	// interrupt ends the current read.
	interrupt context.CancelFunc
	// dictionaries holds records by which relayed ones are packed.
	dictionaries dictionaries
	// relayProvenAt is a time at which the leader had read no record beyond
	// next, or zero without a relay.
	relayProvenAt time.Time
	// provenAt is the time of the last proof, by a read of this host, that no
	// record was missing.
	provenAt time.Time
	// store is shared by the consumers of a host.
	store *reachability
	eras  *eras
	done  chan struct{}
}

// NewConsumer returns a consumer of a topic. store and era are shared by the consumers of
// a host.
func NewConsumer(topic string, store *reachability, era *eras) *Consumer {
	return &Consumer{
		Topic: topic, Clock: store.clock, next: -1, reached: -1, store: store, eras: era, done: make(chan struct{}),
		interrupt: func() {}, RelayAge: defaultRelayAge,
		Defers:     func() bool { return false },
		HandleList: func([]platform.Record, int64) {},
		Publish:    func(Update) {}, BatchDelay: func() time.Duration { return 0 },
	}
}

// Done is closed when Run has returned.
func (c *Consumer) Done() <-chan struct{} { return c.done }

// Position returns the offset after the newest record read, or a negative number
// before the first read of an era, and the time of the last proof in the era, by a read
// of this host, that no record was missing.
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
		n, err := c.interruptibleStep(ctx, store)
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			c.store.recordFailure(c, err)
			pause := pauseAfter(c.Clock.Now().Sub(start), c.store.led())
			c.store.awaitRetry(ctx, c, pause+rand.N(pause/2))
		case n > 0:
			clock.Sleep(ctx, c.BatchDelay())
		}
	}
}

// pauseAfter returns the time between a failed call and the next one. After a call
// that has waited for a response until its timeout it is short, so that the end of a
// network partition shows soon; after a call that was refused or reset at once, it keeps
// the number of calls low, and lower for a host that the leader has a link to.
func pauseAfter(took time.Duration, led bool) time.Duration {
	interval := retryInterval
	if led {
		interval = ledRetryInterval
	}
	return max(interval-took, minRetryPause)
}

// interruptibleStep is a step that ends at the news of another era: a store that was away may
// never respond to it.
func (c *Consumer) interruptibleStep(ctx context.Context, store Reader) (int, error) {
	stepCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	c.mu.Lock()
	c.interrupt, c.behind = cancel, false
	c.mu.Unlock()
	n, err := c.step(stepCtx, store)
	if err != nil && stepCtx.Err() != nil {
		return 0, ctx.Err()
	}
	return n, err
}

func (c *Consumer) step(ctx context.Context, store Reader) (int, error) {
	sent, era := c.Clock.Now(), c.eras.get()
	next, _ := c.Position()
	if next < 0 {
		return c.readNewest(ctx, store, sent)
	}
	wait := c.readWait()
	batch, err := store.Read(ctx, c.Topic, next, wait)
	switch {
	case errors.Is(err, platform.ErrExpired):
		klog.InfoS("Records of a topic have expired, reading the newest record of each key", "topic", c.Topic, "from", next)
		c.restart()
		return 0, nil
	case errors.Is(err, platform.ErrEraEnded):
		return 0, nil
	case err != nil:
		return 0, err
	case batch.Era < era:
		return 0, errEarlierEra
	case batch.Era > era:
		// The offset holds in an earlier era.
		c.enter(batch.Era)
		return 0, nil
	}
	c.applyMu.Lock()
	defer c.applyMu.Unlock()
	c.eras.apply(era, func() {
		if len(batch.Records) > 0 {
			c.Apply(batch.Records, false)
		}
		if batch.Next > next {
			c.Publish(Update{Topic: c.Topic, From: next, Next: batch.Next, Records: batch.Records, Era: era, base: c.base()})
			c.keep(batch.Records)
		}
		c.advance(batch.Next, c.provenEnd(sent, wait, batch.Next > next))
	})
	return int(batch.Next - next), nil
}

// readNewest reads the newest record of each key.
func (c *Consumer) readNewest(ctx context.Context, store Reader, sent time.Time) (int, error) {
	batch, err := store.Newest(ctx, c.Topic)
	if errors.Is(err, platform.ErrEraEnded) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	c.enter(batch.Era)
	c.applyMu.Lock()
	defer c.applyMu.Unlock()
	applied := c.eras.apply(batch.Era, func() {
		c.HandleList(batch.Records, batch.Next)
		c.Apply(batch.Records, true)
		c.keep(batch.Records)
		c.advance(batch.Next, sent)
	})
	if !applied {
		return 0, errEarlierEra
	}
	return len(batch.Records), nil
}

// enter begins an era if it is newer than the current one, and has other hosts informed.
func (c *Consumer) enter(era int64) {
	if c.eras.enter(era) {
		c.Publish(Update{Topic: c.Topic, Era: era})
	}
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

// readWait returns how long the next read waits for a record. After a failed call, or
// news of another era, it doesn't wait, so that the recovery of the store or the era is
// detected early.
func (c *Consumer) readWait() time.Duration {
	c.mu.Lock()
	atOnce := c.readAtOnce
	c.readAtOnce = false
	c.mu.Unlock()
	if atOnce || c.store.failing() {
		return 0
	}
	return c.Wait()
}

// base returns the record that the next update is packed with.
func (c *Consumer) base() platform.Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dictionaries.latest()
}

// keep keeps the latest record to pack or unpack the next update with.
func (c *Consumer) keep(records []platform.Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dictionaries.add(records)
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
	c.reached = max(c.reached, c.next)
	c.store.recordSuccess()
}

// beginEra discards the position and its proofs, which hold in the old era alone. It
// returns the offset reached in that era, or a negative number.
func (c *Consumer) beginEra() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	reached := c.reached
	c.next, c.reached = -1, -1
	c.provenAt, c.relayProvenAt = time.Time{}, time.Time{}
	c.dictionaries = nil
	c.interrupt()
	return reached
}

// requestRead ends the relay and the current read, and makes the next read return at once.
func (c *Consumer) requestRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readAtOnce, c.behind, c.relayProvenAt = true, true, time.Time{}
	c.interrupt()
}

// noticeEra makes this host read the store itself if another host has read a newer era.
func (c *Consumer) noticeEra(era int64) {
	if era <= c.eras.get() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.behind, c.relayProvenAt = true, time.Time{}
	if era > c.noticed {
		c.noticed, c.readAtOnce = era, true
		c.interrupt()
		c.store.retryNow()
	}
}
