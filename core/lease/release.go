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

// ReleaseQuery asks the leaseholder of a former owner whether shards have left it.
type ReleaseQuery struct {
	// NewOwner is the target that is to own the shards; this host is its leaseholder.
	NewOwner record.Target
	Message  message.ReleaseQuery
}

// ReleaseQueries returns what is to be asked at now before wanted shards can be
// granted. Former owners that this host itself is the leaseholder of are
// looked up at once, if backed reports that a majority stands behind it.
func (t *Table) ReleaseQueries(now time.Time, backed func(target record.Target) bool) []ReleaseQuery {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []ReleaseQuery
	for _, h := range t.sorted() {
		if h.address == "" {
			continue
		}
		list = append(list, t.questions(h, now, backed)...)
	}
	return list
}

func (t *Table) questions(h *held, now time.Time, backed func(target record.Target) bool) []ReleaseQuery {
	byTarget := map[string][]shard.ID{}
	for id, move := range h.pending {
		if len(move.former) == 0 || now.Sub(move.asked) < askInterval {
			continue
		}
		move.asked = now
		for name := range move.former {
			byTarget[name] = append(byTarget[name], id)
		}
	}
	var list []ReleaseQuery
	for _, name := range slices.Sorted(maps.Keys(byTarget)) {
		ids := byTarget[name]
		sort.Slice(ids, func(i, j int) bool { return ids[i].Less(ids[j]) })
		target := record.Target{Service: h.id.Service, Name: name}
		if former := t.targets[target]; former != nil {
			if backed(target) {
				h.noteReleased(name, former.released(ids, now))
			}
			continue
		}
		list = append(list, ReleaseQuery{NewOwner: h.id, Message: message.ReleaseQuery{Target: target, Next: t.next, Shards: ids}})
	}
	return list
}

// RecordReleased records the answer to a question: the former owner holds the shards
// no more.
func (t *Table) RecordReleased(question ReleaseQuery, shards []shard.ID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if h := t.targets[question.NewOwner]; h != nil {
		h.noteReleased(question.Message.Target.Name, shards)
	}
}

func (h *held) noteReleased(former string, shards []shard.ID) {
	for _, id := range shards {
		move := h.pending[id]
		if move == nil {
			continue
		}
		delete(move.former, former)
		if len(move.former) == 0 {
			h.admit(id, move)
		}
	}
}

// admit adds a shard that no former owner holds to the wanted ones.
func (h *held) admit(id shard.ID, move *handover) {
	if _, ok := h.wanted[id]; ok {
		return
	}
	if h.wanted == nil {
		h.wanted = map[shard.ID]entry{}
	}
	h.wanted[id] = entry{epoch: move.epoch, except: move.except}
	h.dirty = true
}

// ReleasedShards answers another leaseholder's question. ok is false when this host
// can't tell: it isn't the leaseholder, or hasn't folded as far as the asker.
func (t *Table) ReleasedShards(question message.ReleaseQuery, now time.Time) (shards []shard.ID, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.targets[question.Target]
	if h == nil || t.next < question.Next {
		return nil, false
	}
	return h.released(question.Shards, now), true
}

// released returns those of ids that the target certainly does not hold and
// that this host will not grant to it under the folded state.
func (h *held) released(ids []shard.ID, now time.Time) []shard.ID {
	if !h.guarded {
		return nil
	}
	var list []shard.ID
	for _, id := range ids {
		if !h.mayHold(id, now) {
			list = append(list, id)
		}
	}
	return list
}

func (h *held) mayHold(id shard.ID, now time.Time) bool {
	if covers(h.wanted, id) || h.inFlight(id) {
		return true
	}
	if h.acked != nil && now.Before(h.acked.late) && covers(h.acked.shards, id) {
		return true
	}
	for _, other := range h.unacked {
		if now.Before(other.late) && covers(other.shards, id) {
			return true
		}
	}
	return false
}

func (h *held) inFlight(id shard.ID) bool {
	if id.Key == "" {
		return h.active[id] > 0
	}
	return h.active[id] > 0 || h.activeKeys[keyOf{shard: id.Parent(), key: id.Key}] > 0
}

// covers reports whether a set of shards holds a shard's keys; a range shard
// holds a hot key that it does not except.
func covers(shards map[shard.ID]entry, id shard.ID) bool {
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

// SettleOps returns the Settle operations that are due at now: handovers that
// are complete and whose new owner has accepted its grant.
func (t *Table) SettleOps(now time.Time) []record.Op {
	t.mu.Lock()
	defer t.mu.Unlock()
	var ops []record.Op
	for _, h := range t.sorted() {
		if h.acked == nil {
			continue
		}
		for _, id := range h.sortedPending() {
			move := h.pending[id]
			item, ok := h.acked.shards[id]
			if len(move.former) > 0 || !ok || item.epoch != move.epoch || now.Sub(move.settled) < settleInterval {
				continue
			}
			move.settled = now
			ops = append(ops, record.Op{Settle: &record.Settle{Shard: id, Epoch: move.epoch}})
		}
	}
	return ops
}

func (h *held) sortedPending() []shard.ID {
	ids := make([]shard.ID, 0, len(h.pending))
	for id := range h.pending {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i].Less(ids[j]) })
	return ids
}
