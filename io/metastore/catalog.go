package metastore

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"pineturn/core/clock"
	"pineturn/core/owner"
	"pineturn/core/placement"
	"pineturn/core/routing"
	"pineturn/platform"
)

const (
	// defaultReadWait is how long a read waits for a record, unless SetReadTimes
	// sets another wait. A connection that no longer delivers data is detected
	// only after it.
	defaultReadWait = 3 * time.Second
	// defaultBatchDelay is the default time for which changes of targets are
	// collected for one read.
	defaultBatchDelay = 150 * time.Millisecond
	// recoveryGrace is the time after the store becomes reachable again in which
	// targets can renew entries that lapsed during the outage.
	recoveryGrace = 2 * time.Second
	// removedRetention is how long a removed target's entry is kept, so that
	// releases can still be sent to the target.
	removedRetention = 30 * time.Second
)

// Catalog is a host's local copy of the configuration, the targets and the owners
// of keys.
type Catalog struct {
	clock   clock.Clock
	targets *placement.Set
	table   atomic.Pointer[routing.Table]
	owners  atomic.Pointer[owner.Assignment]
	// ownersRecord is the record from which owners was decoded.
	ownersRecord atomic.Pointer[platform.Record]

	store          *reachability
	configConsumer *Consumer
	targetConsumer *Consumer
	ownerConsumer  *Consumer

	mu sync.Mutex
	// removed holds the removed targets and the time of their removal, by id.
	removed map[string]removal
	// unconfirmed holds, by target id, the time at which a target is removed
	// whose entry may have lapsed because the store was unreachable.
	unconfirmed map[string]time.Time
	// offsets holds the newest offset read of each key, by topic and key.
	offsets map[string]int64
	// entryOffsets holds the offset of each target's last entry, by id.
	entryOffsets map[string]int64
	targetsRead  bool
	changed      chan struct{}
	// changedAt is the time at which a change of owners was last read.
	changedAt   time.Time
	broadcaster *broadcaster
	done        chan struct{}
}

type removal struct {
	entry placement.Entry
	at    time.Time
	// superseded reports that another target has registered the address since the
	// last entry, which proves that the removed one has ended.
	superseded bool
}

// RemovedTarget is a target that was removed recently.
type RemovedTarget struct {
	placement.Entry
	// Ended reports that the target is proved to have ended.
	Ended bool
}

// NewCatalog returns an empty catalog that keeps targets up to date.
func NewCatalog(clk clock.Clock, targets *placement.Set) *Catalog {
	store := newReachability(clk)
	catalog := &Catalog{
		clock: clk, targets: targets, store: store,
		configConsumer: NewConsumer(platform.TopicConfig, store),
		targetConsumer: NewConsumer(platform.TopicTargets, store),
		ownerConsumer:  NewConsumer(platform.TopicOwners, store),
		removed:        make(map[string]removal),
		unconfirmed:    make(map[string]time.Time),
		offsets:        make(map[string]int64),
		entryOffsets:   make(map[string]int64),
		changed:        make(chan struct{}),
		broadcaster:    newBroadcaster(),
		done:           make(chan struct{}),
	}
	for _, consumer := range catalog.consumers() {
		consumer.Wait = func() time.Duration { return defaultReadWait }
		consumer.Publish = catalog.broadcaster.publish
	}
	catalog.configConsumer.Apply = catalog.applyConfig
	catalog.targetConsumer.Apply = catalog.applyTargets
	catalog.targetConsumer.BatchDelay = func() time.Duration { return defaultBatchDelay }
	catalog.ownerConsumer.Apply = catalog.applyOwners
	return catalog
}

// Position returns the offset after the newest assignment read, and the time of the
// last proof, by a read of this host, that no assignment was missing.
func (c *Catalog) Position() (next int64, provenAt time.Time) { return c.ownerConsumer.Position() }

// Era returns the newest era of the store that this host has read, 0 for a store without.
func (c *Catalog) Era() int64 { return 0 }

// SetReadTimes sets how long reads wait for a change, and how long changes of
// targets are collected between two reads. It must be called before Run.
func (c *Catalog) SetReadTimes(wait, batchDelay func() time.Duration) {
	for _, consumer := range c.consumers() {
		consumer.Wait = wait
	}
	c.targetConsumer.BatchDelay = batchDelay
}

