package metastore

import (
	"time"

	"k8s.io/klog/v2"

	"pineturn/core/placement"
	"pineturn/core/routing"
	"pineturn/platform"
)

// An entry whose service no configuration has named may come from another writer, also under the id of
// a target. It names no target. It is kept aside, as a later configuration may name its service.

// unnamedEntry is an entry whose service no configuration has named, and the offset of its record.
type unnamedEntry struct {
	entry  placement.Entry
	offset int64
}

// namesService reports whether a configuration that this host has read names a service. Before the
// first one, all may be named.
func (c *Catalog) namesService(service string) bool {
	return len(c.services) == 0 || c.services[service]
}

func (c *Catalog) keepAside(entry placement.Entry, offset int64) {
	if _, known := c.unnamed[entry.ID]; !known {
		klog.InfoS("Target entry is kept aside, no configuration names its service", "key", entry.ID, "service", entry.Service,
			"address", entry.Address, "born", entry.Born, "offset", offset)
	}
	c.unnamed[entry.ID] = unnamedEntry{entry: entry, offset: offset}
}

// nameServices records the services that a configuration names, takes the entries that were kept aside
// for them, and keeps those aside that were taken before the first configuration. The caller holds mu.
func (c *Catalog) nameServices(config *routing.Config, now time.Time) {
	for name := range config.Services {
		c.services[name] = true
	}
	for _, entry := range c.targets.Entries("") {
		if !c.namesService(entry.Service) {
			c.targets.Remove(entry.ID)
			delete(c.unconfirmed, entry.ID)
			c.keepAside(entry, c.offsets[platform.TopicTargets+"/"+entry.ID])
		}
	}
	for id, u := range c.unnamed {
		if c.namesService(u.entry.Service) {
			delete(c.unnamed, id)
			c.putTarget(u.entry, u.offset, now)
		}
	}
}
