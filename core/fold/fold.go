// Package fold computes pineturn's shared state from the records of the log,
// in offset order. Every host that has folded the same records holds the same
// state: a record that does not fit the state before it is void everywhere.
package fold

import (
	"errors"
	"fmt"
	"sort"

	"pineturn/core/config"
	"pineturn/core/record"
	"pineturn/core/shard"
)

// ErrGap means that a record is not the next one to fold.
var ErrGap = errors.New("record is not the next one")

// maxWriters bounds how many writers' last sequence numbers are kept.
const maxWriters = 4096

// maxHistory bounds how many configuration changes are kept for operators.
const maxHistory = 200

// State is the result of folding the log up to an offset. It is not safe for
// concurrent use while Apply runs.
type State struct {
	next    uint64
	writers map[string]writer
	files   map[string]File
	layouts map[string]string
	history []Change
	merger  *config.Merger
	config  *config.Config
	dropped bool
	members Membership
	targets map[record.Target]Target
	shards  map[shard.ID]Shard
	owned   map[record.Target]*owned
	hot     map[shard.ID]map[string]struct{}
	digests []Checkpoint

	diverged bool
}

// writer is the last batch that was folded of a host.
type writer struct {
	Run    uint64 `cbor:"1,keyasint"`
	Seq    uint64 `cbor:"2,keyasint"`
	Offset uint64 `cbor:"3,keyasint"`
}

// File is one configuration file in force.
type File struct {
	Name    string `cbor:"1,keyasint" json:"name"`
	Version uint64 `cbor:"2,keyasint" json:"version"`
	Content []byte `cbor:"3,keyasint" json:"content"`
	Author  string `cbor:"4,keyasint,omitempty" json:"author,omitempty"`
}

// Change is an accepted change of one file.
type Change struct {
	Version uint64 `cbor:"1,keyasint" json:"version"`
	Name    string `cbor:"2,keyasint" json:"name"`
	Author  string `cbor:"3,keyasint,omitempty" json:"author,omitempty"`
	Removed bool   `cbor:"4,keyasint,omitempty" json:"removed,omitempty"`
	Content []byte `cbor:"5,keyasint,omitempty" json:"content,omitempty"`
	// Replaced and Before are the version and content before the change; 0
	// when the file did not exist.
	Replaced uint64 `cbor:"6,keyasint,omitempty" json:"replaced,omitempty"`
	Before   []byte `cbor:"7,keyasint,omitempty" json:"before,omitempty"`
}

// Target is what the log says of a target.
type Target struct {
	// Term counts the leaseholders; it is the fencing token of the present one.
	Term   uint64             `cbor:"1,keyasint" json:"term"`
	Holder record.Incarnation `cbor:"2,keyasint" json:"holder"`
	// Since is the offset of the record that named the holder.
	Since uint64 `cbor:"3,keyasint" json:"since"`
	Drain bool   `cbor:"4,keyasint,omitempty" json:"drain,omitempty"`
	// Deputies may take over from the holder while the log is down.
	Deputies []record.Incarnation `cbor:"5,keyasint,omitempty" json:"deputies,omitempty"`
	// FirstTerm is the first term of the present holder without one of another
	// host in between.
	FirstTerm uint64 `cbor:"6,keyasint" json:"first"`
}

// Shard is what the log says of a shard.
type Shard struct {
	Target string `cbor:"1,keyasint" json:"target"`
	Epoch  uint64 `cbor:"2,keyasint" json:"epoch"`
	// Former lists earlier owners that are not yet known to have let go.
	Former []string `cbor:"3,keyasint,omitempty" json:"former,omitempty"`
	Since  uint64   `cbor:"4,keyasint" json:"since"`
	Reason string   `cbor:"5,keyasint,omitempty" json:"why,omitempty"`
}

// Result is the verdict on one operation of a batch.
type Result struct {
	// Err is nil when the operation took effect.
	Err error
	// Faults are the configuration faults that made a change of files void.
	Faults []config.Fault
	// Current is the version or epoch that stands, when another was expected;
	// File names the file in question.
	Current uint64
	File    string
}

