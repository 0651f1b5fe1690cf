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

// queries answer what operators ask here.
func (d *Daemon) queries() operator.Queries {
	return operator.Queries{
		State: d.askState, Hosts: d.askHosts, Targets: d.askTargets, Shards: d.askShards, Key: d.askKey,
		Moves: d.askMoves, Files: d.askFiles, History: d.askHistory,
	}
}

// known refuses questions as long as the host knows nothing.
func (d *Daemon) known() error {
	if d.host.Ready() {
		return nil
	}
	return errors.Wrap(operator.ErrUnavailable, "this host knows no state yet")
}

func (d *Daemon) askState(context.Context) (operator.State, error) {
	out := operator.State{
		Host: d.host.Self().Incarnation, Ready: d.host.Ready(), LogReachable: d.reader.Up(),
	}
	if !out.Ready {
		out.Why = "neither the log nor another host has given a state"
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

func (d *Daemon) askHosts(context.Context) ([]operator.Host, error) {
	if err := d.known(); err != nil {
		return nil, err
	}
	var list []operator.Host
	now := d.now()
	d.host.ViewTracker(func(state *fold.State, tracker *member.Tracker) {
		for _, one := range state.Members().Current() {
			list = append(list, d.hostView(state, tracker, one))
		}
		for i := range list {
			list[i].Suspected = tracker.Suspected(list[i].Incarnation, now)
			list[i].Reachable = !list[i].Suspected
			if list[i].Suspected {
				list[i].Error = "does not answer heartbeats"
			}
		}
	})
	return list, nil
}

func (d *Daemon) hostView(state *fold.State, tracker *member.Tracker, one record.Member) operator.Host {
	view := operator.Host{Incarnation: one.Incarnation, Address: one.Address, Domain: one.Domain, Member: true}
	if one.Incarnation == d.host.Self().Incarnation {
		view.Ready, view.Next, view.ConfigVersion = true, state.Next(), state.Config().Version()
		return view
	}
	pong, _ := tracker.LatestPong(one.Incarnation)
	view.Ready, view.Next, view.ConfigVersion = pong.Ready, pong.Next, pong.ConfigVersion
	view.Leaving = tracker.Leaving(one.Incarnation)
	return view
}

func (d *Daemon) askTargets(ctx context.Context) ([]operator.Target, error) {
	if err := d.known(); err != nil {
		return nil, err
	}
	statuses, missing := d.gatherStatuses(ctx)
	var list []operator.Target
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
					holder := logged.Holder
					view.Holder = &holder
				}
				led, known := statuses[id]
				addStatus(&view, led, known, missing[logged.Holder.Host])
				list = append(list, view)
			}
		}
	})
	return list, nil
}

// addStatus fills in what the target's leaseholder says.
func addStatus(view *operator.Target, led message.TargetStatus, known bool, missing string) {
	switch {
	case known && led.Alive:
		view.GrantLeftMs, view.Health, view.Busy = led.Left.Milliseconds(), led.Health, led.InFlight
	case known:
		view.Unavailable = "target does not answer its leaseholder"
	case missing != "":
		view.Unavailable = missing
	default:
		view.Unavailable = "no leaseholder reports on it"
	}
}

func (d *Daemon) askShards(_ context.Context, service string) ([]operator.Shard, error) {
	if err := d.known(); err != nil {
		return nil, err
	}
	var list []operator.Shard
	d.host.ViewState(func(state *fold.State) {
		for _, one := range state.Config().Services() {
			if service != "" && one.Name() != service {
				continue
			}
			for _, id := range fold.RangeShards(one) {
				list = append(list, shardView(state, id))
				for _, key := range state.HotKeys(id) {
					hot := id
					hot.Key = key
					list = append(list, shardView(state, hot))
				}
			}
		}
	})
	return list, nil
}

func shardView(state *fold.State, id shard.ID) operator.Shard {
	owned := state.Shard(id)
	view := operator.Shard{ID: id, Owner: owned.Target, Epoch: owned.Epoch, Unsettled: owned.Former, Why: owned.Reason}
	logged := state.Target(record.Target{Service: id.Service, Name: owned.Target})
	if logged.Term > 0 {
		holder := logged.Holder
		view.Holder = &holder
	}
	return view
}

func (d *Daemon) askKey(_ context.Context, service, key string) (operator.Key, error) {
	if err := d.known(); err != nil {
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

func (d *Daemon) askMoves(context.Context) ([]operator.Move, error) {
	if err := d.known(); err != nil {
		return nil, err
	}
	var list []operator.Move
	d.host.ViewState(func(state *fold.State) {
		for id, owned := range state.Shards() {
			if len(owned.Former) > 0 {
				list = append(list, operator.Move{
					Shard: id, From: owned.Former, To: owned.Target, Epoch: owned.Epoch, Why: owned.Reason,
					Waiting: "release by former owners, or the end of their grants",
				})
			}
		}
	})
	sort.Slice(list, func(i, j int) bool { return list[i].Shard.Less(list[j].Shard) })
	return list, nil
}

func (d *Daemon) askFiles(context.Context) ([]operator.File, error) {
	if err := d.known(); err != nil {
		return nil, err
	}
	var list []operator.File
	d.host.ViewState(func(state *fold.State) {
		for _, file := range state.Files() {
			list = append(list, operator.File{
				Name: file.Name, Version: file.Version, Size: len(file.Content), Content: file.Content,
			})
		}
	})
	return list, nil
}

func (d *Daemon) askHistory(_ context.Context, limit int) (operator.History, error) {
	if err := d.known(); err != nil {
		return operator.History{}, err
	}
	var out operator.History
	d.host.ViewState(func(state *fold.State) { out = historyView(state.History(), state.HistoryTruncated(), limit) })
	return out, nil
}

// historyView groups changed files by change, the newest first.
func historyView(changes []fold.Change, dropped bool, limit int) operator.History {
	var list []operator.Change
	for _, change := range changes {
		file := operator.ChangedFile{
			Name: change.Name, Content: change.Content, Removed: change.Removed,
			Replaced: change.Replaced, Before: change.Before,
		}
		if n := len(list); n > 0 && list[n-1].Version == change.Version {
			list[n-1].Files = append(list[n-1].Files, file)
			continue
		}
		list = append(list, operator.Change{Version: change.Version, Author: change.Author, Files: []operator.ChangedFile{file}})
	}
	slices.Reverse(list)
	return operator.History{Changes: list[:min(len(list), limit)], Truncated: dropped || len(list) > limit}
}
