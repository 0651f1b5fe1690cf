package audit

import (
	"cmp"
	"fmt"
	"slices"
	"sort"
	"time"

	"pineturn/core/shard"
)

// byParent groups intervals by their range shard, each group in order of time.
func byParent(intervals []interval) map[shard.ID][]interval {
	groups := map[shard.ID][]interval{}
	for _, held := range intervals {
		parent := held.shard.Parent()
		groups[parent] = append(groups[parent], held)
	}
	for _, group := range groups {
		slices.SortFunc(group, func(a, b interval) int { return cmp.Compare(a.from, b.from) })
	}
	return groups
}

// sameKey reports whether two intervals of one range shard share a key.
func sameKey(a, b interval) bool {
	switch {
	case a.shard.Key == "" && b.shard.Key == "":
		return true
	case a.shard.Key == "":
		return a.covers(b.shard.Parent(), b.shard.Key)
	}
	return b.covers(a.shard.Parent(), a.shard.Key)
}

// twoOwners finds shards that two targets owned at one moment.
func twoOwners(intervals []interval) []Finding {
	var findings []Finding
	for _, group := range byParent(intervals) {
		var active []interval
		for _, held := range group {
			active = slices.DeleteFunc(active, func(other interval) bool { return other.to <= held.from })
			for _, other := range active {
				if other.owner.file != held.owner.file && sameKey(other, held) {
					findings = append(findings, overlap(other, held))
				}
			}
			active = append(active, held)
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
		Detail: fmt.Sprintf("granted at epoch %d and %d at once for %s",
			a.epoch, b.epoch, time.Duration(to-b.from)),
	}
}

// twoRunners finds keys whose requests two targets ran at one moment.
func twoRunners(runs []*execution) []Finding {
	type keyOf struct{ service, key string }
	groups := map[keyOf][]*execution{}
	for _, run := range runs {
		id := keyOf{run.owner.service, run.request.Key}
		groups[id] = append(groups[id], run)
	}
	var findings []Finding
	for id, group := range groups {
		sort.SliceStable(group, func(i, j int) bool { return group[i].from < group[j].from })
		var active []*execution
		for _, run := range group {
			active = slices.DeleteFunc(active, func(other *execution) bool { return other.to <= run.from })
			for _, other := range active {
				if other.owner.file == run.owner.file {
					continue
				}
				findings = append(findings, Finding{
					Problem: TwoOwners, Service: id.service, Key: id.key, Shard: run.request.Shard,
					Request: run.request.ID, Targets: []string{other.owner.name(), run.owner.name()},
					FromNs: run.from, ToNs: min(run.to, other.to),
					Detail: "ran at once with request " + other.request.ID,
				})
			}
			active = append(active, run)
		}
	}
	return findings
}

// outsideGrant finds requests that ran while their target didn't own the key.
func outsideGrant(found *digested) []Finding {
	groups := byParent(found.intervals)
	var findings []Finding
	for _, run := range found.runs {
		id, err := shard.Parse(run.request.Shard)
		if err == nil && covered(run, id.Parent(), groups[id.Parent()]) {
			continue
		}
		findings = append(findings, Finding{
			Problem: OutsideGrant, Service: run.owner.service, Shard: run.request.Shard, Key: run.request.Key,
			Request: run.request.ID, Targets: []string{run.owner.name()}, FromNs: run.from, ToNs: run.to,
			Detail: "the target didn't own the key all the while",
		})
	}
	return findings
}

// covered reports whether intervals of the run's owner, in order of time,
// cover the whole run without a gap.
func covered(run *execution, parent shard.ID, intervals []interval) bool {
	at := run.from
	for _, held := range intervals {
		if held.owner != run.owner || !held.covers(parent, run.request.Key) || held.from > at || held.to <= at {
			continue
		}
		at = held.to
		if at >= run.to {
			return true
		}
	}
	return false
}

// epochReverted finds shards granted under a lower epoch than before.
func epochReverted(intervals []interval) []Finding {
	ordered := slices.Clone(intervals)
	slices.SortStableFunc(ordered, func(a, b interval) int { return cmp.Compare(a.from, b.from) })
	newest := map[shard.ID]interval{}
	var findings []Finding
	for _, held := range ordered {
		last, ok := newest[held.shard]
		if ok && held.epoch < last.epoch {
			findings = append(findings, Finding{
				Problem: EpochReverted, Service: held.shard.Service, Shard: held.shard.String(),
				Targets: []string{last.owner.name(), held.owner.name()}, FromNs: held.from, ToNs: held.to,
				Detail: fmt.Sprintf("granted at epoch %d after %d", held.epoch, last.epoch),
			})
			continue
		}
		newest[held.shard] = held
	}
	return findings
}

// measure counts how often shards changed their target, and the longest time
// that one was without.
func (c *Counts) measure(intervals []interval) {
	ordered := slices.Clone(intervals)
	slices.SortStableFunc(ordered, func(a, b interval) int { return cmp.Compare(a.from, b.from) })
	last := map[shard.ID]interval{}
	for _, held := range ordered {
		before, ok := last[held.shard]
		if ok {
			c.LongestGapNs = max(c.LongestGapNs, held.from-before.to)
		}
		if ok && before.owner.file != held.owner.file {
			c.Moves++
		}
		if !ok || held.to > before.to {
			last[held.shard] = held
		}
	}
}