// New returns the state before the first record.
func New() *State {
	merger := &config.Merger{}
	merged, _ := merger.Merge(0, nil)
	return &State{
		merger:  merger,
		writers: map[string]writer{},
		files:   map[string]File{},
		layouts: map[string]string{},
		config:  merged,
		targets: map[record.Target]Target{},
		shards:  map[shard.ID]Shard{},
		owned:   map[record.Target]*owned{},
		hot:     map[shard.ID]map[string]struct{}{},
	}
}

// Apply folds the record at offset, which must be the next one. The batch's
// results are returned in the order of its operations. A record that can't be
// decoded is void as a whole and returned as an error; folding goes on.
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
	if err := s.admitWriter(offset, batch.ID); err != nil {
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

// admitWriter refuses a batch that was folded before, or that a later batch
// of its writer has overtaken.
func (s *State) admitWriter(offset uint64, id record.ID) error {
	last, ok := s.writers[id.Writer.Host]
	if ok && (id.Writer.Run < last.Run || id.Writer.Run == last.Run && id.Seq <= last.Seq) {
		return ErrDuplicate
	}
	s.writers[id.Writer.Host] = writer{Run: id.Writer.Run, Seq: id.Seq, Offset: offset}
	if len(s.writers) > maxWriters {
		s.dropOldestWriter()
	}
	return nil
}

func (s *State) dropOldestWriter() {
	oldest := ""
	for host, last := range s.writers {
		if oldest == "" || last.Offset < s.writers[oldest].Offset {
			oldest = host
		}
	}
	delete(s.writers, oldest)
}

// Next is the offset of the first record that has not been folded.
func (s *State) Next() uint64 { return s.next }

// Config is the configuration in force.
func (s *State) Config() *config.Config { return s.config }

// Members is the membership in force.
func (s *State) Members() *Membership { return &s.members }

// Files lists the configuration files by name.
func (s *State) Files() []File {
	files := make([]File, 0, len(s.files))
	for _, file := range s.files {
		files = append(files, file)
	}
	sort.Slice(files, func(i, j int) bool { return files[i].Name < files[j].Name })
	return files
}

// History lists the latest accepted changes of files, oldest first.
func (s *State) History() []Change { return s.history }

// HistoryTruncated reports that there were changes before those of History.
func (s *State) HistoryTruncated() bool { return s.dropped }

// Target returns what the log says of a target; the zero Target if nothing.
func (s *State) Target(id record.Target) Target { return s.targets[id] }

// Targets returns all targets that the log knows. The map must not be changed.
func (s *State) Targets() map[record.Target]Target { return s.targets }

// Shard returns what the log says of a shard; the zero Shard if nothing.
func (s *State) Shard(id shard.ID) Shard { return s.shards[id] }

// Shards returns all shards that have an owner. The map must not be changed.
func (s *State) Shards() map[shard.ID]Shard { return s.shards }

// HotKeys returns the keys of a range shard that are shards of their own,
// sorted.
func (s *State) HotKeys(id shard.ID) []string {
	set := s.hot[id.Parent()]
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

// Locate returns the shard that holds a key of a service, and false when the
// configuration lacks the service.
func (s *State) Locate(service, key string) (shard.ID, *config.Service, bool) {
	found, ok := s.config.Service(service)
	if !ok {
		return shard.ID{}, nil, false
	}
	group := found.Group(key)
	id := shard.ID{Service: service, Group: group.Name(), Index: shard.IndexOf(key, group.Shards())}
	if _, hot := s.hot[id][key]; hot {
		id.Key = key
	}
	return id, found, true
}

// RangeShards lists every range shard that a service's configuration makes.
func RangeShards(service *config.Service) []shard.ID {
	var ids []shard.ID
	for _, group := range service.Groups() {
		for index := range group.Shards() {
			ids = append(ids, shard.ID{Service: service.Name(), Group: group.Name(), Index: index})
		}
	}
	return ids
}
