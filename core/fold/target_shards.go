package fold

import (
	"pineturn/core/record"
	"pineturn/core/shard"
)

// targetShards is the set of shards that a target owns. It is an index of
// State.shards, so that a leaseholder does not have to scan all shards.
type targetShards struct {
	shards map[shard.ID]struct{}
	// changed is the next offset after the last record that added, removed or
	// changed one of the shards.
	changed uint64
}

// setShard replaces the state of a shard and updates the index by target.
func (s *State) setShard(id shard.ID, state Shard) {
	s.dropShard(id)
	s.shards[id] = state
	s.changedShards(id, state).shards[id] = struct{}{}
}

func (s *State) dropShard(id shard.ID) {
	state, ok := s.shards[id]
	if !ok {
		return
	}
	delete(s.shards, id)
	delete(s.changedShards(id, state).shards, id)
}

// changedShards returns the shards of the owner of a shard for modification by
// the record that is being folded.
func (s *State) changedShards(id shard.ID, state Shard) *targetShards {
	target := record.Target{Service: id.Service, Name: state.Target}
	set := s.shardsByTarget[target]
	if set == nil {
		set = &targetShards{shards: map[shard.ID]struct{}{}}
		s.shardsByTarget[target] = set
	}
	set.changed = s.next
	return set
}

// ShardsOf returns the shards that a target owns, and the next offset after the last
// record that changed one of them. It returns nil and 0 if the target has not
// owned a shard since the state was created or restored. The map must not be
// modified.
func (s *State) ShardsOf(target record.Target) (shards map[shard.ID]struct{}, changed uint64) {
	set := s.shardsByTarget[target]
	if set == nil {
		return nil, 0
	}
	return set.shards, set.changed
}
