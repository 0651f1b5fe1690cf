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
	// entryRenewalTime is the time in which a target writes its entry again, with one lost.
	entryRenewalTime = 2 * time.Second
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
	// removed holds the removed targets by id.
	removed map[string]removal
	// unconfirmed holds, by id, the targets whose entry may have lapsed because the
	// store was unreachable, or was overwritten by one that names no target.
	unconfirmed map[string]deferral
	// entryLifetime is the time without a write of its target after which the store removes an
	// entry, 0 if that is not known.
	entryLifetime time.Duration
	// services holds the services that a configuration has named, unnamed, by id, the entries of
	// others.
	services map[string]bool
	unnamed  map[string]unnamedEntry
	// offsets holds the newest offset read of each key in the current era, by topic
	// and key.
	offsets map[string]int64
	// unreadableOwners is the offset after the newest record of owners, if that can't be read; else 0.
	unreadableOwners int64
	eras             *eras
	drains           drains
	// era is the current era, rereading whether the targets in it are still to be read.
	era         int64
	rereading   bool
	targetsRead bool
	changed     chan struct{}
	// changedAt is the time at which a change of owners was last read.
	changedAt   time.Time
	broadcaster *broadcaster
	// HandleBlocked is called with each record of the requests that are refused, and with nil
	// if the store has none. It is set before Run.
	HandleBlocked func(value []byte)
	done          chan struct{}
}

// NewCatalog returns an empty catalog that keeps targets up to date.
func NewCatalog(clk clock.Clock, targets *placement.Set) *Catalog {
	store, era := newReachability(clk), newEras()
	catalog := &Catalog{
		clock: clk, targets: targets, store: store, eras: era,
		configConsumer: NewConsumer(platform.TopicConfig, store, era),
		targetConsumer: NewConsumer(platform.TopicTargets, store, era),
		ownerConsumer:  NewConsumer(platform.TopicOwners, store, era),
		removed:        make(map[string]removal),
		unconfirmed:    make(map[string]deferral),
		services:       make(map[string]bool),
		unnamed:        make(map[string]unnamedEntry),
		offsets:        make(map[string]int64),
		drains:         drains{byDomain: make(map[string]DomainDrain)},
		changed:        make(chan struct{}),
		broadcaster:    newBroadcaster(),
		HandleBlocked:  func([]byte) {},
		done:           make(chan struct{}),
	}
	era.begin = catalog.beginEra
	for _, consumer := range catalog.consumers() {
		consumer.Wait = func() time.Duration { return defaultReadWait }
		consumer.Publish = catalog.broadcaster.publish
	}
	catalog.configConsumer.Apply = catalog.applyConfig
	catalog.configConsumer.HandleList = catalog.applyDrainList
	catalog.targetConsumer.Apply = catalog.applyTargets
	catalog.targetConsumer.BatchDelay = func() time.Duration { return defaultBatchDelay }
	catalog.ownerConsumer.Apply = catalog.applyOwners
	return catalog
}

// Position returns the offset after the newest assignment read, or a negative number
// before the first read of an era, and the time of the last proof in the era, by a read
// of this host, that no assignment was missing.
func (c *Catalog) Position() (next int64, provenAt time.Time) { return c.ownerConsumer.Position() }

// SetReadTimes sets how long reads of the owners and of other topics wait for a change, and
// how long changes of targets are collected between two reads. It must be called before Run.
func (c *Catalog) SetReadTimes(ownerWait, wait, batchDelay func() time.Duration) {
	for _, consumer := range c.consumers() {
		consumer.Wait = wait
	}
	c.ownerConsumer.Wait = ownerWait
	c.targetConsumer.BatchDelay = batchDelay
}

// SetDefers sets whether this host puts off reads of topics other than the owners, of which it
// knows the end, while the leader may begin to relay them. It must be called before Run.
func (c *Catalog) SetDefers(defers func() bool) {
	c.configConsumer.Defers, c.targetConsumer.Defers = defers, defers
}

// SetRelayAge sets the age of the leader's last watermark up to which this host relies on its
// relay and does not read from the store. It must be called before Run.
func (c *Catalog) SetRelayAge(age time.Duration) {
	for _, consumer := range c.consumers() {
		consumer.RelayAge = age
	}
}

// SetEntryLifetime sets the time without a write of its target after which the store removes an entry.
// It must be called before Run.
func (c *Catalog) SetEntryLifetime(d time.Duration) { c.entryLifetime = d }

