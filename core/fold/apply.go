package fold

import (
	"errors"
	"fmt"
	"sort"
	"strings"

	"pineturn/core/config"
	"pineturn/core/record"
	"pineturn/core/shard"
)

// The errors of void operations.
var (
	// ErrDuplicate means that the batch, or a later one of the same writer, has
	// already been folded.
	ErrDuplicate = errors.New("batch has already been folded")
	// ErrStale means that the operation expects a version, epoch or term that is
	// not the current one.
	ErrStale = errors.New("expected version, epoch or term is not the current one")
	// ErrInvalid means that the operation is not valid in the current state.
	ErrInvalid = errors.New("operation is not valid in the current state")
	// ErrRefused means that the changed files are not a valid configuration, or
	// change what must not change, such as the layout of a service.
	ErrRefused = errors.New("configuration change refused")
)

func stale(current uint64) Result { return Result{Err: ErrStale, Current: current} }

func invalid(format string, args ...any) Result {
	return Result{Err: fmt.Errorf("%w: %s", ErrInvalid, fmt.Sprintf(format, args...))}
}

func (s *State) apply(offset uint64, op record.Op) Result {
	switch {
	case op.Files != nil:
		return s.applyFiles(offset, op.Files)
	case op.Join != nil:
		return s.members.join(offset, op.Join)
	case op.Leave != nil:
		return s.members.leave(offset, op.Leave)
	case op.Reset != nil:
		return s.members.reset(offset, op.Reset)
	case op.Assign != nil:
		return s.applyAssign(offset, op.Assign)
	case op.Settle != nil:
		return s.applySettle(op.Settle)
	case op.Lead != nil:
		return s.applyLead(offset, op.Lead)
	case op.Split != nil:
		return s.applySplit(offset, op.Split)
	case op.Merge != nil:
		return s.applyMerge(op.Merge)
	case op.Drain != nil:
		return s.applyDrain(op.Drain)
	case op.Checkpoint != nil:
		return s.applyCheckpoint(op.Checkpoint)
	}
	return invalid("unknown kind of operation")
}

func (s *State) applyFiles(offset uint64, op *record.Files) Result {
	files := make(map[string]File, len(s.files)+len(op.Changes))
	for name, file := range s.files {
		files[name] = file
	}
	version := offset + 1
	for _, change := range op.Changes {
		current, ok := files[change.Name]
		if current.Version != change.Expect {
			return Result{Err: ErrStale, Current: current.Version, File: change.Name}
		}
		if change.Remove {
			if !ok {
				return invalid("file %s does not exist", change.Name)
			}
			delete(files, change.Name)
			continue
		}
		files[change.Name] = File{Name: change.Name, Version: version, Content: change.Content, Author: op.Author}
	}
	merged, faults := s.merge(version, files)
	if len(faults) == 0 {
		faults = config.CheckChange(s.config, merged)
	}
	if len(faults) == 0 {
		faults = s.checkLayouts(merged)
	}
	if len(faults) > 0 {
		return Result{Err: ErrRefused, Faults: faults}
	}
	for _, change := range op.Changes {
		before := s.files[change.Name]
		s.history = append(s.history, Change{
			Version: version, Name: change.Name, Author: op.Author, Removed: change.Remove, Content: change.Content,
			Replaced: before.Version, Before: before.Content,
		})
	}
	s.files, s.config = files, merged
	s.recordLayouts(merged)
	if extra := len(s.history) - maxHistory; extra > 0 {
		s.history = append([]Change(nil), s.history[extra:]...)
		s.historyTruncated = true
	}
	return Result{}
}

