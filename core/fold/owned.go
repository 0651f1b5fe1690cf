package fold

import (
	"pineturn/core/record"
	"pineturn/core/shard"
)

// owned is what a target owns, kept beside the shards so that a leaseholder
// need not go through all of them.
type owned struct {
	shards map[shard.ID]struct{}
	// changed is the position after the last record that changed any of them.
	changed uint64
}

// setShard stores what the log says of a shard from now on.
func (s *State) setShard(id shard.ID, held Shard) {
	s.dropShard(id)
	s.shards[id] = held
	s.owner(id, held).shards[id] = struct{}{}
}

func (s *State) dropShard(id shard.ID) {
	held, ok := s.shards[id]
	if !ok {
		return
	}
	delete(s.shards, id)
	delete(s.owner(id, held).shards, id)
}

// owner returns what a shard's target owns, to be changed.
func (s *State) owner(id shard.ID, held Shard) *owned {
	target := record.Target{Service: id.Service, Name: held.Target}
	list := s.owned[target]
	if list == nil {
		list = &owned{shards: map[shard.ID]struct{}{}}
		s.owned[target] = list
	}
	list.changed = s.next
	return list
}

// ShardsOf returns the shards that a target owns, and the position up to
// which they stand unchanged since. The map must not be changed.
func (s *State) ShardsOf(target record.Target) (shards map[shard.ID]struct{}, changed uint64) {
	list := s.owned[target]
	if list == nil {
		return nil, 0
	}
	return list.shards, list.changed
}
