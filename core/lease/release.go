package lease

import (
	"maps"
	"slices"
	"sort"
	"time"

	"pineturn/core/message"
	"pineturn/core/record"
	"pineturn/core/shard"
)

// ReleaseQuery is a query to the leaseholder of a former owner of shards.
type ReleaseQuery struct {
	// NewOwner is the target that is to own the shards. This host is its
	// leaseholder.
	NewOwner record.Target
	Message  message.ReleaseQuery
}

// ReleaseQueries returns the queries due at now for shards that former owners may
// still hold. For former owners that this host itself is the leaseholder of, it
// records the result directly, provided that confirmed reports that a majority
// confirms this host as the leaseholder.
func (t *Table) ReleaseQueries(now time.Time, confirmed func(target record.Target) bool) []ReleaseQuery {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []ReleaseQuery
	for _, l := range t.sortedTargets() {
		if l.address == "" {
			continue
		}
		list = append(list, t.releaseQueries(l, now, confirmed)...)
	}
	return list
}

func (t *Table) releaseQueries(l *targetLease, now time.Time, confirmed func(target record.Target) bool) []ReleaseQuery {
	byTarget := map[string][]shard.ID{}
	for id, pending := range l.handovers {
		if len(pending.unreleased) == 0 || now.Sub(pending.queriedAt) < releaseQueryInterval {
			continue
		}
		pending.queriedAt = now
		for name := range pending.unreleased {
			byTarget[name] = append(byTarget[name], id)
		}
	}
	var list []ReleaseQuery
	for _, name := range slices.Sorted(maps.Keys(byTarget)) {
		ids := byTarget[name]
		sort.Slice(ids, func(i, j int) bool { return ids[i].Less(ids[j]) })
		target := record.Target{Service: l.id.Service, Name: name}
		if former := t.targets[target]; former != nil {
			if confirmed(target) {
				l.markReleased(name, former.releasedShards(ids, now))
			}
			continue
		}
		list = append(list, ReleaseQuery{NewOwner: l.id, Message: message.ReleaseQuery{Target: target, Next: t.next, Shards: ids}})
	}
	return list
}

// RecordReleased records the reply to a query: the former owner no longer holds
// the shards.
func (t *Table) RecordReleased(query ReleaseQuery, shards []shard.ID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if l := t.targets[query.NewOwner]; l != nil {
		l.markReleased(query.Message.Target.Name, shards)
	}
}

// markReleased removes a former owner from the handovers of shards and adds the
// shards without a remaining former owner to the desired ones.
func (l *targetLease) markReleased(former string, shards []shard.ID) {
	for _, id := range shards {
		pending := l.handovers[id]
		if pending == nil {
			continue
		}
		delete(pending.unreleased, former)
		if len(pending.unreleased) == 0 {
			l.addDesired(id, pending)
		}
	}
}

// addDesired adds a shard that every former owner has released to the desired ones.
func (l *targetLease) addDesired(id shard.ID, pending *handover) {
	if _, ok := l.desired[id]; ok {
		return
	}
	if l.desired == nil {
		l.desired = map[shard.ID]grantedShard{}
	}
	l.desired[id] = grantedShard{epoch: pending.epoch, except: pending.except}
	l.orderDue = true
}

// ReleasedShards returns the shards of another leaseholder's query that the target
// no longer holds. ok is false if this host cannot reply to the query because it is
// not the leaseholder or has folded less of the log than the sender.
func (t *Table) ReleasedShards(query message.ReleaseQuery, now time.Time) (shards []shard.ID, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.targets[query.Target]
	if l == nil || t.next < query.Next {
		return nil, false
	}
	return l.releasedShards(query.Shards, now), true
}

// releasedShards returns the subset of ids that the target is guaranteed not to
// hold and that this host will not grant to the target under the folded state.
func (l *targetLease) releasedShards(ids []shard.ID, now time.Time) []shard.ID {
	if !l.guarded {
		return nil
	}
	var list []shard.ID
	for _, id := range ids {
		if !l.mayHold(id, now) {
			list = append(list, id)
		}
	}
	return list
}

// mayHold reports whether the target may hold a shard or is to be granted it.
func (l *targetLease) mayHold(id shard.ID, now time.Time) bool {
	if covers(l.desired, id) || l.hasRequests(id) {
		return true
	}
	if l.accepted != nil && now.Before(l.accepted.latestExpiry) && covers(l.accepted.shards, id) {
		return true
	}
	for _, other := range l.outstanding {
		if now.Before(other.latestExpiry) && covers(other.shards, id) {
			return true
		}
	}
	return false
}

// hasRequests reports whether requests for a shard are in flight. For the shard of a
// hot key, this includes requests sent before the key was split off.
func (l *targetLease) hasRequests(id shard.ID) bool {
	if id.Key == "" {
		return l.requestsByShard[id] > 0
	}
	return l.requestsByShard[id] > 0 || l.requestsByKey[shardKey{shard: id.Parent(), key: id.Key}] > 0
}

// covers reports whether a set of shards includes the keys of a shard. A range
// shard includes the hot keys that are not in its except list.
func covers(shards map[shard.ID]grantedShard, id shard.ID) bool {
	if _, ok := shards[id]; ok {
		return true
	}
	if id.Key == "" {
		return false
	}
	parent, ok := shards[id.Parent()]
	if !ok {
		return false
	}
	for _, key := range parent.except {
		if key == id.Key {
			return false
		}
	}
	return true
}

// SettleOps returns the Settle operations to propose at now: one for each shard
// that every former owner has released and whose new owner has accepted the grant.
func (t *Table) SettleOps(now time.Time) []record.Op {
	t.mu.Lock()
	defer t.mu.Unlock()
	var ops []record.Op
	for _, l := range t.sortedTargets() {
		if l.accepted == nil {
			continue
		}
		for _, id := range l.sortedHandovers() {
			pending := l.handovers[id]
			item, ok := l.accepted.shards[id]
			if len(pending.unreleased) > 0 || !ok || item.epoch != pending.epoch || now.Sub(pending.settleProposedAt) < settleInterval {
				continue
			}
			pending.settleProposedAt = now
			ops = append(ops, record.Op{Settle: &record.Settle{Shard: id, Epoch: pending.epoch}})
		}
	}
	return ops
}

func (l *targetLease) sortedHandovers() []shard.ID {
	ids := make([]shard.ID, 0, len(l.handovers))
	for id := range l.handovers {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i].Less(ids[j]) })
	return ids
}
