package daemon

import (
	"sort"
	"time"

	"pineturn/core/fold"
	"pineturn/core/lease"
	"pineturn/core/member"
	"pineturn/core/record"
)

// dump is the process state served at /debug/state.
type dump struct {
	Host    record.Member `json:"host"`
	Ready   bool          `json:"ready"`
	Leaving bool          `json:"leaving"`
	// Diverged reports that the state differs from another host's digest.
	Diverged bool `json:"diverged"`
	// Next is the first log offset that the host has not applied.
	Next uint64 `json:"next"`
	// ConfigVersion is the version of the configuration in force on the host.
	ConfigVersion uint64 `json:"config_version"`
	// MembershipEpoch is the epoch of the current membership.
	MembershipEpoch uint64 `json:"membership_epoch"`
	// SettledEpoch is the epoch of the latest membership known to be settled.
	SettledEpoch uint64       `json:"settled_epoch"`
	Members      []memberDump `json:"members"`
	// HeldTargets lists the targets that this host is the leaseholder of.
	HeldTargets []heldTargetDump `json:"leads"`
	Targets     []targetDump     `json:"targets"`
	// Shards is the number of shards of each target, by SERVICE/TARGET.
	Shards map[string]int `json:"shards_by_target"`
	// Unsettled lists the shards that may still have a former owner.
	Unsettled []string     `json:"unsettled"`
	Files     []fileDump   `json:"files"`
	Requests  requestsDump `json:"requests"`
	// Truncated reports that a list or map had more than maxDumpEntries entries.
	Truncated   bool              `json:"truncated"`
	Settings    Settings          `json:"settings"`
	Checkpoints []fold.Checkpoint `json:"checkpoints"`
}

type memberDump struct {
	record.Member
	// Suspected reports that the member has not replied for the suspicion time.
	Suspected bool `json:"suspected"`
	// Replaced reports that a later incarnation of the host runs at the address.
	Replaced bool `json:"gone"`
	Leaving  bool `json:"leaving"`
	// Next is the first log offset that the member had not applied, by its latest
	// reply.
	Next uint64 `json:"next"`
	// RepliedMs is the time since the member's latest reply, in milliseconds, or 0
	// if it has not replied.
	RepliedMs int64 `json:"answered_ms_ago"`
}

// heldTargetDump describes a target that this host is the leaseholder of.
type heldTargetDump struct {
	lease.Status
	// LeftMs is the remaining validity of the target's grant, in milliseconds.
	LeftMs int64 `json:"left_ms"`
	// FreshForMs is the time until the latest proof of freshness for the target
	// expires, in milliseconds. It is negative after that.
	FreshForMs int64 `json:"fresh_for_ms"`
}

type targetDump struct {
	Target record.Target `json:"target"`
	// Logged is the state of the target according to the log.
	Logged fold.Target `json:"logged"`
}

type fileDump struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
	// Bytes is the size of the content, in bytes.
	Bytes int `json:"bytes"`
}

// dump returns the current state, with lists limited to maxDumpEntries.
func (d *Daemon) dump() dump {
	now := d.now()
	out := dump{
		Host: d.host.Self(), Ready: d.host.Ready(), Leaving: d.host.Leaving(), Settings: d.settings,
		Shards: map[string]int{}, Requests: d.requests.dump(),
	}
	for _, status := range d.host.Leases().Statuses(now) {
		out.HeldTargets = append(out.HeldTargets, heldTargetDump{
			Status: status, LeftMs: status.Left.Milliseconds(),
			FreshForMs: d.host.Leases().FreshUntil(status.Target).Sub(now).Milliseconds(),
		})
	}
	d.host.ViewTracker(func(state *fold.State, tracker *member.Tracker) {
		out.addState(state)
		out.addMembers(state, tracker, now)
	})
	out.truncate()
	return out
}

func (o *dump) addState(state *fold.State) {
	o.Next, o.ConfigVersion, o.Diverged = state.Next(), state.Config().Version(), state.Diverged()
	o.MembershipEpoch, o.Checkpoints = state.Members().Epoch(), state.Checkpoints()
	for id, target := range state.Targets() {
		o.Targets = append(o.Targets, targetDump{Target: id, Logged: target})
	}
	sort.Slice(o.Targets, func(i, j int) bool { return o.Targets[i].Target.Less(o.Targets[j].Target) })
	for id, owned := range state.Shards() {
		o.Shards[id.Service+"/"+owned.Target]++
		if len(owned.Former) > 0 {
			o.Unsettled = append(o.Unsettled, id.Parent().String())
		}
	}
	sort.Strings(o.Unsettled)
	for _, file := range state.Files() {
		o.Files = append(o.Files, fileDump{Name: file.Name, Version: file.Version, Bytes: len(file.Content)})
	}
}

func (o *dump) addMembers(state *fold.State, tracker *member.Tracker, now time.Time) {
	o.SettledEpoch = tracker.SettledEpoch()
	for _, m := range state.Members().Current() {
		pong, repliedAt := tracker.LatestPong(m.Incarnation)
		_, replaced := tracker.ReplacedAt(m.Incarnation)
		entry := memberDump{
			Member: m, Suspected: tracker.Suspected(m.Incarnation, now), Replaced: replaced,
			Leaving: tracker.Leaving(m.Incarnation), Next: pong.Next,
		}
		if !repliedAt.IsZero() {
			entry.RepliedMs = now.Sub(repliedAt).Milliseconds()
		}
		o.Members = append(o.Members, entry)
	}
}

// truncate limits each list and map to maxDumpEntries.
func (o *dump) truncate() {
	o.Truncated = max(
		len(o.Members), len(o.HeldTargets), len(o.Targets), len(o.Unsettled), len(o.Files), len(o.Shards), len(o.Requests.Queues),
	) > maxDumpEntries
	truncateMap(o.Shards)
	truncateMap(o.Requests.Queues)
	o.Members = o.Members[:min(len(o.Members), maxDumpEntries)]
	o.HeldTargets = o.HeldTargets[:min(len(o.HeldTargets), maxDumpEntries)]
	o.Targets = o.Targets[:min(len(o.Targets), maxDumpEntries)]
	o.Unsettled = o.Unsettled[:min(len(o.Unsettled), maxDumpEntries)]
	o.Files = o.Files[:min(len(o.Files), maxDumpEntries)]
}

// truncateMap removes arbitrary entries beyond maxDumpEntries.
func truncateMap[V any](entries map[string]V) {
	for key := range entries {
		if len(entries) <= maxDumpEntries {
			return
		}
		delete(entries, key)
	}
}
