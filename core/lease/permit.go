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

// retryAfter is when a caller is told to come back while a shard is on its
// way from one owner to another.
const retryAfter = 100 * time.Millisecond

// Permit allows one request for a key of a shard to be sent to its target.
// done must be called when the request has ended at the target.
func (t *Table) Permit(id shard.ID, epoch uint64, key string, now time.Time) (route.Permit, record.Target, *outcome.Error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.owner(id, epoch)
	if h == nil {
		return route.Permit{}, record.Target{}, outcome.Refuse(outcome.NotLeaseholder, id.String(), retryAfter)
	}
	if h.excepts(id, key) {
		return route.Permit{}, h.id, outcome.Refuse(outcome.NotLeaseholder, "key is split off "+id.String(), retryAfter)
	}
	if h.acked == nil || !now.Before(h.acked.until) || h.acked.shards[id].epoch != epoch {
		return route.Permit{}, h.id, outcome.Refuse(outcome.LeaseLost, id.String(), retryAfter)
	}
	if !h.leaving.IsZero() && now.Sub(h.leaving) >= DrainGrace {
		return route.Permit{}, h.id, outcome.Refuse(outcome.Draining, h.id.String(), retryAfter)
	}
	h.active[id]++
	h.activeKeys[keyOf{shard: id, key: key}]++
	return route.Permit{
		Address: h.address, Incarnation: h.incarnation, Epoch: epoch, Term: h.token,
		Until: h.acked.until, ClockUs: h.clockUs, ClockAt: h.clockAt,
	}, h.id, nil
}

// owner finds the held target that is to own a shard at an epoch.
func (t *Table) owner(id shard.ID, epoch uint64) *held {
	for target, h := range t.targets {
		if target.Service != id.Service {
			continue
		}
		if item, ok := h.wanted[id]; ok && item.epoch == epoch {
			return h
		}
	}
	return nil
}

// excepts reports whether a key has become a shard of its own, which a host
// that is behind may still take for a part of its range shard.
func (h *held) excepts(id shard.ID, key string) bool {
	if id.Key != "" {
		return false
	}
	for _, other := range h.wanted[id].except {
		if other == key {
			return true
		}
	}
	return false
}

// Done records that a request, permitted under term, has ended at now after
// spent.
func (t *Table) Done(target record.Target, term uint64, id shard.ID, key string, spent time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.targets[target]
	if h == nil || term < h.born {
		return
	}
	drop(h.active, id)
	drop(h.activeKeys, keyOf{shard: id, key: key})
	h.spent[id] += spent
	h.hot.Add(now, key, spent.Seconds())
	if _, wanted := h.wanted[id]; !wanted && h.active[id] == 0 {
		h.dirty = true
	}
}

func drop[K comparable](counts map[K]int, key K) {
	if counts[key] <= 1 {
		delete(counts, key)
		return
	}
	counts[key]--
}

// InFlight counts the requests at the held targets.
func (t *Table) InFlight() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	total := 0
	for _, h := range t.targets {
		for _, count := range h.active {
			total += count
		}
	}
	return total
}

// Load returns how many slots the requests of each shard and of the hottest
// keys of a held target took up on average. It is to be called at regular
// times.
func (t *Table) Load(target record.Target, now time.Time) ([]message.ShardLoad, []message.HotKey) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.targets[target]
	if h == nil {
		return nil, nil
	}
	h.measure(now, loadHalfLife)
	shards := make([]message.ShardLoad, 0, len(h.load))
	for id, busy := range h.load {
		shards = append(shards, message.ShardLoad{Shard: id, Load: busy})
	}
	sort.Slice(shards, func(i, j int) bool { return shards[i].Shard.Less(shards[j].Shard) })
	top, _ := h.hot.Top(now, reportedKeys)
	var keys []message.HotKey
	for _, key := range top {
		if busy := key.Load() - key.Error(); busy > negligible {
			keys = append(keys, message.HotKey{Key: key.Name(), Load: busy})
		}
	}
	return shards, keys
}

// measure folds the time spent since the last measurement into the load.
func (h *held) measure(now time.Time, halfLife time.Duration) {
	passed := now.Sub(h.measured)
	if h.measured.IsZero() || passed <= 0 {
		h.measured = now
		return
	}
	h.measured = now
	keep := math.Exp2(-passed.Seconds() / halfLife.Seconds())
	for id, busy := range h.load {
		h.load[id] = busy * keep
		if h.load[id] < negligible {
			delete(h.load, id)
		}
	}
	for id, spent := range h.spent {
		h.load[id] += (1 - keep) * spent.Seconds() / passed.Seconds()
	}
	clear(h.spent)
}
