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

// ErrDigestMismatch means that a snapshot differs from what its digest stands for.
var ErrDigestMismatch = errors.New("snapshot differs from its digest")

// snapshotVersion is the format of the snapshots that this release writes.
const snapshotVersion = 1

// maxCheckpoints bounds how many digests a state remembers.
const maxCheckpoints = 8

// Checkpoint is the digest of the state at a checkpoint record.
type Checkpoint struct {
	// Next is the offset after the checkpoint record.
	Next   uint64
	Digest uint64
}

// image is the encoded form of a state; its lists are sorted, so that equal
// states have equal encodings.
type image struct {
	Version int               `cbor:"1,keyasint"`
	Next    uint64            `cbor:"2,keyasint"`
	Writers map[string]writer `cbor:"3,keyasint"`
	Files   []File            `cbor:"4,keyasint"`
	Layouts map[string]string `cbor:"5,keyasint"`
	History []Change          `cbor:"6,keyasint"`
	Merged  uint64            `cbor:"7,keyasint"`
	Epoch   uint64            `cbor:"8,keyasint"`
	Changed uint64            `cbor:"9,keyasint"`
	Current []record.Member   `cbor:"10,keyasint"`
	Before  []record.Member   `cbor:"11,keyasint"`
	Targets []targetImage     `cbor:"12,keyasint"`
	Shards  []shardImage      `cbor:"13,keyasint"`
	Dropped bool              `cbor:"14,keyasint"`
}

type targetImage struct {
	ID     record.Target `cbor:"1,keyasint"`
	Target Target        `cbor:"2,keyasint"`
}

type shardImage struct {
	ID    shard.ID `cbor:"1,keyasint"`
	Shard Shard    `cbor:"2,keyasint"`
}

func (s *State) image() image {
	img := image{
		Version: snapshotVersion, Next: s.next, Writers: s.writers, Files: s.Files(), Layouts: s.layouts,
		History: s.history, Merged: s.config.Version(), Epoch: s.members.epoch, Changed: s.members.changed,
		Current: s.members.current, Before: s.members.before, Dropped: s.dropped,
	}
	for id, target := range s.targets {
		img.Targets = append(img.Targets, targetImage{ID: id, Target: target})
	}
	sort.Slice(img.Targets, func(i, j int) bool { return img.Targets[i].ID.Less(img.Targets[j].ID) })
	for id, held := range s.shards {
		img.Shards = append(img.Shards, shardImage{ID: id, Shard: held})
	}
	sort.Slice(img.Shards, func(i, j int) bool { return img.Shards[i].ID.Less(img.Shards[j].ID) })
	return img
}

// Encode returns the state as a snapshot, and its digest.
func (s *State) Encode() ([]byte, uint64, error) {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		return nil, 0, fmt.Errorf("snapshot encoding: %w", err)
	}
	data, err := mode.Marshal(s.image())
	if err != nil {
		return nil, 0, fmt.Errorf("encode snapshot: %w", err)
	}
	return data, xxhash.Sum64(data), nil
}

// Restore returns the state of a snapshot, which must have the given digest.
func Restore(data []byte, digest uint64) (*State, error) {
	if xxhash.Sum64(data) != digest {
		return nil, fmt.Errorf("restore snapshot: %w", ErrDigestMismatch)
	}
	var img image
	if err := cbor.Unmarshal(data, &img); err != nil {
		return nil, fmt.Errorf("restore snapshot: %w", err)
	}
	if img.Version != snapshotVersion {
		return nil, fmt.Errorf("restore snapshot: version %d, want %d", img.Version, snapshotVersion)
	}
	return img.state()
}

func (img image) state() (*State, error) {
	s := New()
	s.next = img.Next
	s.history, s.dropped = img.History, img.Dropped
	for host, last := range img.Writers {
		s.writers[host] = last
	}
	for service, text := range img.Layouts {
		s.layouts[service] = text
	}
	for _, file := range img.Files {
		s.files[file.Name] = file
	}
	merged, faults := s.merge(img.Merged, s.files)
	if len(faults) > 0 {
		return nil, fmt.Errorf("restore snapshot: %d faults in its files, first: %s", len(faults), faults[0].Text)
	}
	s.config = merged
	s.members = Membership{epoch: img.Epoch, changed: img.Changed, current: img.Current, before: img.Before}
	for _, target := range img.Targets {
		s.targets[target.ID] = target.Target
	}
	for _, held := range img.Shards {
		s.restoreShard(held)
	}
	return s, nil
}

func (s *State) restoreShard(held shardImage) {
	s.setShard(held.ID, held.Shard)
	if held.ID.Key == "" {
		return
	}
	parent := held.ID.Parent()
	if s.hot[parent] == nil {
		s.hot[parent] = map[string]struct{}{}
	}
	s.hot[parent][held.ID.Key] = struct{}{}
}

func (s *State) applyCheckpoint(op *record.Checkpoint) Result {
	_, digest, err := s.Encode()
	if err != nil {
		return Result{Err: err}
	}
	for _, known := range s.digests {
		if known.Next == op.BeforeNext && known.Digest != op.BeforeDigest {
			s.diverged = true
		}
	}
	s.digests = append(s.digests, Checkpoint{Next: s.next, Digest: digest})
	if extra := len(s.digests) - maxCheckpoints; extra > 0 {
		s.digests = append([]Checkpoint(nil), s.digests[extra:]...)
	}
	return Result{}
}

// Checkpoints lists the digests at the latest checkpoint records, oldest
// first. They are no part of the state: a restored one starts without any.
func (s *State) Checkpoints() []Checkpoint { return s.digests }

// Diverged reports that another host had a different digest at the same
// offset, so that this state must not be used.
func (s *State) Diverged() bool { return s.diverged }
