package lease

import (
	"math"
	"sort"
	"time"

	"pineturn/core/message"
	"pineturn/core/outcome"
	"pineturn/core/record"
	"pineturn/core/route"
	"pineturn/core/shard"
)

// retryAfter is the delay after which a caller may retry a request that was
// refused, for example during the handover of a shard.
const retryAfter = 100 * time.Millisecond

// Permit authorizes one request for a key of a shard, routed under the given
// epoch, to be sent to its target. If it returns no error, EndRequest has to be
// called when the request has ended at the target.
func (t *Table) Permit(id shard.ID, epoch uint64, key string, now time.Time) (route.Permit, record.Target, *outcome.Error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.findOwner(id, epoch)
	if l == nil {
		return route.Permit{}, record.Target{}, outcome.Refuse(outcome.NotLeaseholder, id.String(), retryAfter)
	}
	if l.isSplitOff(id, key) {
		return route.Permit{}, l.id, outcome.Refuse(outcome.NotLeaseholder, "key is split off "+id.String(), retryAfter)
	}
	if l.accepted == nil || !now.Before(l.accepted.earliestExpiry) || l.accepted.shards[id].epoch != epoch {
		return route.Permit{}, l.id, outcome.Refuse(outcome.LeaseLost, id.String(), retryAfter)
	}
	if !l.drainingSince.IsZero() && now.Sub(l.drainingSince) >= DrainGrace {
		return route.Permit{}, l.id, outcome.Refuse(outcome.Draining, l.id.String(), retryAfter)
	}
	l.requestsByShard[id]++
	l.requestsByKey[shardKey{shard: id, key: key}]++
	return route.Permit{
		Address: l.address, Incarnation: l.incarnation, Epoch: epoch, Token: l.token,
		Until: l.accepted.earliestExpiry, ClockUs: l.clockUs, ClockAt: l.clockAt,
	}, l.id, nil
}

// findOwner returns the held target that is to own a shard at an epoch, or nil.
func (t *Table) findOwner(id shard.ID, epoch uint64) *targetLease {
	for target, l := range t.targets {
		if target.Service != id.Service {
			continue
		}
		if item, ok := l.desired[id]; ok && item.epoch == epoch {
			return l
		}
	}
	return nil
}

// isSplitOff reports whether a key of a range shard has been split off into its
// own shard. A host that has not folded the split yet still routes the key to the
// range shard.
func (l *targetLease) isSplitOff(id shard.ID, key string) bool {
	if id.Key != "" {
		return false
	}
	for _, other := range l.desired[id].except {
		if other == key {
			return true
		}
	}
	return false
}

// EndRequest records that a request, authorized under the given fencing token, ended at
// now after the given duration.
func (t *Table) EndRequest(target record.Target, token uint64, id shard.ID, key string, duration time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.targets[target]
	if l == nil || token < l.firstToken {
		return
	}
	decrement(l.requestsByShard, id)
	decrement(l.requestsByKey, shardKey{shard: id, key: key})
	l.busyTime[id] += duration
	l.hotKeys.Add(now, key, duration.Seconds())
	if _, desired := l.desired[id]; !desired && l.requestsByShard[id] == 0 {
		l.orderDue = true
	}
}

// decrement decrements the count of key and deletes it at zero.
func decrement[K comparable](counts map[K]int, key K) {
	if counts[key] <= 1 {
		delete(counts, key)
		return
	}
	counts[key]--
}

// InFlight returns the number of requests in flight at all held targets.
func (t *Table) InFlight() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	total := 0
	for _, l := range t.targets {
		for _, count := range l.requestsByShard {
			total += count
		}
	}
	return total
}

// Load returns the average number of slots that the requests of each shard, and
// of the keys with the highest load, occupied at a held target. It has to be
// called at regular intervals.
func (t *Table) Load(target record.Target, now time.Time) ([]message.ShardLoad, []message.HotKey) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.targets[target]
	if l == nil {
		return nil, nil
	}
	l.updateLoad(now, loadHalfLife)
	shards := make([]message.ShardLoad, 0, len(l.load))
	for id, load := range l.load {
		shards = append(shards, message.ShardLoad{Shard: id, Load: load})
	}
	sort.Slice(shards, func(i, j int) bool { return shards[i].Shard.Less(shards[j].Shard) })
	top, _ := l.hotKeys.Top(now, reportedKeys)
	var keys []message.HotKey
	for _, key := range top {
		if load := key.Load() - key.Uncertainty(); load > minReportedLoad {
			keys = append(keys, message.HotKey{Key: key.Name(), Load: load})
		}
	}
	return shards, keys
}

// updateLoad adds the busy time since the last measurement to the moving averages.
func (l *targetLease) updateLoad(now time.Time, halfLife time.Duration) {
	elapsed := now.Sub(l.measuredAt)
	if l.measuredAt.IsZero() || elapsed <= 0 {
		l.measuredAt = now
		return
	}
	l.measuredAt = now
	decay := math.Exp2(-elapsed.Seconds() / halfLife.Seconds())
	for id, load := range l.load {
		l.load[id] = load * decay
		if l.load[id] < minReportedLoad {
			delete(l.load, id)
		}
	}
	for id, busy := range l.busyTime {
		l.load[id] += (1 - decay) * busy.Seconds() / elapsed.Seconds()
	}
	clear(l.busyTime)
}
