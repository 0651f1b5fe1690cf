package metastore

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"pineturn/core/clock"
	"pineturn/platform"
)

// Update is a batch of records that a host has read from a topic.
type Update struct {
	Topic string `cbor:"1,keyasint"`
	// From is the offset of the first record, Next the offset after the last.
	From    int64             `cbor:"2,keyasint"`
	Next    int64             `cbor:"3,keyasint"`
	Records []platform.Record `cbor:"4,keyasint"`
	// Large is set if the records are left out because the batch is larger than
	// maxRelayBytes. The receiving host reads them from the store.
	Large bool `cbor:"5,keyasint,omitempty"`
	// Era is the era of the store in which the offsets hold.
	Era int64 `cbor:"6,keyasint,omitempty"`
	// Packed holds the records in place of Records, compressed with the value of the
	// topic's record at offset Base as the dictionary.
	Packed []byte `cbor:"7,keyasint,omitempty"`
	Base   int64  `cbor:"8,keyasint,omitempty"`
	// Complete is set if the records are the newest one of every key.
	Complete bool `cbor:"9,keyasint,omitempty"`
	// base is the record of which Base is the offset.
	base platform.Record
}

// maxRelayBytes is the size of keys and values, in bytes, up to which a batch is
// relayed. Above it, a read of the store costs less than sending the batch between
// failure domains.
const maxRelayBytes = 16 << 10

// pack adds the packed form of the records.
func (u Update) pack() Update {
	if len(u.Records) == 0 {
		return u
	}
	packed, err := packRecords(u.Records, u.base.Value)
	if err != nil {
		klog.ErrorS(err, "Failed to pack records for other hosts", "topic", u.Topic, "from", u.From)
		return u
	}
	u.Packed, u.Base = packed, u.base.Offset
	return u
}

// ForHost returns the update as it is sent to a host, which may understand packed records or
// not. Records that are larger than maxRelayBytes are left out.
func (u Update) ForHost(unpacks bool) Update {
	size := len(u.Packed)
	if unpacks && size > 0 {
		u.Records = nil
	} else {
		u.Packed, u.Base, size = nil, 0, 0
		for _, r := range u.Records {
			size += len(r.Key) + len(r.Value)
		}
	}
	if size > maxRelayBytes {
		u.Records, u.Packed, u.Base, u.Large = nil, nil, 0, true
	}
	return u
}

// Watermark records that the end of a topic was at offset Next, Age ago.
type Watermark struct {
	Topic string        `cbor:"1,keyasint"`
	Next  int64         `cbor:"2,keyasint"`
	Age   time.Duration `cbor:"3,keyasint"`
	// Uninterrupted reports that the sender has read the store for at least recoveryGrace
	// without an outage, so that targets whose entries are missing have gone.
	Uninterrupted bool `cbor:"4,keyasint,omitempty"`
	// Era is the era of the store in which Next holds.
	Era int64 `cbor:"5,keyasint,omitempty"`
}

const (
	// defaultRelayAge is the age of the last watermark up to which a host relies on
	// the relay and does not read from the store, unless SetRelayAge sets another.
	defaultRelayAge = 1400 * time.Millisecond
	// leaderSilence is the age of the last watermark from which a host does not count on
	// the leader any more in elections.
	leaderSilence = 1400 * time.Millisecond
	// relayPollInterval is the time between checks of the last watermark's age.
	relayPollInterval = 100 * time.Millisecond
	// subscriberBuffer is the number of updates that are queued for a subscriber.
	subscriberBuffer = 256
)

// broadcaster passes the updates that this host reads on to subscribers.
type broadcaster struct {
	mu          sync.Mutex
	subscribers map[chan Update]bool
}

func newBroadcaster() *broadcaster { return &broadcaster{subscribers: make(map[chan Update]bool)} }

// publish sends an update to every subscriber. The channel of a subscriber whose
// queue is full is closed.
func (b *broadcaster) publish(u Update) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.subscribers) > 0 {
		u = u.pack()
	}
	for subscriber := range b.subscribers {
		select {
		case subscriber <- u:
		default:
			delete(b.subscribers, subscriber)
			close(subscriber)
		}
	}
}

func (b *broadcaster) subscribe() chan Update {
	b.mu.Lock()
	defer b.mu.Unlock()
	subscriber := make(chan Update, subscriberBuffer)
	b.subscribers[subscriber] = true
	return subscriber
}

func (b *broadcaster) cancel(subscriber chan Update) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.subscribers[subscriber] {
		delete(b.subscribers, subscriber)
		close(subscriber)
	}
}

// Subscribe returns a channel of the batches that this host reads from now on. The
// channel is closed if the subscriber does not keep up. cancel must be called at
// the end.
func (c *Catalog) Subscribe() (updates <-chan Update, cancel func()) {
	subscriber := c.broadcaster.subscribe()
	return subscriber, func() { c.broadcaster.cancel(subscriber) }
}

// Watermarks returns the end of each topic as of this host's last read.
func (c *Catalog) Watermarks() []Watermark {
	c.eras.mu.RLock()
	defer c.eras.mu.RUnlock()
	var watermarks []Watermark
	now := c.clock.Now()
	uninterrupted := c.store.readableFor(recoveryGrace)
	for _, consumer := range c.consumers() {
		if next, provenAt := consumer.Position(); next >= 0 {
			watermarks = append(watermarks, Watermark{
				Topic: consumer.Topic, Next: next, Age: now.Sub(provenAt), Uninterrupted: uninterrupted, Era: c.eras.current,
			})
		}
	}
	return watermarks
}

