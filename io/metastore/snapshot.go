package metastore

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"pineturn/platform"
)

// lackDelay is the time for which the leader must have read more than this host before this
// host asks it for what is missing. A host that the store serves has read it by then.
const lackDelay = 400 * time.Millisecond

// Snapshots reads the newest records of topics for hosts that can't read them from the store
// themselves. Hosts that ask for the same records share one read.
type Snapshots struct {
	catalog *Catalog
	store   Reader

	mu sync.Mutex
	// latest holds the last snapshot of each topic, packed.
	latest map[string]Update
}

// NewSnapshots returns snapshots of the topics of a catalog, read from a store.
func NewSnapshots(catalog *Catalog, store Reader) *Snapshots {
	return &Snapshots{catalog: catalog, store: store, latest: make(map[string]Update)}
}

// Get returns an update with the newest record of each key of a topic, at least as new as what
// this host has applied. It returns an error if the store can't be read.
func (s *Snapshots) Get(ctx context.Context, topic string) (Update, error) {
	consumer := s.catalog.consumer(topic)
	if consumer == nil {
		return Update{}, errors.Newf("snapshot of the unknown topic %q", topic)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	next, _ := consumer.Position()
	if u, ok := s.latest[topic]; ok && u.Era == s.catalog.Era() && u.Next >= next {
		return u, nil
	}
	batch, err := s.store.Newest(ctx, topic)
	if err != nil {
		return Update{}, errors.Wrapf(err, "snapshot of topic %s", topic)
	}
	packed, err := packRecords(batch.Records, nil)
	if err != nil {
		return Update{}, errors.Wrapf(err, "snapshot of topic %s", topic)
	}
	u := Update{Topic: topic, Next: batch.Next, Era: batch.Era, Packed: packed, Base: noBase, Complete: true}
	s.latest[topic] = u
	return u, nil
}

// consumer returns the consumer of a topic, or nil.
func (c *Catalog) consumer(topic string) *Consumer {
	for _, consumer := range c.consumers() {
		if consumer.Topic == topic {
			return consumer
		}
	}
	return nil
}

// Lacks returns the topics of which the leader has read records that this host has not got for
// some time: neither from the store nor by the leader's relay.
func (c *Catalog) Lacks() []string {
	var topics []string
	for _, consumer := range c.consumers() {
		if consumer.lacks(c.eras.get()) {
			topics = append(topics, consumer.Topic)
		}
	}
	return topics
}

// position is an offset in an era of the store.
type position struct{ era, next int64 }

func (p position) after(other position) bool {
	return p.era > other.era || p.era == other.era && p.next > other.next
}

// recordLeaderPosition records how far the leader has read.
func (c *Consumer) recordLeaderPosition(w Watermark) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaderPosition = position{era: w.Era, next: w.Next}
}

// lacks reports whether the leader has been ahead of this host for lackDelay.
func (c *Consumer) lacks(era int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Clock.Now()
	if !c.leaderPosition.after(position{era: era, next: c.next}) {
		c.lackingSince = time.Time{}
		return false
	}
	if c.lackingSince.IsZero() {
		c.lackingSince = now
	}
	return now.Sub(c.lackingSince) >= lackDelay
}

// applySnapshot applies the newest record of each key of a topic as the leader has read them.
// It proves nothing about the store's end: only reads of this host do.
func (c *Consumer) applySnapshot(u Update) {
	u = c.unpack(u)
	if u.Large {
		return
	}
	c.enter(u.Era)
	c.applyMu.Lock()
	defer c.applyMu.Unlock()
	c.eras.apply(u.Era, func() { c.applyNewest(u) })
}

func (c *Consumer) applyNewest(u Update) {
	if next, _ := c.Position(); u.Next < next {
		return
	}
	c.HandleList(u.Records, u.Next)
	c.Apply(u.Records, true)
	c.keep(u.Records)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next = u.Next
	c.reached = max(c.reached, c.next)
}

// leaderLostAge is the time without proof, by a read of this host or of the leader, that this
// host knows the latest owners, after which it asks other hosts who leads.
const leaderLostAge = 2500 * time.Millisecond

// LeaderLost reports whether this host may have missed a change of leader.
func (c *Catalog) LeaderLost() bool { return c.Age(platform.TopicOwners) > leaderLostAge }
