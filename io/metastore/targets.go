package metastore

import (
	"maps"
	"time"

	"k8s.io/klog/v2"

	"pineturn/core/placement"
	"pineturn/platform"
)

type removal struct {
	entry placement.Entry
	at    time.Time
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
	// overwritten reports that the target's entry was overwritten by one that names no
	// target, and has not lapsed.
	overwritten bool
}

func (c *Catalog) applyTargets(records []platform.Record, complete bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	present := make(map[string]bool, len(records))
	for _, r := range records {
		present[r.Key] = true
		if c.recordOffset(platform.TopicTargets, r) {
			c.applyTarget(r, now)
		}
	}
	if complete {
		for _, entry := range c.targets.Entries("") {
			if !present[entry.ID] {
				c.removeOrDefer(entry.ID, now)
			}
		}
		maps.DeleteFunc(c.unnamed, func(id string, _ unnamedEntry) bool { return !present[id] })
		c.rereading = false
	}
	c.targetsRead = true
}

// applyTarget applies a record. An entry says nothing of another one with the same address: requests
// and orders name the target that they are for, and the one at the address refuses those for the other.
func (c *Catalog) applyTarget(r platform.Record, now time.Time) {
	if len(r.Value) == 0 {
		delete(c.unnamed, r.Key)
		c.removeOrDefer(r.Key, now)
		return
	}
	entry, err := platform.DecodeEntry(r.Key, r.Value)
	if err != nil {
		klog.InfoS("Target entry is invalid", "key", r.Key, "offset", r.Offset, "err", shorten(err))
		c.removeUnlessRenewed(r.Key, now)
		return
	}
	if !c.namesService(entry.Service) {
		c.keepAside(entry, r.Offset)
		c.removeUnlessRenewed(r.Key, now)
		return
	}
	delete(c.unnamed, r.Key)
	c.putTarget(entry, r.Offset, now)
}

// putTarget stores the entry of a target, read at an offset, unless a newer one is known.
func (c *Catalog) putTarget(entry placement.Entry, offset int64, now time.Time) {
	old, found := c.targets.Entry(entry.ID)
	if c.hasLeft(entry) || !c.targets.Put(entry, now) {
		return
	}
	delete(c.unconfirmed, entry.ID)
	delete(c.removed, entry.ID)
	// A target that has said that it leaves counts as draining whatever its entry says.
	entry, _ = c.targets.Entry(entry.ID)
	if !found || old.Draining != entry.Draining || old.Born != entry.Born || old.Address != entry.Address {
		klog.InfoS("Target entry was added or changed", "target", entry.ID, "service", entry.Service, "address", entry.Address,
			"draining", entry.Draining, "born", entry.Born, "sequence", entry.Sequence, "offset", offset)
	}
}

// maxEntryErrorBytes bounds what is logged of an invalid entry, which may hold anything.
const maxEntryErrorBytes = 200

// shorten returns the beginning of the text of an error.
func shorten(err error) string {
	text := err.Error()
	return text[:min(len(text), maxEntryErrorBytes)]
}

// removeUnlessRenewed removes a target after entryRenewalTime unless it writes its entry again, which
// was overwritten by one that names no target. That one may come from another writer.
func (c *Catalog) removeUnlessRenewed(id string, now time.Time) {
	if _, found := c.targets.Entry(id); !found {
		return
	}
	if _, ok := c.unconfirmed[id]; !ok {
		c.unconfirmed[id] = deferral{end: now.Add(entryRenewalTime), era: c.era, left: !c.rereading, overwritten: true}
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
	if ok && !d.overwritten && (d.left || !left) {
		return
	}
	first := !ok || d.overwritten
	if first {
		d = deferral{end: end}
	}
	d.left, d.era = left, c.era
	c.unconfirmed[id] = d
	if first {
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
		if !now.Before(d.end) || !d.overwritten && !now.Before(graceEnd) {
			c.remove(id, now, d.left)
		}
	}
	for id, d := range c.removed {
		if now.Sub(d.at) > removedRetention {
			delete(c.removed, id)
		}
	}
}

// entryMargin is the time, in addition to the lifetime of an entry, after which a target that has started again
// under its id shows in the store: for its first write, and for outages of the store that reads do not show.
const entryMargin = 2500 * time.Millisecond

// TargetsRanAt returns a time at which each target whose entry this host has read was running, or since when
// it has. It returns the zero time if there is no proof: the store removes the entry of a target that has ended, or
// has one of its next incarnation, only while it is up.
func (c *Catalog) TargetsRanAt() time.Time {
	c.mu.Lock()
	lapsed := len(c.unconfirmed)
	c.mu.Unlock()
	_, provenAt := c.targetConsumer.Position()
	at := provenAt.Add(-c.entryLifetime - entryMargin)
	if lapsed > 0 || c.entryLifetime <= 0 || provenAt.IsZero() || !c.store.calmAt(at) {
		return time.Time{}
	}
	return at
}

// RecentlyRemoved returns the targets that were removed within
// removedRetention.
func (c *Catalog) RecentlyRemoved() []placement.Entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	var removed []placement.Entry
	for _, r := range c.removed {
		removed = append(removed, r.entry)
	}
	return removed
}
