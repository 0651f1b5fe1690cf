package daemon

import (
	"context"
	"slices"
	"sort"

	"github.com/cockroachdb/errors"

	"pineturn/core/fold"
	"pineturn/core/member"
	"pineturn/core/message"
	"pineturn/core/record"
	"pineturn/core/shard"
	"pineturn/io/operator"
)

// queries returns the handlers for operators' queries.
func (d *Daemon) queries() operator.Queries {
	return operator.Queries{
		State: d.queryState, Hosts: d.queryHosts, Targets: d.queryTargets, Shards: d.queryShards, Key: d.queryKey,
		Moves: d.queryMoves, Files: d.queryFiles, History: d.queryHistory,
	}
}

// requireReady returns an error if this host has no state yet.
func (d *Daemon) requireReady() error {
	if d.host.Ready() {
		return nil
	}
	return errors.Wrap(operator.ErrUnavailable, "this host has no state yet")
}

func (d *Daemon) queryState(context.Context) (operator.State, error) {
	out := operator.State{
		Host: d.host.Self().Incarnation, Ready: d.host.Ready(), LogReachable: d.reader.Up(),
	}
	if !out.Ready {
		out.Reason = "neither the log nor another host has given a state"
	}
	if !out.LogReachable {
		out.Unavailable = append(out.Unavailable, "log service")
	}
	now := d.now()
	d.host.ViewTracker(func(state *fold.State, tracker *member.Tracker) {
		out.Next, out.ConfigVersion = state.Next(), state.Config().Version()
		out.MembershipEpoch, out.Members = state.Members().Epoch(), len(state.Members().Current())
		out.Services = len(state.Config().Services())
		for _, service := range state.Config().Services() {
			out.Targets += len(service.Targets())
			for _, id := range fold.RangeShards(service) {
				out.Shards += 1 + len(state.HotKeys(id))
				if state.Shard(id).Target == "" {
					out.Unowned++
				}
			}
		}
		for _, owned := range state.Shards() {
			if len(owned.Former) > 0 {
				out.Moves++
			}
		}
		for _, id := range tracker.Suspects(state.Members(), now) {
			out.Unavailable = append(out.Unavailable, "host "+id.String())
		}
	})
	return out, nil
}

func (d *Daemon) queryHosts(context.Context) ([]operator.Host, error) {
	if err := d.requireReady(); err != nil {
		return nil, err
	}
	var hosts []operator.Host
	now := d.now()
	d.host.ViewTracker(func(state *fold.State, tracker *member.Tracker) {
		for _, m := range state.Members().Current() {
			hosts = append(hosts, d.hostView(state, tracker, m))
		}
		for i := range hosts {
			hosts[i].Suspected = tracker.Suspected(hosts[i].Incarnation, now)
			hosts[i].Reachable = !hosts[i].Suspected
			if hosts[i].Suspected {
				hosts[i].Error = "does not answer heartbeats"
			}
		}
	})
	return hosts, nil
}

func (d *Daemon) hostView(state *fold.State, tracker *member.Tracker, m record.Member) operator.Host {
	view := operator.Host{Incarnation: m.Incarnation, Address: m.Address, Domain: m.Domain, Member: true}
	if m.Incarnation == d.host.Self().Incarnation {
		view.Ready, view.Next, view.ConfigVersion = true, state.Next(), state.Config().Version()
		return view
	}
	pong, _ := tracker.LatestPong(m.Incarnation)
	view.Ready, view.Next, view.ConfigVersion = pong.Ready, pong.Next, pong.ConfigVersion
	view.Leaving = tracker.Leaving(m.Incarnation)
	return view
}

func (d *Daemon) queryTargets(ctx context.Context) ([]operator.Target, error) {
	if err := d.requireReady(); err != nil {
		return nil, err
	}
	statuses, unreachable := d.gatherStatuses(ctx)
	var targets []operator.Target
	d.host.ViewState(func(state *fold.State) {
		counts := map[record.Target]int{}
		for id, owned := range state.Shards() {
			counts[record.Target{Service: id.Service, Name: owned.Target}]++
		}
		for _, service := range state.Config().Services() {
			for _, settings := range service.Targets() {
				id := settings.ID()
				logged := state.Target(id)
				view := operator.Target{
					ID: id, Address: settings.Address(), Domain: settings.Domain(), Checked: settings.Checked(),
					Drain: settings.Drain() || logged.Drain, Term: logged.Term, Shards: counts[id], Slots: settings.Slots(),
				}
				if logged.Term > 0 {
					leaseholder := logged.Leaseholder
					view.Leaseholder = &leaseholder
				}
				status, reported := statuses[id]
				addStatus(&view, status, reported, unreachable[logged.Leaseholder.Host])
				targets = append(targets, view)
			}
		}
	})
	return targets, nil
}

