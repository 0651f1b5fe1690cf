// Package fold computes the replicated state of pineturn from the records of
// the log, folding them in offset order. Folding is deterministic: hosts that
// have folded the same records have equal states. A record or operation that
// is not valid in the state at its offset is void, which means that it has no
// effect on any host.
package fold

import (
	"errors"
	"fmt"
	"sort"

	"pineturn/core/config"
	"pineturn/core/record"
	"pineturn/core/shard"
)

// ErrGap is returned for a record whose offset is not the next one to fold.
var ErrGap = errors.New("record offset is not the next one")

// maxWriters is the maximum number of hosts whose last sequence number is
// kept.
const maxWriters = 4096

// maxHistory is the maximum number of configuration changes that are kept for
// operators.
const maxHistory = 200

// State is the result of folding the log up to an offset. It must not be used
// concurrently with Apply.
type State struct {
	next             uint64
	writers          map[string]writerPosition
	files            map[string]File
	layouts          map[string]string
	history          []Change
	merger           *config.Merger
	config           *config.Config
	historyTruncated bool
	members          Membership
	targets          map[record.Target]Target
	shards           map[shard.ID]Shard
	shardsByTarget   map[record.Target]*targetShards
	hotKeys          map[shard.ID]map[string]struct{}
	checkpoints      []Checkpoint

	diverged bool
}

// writerPosition identifies the last folded batch of a host.
type writerPosition struct {
	Run    uint64 `cbor:"1,keyasint"`
	Seq    uint64 `cbor:"2,keyasint"`
	Offset uint64 `cbor:"3,keyasint"`
}

// File is a configuration file in force.
type File struct {
	Name    string `cbor:"1,keyasint" json:"name"`
	Version uint64 `cbor:"2,keyasint" json:"version"`
	Content []byte `cbor:"3,keyasint" json:"content"`
	Author  string `cbor:"4,keyasint,omitempty" json:"author,omitempty"`
}

// Change is an accepted change of a configuration file.
type Change struct {
	Version uint64 `cbor:"1,keyasint" json:"version"`
	Name    string `cbor:"2,keyasint" json:"name"`
	Author  string `cbor:"3,keyasint,omitempty" json:"author,omitempty"`
	Removed bool   `cbor:"4,keyasint,omitempty" json:"removed,omitempty"`
	Content []byte `cbor:"5,keyasint,omitempty" json:"content,omitempty"`
	// Replaced and Before are the version and content before the change. If
	// the file did not exist, they are 0 and empty.
	Replaced uint64 `cbor:"6,keyasint,omitempty" json:"replaced,omitempty"`
	Before   []byte `cbor:"7,keyasint,omitempty" json:"before,omitempty"`
}

// Target is the replicated state of a target.
type Target struct {
	// Term is the number of Lead operations of the target that took effect. The
	// fencing token of Leaseholder is derived from Term by record.Token.
	Term        uint64             `cbor:"1,keyasint" json:"term"`
	Leaseholder record.Incarnation `cbor:"2,keyasint" json:"holder"`
	// Since is the offset of the record that assigned the current term.
	Since uint64 `cbor:"3,keyasint" json:"since"`
	Drain bool   `cbor:"4,keyasint,omitempty" json:"drain,omitempty"`
	// Deputies are the hosts that may take over from Leaseholder while the log is
	// down.
	Deputies []record.Incarnation `cbor:"5,keyasint,omitempty" json:"deputies,omitempty"`
	// FirstTerm is the first of the consecutive terms of Leaseholder up to Term.
	FirstTerm uint64 `cbor:"6,keyasint" json:"first"`
}

// Shard is the replicated state of a shard. Target is its owner, Since is the
// offset of the record that assigned or split it, and Reason is shown to
// operators.
type Shard struct {
	Target string `cbor:"1,keyasint" json:"target"`
	Epoch  uint64 `cbor:"2,keyasint" json:"epoch"`
	// Former lists the former owners that may still hold the shard, because the
	// shard has not been settled since.
	Former []string `cbor:"3,keyasint,omitempty" json:"former,omitempty"`
	Since  uint64   `cbor:"4,keyasint" json:"since"`
	Reason string   `cbor:"5,keyasint,omitempty" json:"why,omitempty"`
}

// Result is the result of one operation of a batch.
type Result struct {
	// Err is the reason why the operation is void, or nil if it took effect.
	Err error
	// Faults lists the configuration faults for which a change of files was
	// refused.
	Faults []config.Fault
	// Current is the current version, epoch or term if Err is ErrStale. File is
	// the name of the file whose version it is, if any.
	Current uint64
	File    string
}

