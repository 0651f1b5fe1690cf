package plan

import (
	"slices"
	"time"

	"pineturn/core/balance"
	"pineturn/core/config"
	"pineturn/core/fold"
	"pineturn/core/record"
	"pineturn/core/shard"
)

// assign proposes owners for shards, service by service.
func (p *Planner) assign(in Input) []record.Op {
	var ops []record.Op
	for _, service := range in.State.Config().Services() {
		ops = append(ops, p.assignService(in, service)...)
	}
	return ops
}

// assignService has the shards of one service placed, and turns the decision
// into operations.
func (p *Planner) assignService(in Input, service *config.Service) []record.Op {
	conditions := p.conditions(in, service)
	if p.rests(in, service, conditions) {
		return nil
	}
	view := p.view(in, service, conditions)
	ops := p.place(in, service, view)
	p.rounds[service.Name()] = serviceRound{
		next: in.State.Next(), conditions: conditions, at: in.Now, idle: len(ops) == 0 && !view.unowned,
	}
	return ops
}

// place decides on a service as a round sees it.
func (p *Planner) place(in Input, service *config.Service, view *view) []record.Op {
	if view.unowned && view.unknown && !p.waited(in, service) {
		return nil
	}
	decision := balance.Plan(view.input(service))
	level := in.Now.Sub(p.levels[service.Name()]) >= levelAfter
	var ops []record.Op
	leveled := false
	for _, move := range decision.Moves {
		owned := in.State.Shard(move.Shard)
		byChoice := move.Reason == balance.ReasonImbalance
		if byChoice && (!level || len(owned.Former) > 0) {
			continue
		}
		leveled = leveled || byChoice
		ops = append(ops, record.Op{Assign: &record.Assign{
			Shard: move.Shard, Target: move.To, Expect: owned.Epoch, Why: move.Reason,
		}})
	}
	if level && view.hot < maxHot {
		for _, split := range decision.Splits {
			leveled = true
			ops = append(ops, record.Op{Split: &record.Split{
				Shard: split.Shard, Expect: in.State.Shard(split.Shard.Parent()).Epoch,
			}})
		}
	}
	if leveled {
		p.levels[service.Name()] = in.Now
	}
	return append(ops, p.merge(in, view)...)
}

// waited reports whether a new service has waited long enough for reports of
// its targets.
func (p *Planner) waited(in Input, service *config.Service) bool {
	since, ok := p.seen[service.Name()]
	if !ok {
		since = in.Now
		p.seen[service.Name()] = since
	}
	return in.Now.Sub(since) >= settleAfter
}

// view is one service as a round sees it.
type view struct {
	targets []balance.Target
	shards  []balance.Shard
	group   map[string]*config.Group
	moving  int
	hot     int
	unowned bool
	unknown bool
}

// view collects what is known of a service. Targets of which no report is at
// hand, and the shards that they own, are left out: they stay as they are.
func (p *Planner) view(in Input, service *config.Service, conditions []condition) *view {
	v := &view{group: map[string]*config.Group{}}
	silent := map[string]bool{}
	loads := map[shard.ID]float64{}
	keys := map[shard.ID][]balance.Key{}
	for i, target := range service.Targets() {
		if !conditions[i].known {
			silent[target.ID().Name] = true
			v.unknown = true
			continue
		}
		v.targets = append(v.targets, balance.Target{
			Name: target.ID().Name, Capacity: float64(target.Slots()), State: conditions[i].state,
		})
		p.addLoads(in.State, target.ID(), loads, keys)
	}
	for _, group := range service.Groups() {
		v.group[group.Name()] = group
	}
	for _, id := range fold.RangeShards(service) {
		v.add(in.State, id, silent, loads, keys)
		for _, key := range in.State.HotKeys(id) {
			hot := id
			hot.Key = key
			v.hot++
			v.add(in.State, hot, silent, loads, keys)
		}
	}
	return v
}

// condition is how a target stands, if that is known.
type condition struct {
	state balance.State
	known bool
}

// conditions judges the targets of a service, in their order.
func (p *Planner) conditions(in Input, service *config.Service) []condition {
	list := make([]condition, 0, len(service.Targets()))
	for _, target := range service.Targets() {
		list = append(list, p.condition(in, target))
	}
	return list
}

