package audit

import (
	"fmt"
	"math"
	"slices"

	"pineturn/core/shard"
)

// owner is one incarnation of the target that writes a file.
type owner struct {
	file, service, target, incarnation string
}

// name returns service/target.
func (o owner) name() string { return o.service + "/" + o.target }

// interval is a time, in wall nanoseconds, over which a target owned a shard.
type interval struct {
	owner    owner
	shard    shard.ID
	epoch    uint64
	except   []string
	from, to int64
}

// covers reports whether the interval makes its target the owner of key, one
// of the range shard parent.
func (i interval) covers(parent shard.ID, key string) bool {
	if i.shard.Parent() != parent {
		return false
	}
	if i.shard.Key != "" {
		return i.shard.Key == key
	}
	return !slices.Contains(i.except, key)
}

// execution is one request that a target ran.
type execution struct {
	owner    owner
	request  Request
	from, to int64
	ended    bool
}

// arrival is a request that reached a target at some time.
type arrival struct {
	owner   owner
	request Request
	at      int64
}

// drain is the time from which a target was leaving.
type drain struct {
	owner    owner
	from, to int64
}

// digested is what the entries amount to.
type digested struct {
	counts    Counts
	intervals []interval
	runs      []*execution
	refusals  []arrival
	drains    []drain
	services  map[string]bool
}

// reader follows the entries of one file.
type reader struct {
	into    *digested
	owner   owner
	seen    map[string]bool
	expires int64
	open    map[shard.ID]interval
	running map[uint64]*execution
	drain   *drain
	last    int64
}

// digest turns entries into intervals, runs and drains.
func digest(files []File) (*digested, error) {
	found := &digested{services: map[string]bool{}}
	for _, file := range files {
		if len(file.Entries) == 0 {
			continue
		}
		if err := found.add(file); err != nil {
			return nil, fmt.Errorf("audit file %s: %w", file.Name, err)
		}
	}
	return found, nil
}

// add follows the entries of one file.
func (d *digested) add(file File) error {
	first := file.Entries[0]
	current := &reader{into: d, seen: map[string]bool{}}
	current.owner = owner{file: file.Name, service: first.Service, target: first.Target}
	for i, entry := range file.Entries {
		if err := current.read(entry); err != nil {
			return fmt.Errorf("line %d: %w", i+1, err)
		}
	}
	current.end(math.MaxInt64)
	d.counts.Entries += len(file.Entries)
	d.counts.Targets++
	d.services[first.Service] = true
	return nil
}

// begin opens an incarnation.
func (r *reader) begin(entry Entry) error {
	if r.seen[entry.Incarnation] || entry.Service != r.owner.service || entry.Target != r.owner.target {
		return ErrMixed
	}
	r.seen[entry.Incarnation] = true
	r.owner.incarnation = entry.Incarnation
	r.open = map[shard.ID]interval{}
	r.running = map[uint64]*execution{}
	r.expires, r.last, r.drain = 0, entry.WallNs, nil
	r.into.counts.Incarnations++
	return nil
}

// end closes an incarnation that ran no longer than until.
func (r *reader) end(until int64) {
	r.closeAll(until)
	for _, running := range r.running {
		running.to = max(running.from, r.last)
	}
	r.endDrain(until)
}

func (r *reader) read(entry Entry) error {
	if entry.Incarnation != r.owner.incarnation {
		r.end(entry.WallNs)
		if err := r.begin(entry); err != nil {
			return err
		}
	}
	r.last = max(r.last, entry.WallNs)
	switch entry.Kind {
	case Started:
	case Stopped:
		r.closeAll(entry.WallNs)
	case Granted, GrantRefused, Released, Expired:
		return r.readGrant(entry)
	case Began, Ended, Refused:
		return r.readRequest(entry)
	case DrainBegan:
		r.endDrain(entry.WallNs)
		r.drain = &drain{owner: r.owner, from: entry.WallNs}
	case DrainWithdrawn:
		r.endDrain(entry.WallNs)
	default:
		return fmt.Errorf("%w: %q", ErrUnknown, entry.Kind)
	}
	return nil
}

func (r *reader) endDrain(at int64) {
	if r.drain != nil {
		r.drain.to = at
		r.into.drains = append(r.into.drains, *r.drain)
		r.drain = nil
	}
}

func (r *reader) readGrant(entry Entry) error {
	if entry.Grant == nil {
		return fmt.Errorf("%s without a grant", entry.Kind)
	}
	switch entry.Kind {
	case Granted:
		r.grant(entry, *entry.Grant)
	case GrantRefused:
		r.into.counts.GrantsRefused++
	case Released:
		for _, item := range entry.Grant.Shards {
			r.close(item.Shard, entry.WallNs)
		}
	case Expired:
		r.closeAll(entry.WallNs)
	}
	return nil
}

// grant takes in a set or a renewal. The expiry in the target's clock is
// turned to wall time by the entry's own two readings.
func (r *reader) grant(entry Entry, grant Grant) {
	if entry.WallNs >= r.expires {
		r.closeAll(r.expires)
	}
	r.expires = entry.WallNs + (grant.ExpiresUs-entry.ClockUs)*1000
	if grant.Renew {
		r.into.counts.Renewals++
		return
	}
	r.into.counts.Grants++
	listed := map[shard.ID]bool{}
	for _, item := range grant.Shards {
		listed[item.Shard] = true
		old, ok := r.open[item.Shard]
		if ok && old.epoch == item.Epoch && slices.Equal(old.except, item.Except) {
			continue
		}
		r.close(item.Shard, entry.WallNs)
		r.open[item.Shard] = interval{
			owner: r.owner, shard: item.Shard, epoch: item.Epoch, except: item.Except, from: entry.WallNs,
		}
	}
	for id := range r.open {
		if !listed[id] {
			r.close(id, entry.WallNs)
		}
	}
}

// close ends the ownership of a shard at the time at, or at the expiry if
// that was before.
func (r *reader) close(id shard.ID, at int64) {
	held, ok := r.open[id]
	if !ok {
		return
	}
	delete(r.open, id)
	held.to = min(at, r.expires)
	if held.to > held.from {
		r.into.intervals = append(r.into.intervals, held)
	}
}

func (r *reader) closeAll(at int64) {
	for id := range r.open {
		r.close(id, at)
	}
}

func (r *reader) readRequest(entry Entry) error {
	if entry.Request == nil {
		return fmt.Errorf("%s without a request", entry.Kind)
	}
	request := *entry.Request
	switch entry.Kind {
	case Began:
		r.into.counts.Runs++
		began := &execution{owner: r.owner, request: request, from: entry.WallNs, to: entry.WallNs}
		r.running[request.Run] = began
		r.into.runs = append(r.into.runs, began)
	case Ended:
		began, ok := r.running[request.Run]
		if !ok {
			return fmt.Errorf("run %d ended but never began", request.Run)
		}
		began.to, began.ended, began.request = entry.WallNs, true, request
		delete(r.running, request.Run)
		if !request.Completed {
			r.into.counts.Incomplete++
		}
	case Refused:
		r.into.counts.Refused++
		r.into.refusals = append(r.into.refusals, arrival{owner: r.owner, request: request, at: entry.WallNs})
	}
	return nil
}