func (c *Catalog) consumers() []*Consumer {
	return []*Consumer{c.configConsumer, c.targetConsumer, c.ownerConsumer}
}

// Done is closed when Run has returned.
func (c *Catalog) Done() <-chan struct{} { return c.done }

// Table returns the routing table in force, or nil before the first
// configuration is read.
func (c *Catalog) Table() *routing.Table { return c.table.Load() }

// Assignment returns the owners of keys as last read, or nil before the first
// read.
func (c *Catalog) Assignment() *owner.Assignment { return c.owners.Load() }

// OwnersRecord returns the record of the owners of keys as last read, and false
// before the first read.
func (c *Catalog) OwnersRecord() (platform.Record, bool) {
	r := c.ownersRecord.Load()
	if r == nil {
		return platform.Record{}, false
	}
	return *r, true
}

// ApplyOwners applies a record of the owners of keys that another host has read. It is
// ignored unless it is newer than the one applied last.
func (c *Catalog) ApplyOwners(record platform.Record) {
	c.applyOwners([]platform.Record{record}, false)
}

// Ready reports whether the configuration and the targets have been read.
func (c *Catalog) Ready() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.targetsRead && c.table.Load() != nil
}

// Changed returns a channel that is closed at the next change of owners.
func (c *Catalog) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// ChangedAt returns the time at which a change of owners was last read.
func (c *Catalog) ChangedAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changedAt
}

// Run reads the topics of the store until the context ends.
func (c *Catalog) Run(ctx context.Context, store Reader) {
	defer close(c.done)
	for _, consumer := range c.consumers() {
		go consumer.Run(ctx, store)
	}
	tick := time.NewTicker(defaultBatchDelay)
	defer tick.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-tick.C:
			c.expire()
		}
	}
	for _, consumer := range c.consumers() {
		<-consumer.Done()
	}
}

// recordOffset records the offset of a key's record, and reports whether the record
// is newer than the key's last one.
func (c *Catalog) recordOffset(topic string, r platform.Record) bool {
	name := topic + "/" + r.Key
	if last, ok := c.offsets[name]; ok && r.Offset <= last {
		return false
	}
	c.offsets[name] = r.Offset
	return true
}

func (c *Catalog) applyConfig(records []platform.Record, _ bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range records {
		if r.Key != platform.KeyConfig || len(r.Value) == 0 || !c.recordOffset(platform.TopicConfig, r) {
			continue
		}
		config, err := platform.DecodeConfig(r.Value)
		if err != nil {
			klog.ErrorS(err, "Failed to decode the configuration, keeping the one in force", "offset", r.Offset)
			continue
		}
		if old := c.table.Load(); old != nil && old.Config().Version >= config.Version {
			continue
		}
		c.table.Store(routing.NewTable(config))
		klog.InfoS("Configuration changed", "version", config.Version, "routes", len(config.Routes), "offset", r.Offset)
	}
}

func (c *Catalog) applyTargets(records []platform.Record, complete bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	present := make(map[string]bool, len(records))
	for _, r := range records {
		present[r.Key] = true
		if c.recordOffset(platform.TopicTargets, r) {
			c.applyTarget(r, complete, now)
		}
	}
	if complete {
		for _, entry := range c.targets.Entries("") {
			if !present[entry.ID] {
				c.removeOrDefer(entry.ID, now)
			}
		}
	}
	c.targetsRead = true
}