func (s *State) merge(version uint64, files map[string]File) (*config.Config, []config.Fault) {
	list := make([]config.File, 0, len(files))
	for _, file := range files {
		list = append(list, config.File{Name: file.Name, Content: file.Content})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return s.merger.Merge(version, list)
}

// layout returns the mapping of the keys of a service to shards, as text for
// comparison. The layout of a service name must never change, because former
// owners may still hold shards of the old layout.
func layout(service *config.Service) string {
	var text strings.Builder
	for _, group := range service.Groups() {
		fmt.Fprintf(&text, "%s %q %d\n", group.Name(), group.Keys(), group.Shards())
	}
	return text.String()
}

func (s *State) checkLayouts(merged *config.Config) []config.Fault {
	var faults []config.Fault
	for _, service := range merged.Services() {
		known, ok := s.layouts[service.Name()]
		if ok && known != layout(service) {
			faults = append(faults, config.Fault{
				Field: "services." + service.Name() + ".groups",
				Text:  "the names, keys, order and shards of the groups of a service can't be changed, even after the service was removed; create a service with another name",
			})
		}
	}
	return faults
}

func (s *State) recordLayouts(merged *config.Config) {
	for _, service := range merged.Services() {
		s.layouts[service.Name()] = layout(service)
	}
}

func (s *State) group(id shard.ID) (*config.Group, bool) {
	service, ok := s.config.Service(id.Service)
	if !ok {
		return nil, false
	}
	group, ok := service.GroupNamed(id.Group)
	if !ok || id.Index < 0 || id.Index >= group.Shards() {
		return nil, false
	}
	return group, true
}

func (s *State) applyAssign(offset uint64, op *record.Assign) Result {
	group, ok := s.group(op.Shard)
	if !ok {
		return invalid("shard %s does not exist; want a configured service and group, and an index below the group's number of shards", op.Shard)
	}
	if !group.Eligible(op.Target) {
		return invalid("target %s is not eligible to own shard %s", op.Target, op.Shard)
	}
	current, known := s.shards[op.Shard]
	if op.Shard.Key != "" && !known {
		return invalid("key %q has no shard of its own", op.Shard.Key)
	}
	if current.Epoch != op.Expect {
		return stale(current.Epoch)
	}
	former := current.Former
	if current.Target != "" && current.Target != op.Target {
		former = withName(former, current.Target)
	}
	s.setShard(op.Shard, Shard{
		Target: op.Target, Epoch: current.Epoch + 1, Former: withoutName(former, op.Target), Since: offset, Reason: op.Why,
	})
	return Result{}
}

// withName returns a sorted copy of names that contains name once.
func withName(names []string, name string) []string {
	out := append(withoutName(names, name), name)
	sort.Strings(out)
	return out
}

// withoutName returns a copy of names without name.
func withoutName(names []string, name string) []string {
	var out []string
	for _, other := range names {
		if other != name {
			out = append(out, other)
		}
	}
	return out
}

func (s *State) applySettle(op *record.Settle) Result {
	current, ok := s.shards[op.Shard]
	if !ok || current.Epoch != op.Epoch {
		return stale(current.Epoch)
	}
	current.Former = nil
	s.setShard(op.Shard, current)
	return Result{}
}

func (s *State) applyLead(offset uint64, op *record.Lead) Result {
	current := s.targets[op.Target]
	if current.Term != op.Expect {
		return stale(current.Term)
	}
	if !s.members.Has(op.Leaseholder) {
		return invalid("leaseholder %s is not a member", op.Leaseholder)
	}
	for _, deputy := range op.Deputies {
		if !s.members.Has(deputy) || deputy == op.Leaseholder {
			return invalid("deputy %s is not a member, or is the leaseholder", deputy)
		}
	}
	current.Term++
	if current.Leaseholder != op.Leaseholder {
		current.FirstTerm = current.Term
	}
	current.Leaseholder = op.Leaseholder
	current.Since = offset
	current.Deputies = op.Deputies
	s.targets[op.Target] = current
	return Result{}
}

func (s *State) applySplit(offset uint64, op *record.Split) Result {
	group, ok := s.group(op.Shard)
	if !ok || op.Shard.Key == "" || shard.IndexOf(op.Shard.Key, group.Shards()) != op.Shard.Index {
		return invalid("key %q does not map to shard %s", op.Shard.Key, op.Shard.Parent())
	}
	parent := s.shards[op.Shard.Parent()]
	if parent.Epoch != op.Expect {
		return stale(parent.Epoch)
	}
	if _, split := s.hotKeys[op.Shard.Parent()][op.Shard.Key]; split {
		return invalid("key %q already has a shard of its own", op.Shard.Key)
	}
	if s.hotKeys[op.Shard.Parent()] == nil {
		s.hotKeys[op.Shard.Parent()] = map[string]struct{}{}
	}
	s.hotKeys[op.Shard.Parent()][op.Shard.Key] = struct{}{}
	s.setShard(op.Shard, Shard{
		Target: parent.Target, Epoch: parent.Epoch, Former: parent.Former, Since: offset, Reason: "split",
	})
	return Result{}
}

func (s *State) applyMerge(op *record.Merge) Result {
	hot, ok := s.shards[op.Shard]
	if !ok || op.Shard.Key == "" || hot.Epoch != op.Expect {
		return stale(hot.Epoch)
	}
	parent := s.shards[op.Shard.Parent()]
	if hot.Target != parent.Target || len(hot.Former) > 0 || len(parent.Former) > 0 {
		return invalid("shard %s and its range shard are not settled on the same target", op.Shard)
	}
	// A later split of the same key starts from the epoch of the range shard,
	// which must therefore exceed both epochs.
	parent.Epoch = max(parent.Epoch, hot.Epoch) + 1
	s.setShard(op.Shard.Parent(), parent)
	s.dropShard(op.Shard)
	delete(s.hotKeys[op.Shard.Parent()], op.Shard.Key)
	if len(s.hotKeys[op.Shard.Parent()]) == 0 {
		delete(s.hotKeys, op.Shard.Parent())
	}
	return Result{}
}

func (s *State) applyDrain(op *record.Drain) Result {
	if _, ok := s.config.Target(op.Target); !ok && op.On {
		return invalid("no target %s", op.Target)
	}
	current := s.targets[op.Target]
	current.Drain = op.On
	s.targets[op.Target] = current
	return Result{}
}