// condition judges a target by the configuration, the log and the latest
// report of its leaseholder; it is not known when there is none.
func (p *Planner) condition(in Input, target *config.Target) condition {
	logged := in.State.Target(target.ID())
	known, ok := p.reports[target.ID()]
	fresh := ok && known.Term == logged.Term && in.Now.Sub(known.at) < reportAge
	switch {
	case fresh && known.Lost:
		return condition{balance.Lost, true}
	case target.Drain() || logged.Drain || fresh && known.Draining:
		return condition{balance.Draining, true}
	case fresh && known.Alive && known.Cold:
		return condition{balance.Cold, true}
	case fresh && known.Alive:
		return condition{balance.Ready, true}
	}
	return condition{}
}

// serviceRound is what the latest round of a service was planned from.
type serviceRound struct {
	next       uint64
	conditions []condition
	at         time.Time
	// idle reports that the round proposed nothing and left no shard unowned.
	idle bool
}

// rests reports whether a service need not be planned again yet: nothing but
// loads can have changed since an idle round, and that was a moment ago.
func (p *Planner) rests(in Input, service *config.Service, conditions []condition) bool {
	last := p.rounds[service.Name()]
	return last.idle && last.next == in.State.Next() && in.Now.Sub(last.at) < restInterval &&
		slices.Equal(last.conditions, conditions)
}

// addLoads adds what a target's leaseholder measured.
func (p *Planner) addLoads(state *fold.State, id record.Target, loads map[shard.ID]float64, keys map[shard.ID][]balance.Key) {
	known := p.reports[id]
	for _, load := range known.Shards {
		loads[load.Shard] = max(loads[load.Shard], load.Load)
	}
	if known.at.Sub(known.since) < measureAfter {
		for _, load := range known.former {
			loads[load.Shard] = max(loads[load.Shard], load.Load)
		}
	}
	for _, key := range known.Hot {
		holder, _, ok := state.Locate(id.Service, key.Key)
		if ok && holder.Key == "" {
			keys[holder] = append(keys[holder], balance.Key{Name: key.Key, Load: key.Load})
		}
	}
}

func (v *view) add(state *fold.State, id shard.ID, silent map[string]bool, loads map[shard.ID]float64, keys map[shard.ID][]balance.Key) {
	owned := state.Shard(id)
	if len(owned.Former) > 0 {
		v.moving++
	}
	v.unowned = v.unowned || owned.Target == ""
	if silent[owned.Target] {
		return
	}
	v.shards = append(v.shards, balance.Shard{ID: id, Target: owned.Target, Load: loads[id], Hot: keys[id]})
}

func (v *view) input(service *config.Service) balance.Input {
	weights := service.Weights()
	return balance.Input{
		OverloadFloor: quietLoad,
		Shards:        v.shards, Targets: v.targets, MaxMoves: service.MaxMoves(), MovesInProgress: v.moving,
		Weights: balance.Weights{
			Unavailable: weights.Unavailable(), Churn: weights.Churn(), Imbalance: weights.Imbalance(),
		},
		Eligible: func(id shard.ID, target string) bool {
			group, ok := v.group[id.Group]
			return ok && group.Eligible(target)
		},
	}
}

// merge proposes to return at most one hot key to its range shard: one that
// has been idle for long and is settled on the same target.
func (p *Planner) merge(in Input, v *view) []record.Op {
	for _, item := range v.shards {
		if item.ID.Key == "" {
			continue
		}
		if item.Load > 0 {
			delete(p.idle, item.ID)
			continue
		}
		since, ok := p.idle[item.ID]
		if !ok {
			p.idle[item.ID] = in.Now
			continue
		}
		parent := in.State.Shard(item.ID.Parent())
		owned := in.State.Shard(item.ID)
		together := parent.Target == owned.Target && len(parent.Former) == 0 && len(owned.Former) == 0
		if together && in.Now.Sub(since) >= mergeAfter {
			delete(p.idle, item.ID)
			return []record.Op{{Merge: &record.Merge{Shard: item.ID, Expect: owned.Epoch}}}
		}
	}
	return nil
}