// applyTarget applies a record. In a complete list of the newest records, the order in
// which targets registered their addresses does not show.
func (c *Catalog) applyTarget(r platform.Record, complete bool, now time.Time) {
	if len(r.Value) == 0 {
		c.removeOrDefer(r.Key, now)
		return
	}
	entry, err := platform.DecodeEntry(r.Key, r.Value)
	if err != nil {
		klog.InfoS("Target entry is invalid", "key", r.Key, "offset", r.Offset, "err", err)
		c.remove(r.Key, now)
		return
	}
	old, found := c.targets.Entry(r.Key)
	if !c.targets.Put(entry, now) {
		return
	}
	c.entryOffsets[r.Key] = r.Offset
	delete(c.unconfirmed, r.Key)
	if _, removed := c.removed[r.Key]; !complete && !found && !removed {
		c.supersede(entry, r.Offset, now)
	}
	delete(c.removed, r.Key)
	if !found || old.Draining != entry.Draining || old.Born != entry.Born || old.Address != entry.Address {
		klog.InfoS("Target entry was added or changed", "target", r.Key, "service", entry.Service, "address", entry.Address,
			"draining", entry.Draining, "born", entry.Born, "sequence", entry.Sequence, "offset", r.Offset)
	}
}

// supersede removes the targets that had the address of a new target before. Each of
// them has ended, as addresses are reused only after that. An entry that was written
// after the new target's first one proves nothing.
func (c *Catalog) supersede(added placement.Entry, offset int64, now time.Time) {
	ended := func(e placement.Entry) bool {
		return e.ID != added.ID && e.Address == added.Address && c.entryOffsets[e.ID] < offset
	}
	for _, e := range c.targets.Entries("") {
		if ended(e) {
			c.remove(e.ID, now)
		}
	}
	for id, r := range c.removed {
		if !r.superseded && ended(r.entry) {
			r.superseded = true
			c.removed[id] = r
			klog.InfoS("Target has ended, another has its address", "target", id, "address", added.Address, "by", added.ID, "offset", offset)
		}
	}
}

// removeOrDefer removes a target whose entry was deleted. If the store is or was
// recently unreachable, the entry may only have lapsed, and the removal is deferred
// until the end of the grace period so that the target can renew the entry.
func (c *Catalog) removeOrDefer(id string, now time.Time) {
	if _, found := c.targets.Entry(id); !found {
		return
	}
	end := c.store.graceEnd(recoveryGrace)
	if !now.Before(end) {
		c.remove(id, now)
		return
	}
	if _, ok := c.unconfirmed[id]; !ok {
		c.unconfirmed[id] = end
		klog.InfoS("Target's entry lapsed during a store outage, removal is deferred", "target", id, "grace", end.Sub(now))
	}
}

func (c *Catalog) remove(id string, now time.Time) {
	delete(c.unconfirmed, id)
	entry, found := c.targets.Entry(id)
	if !found {
		return
	}
	c.targets.Remove(id)
	c.removed[id] = removal{entry: entry, at: now}
	klog.InfoS("Target removed", "target", id, "service", entry.Service, "born", entry.Born)
}

func (c *Catalog) expire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	graceEnd := c.store.graceEnd(recoveryGrace)
	for id, at := range c.unconfirmed {
		if !now.Before(at) || !now.Before(graceEnd) {
			c.remove(id, now)
		}
	}
	for id, d := range c.removed {
		if now.Sub(d.at) > removedRetention {
			delete(c.removed, id)
			delete(c.entryOffsets, id)
		}
	}
}

// RecentlyRemoved returns the targets that were removed within
// removedRetention.
func (c *Catalog) RecentlyRemoved() []RemovedTarget {
	c.mu.Lock()
	defer c.mu.Unlock()
	var removed []RemovedTarget
	for _, r := range c.removed {
		removed = append(removed, RemovedTarget{Entry: r.entry, Ended: r.superseded})
	}
	return removed
}

func (c *Catalog) applyOwners(records []platform.Record, _ bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range records {
		if r.Key != platform.KeyOwners || len(r.Value) == 0 || !c.recordOffset(platform.TopicOwners, r) {
			continue
		}
		a, err := owner.Decode(r.Value)
		if err != nil {
			klog.ErrorS(err, "Failed to decode the assignment, keeping the previous one", "offset", r.Offset)
			continue
		}
		if old := c.owners.Load(); old == nil || old.Epoch != a.Epoch {
			klog.InfoS("Leader has changed", "leader", a.Leader, "epoch", a.Epoch, "offset", r.Offset)
		}
		c.owners.Store(a)
		c.ownersRecord.Store(&r)
		c.changedAt = c.clock.Now()
		close(c.changed)
		c.changed = make(chan struct{})
	}
}