// addStatus adds the status reported by the target's leaseholder to view, or the
// reason why no status is available.
func addStatus(view *operator.Target, status message.TargetStatus, reported bool, unreachable string) {
	switch {
	case reported && status.Alive:
		view.GrantLeftMs, view.Health, view.InFlight = status.Left.Milliseconds(), status.Health, status.InFlight
	case reported:
		view.Unavailable = "target does not answer its leaseholder"
	case unreachable != "":
		view.Unavailable = unreachable
	default:
		view.Unavailable = "no leaseholder reports on it"
	}
}

func (d *Daemon) queryShards(_ context.Context, service string) ([]operator.Shard, error) {
	if err := d.requireReady(); err != nil {
		return nil, err
	}
	var shards []operator.Shard
	d.host.ViewState(func(state *fold.State) {
		for _, svc := range state.Config().Services() {
			if service != "" && svc.Name() != service {
				continue
			}
			for _, id := range fold.RangeShards(svc) {
				shards = append(shards, shardView(state, id))
				for _, key := range state.HotKeys(id) {
					hot := id
					hot.Key = key
					shards = append(shards, shardView(state, hot))
				}
			}
		}
	})
	return shards, nil
}

func shardView(state *fold.State, id shard.ID) operator.Shard {
	owned := state.Shard(id)
	view := operator.Shard{ID: id, Owner: owned.Target, Epoch: owned.Epoch, Former: owned.Former, Reason: owned.Reason}
	logged := state.Target(record.Target{Service: id.Service, Name: owned.Target})
	if logged.Term > 0 {
		leaseholder := logged.Leaseholder
		view.Leaseholder = &leaseholder
	}
	return view
}

func (d *Daemon) queryKey(_ context.Context, service, key string) (operator.Key, error) {
	if err := d.requireReady(); err != nil {
		return operator.Key{}, err
	}
	out := operator.Key{Service: service, Key: key}
	found := false
	d.host.ViewState(func(state *fold.State) {
		id, _, ok := state.Locate(service, key)
		if !ok {
			return
		}
		found = true
		out.Shard = shardView(state, id)
		out.Term = state.Target(record.Target{Service: service, Name: out.Shard.Owner}).Term
	})
	if !found {
		return out, &operator.Error{Code: operator.CodeNotFound, Detail: "no service " + service}
	}
	if _, refused := d.host.Route(service, key); refused != nil {
		out.Unavailable = refused.Error()
	}
	return out, nil
}

func (d *Daemon) queryMoves(context.Context) ([]operator.Move, error) {
	if err := d.requireReady(); err != nil {
		return nil, err
	}
	var moves []operator.Move
	d.host.ViewState(func(state *fold.State) {
		for id, owned := range state.Shards() {
			if len(owned.Former) > 0 {
				moves = append(moves, operator.Move{
					Shard: id, From: owned.Former, To: owned.Target, Epoch: owned.Epoch, Reason: owned.Reason,
					Waiting: "release by former owners, or the end of their grants",
				})
			}
		}
	})
	sort.Slice(moves, func(i, j int) bool { return moves[i].Shard.Less(moves[j].Shard) })
	return moves, nil
}

func (d *Daemon) queryFiles(context.Context) ([]operator.File, error) {
	if err := d.requireReady(); err != nil {
		return nil, err
	}
	var files []operator.File
	d.host.ViewState(func(state *fold.State) {
		for _, file := range state.Files() {
			files = append(files, operator.File{
				Name: file.Name, Version: file.Version, Size: len(file.Content), Content: file.Content,
			})
		}
	})
	return files, nil
}

func (d *Daemon) queryHistory(_ context.Context, limit int) (operator.History, error) {
	if err := d.requireReady(); err != nil {
		return operator.History{}, err
	}
	var out operator.History
	d.host.ViewState(func(state *fold.State) { out = historyView(state.History(), state.HistoryTruncated(), limit) })
	return out, nil
}

// historyView groups changed files by change, latest change first, and returns at
// most limit changes.
func historyView(changes []fold.Change, dropped bool, limit int) operator.History {
	var grouped []operator.Change
	for _, change := range changes {
		file := operator.ChangedFile{
			Name: change.Name, Content: change.Content, Removed: change.Removed,
			Replaced: change.Replaced, Before: change.Before,
		}
		if n := len(grouped); n > 0 && grouped[n-1].Version == change.Version {
			grouped[n-1].Files = append(grouped[n-1].Files, file)
			continue
		}
		grouped = append(grouped, operator.Change{Version: change.Version, Author: change.Author, Files: []operator.ChangedFile{file}})
	}
	slices.Reverse(grouped)
	return operator.History{Changes: grouped[:min(len(grouped), limit)], Truncated: dropped || len(grouped) > limit}
}