// Age returns the time since the local copy of a topic was last proved to be
// complete.
func (c *Catalog) Age(topic string) time.Duration {
	if consumer := c.consumer(topic); consumer != nil {
		return consumer.age()
	}
	return 0
}

// age returns the time since the records read were last proved to be complete, by
// a read of this host or by a watermark of the leader.
func (c *Consumer) age() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	newest := c.provenAt
	if c.relayProvenAt.After(newest) {
		newest = c.relayProvenAt
	}
	return c.Clock.Now().Sub(newest)
}

// ApplyRelayed applies the updates and watermarks that the leader relays. Those of an
// older era are dropped; a newer era makes this host read all topics itself.
func (c *Catalog) ApplyRelayed(updates []Update, watermarks []Watermark) {
	if len(watermarks) > 0 {
		c.store.recordFeed()
	}
	for _, consumer := range c.consumers() {
		for _, u := range updates {
			consumer.noticeEra(u.Era)
			switch {
			case u.Topic != consumer.Topic:
			case u.Complete:
				consumer.applySnapshot(u)
			default:
				consumer.applyUpdate(u)
			}
		}
		for _, w := range watermarks {
			consumer.noticeEra(w.Era)
			if w.Topic == consumer.Topic {
				consumer.recordLeaderPosition(w)
				consumer.applyWatermark(w)
			}
		}
	}
}

// applyUpdate applies a relayed batch of the current era.
func (c *Consumer) applyUpdate(u Update) {
	c.applyMu.Lock()
	defer c.applyMu.Unlock()
	c.eras.apply(u.Era, func() { c.applyUnread(u) })
}

// applyUnread applies the records of a relayed batch that this host has not read.
// If records before the batch are missing, or the batch was left out for its size,
// this host goes on to read from the store. The records of the batch apply all the same,
// because each one replaces all earlier ones of its key.
func (c *Consumer) applyUnread(u Update) {
	next, _ := c.Position()
	if next < 0 || u.Next <= next {
		return
	}
	u = c.unpack(u)
	if u.From > next || u.Large {
		c.Apply(u.Records, false)
		c.endRelay()
		return
	}
	var unread []platform.Record
	for _, r := range u.Records {
		if r.Offset >= next {
			unread = append(unread, r)
		}
	}
	c.Apply(unread, false)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dictionaries.add(unread)
	c.next = u.Next
	c.reached = max(c.reached, c.next)
}

// unpack returns an update with its records. They are left out, like those of a large one, if
// this host does not have the record that they are packed with.
func (c *Consumer) unpack(u Update) Update {
	if len(u.Packed) == 0 {
		return u
	}
	c.mu.Lock()
	dictionary, ok := c.dictionaries.find(u.Base)
	c.mu.Unlock()
	if !ok && u.Base != noBase {
		u.Large = true
		return u
	}
	records, err := unpackRecords(u.Packed, dictionary)
	if err != nil {
		klog.ErrorS(err, "Failed to unpack relayed records, reading them from the store", "topic", u.Topic, "from", u.From, "base", u.Base)
		u.Large = true
		return u
	}
	u.Records, u.Packed = records, nil
	return u
}

// applyWatermark applies a watermark of the current era.
func (c *Consumer) applyWatermark(w Watermark) {
	c.eras.apply(w.Era, func() { c.recordWatermark(w) })
}

// recordWatermark records that nothing was missing here at the watermark's time. A
// watermark beyond the records read here ends the relay.
func (c *Consumer) recordWatermark(w Watermark) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.next < 0 || w.Next > c.next {
		c.behind, c.relayProvenAt = true, time.Time{}
		c.store.retryNow()
		return
	}
	if w.Next < c.next {
		return
	}
	relayProvenAt := c.Clock.Now().Add(-w.Age)
	if w.Age < c.RelayAge && relayProvenAt.After(c.relayProvenAt) {
		c.relayProvenAt = relayProvenAt
		c.store.recordSuccess()
		if w.Uninterrupted {
			c.store.recordUninterrupted()
		}
	}
}

// relayedWithin reports whether the last watermark is younger than an age.
func (c *Consumer) relayedWithin(age time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Clock.Now().Sub(c.relayProvenAt) < age
}

// endRelay makes this host read from the store until the next watermark that
// matches.
func (c *Consumer) endRelay() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.behind, c.relayProvenAt = true, time.Time{}
	c.store.retryNow()
}

// RelayActive reports whether the leader relays all changes of owners to this
// host, so that there is a leader.
func (c *Catalog) RelayActive() bool { return c.ownerConsumer.relayedWithin(leaderSilence) }

// waitWhileRelayed waits while the leader relays the topic to this host, or may begin to.
func (c *Consumer) waitWhileRelayed(ctx context.Context) {
	for ctx.Err() == nil && (c.relayedWithin(c.RelayAge) || c.Defers() && c.provenWithin(c.RelayAge)) {
		clock.Sleep(ctx, relayPollInterval)
	}
}

// provenWithin reports whether the last read of this host has proved the end of the topic less
// than an age ago, and the leader has not read more since.
func (c *Consumer) provenWithin(age time.Duration) bool {
	failing := c.store.failing()
	c.mu.Lock()
	defer c.mu.Unlock()
	return !failing && !c.behind && c.Clock.Now().Sub(c.provenAt) < age
}
