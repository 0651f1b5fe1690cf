package fold

import (
	"errors"
	"fmt"
	"sort"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"pineturn/core/record"
	"pineturn/core/shard"
)

// ErrDigestMismatch means that a snapshot does not have the expected digest.
var ErrDigestMismatch = errors.New("snapshot does not have the expected digest")

// snapshotVersion is the format version of the snapshots that this release
// reads and writes.
const snapshotVersion = 1

// maxCheckpoints is the maximum number of checkpoints that a state keeps.
const maxCheckpoints = 8

// Checkpoint is the digest of the state at a checkpoint record.
type Checkpoint struct {
	// Next is the next offset after the checkpoint record.
	Next   uint64
	Digest uint64
}

// snapshot is the encoded form of a state. Its lists are sorted, so that equal
// states have equal encodings.
type snapshot struct {
	Version                int                       `cbor:"1,keyasint"`
	Next                   uint64                    `cbor:"2,keyasint"`
	Writers                map[string]writerPosition `cbor:"3,keyasint"`
	Files                  []File                    `cbor:"4,keyasint"`
	Layouts                map[string]string         `cbor:"5,keyasint"`
	History                []Change                  `cbor:"6,keyasint"`
	ConfigVersion          uint64                    `cbor:"7,keyasint"`
	MembershipEpoch        uint64                    `cbor:"8,keyasint"`
	MembershipChangeOffset uint64                    `cbor:"9,keyasint"`
	Members                []record.Member           `cbor:"10,keyasint"`
	PreviousMembers        []record.Member           `cbor:"11,keyasint"`
	Targets                []targetEntry             `cbor:"12,keyasint"`
	Shards                 []shardEntry              `cbor:"13,keyasint"`
	HistoryTruncated       bool                      `cbor:"14,keyasint"`
}

type targetEntry struct {
	ID     record.Target `cbor:"1,keyasint"`
	Target Target        `cbor:"2,keyasint"`
}

type shardEntry struct {
	ID    shard.ID `cbor:"1,keyasint"`
	Shard Shard    `cbor:"2,keyasint"`
}

func (s *State) snapshot() snapshot {
	snap := snapshot{
		Version: snapshotVersion, Next: s.next, Writers: s.writers, Files: s.Files(), Layouts: s.layouts,
		History: s.history, ConfigVersion: s.config.Version(), MembershipEpoch: s.members.epoch, MembershipChangeOffset: s.members.changeOffset,
		Members: s.members.current, PreviousMembers: s.members.previous, HistoryTruncated: s.historyTruncated,
	}
	for id, target := range s.targets {
		snap.Targets = append(snap.Targets, targetEntry{ID: id, Target: target})
	}
	sort.Slice(snap.Targets, func(i, j int) bool { return snap.Targets[i].ID.Less(snap.Targets[j].ID) })
	for id, state := range s.shards {
		snap.Shards = append(snap.Shards, shardEntry{ID: id, Shard: state})
	}
	sort.Slice(snap.Shards, func(i, j int) bool { return snap.Shards[i].ID.Less(snap.Shards[j].ID) })
	return snap
}

// Encode returns a snapshot of the state and the digest of the snapshot.
func (s *State) Encode() ([]byte, uint64, error) {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		return nil, 0, fmt.Errorf("create snapshot encoder: %w", err)
	}
	data, err := mode.Marshal(s.snapshot())
	if err != nil {
		return nil, 0, fmt.Errorf("encode snapshot: %w", err)
	}
	return data, xxhash.Sum64(data), nil
}

// Restore returns the state that is encoded in a snapshot. It returns
// ErrDigestMismatch if the snapshot does not have the given digest, and another
// error if it can't be decoded, has another format version or has an invalid
// configuration.
func Restore(data []byte, digest uint64) (*State, error) {
	if xxhash.Sum64(data) != digest {
		return nil, fmt.Errorf("decode snapshot: %w", ErrDigestMismatch)
	}
	var snap snapshot
	if err := cbor.Unmarshal(data, &snap); err != nil {
		return nil, fmt.Errorf("decode snapshot: %w", err)
	}
	if snap.Version != snapshotVersion {
		return nil, fmt.Errorf("decode snapshot: format version %d, want %d", snap.Version, snapshotVersion)
	}
	return snap.state()
}

func (snap snapshot) state() (*State, error) {
	s := New()
	s.next = snap.Next
	s.history, s.historyTruncated = snap.History, snap.HistoryTruncated
	for host, last := range snap.Writers {
		s.writers[host] = last
	}
	for service, text := range snap.Layouts {
		s.layouts[service] = text
	}
	for _, file := range snap.Files {
		s.files[file.Name] = file
	}
	merged, faults := s.merge(snap.ConfigVersion, s.files)
	if len(faults) > 0 {
		return nil, fmt.Errorf("decode snapshot: configuration has %d faults, first: %s", len(faults), faults[0].Text)
	}
	s.config = merged
	s.members = Membership{epoch: snap.MembershipEpoch, changeOffset: snap.MembershipChangeOffset, current: snap.Members, previous: snap.PreviousMembers}
	for _, target := range snap.Targets {
		s.targets[target.ID] = target.Target
	}
	for _, entry := range snap.Shards {
		s.restoreShard(entry)
	}
	return s, nil
}

func (s *State) restoreShard(entry shardEntry) {
	s.setShard(entry.ID, entry.Shard)
	if entry.ID.Key == "" {
		return
	}
	parent := entry.ID.Parent()
	if s.hotKeys[parent] == nil {
		s.hotKeys[parent] = map[string]struct{}{}
	}
	s.hotKeys[parent][entry.ID.Key] = struct{}{}
}

func (s *State) applyCheckpoint(op *record.Checkpoint) Result {
	_, digest, err := s.Encode()
	if err != nil {
		return Result{Err: err}
	}
	for _, checkpoint := range s.checkpoints {
		if checkpoint.Next == op.BeforeNext && checkpoint.Digest != op.BeforeDigest {
			s.diverged = true
		}
	}
	s.checkpoints = append(s.checkpoints, Checkpoint{Next: s.next, Digest: digest})
	if extra := len(s.checkpoints) - maxCheckpoints; extra > 0 {
		s.checkpoints = append([]Checkpoint(nil), s.checkpoints[extra:]...)
	}
	return Result{}
}

// Checkpoints returns the checkpoints at the latest checkpoint records, oldest
// first. They are not part of a snapshot: a restored state starts without any.
func (s *State) Checkpoints() []Checkpoint { return s.checkpoints }

// Diverged reports whether another host has recorded a different digest for the
// same offset, in which case this state must not be used.
func (s *State) Diverged() bool { return s.diverged }
