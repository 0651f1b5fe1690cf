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
	// readWait is how long a read waits for a record where nothing else is set.
	// A connection that has gone silent is noticed after it.
	readWait = 3 * time.Second
	// gatherTime is the time in which changes of targets gather for one read.
	gatherTime = 150 * time.Millisecond
	// returnGrace is the time after the store's return in which targets renew
	// entries that lapsed meanwhile.
	returnGrace = 2 * time.Second
	// departedFor is how long a removed target's entry is kept for releases.
	departedFor = 30 * time.Second
)

// Catalog is what a host believes of the configuration, the targets and the
// owners of keys.
type Catalog struct {
	clock   clock.Clock
	targets *placement.Set
	table   atomic.Pointer[routing.Table]
	owners  atomic.Pointer[owner.Assignment]

	configFollower *Consumer
	targetFollower *Consumer
	ownerFollower  *Consumer

	mu sync.Mutex
	// departed are targets whose entry is gone, by when it went.
	departed map[string]departure
	// doubted are targets whose entry may have lapsed with the store, by when
	// they are taken for gone.
	doubted map[string]time.Time
	// offsets are the newest offsets read of each key.
	offsets map[string]int64
	seen    bool
	changed chan struct{}
	// changedAt is when owners last changed.
	changedAt time.Time
	hub       *hub
	done      chan struct{}
}

type departure struct {
	entry placement.Entry
	at    time.Time
}

// NewCatalog returns an empty catalog that fills a set of targets.
func NewCatalog(c clock.Clock, targets *placement.Set) *Catalog {
	k := &Catalog{
		clock: c, targets: targets,
		configFollower: NewConsumer(platform.TopicConfig, c),
		targetFollower: NewConsumer(platform.TopicTargets, c),
		ownerFollower:  NewConsumer(platform.TopicOwners, c),
		departed:       make(map[string]departure),
		doubted:        make(map[string]time.Time),
		offsets:        make(map[string]int64),
		changed:        make(chan struct{}),
		hub:            newHub(),
		done:           make(chan struct{}),
	}
	for _, f := range k.followers() {
		f.Wait = func() time.Duration { return readWait }
		f.Publish = k.hub.publish
	}
	k.configFollower.Apply = k.applyConfig
	k.targetFollower.Apply = k.applyTargets
	k.targetFollower.Pause = func() time.Duration { return gatherTime }
	k.ownerFollower.Apply = k.applyOwners
	return k
}

// Position returns the offset after the newest assignment read, and when the
// read was sent that proved it to be the newest.
func (k *Catalog) Position() (next int64, fresh time.Time) { return k.ownerFollower.Position() }

// SetReadTimes sets how long reads wait for a change, and how long changes of
// targets gather between two reads. It is called before Run.
func (k *Catalog) SetReadTimes(wait, gather func() time.Duration) {
	for _, f := range k.followers() {
		f.Wait = wait
	}
	k.targetFollower.Pause = gather
}

func (k *Catalog) followers() []*Consumer {
	return []*Consumer{k.configFollower, k.targetFollower, k.ownerFollower}
}

// Done is closed when Run has returned.
func (k *Catalog) Done() <-chan struct{} { return k.done }

// Table returns the routes in force, or nil before the first configuration.
func (k *Catalog) Table() *routing.Table { return k.table.Load() }

// Assignment returns the owners of keys as last read, or nil before that.
func (k *Catalog) Assignment() *owner.Assignment { return k.owners.Load() }

// Ready reports whether the configuration and the targets are known.
func (k *Catalog) Ready() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.seen && k.table.Load() != nil
}

// Changed returns a channel that is closed when owners change.
func (k *Catalog) Changed() <-chan struct{} {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.changed
}

// ChangedAt returns when the owners were last read to have changed.
func (k *Catalog) ChangedAt() time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.changedAt
}

// Run follows the store until the context ends.
func (k *Catalog) Run(ctx context.Context, store Reader) {
	defer close(k.done)
	for _, f := range k.followers() {
		go f.Run(ctx, store)
	}
	tick := time.NewTicker(gatherTime)
	defer tick.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-tick.C:
			k.expire()
		}
	}
	for _, f := range k.followers() {
		<-f.Done()
	}
}

// newer notes the offset of a key's record and reports whether it is new.
func (k *Catalog) newer(topic string, r platform.Record) bool {
	name := topic + "/" + r.Key
	if last, ok := k.offsets[name]; ok && r.Offset <= last {
		return false
	}
	k.offsets[name] = r.Offset
	return true
}

