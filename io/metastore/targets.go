package metastore

import (
	"time"

	"k8s.io/klog/v2"

	"pineturn/core/placement"
	"pineturn/platform"
)

type removal struct {
	entry placement.Entry
	at    time.Time
	// superseded reports that another target has registered the address since the
	// last entry, which proves that the removed one has ended.
	superseded bool
	// era is the era of the removal. left reports that the target was seen to leave: its
	// entry was not just missing in the first list of the era.
	era  int64
	left bool
}

// deferral is a removal that is put off until end.
type deferral struct {
	end  time.Time
	era  int64
	left bool
}

// RemovedTarget is a target that was removed recently.
type RemovedTarget struct {
	placement.Entry
	// Ended reports that the target is proved to have ended.
	Ended bool
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
		c.rereading = false
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
		klog.InfoS("Target entry is invalid", "key", r.Key, "offset", r.Offset, "err", shorten(err))
		c.removeInvalid(r.Key, now)
		return
	}
	old, found := c.targets.Entry(r.Key)
	if c.hasLeft(entry) || !c.targets.Put(entry, now) {
		return
	}
	c.entryOffsets[r.Key] = r.Offset
	delete(c.unconfirmed, r.Key)
	if _, removed := c.removed[r.Key]; !complete && !found && !removed {
		c.supersede(entry, r.Offset, now)
	}
	delete(c.removed, r.Key)
	// A target that has said that it leaves counts as draining whatever its entry says.
	entry, _ = c.targets.Entry(r.Key)
	if !found || old.Draining != entry.Draining || old.Born != entry.Born || old.Address != entry.Address {
		klog.InfoS("Target entry was added or changed", "target", r.Key, "service", entry.Service, "address", entry.Address,
			"draining", entry.Draining, "born", entry.Born, "sequence", entry.Sequence, "offset", r.Offset)
	}
}

// maxEntryErrorBytes bounds what is logged of an invalid entry, which may hold anything.
const maxEntryErrorBytes = 200

// shorten returns the beginning of the text of an error.
func shorten(err error) string {
	text := err.Error()
	return text[:min(len(text), maxEntryErrorBytes)]
}

// removeInvalid removes a target whose entry is invalid. In the first list of an era, that
// entry may be older than the one known.
func (c *Catalog) removeInvalid(id string, now time.Time) {
	if c.rereading {
		c.removeOrDefer(id, now)
	} else {
		c.remove(id, now, true)
	}
}

// hasLeft reports whether the target of an entry was seen to leave in an earlier era, at
// this entry or a later one.
func (c *Catalog) hasLeft(entry placement.Entry) bool {
	if r, ok := c.removed[entry.ID]; ok {
		return r.left && r.era < c.era && !follows(entry, r.entry)
	}
	d, ok := c.unconfirmed[entry.ID]
	if !ok || !d.left || d.era == c.era {
		return false
	}
	last, found := c.targets.Entry(entry.ID)
	return found && !follows(entry, last)
}

// follows reports whether a target wrote an entry after another one.
func follows(entry, last placement.Entry) bool {
	if entry.Born != last.Born {
		return entry.Born > last.Born
	}
	return entry.Sequence > last.Sequence
}

// supersede removes the targets that had the address of a new target before. Each of
// them has ended, as addresses are reused only after that. An entry that was written
// after the new target's first one, or in an earlier era, proves nothing.
func (c *Catalog) supersede(added placement.Entry, offset int64, now time.Time) {
	ended := func(e placement.Entry) bool {
		last, known := c.entryOffsets[e.ID]
		return e.ID != added.ID && e.Address == added.Address && known && last < offset
	}
	for _, e := range c.targets.Entries("") {
		if ended(e) {
			c.remove(e.ID, now, true)
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
	left := !c.rereading
	end := c.store.graceEnd(recoveryGrace)
	if !now.Before(end) {
		c.remove(id, now, left)
		return
	}
	d, ok := c.unconfirmed[id]
	if ok && (d.left || !left) {
		return
	}
	if !ok {
		d.end = end
	}
	d.left, d.era = left, c.era
	c.unconfirmed[id] = d
	if !ok {
		klog.InfoS("Target's entry lapsed during a store outage, removal is deferred", "target", id, "grace", end.Sub(now))
	}
}

func (c *Catalog) remove(id string, now time.Time, left bool) {
	delete(c.unconfirmed, id)
	entry, found := c.targets.Entry(id)
	if !found {
		return
	}
	c.targets.Remove(id)
	c.removed[id] = removal{entry: entry, at: now, era: c.era, left: left}
	klog.InfoS("Target removed", "target", id, "service", entry.Service, "born", entry.Born)
}

func (c *Catalog) expire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	graceEnd := c.store.graceEnd(recoveryGrace)
	for id, d := range c.unconfirmed {
		if !now.Before(d.end) || !now.Before(graceEnd) {
			c.remove(id, now, d.left)
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
