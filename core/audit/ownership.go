package audit

import (
	"cmp"
	"fmt"
	"slices"
	"sort"
	"time"

	"pineturn/core/shard"
)

// byParent groups intervals by range shard. Each group is sorted by start time.
func byParent(intervals []interval) map[shard.ID][]interval {
	groups := map[shard.ID][]interval{}
	for _, current := range intervals {
		parent := current.shard.Parent()
		groups[parent] = append(groups[parent], current)
	}
	for _, group := range groups {
		slices.SortFunc(group, func(a, b interval) int { return cmp.Compare(a.from, b.from) })
	}
	return groups
}

// sameKey reports whether two intervals of the same range shard have a key in
// common.
func sameKey(a, b interval) bool {
	switch {
	case a.shard.Key == "" && b.shard.Key == "":
		return true
	case a.shard.Key == "":
		return a.covers(b.shard.Parent(), b.shard.Key)
	}
	return b.covers(a.shard.Parent(), a.shard.Key)
}

// twoOwners returns the shards that two targets owned at the same time.
func twoOwners(intervals []interval) []Finding {
	var findings []Finding
	for _, group := range byParent(intervals) {
		var active []interval
		for _, current := range group {
			active = slices.DeleteFunc(active, func(other interval) bool { return other.to <= current.from })
			for _, other := range active {
				if other.owner.file != current.owner.file && sameKey(other, current) {
					findings = append(findings, overlap(other, current))
				}
			}
			active = append(active, current)
		}
	}
	return findings
}

func overlap(a, b interval) Finding {
	to := min(a.to, b.to)
	return Finding{
		Problem: TwoOwners,
		Service: a.shard.Service,
		Shard:   b.shard.String(),
		Targets: []string{a.owner.name(), b.owner.name()},
		FromNs:  b.from,
		ToNs:    to,
		Detail: fmt.Sprintf("granted concurrently at epochs %d and %d for %s",
			a.epoch, b.epoch, time.Duration(to-b.from)),
	}
}

// concurrentRuns returns the keys whose requests two targets ran at the same
// time.
func concurrentRuns(runs []*requestRun) []Finding {
	type serviceKey struct{ service, key string }
	groups := map[serviceKey][]*requestRun{}
	for _, run := range runs {
		id := serviceKey{run.owner.service, run.request.Key}
		groups[id] = append(groups[id], run)
	}
	var findings []Finding
	for id, group := range groups {
		sort.SliceStable(group, func(i, j int) bool { return group[i].from < group[j].from })
		var active []*requestRun
		for _, run := range group {
			active = slices.DeleteFunc(active, func(other *requestRun) bool { return other.to <= run.from })
			for _, other := range active {
				if other.owner.file == run.owner.file {
					continue
				}
				findings = append(findings, Finding{
					Problem: TwoOwners, Service: id.service, Key: id.key, Shard: run.request.Shard,
					Request: run.request.ID, Targets: []string{other.owner.name(), run.owner.name()},
					FromNs: run.from, ToNs: min(run.to, other.to),
					Detail: "ran concurrently with request " + other.request.ID,
				})
			}
			active = append(active, run)
		}
	}
	return findings
}

// outsideGrant returns the requests that ran while their target did not own the
// key.
func outsideGrant(observed *history) []Finding {
	groups := byParent(observed.intervals)
	var findings []Finding
	for _, run := range observed.runs {
		id, err := shard.Parse(run.request.Shard)
		if err == nil && covered(run, id.Parent(), groups[id.Parent()]) {
			continue
		}
		findings = append(findings, Finding{
			Problem: OutsideGrant, Service: run.owner.service, Shard: run.request.Shard, Key: run.request.Key,
			Request: run.request.ID, Targets: []string{run.owner.name()}, FromNs: run.from, ToNs: run.to,
			Detail: "the target did not own the key for the whole run",
		})
	}
	return findings
}

// covered reports whether the intervals of the run's owner cover the whole run
// without a gap. The intervals are sorted by start time.
func covered(run *requestRun, parent shard.ID, intervals []interval) bool {
	at := run.from
	for _, current := range intervals {
		if current.owner != run.owner || !current.covers(parent, run.request.Key) || current.from > at || current.to <= at {
			continue
		}
		at = current.to
		if at >= run.to {
			return true
		}
	}
	return false
}

// epochReverted returns the shards that were granted at a lower epoch than
// before.
func epochReverted(intervals []interval) []Finding {
	ordered := slices.Clone(intervals)
	slices.SortStableFunc(ordered, func(a, b interval) int { return cmp.Compare(a.from, b.from) })
	latest := map[shard.ID]interval{}
	var findings []Finding
	for _, current := range ordered {
		last, ok := latest[current.shard]
		if ok && current.epoch < last.epoch {
			findings = append(findings, Finding{
				Problem: EpochReverted, Service: current.shard.Service, Shard: current.shard.String(),
				Targets: []string{last.owner.name(), current.owner.name()}, FromNs: current.from, ToNs: current.to,
				Detail: fmt.Sprintf("granted at epoch %d after %d", current.epoch, last.epoch),
			})
			continue
		}
		latest[current.shard] = current
	}
	return findings
}

// measureMoves sets the number of times that a shard changed its target, and the
// longest time that a shard was without an owner between two owners.
func (c *Counts) measureMoves(intervals []interval) {
	ordered := slices.Clone(intervals)
	slices.SortStableFunc(ordered, func(a, b interval) int { return cmp.Compare(a.from, b.from) })
	last := map[shard.ID]interval{}
	for _, current := range ordered {
		before, ok := last[current.shard]
		if ok {
			c.LongestGapNs = max(c.LongestGapNs, current.from-before.to)
		}
		if ok && before.owner.file != current.owner.file {
			c.Moves++
		}
		if !ok || current.to > before.to {
			last[current.shard] = current
		}
	}
}
