package metastore

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"pineturn/core/placement"
	"pineturn/platform"
)

// ownersShare is the part of the bound on drains of failure domains for which requests may still
// be sent to the owners of their keys. The rest is for connections that are yet to be opened,
// and for hosts that are slow.
const ownersShare = 0.75

// DomainDrain is the operator's request to drain a failure domain, as this host has read it.
type DomainDrain struct {
	Domain string
	// Since is the time at which this host learned of it. OwnersUntil is the time until which
	// requests are sent to the owners of keys in the domain.
	Since, OwnersUntil time.Time
	// Offset is the offset of its newest record in the store's era Era.
	Offset, Era int64
}

// drains holds the failure domains that are drained. It is guarded by Catalog.mu.
type drains struct {
	byDomain map[string]DomainDrain
	// bound is the time from the store's acknowledgement of a request in which requests may
	// still reach targets of the domain.
	bound time.Duration
	// listEnd is the highest end of a complete list in the current era: what it lacks is
	// removed, and records before it that it lacks are out of date.
	listEnd int64
}

// SetDomainDrainBound sets the time from the store's acknowledgement of a request to drain a
// failure domain in which requests may still reach its targets. It must be called before Run.
func (c *Catalog) SetDomainDrainBound(bound time.Duration) { c.drains.bound = bound }

// DomainDrains returns the requests to drain failure domains that are in force, sorted by domain.
func (c *Catalog) DomainDrains() []DomainDrain {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.SortedFunc(maps.Values(c.drains.byDomain), func(a, b DomainDrain) int { return cmp.Compare(a.Domain, b.Domain) })
}

// applyDrainList applies the newest record of every key. A request that is missing has been
// removed, unless the list ends before its record, or is the first one of a new era: the store
// may have come back from a copy from before the request.
func (c *Catalog) applyDrainList(records []platform.Record, end int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if end < c.drains.listEnd {
		return
	}
	present := make(map[string]bool)
	changed := false
	for _, r := range records {
		domain, requests := platform.DrainedDomain(r.Key)
		if requests && len(r.Value) > 0 {
			present[domain] = true
			changed = c.applyDrain(r) || changed
		}
	}
	for domain, d := range c.drains.byDomain {
		switch {
		case present[domain]:
		case d.Era < c.era:
			klog.InfoS("Failure domain stays drained, the store came back from a copy without the request", "domain", domain,
				"offset", d.Offset, "eraOfRequest", d.Era, "era", c.era)
		case d.Offset < end:
			changed = c.endDrain(d, end) || changed
		}
	}
	c.drains.listEnd = end
	c.publishDrains(changed)
}

// applyDrains applies new records of the operator's topic. The caller holds mu.
func (c *Catalog) applyDrains(records []platform.Record) {
	changed := false
	for _, r := range records {
		if r.Offset >= c.drains.listEnd {
			changed = c.applyDrain(r) || changed
		}
	}
	c.publishDrains(changed)
}

// applyDrain applies a record and reports whether the drained domains have changed. The caller
// holds mu.
func (c *Catalog) applyDrain(r platform.Record) bool {
	domain, requests := platform.DrainedDomain(r.Key)
	if !requests || !c.recordOffset(platform.TopicConfig, r) {
		return false
	}
	d, found := c.drains.byDomain[domain]
	switch {
	case domain == "":
		klog.InfoS("Request to drain a failure domain names none, it is ignored", "key", r.Key, "offset", r.Offset)
		return false
	case len(r.Value) == 0:
		return found && c.endDrain(d, r.Offset)
	case found:
		d.Offset, d.Era = r.Offset, c.era
		c.drains.byDomain[domain] = d
		return false
	}
	c.beginDrain(domain, r.Offset)
	return true
}

// beginDrain begins to drain a domain. The store acknowledged the request after the last proof
// that the topic had no further record, so the bound counts from then. The caller holds mu.
func (c *Catalog) beginDrain(domain string, offset int64) {
	now := c.clock.Now()
	age := min(c.configConsumer.age(), c.drains.bound)
	d := DomainDrain{Domain: domain, Since: now, Offset: offset, Era: c.era}
	d.OwnersUntil = now.Add(time.Duration(ownersShare*float64(c.drains.bound)) - age)
	c.drains.byDomain[domain] = d
	// Operators may ask for it because the targets have just restarted.
	c.targets.SuspectCold(domain, now)
	targets := 0
	for _, e := range c.targets.Entries("") {
		if e.Domain == domain {
			targets++
		}
	}
	klog.InfoS("Failure domain is drained", "domain", domain, "offset", offset, "era", c.era, "targets", targets,
		"provenAgo", age, "ownersFor", d.OwnersUntil.Sub(now))
}

// endDrain ends a drain that was removed by the record at an offset, or by a list that ends
// there. The caller holds mu.
func (c *Catalog) endDrain(d DomainDrain, at int64) bool {
	delete(c.drains.byDomain, d.Domain)
	// Targets without requests may have become cold.
	c.targets.SuspectCold(d.Domain, c.clock.Now())
	klog.InfoS("Failure domain is drained no more", "domain", d.Domain, "offset", d.Offset, "endedAt", at, "after", c.clock.Now().Sub(d.Since))
	return true
}

// publishDrains has requests obey the drained domains if they have changed. The caller holds mu.
func (c *Catalog) publishDrains(changed bool) {
	if !changed {
		return
	}
	all := make([]placement.DrainedDomain, 0, len(c.drains.byDomain))
	for _, d := range c.drains.byDomain {
		all = append(all, placement.DrainedDomain{Domain: d.Domain, OwnersUntil: d.OwnersUntil})
	}
	c.targets.SetDrainedDomains(all)
}
