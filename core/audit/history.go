package audit

import (
	"fmt"
	"math"
	"slices"

	"pineturn/core/shard"
)

// incarnation is one incarnation of the target that wrote a file.
type incarnation struct {
	file, service, target, incarnation string
}

// name returns service/target.
func (o incarnation) name() string { return o.service + "/" + o.target }

// interval is a period in which a target owned a shard, except for the keys in
// except. Its bounds are wall time in nanoseconds.
type interval struct {
	owner    incarnation
	shard    shard.ID
	epoch    uint64
	except   []string
	from, to int64
}

// covers reports whether the target owned key, a key of the range shard parent,
// during the interval.
func (i interval) covers(parent shard.ID, key string) bool {
	if i.shard.Parent() != parent {
		return false
	}
	if i.shard.Key != "" {
		return i.shard.Key == key
	}
	return !slices.Contains(i.except, key)
}

// requestRun is one run of a request by a target, from start to end in
// nanoseconds of wall time.
type requestRun struct {
	owner    incarnation
	request  Request
	from, to int64
	ended    bool
}

// arrival is the arrival of a request at a target. Its time is wall time in
// nanoseconds.
type arrival struct {
	owner   incarnation
	request Request
	at      int64
}

// drainPeriod is a period in which a target was draining. Its bounds are wall
// time in nanoseconds.
type drainPeriod struct {
	owner    incarnation
	from, to int64
}

// history is the history of ownership, runs and drains of all targets.
type history struct {
	counts    Counts
	intervals []interval
	runs      []*requestRun
	refusals  []arrival
	drains    []drainPeriod
	services  map[string]bool
}

// replayer replays the entries of one file. The fields from expires on are the
// state of the current incarnation.
type replayer struct {
	history          *history
	owner            incarnation
	seenIncarnations map[string]bool
	// expires is the expiry of the grant, as wall time in nanoseconds.
	expires    int64
	open       map[shard.ID]interval
	activeRuns map[uint64]*requestRun
	drain      *drainPeriod
	// last is the latest wall time of an entry, in nanoseconds.
	last int64
}

// reconstruct reconstructs the history from the entries of all files.
func reconstruct(files []File) (*history, error) {
	result := &history{services: map[string]bool{}}
	for _, file := range files {
		if len(file.Entries) == 0 {
			continue
		}
		if err := result.add(file); err != nil {
			return nil, fmt.Errorf("audit file %s: %w", file.Name, err)
		}
	}
	return result, nil
}

// add replays the entries of one file.
func (h *history) add(file File) error {
	first := file.Entries[0]
	replay := &replayer{history: h, seenIncarnations: map[string]bool{}}
	replay.owner = incarnation{file: file.Name, service: first.Service, target: first.Target}
	for i, entry := range file.Entries {
		if err := replay.read(entry); err != nil {
			return fmt.Errorf("line %d: %w", i+1, err)
		}
	}
	replay.end(math.MaxInt64)
	h.counts.Entries += len(file.Entries)
	h.counts.Targets++
	h.services[first.Service] = true
	return nil
}

// begin starts an incarnation. It returns ErrMixed if the incarnation has been
// replayed before or is of another target than the file.
func (r *replayer) begin(entry Entry) error {
	if r.seenIncarnations[entry.Incarnation] || entry.Service != r.owner.service || entry.Target != r.owner.target {
		return ErrMixed
	}
	r.seenIncarnations[entry.Incarnation] = true
	r.owner.incarnation = entry.Incarnation
	r.open = map[shard.ID]interval{}
	r.activeRuns = map[uint64]*requestRun{}
	r.expires, r.last, r.drain = 0, entry.WallNs, nil
	r.history.counts.Incarnations++
	return nil
}

// end ends an incarnation, which was over by the wall time until at the latest.
// Runs without an Ended entry are taken to last until the incarnation's last
// entry.
func (r *replayer) end(until int64) {
	r.closeAllAt(until)
	for _, run := range r.activeRuns {
		run.to = max(run.from, r.last)
	}
	r.endDrain(until)
}

func (r *replayer) read(entry Entry) error {
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
		r.closeAllAt(entry.WallNs)
	case Granted, GrantRefused, Released, Expired:
		return r.readGrant(entry)
	case Began, Ended, Refused:
		return r.readRequest(entry)
	case DrainBegan:
		r.endDrain(entry.WallNs)
		r.drain = &drainPeriod{owner: r.owner, from: entry.WallNs}
	case DrainWithdrawn:
		r.endDrain(entry.WallNs)
	default:
		return fmt.Errorf("%w: %q", ErrUnknown, entry.Kind)
	}
	return nil
}

func (r *replayer) endDrain(at int64) {
	if r.drain != nil {
		r.drain.to = at
		r.history.drains = append(r.history.drains, *r.drain)
		r.drain = nil
	}
}

func (r *replayer) readGrant(entry Entry) error {
	if entry.Grant == nil {
		return fmt.Errorf("%s entry without a grant", entry.Kind)
	}
	switch entry.Kind {
	case Granted:
		r.grant(entry, *entry.Grant)
	case GrantRefused:
		r.history.counts.GrantsRefused++
	case Released:
		for _, item := range entry.Grant.Shards {
			r.close(item.Shard, entry.WallNs)
		}
	case Expired:
		r.closeAllAt(entry.WallNs)
	}
	return nil
}

// grant applies a set of shards or a renewal. The two clock readings of the entry
// are used to convert the expiry from the target's clock to wall time.
func (r *replayer) grant(entry Entry, grant Grant) {
	if entry.WallNs >= r.expires {
		r.closeAllAt(r.expires)
	}
	r.expires = entry.WallNs + (grant.ExpiresUs-entry.ClockUs)*1000
	if grant.Renew {
		r.history.counts.Renewals++
		return
	}
	r.history.counts.Grants++
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

// close ends the ownership of a shard at the wall time at, or at the expiry of
// the grant if that is earlier.
func (r *replayer) close(id shard.ID, at int64) {
	current, ok := r.open[id]
	if !ok {
		return
	}
	delete(r.open, id)
	current.to = min(at, r.expires)
	if current.to > current.from {
		r.history.intervals = append(r.history.intervals, current)
	}
}

func (r *replayer) closeAllAt(at int64) {
	for id := range r.open {
		r.close(id, at)
	}
}

func (r *replayer) readRequest(entry Entry) error {
	if entry.Request == nil {
		return fmt.Errorf("%s entry without a request", entry.Kind)
	}
	request := *entry.Request
	switch entry.Kind {
	case Began:
		r.history.counts.Runs++
		run := &requestRun{owner: r.owner, request: request, from: entry.WallNs, to: entry.WallNs}
		r.activeRuns[request.Run] = run
		r.history.runs = append(r.history.runs, run)
	case Ended:
		run, ok := r.activeRuns[request.Run]
		if !ok {
			return fmt.Errorf("run %d has an end entry but no begin entry", request.Run)
		}
		run.to, run.ended, run.request = entry.WallNs, true, request
		delete(r.activeRuns, request.Run)
		if !request.Completed {
			r.history.counts.Incomplete++
		}
	case Refused:
		r.history.counts.Refused++
		r.history.refusals = append(r.history.refusals, arrival{owner: r.owner, request: request, at: entry.WallNs})
	}
	return nil
}