// New returns the empty state before the first record.
func New() *State {
	merger := &config.Merger{}
	merged, _ := merger.Merge(0, nil)
	return &State{
		merger:         merger,
		writers:        map[string]writerPosition{},
		files:          map[string]File{},
		layouts:        map[string]string{},
		config:         merged,
		targets:        map[record.Target]Target{},
		shards:         map[shard.ID]Shard{},
		shardsByTarget: map[record.Target]*targetShards{},
		hotKeys:        map[shard.ID]map[string]struct{}{},
	}
}

// Apply folds the record at offset and returns its batch with the results in
// the order of the operations. It returns ErrGap, without folding the record,
// unless offset is the next one. A record that can't be decoded is void; Apply
// returns an error for it, and the next record can be folded.
func (s *State) Apply(offset uint64, data []byte) (record.Batch, []Result, error) {
	if offset != s.next {
		return record.Batch{}, nil, fmt.Errorf("fold offset %d after %d: %w", offset, s.next, ErrGap)
	}
	s.next++
	batch, err := record.Decode(data)
	if err != nil {
		return record.Batch{}, nil, fmt.Errorf("fold offset %d: %w", offset, err)
	}
	results := make([]Result, len(batch.Ops))
	if err := s.recordWriter(offset, batch.ID); err != nil {
		for i := range results {
			results[i].Err = err
		}
		return batch, results, nil
	}
	for i, op := range batch.Ops {
		results[i] = s.apply(offset, op)
	}
	return batch, results, nil
}

// recordWriter stores id as the last batch of its writer. It returns
// ErrDuplicate if that batch, or a later one of the same writer, has already
// been folded.
func (s *State) recordWriter(offset uint64, id record.ID) error {
	last, ok := s.writers[id.Writer.Host]
	if ok && (id.Writer.Run < last.Run || id.Writer.Run == last.Run && id.Seq <= last.Seq) {
		return ErrDuplicate
	}
	s.writers[id.Writer.Host] = writerPosition{Run: id.Writer.Run, Seq: id.Seq, Offset: offset}
	if len(s.writers) > maxWriters {
		s.removeOldestWriter()
	}
	return nil
}

func (s *State) removeOldestWriter() {
	oldest := ""
	for host, last := range s.writers {
		if oldest == "" || last.Offset < s.writers[oldest].Offset {
			oldest = host
		}
	}
	delete(s.writers, oldest)
}

// Next returns the offset of the first record that has not been folded.
func (s *State) Next() uint64 { return s.next }

// Config returns the configuration in force.
func (s *State) Config() *config.Config { return s.config }

// Members returns the current membership.
func (s *State) Members() *Membership { return &s.members }

// Files returns the configuration files, sorted by name.
func (s *State) Files() []File {
	files := make([]File, 0, len(s.files))
	for _, file := range s.files {
		files = append(files, file)
	}
	sort.Slice(files, func(i, j int) bool { return files[i].Name < files[j].Name })
	return files
}

// History returns the latest accepted changes of files, oldest first. It has at
// most maxHistory entries.
func (s *State) History() []Change { return s.history }

// HistoryTruncated reports whether older changes were removed from History.
func (s *State) HistoryTruncated() bool { return s.historyTruncated }

// Target returns the state of a target, or the zero Target if no record has set
// one.
func (s *State) Target(id record.Target) Target { return s.targets[id] }

// Targets returns the targets whose state a record has set. The map must not be
// modified.
func (s *State) Targets() map[record.Target]Target { return s.targets }

// Shard returns the state of a shard, or the zero Shard if the shard has no
// owner.
func (s *State) Shard(id shard.ID) Shard { return s.shards[id] }

// Shards returns all shards that have an owner. The map must not be modified.
func (s *State) Shards() map[shard.ID]Shard { return s.shards }

// HotKeys returns the keys that have been split off a range shard, sorted. For
// the shard of a hot key it returns those of its range shard.
func (s *State) HotKeys(id shard.ID) []string {
	set := s.hotKeys[id.Parent()]
	if len(set) == 0 {
		return nil
	}
	keys := make([]string, 0, len(set))
	for key := range set {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}

// Locate returns the shard that contains a key of a service, and the service.
// It returns false if the configuration has no such service.
func (s *State) Locate(service, key string) (shard.ID, *config.Service, bool) {
	found, ok := s.config.Service(service)
	if !ok {
		return shard.ID{}, nil, false
	}
	group := found.Group(key)
	id := shard.ID{Service: service, Group: group.Name(), Index: shard.IndexOf(key, group.Shards())}
	if _, hot := s.hotKeys[id][key]; hot {
		id.Key = key
	}
	return id, found, true
}

// RangeShards returns all range shards that the configuration of a service
// defines.
func RangeShards(service *config.Service) []shard.ID {
	var ids []shard.ID
	for _, group := range service.Groups() {
		for index := range group.Shards() {
			ids = append(ids, shard.ID{Service: service.Name(), Group: group.Name(), Index: index})
		}
	}
	return ids
}