// ReadAtOnce makes this host read all topics now, also if another host relays them. The leader
// does so when it takes over: its watermarks are only as new as its last reads, and those of
// the leader before it have kept it from reading.
func (c *Catalog) ReadAtOnce() {
	for _, consumer := range c.consumers() {
		consumer.requestRead()
	}
}

// ReadConfig makes this host read the configuration now: another host has a newer one.
func (c *Catalog) ReadConfig() {
	c.configConsumer.requestRead()
	c.store.retryNow()
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

// Era returns the era of the store that this host reads, 0 if the store states none.
func (c *Catalog) Era() int64 { return c.eras.get() }

// OwnersRecord returns the record of the owners of keys as last read, and false
// before the first read.
func (c *Catalog) OwnersRecord() (platform.Record, bool) {
	r := c.ownersRecord.Load()
	if r == nil {
		return platform.Record{}, false
	}
	return *r, true
}

// UnreadableOwners returns the offset of the newest record of owners in this era, and true, if that
// can't be read.
func (c *Catalog) UnreadableOwners() (offset int64, unreadable bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unreadableOwners - 1, c.unreadableOwners > 0
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

func (c *Catalog) applyConfig(records []platform.Record, complete bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !complete {
		c.applyDrains(records)
	}
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
		c.nameServices(config, c.clock.Now())
		klog.InfoS("Configuration changed", "version", config.Version, "routes", len(config.Routes), "offset", r.Offset)
	}
}

func (c *Catalog) applyOwners(records []platform.Record, complete bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.applyBlocked(records, complete)
	for _, r := range records {
		if r.Key != platform.KeyOwners || len(r.Value) == 0 {
			continue
		}
		a, err := owner.Decode(r.Value)
		if err != nil {
			klog.ErrorS(err, "Failed to decode the assignment, keeping the previous one", "offset", r.Offset)
			c.unreadableOwners = max(c.unreadableOwners, r.Offset+1)
			continue
		}
		old := c.owners.Load()
		if old != nil && !isNewer(a, r, old, *c.ownersRecord.Load()) {
			continue
		}
		if old == nil || old.Epoch != a.Epoch {
			klog.InfoS("Leader has changed", "leader", a.Leader, "epoch", a.Epoch, "offset", r.Offset)
		}
		if r.Offset >= c.unreadableOwners {
			c.unreadableOwners = 0
		}
		c.owners.Store(a)
		c.ownersRecord.Store(&r)
		c.changedAt = c.clock.Now()
		close(c.changed)
		c.changed = make(chan struct{})
	}
}

// applyBlocked passes on the newest record of the requests that are refused. The caller holds
// mu.
func (c *Catalog) applyBlocked(records []platform.Record, complete bool) {
	found := false
	for _, r := range records {
		if r.Key != platform.KeyBlocked {
			continue
		}
		found = true
		if len(r.Value) > 0 && c.recordOffset(platform.TopicOwners, r) {
			c.HandleBlocked(r.Value)
		}
	}
	if complete && !found {
		c.HandleBlocked(nil)
	}
}

// isNewer reports whether assignment a, read as record r, is newer than another one. An
// epoch belongs to one leader in one era, and offsets can be compared within an era only.
func isNewer(a *owner.Assignment, r platform.Record, old *owner.Assignment, oldRecord platform.Record) bool {
	switch {
	case a.Epoch != old.Epoch:
		return a.Epoch > old.Epoch
	case a.Era != old.Era:
		return a.Era > old.Era
	}
	return r.Offset > oldRecord.Offset
}

// beginEra discards the positions and offsets of the old era, and logs it unless the first
// era begins. The configuration, the targets and the owners stay: records of the new era
// replace them only if they are newer by their own numbers.
func (c *Catalog) beginEra(old, era int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.era = era
	config, targets, owners := c.configConsumer.beginEra(), c.targetConsumer.beginEra(), c.ownerConsumer.beginEra()
	if max(config, targets, owners) < 0 {
		return
	}
	klog.InfoS("Store came back from an older copy, all topics are read anew", "oldEra", old, "era", era, "configOffset", config,
		"targetsOffset", targets, "ownersOffset", owners, "droppedOffsets", len(c.offsets))
	c.rereading = true
	c.offsets = make(map[string]int64)
	c.drains.listEnd, c.unreadableOwners = 0, 0
	c.store.recordNewEra()
}