func (k *Catalog) applyConfig(records []platform.Record, _ bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, r := range records {
		if r.Key != platform.KeyConfig || len(r.Value) == 0 || !k.newer(platform.TopicConfig, r) {
			continue
		}
		config, err := platform.DecodeConfig(r.Value)
		if err != nil {
			klog.ErrorS(err, "Configuration is not readable, keeping the one in force", "offset", r.Offset)
			continue
		}
		if old := k.table.Load(); old != nil && old.Config().Version >= config.Version {
			continue
		}
		k.table.Store(routing.NewTable(config))
		klog.InfoS("Configuration in force", "version", config.Version, "routes", len(config.Routes), "offset", r.Offset)
	}
}

func (k *Catalog) applyTargets(records []platform.Record, whole bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.clock.Now()
	named := make(map[string]bool, len(records))
	for _, r := range records {
		named[r.Key] = true
		if k.newer(platform.TopicTargets, r) {
			k.applyTarget(r, now)
		}
	}
	if whole {
		for _, entry := range k.targets.Entries("") {
			if !named[entry.ID] {
				k.goneOrDoubted(entry.ID, now)
			}
		}
	}
	k.seen = true
}

func (k *Catalog) applyTarget(r platform.Record, now time.Time) {
	if len(r.Value) == 0 {
		k.goneOrDoubted(r.Key, now)
		return
	}
	entry, err := platform.DecodeEntry(r.Key, r.Value)
	if err != nil {
		klog.InfoS("Entry names no target", "key", r.Key, "offset", r.Offset, "err", err)
		k.gone(r.Key, now)
		return
	}
	old, known := k.targets.Entry(r.Key)
	if !k.targets.Put(entry, now) {
		return
	}
	delete(k.doubted, r.Key)
	delete(k.departed, r.Key)
	if !known || old.Draining != entry.Draining || old.Born != entry.Born || old.Address != entry.Address {
		klog.InfoS("Target", "target", r.Key, "service", entry.Service, "address", entry.Address,
			"draining", entry.Draining, "born", entry.Born, "sequence", entry.Sequence, "offset", r.Offset)
	}
}

// goneOrDoubted drops a target whose entry is gone. Just after the store was
// lost the target may still come back.
func (k *Catalog) goneOrDoubted(id string, now time.Time) {
	if _, known := k.targets.Entry(id); !known {
		return
	}
	end := k.targetFollower.GraceEnd(returnGrace)
	if !now.Before(end) {
		k.gone(id, now)
		return
	}
	if _, ok := k.doubted[id]; !ok {
		k.doubted[id] = end
		klog.InfoS("Target's entry lapsed while the store was lost", "target", id, "grace", end.Sub(now))
	}
}

func (k *Catalog) gone(id string, now time.Time) {
	delete(k.doubted, id)
	entry, known := k.targets.Entry(id)
	if !known {
		return
	}
	k.targets.Remove(id)
	k.departed[id] = departure{entry: entry, at: now}
	klog.InfoS("Target is gone", "target", id, "service", entry.Service, "born", entry.Born)
}

func (k *Catalog) expire() {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.clock.Now()
	for id, at := range k.doubted {
		if !now.Before(at) {
			k.gone(id, now)
		}
	}
	for id, d := range k.departed {
		if now.Sub(d.at) > departedFor {
			delete(k.departed, id)
		}
	}
}

// RecentlyRemoved returns the entries of targets that are gone for a short time.
func (k *Catalog) RecentlyRemoved() []placement.Entry {
	k.mu.Lock()
	defer k.mu.Unlock()
	var entries []placement.Entry
	for _, d := range k.departed {
		entries = append(entries, d.entry)
	}
	return entries
}

func (k *Catalog) applyOwners(records []platform.Record, _ bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, r := range records {
		if r.Key != platform.KeyOwners || len(r.Value) == 0 || !k.newer(platform.TopicOwners, r) {
			continue
		}
		a, err := owner.Decode(r.Value)
		if err != nil {
			klog.ErrorS(err, "Assignment is not readable, keeping the one before", "offset", r.Offset)
			continue
		}
		if old := k.owners.Load(); old == nil || old.Epoch != a.Epoch {
			klog.InfoS("Host leads", "leader", a.Leader, "epoch", a.Epoch, "offset", r.Offset)
		}
		k.owners.Store(a)
		k.changedAt = k.clock.Now()
		close(k.changed)
		k.changed = make(chan struct{})
	}
}
