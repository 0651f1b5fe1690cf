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

// proposeAssignments proposes owners for the shards of all services.
func (p *Planner) proposeAssignments(in Input) []record.Op {
	var ops []record.Op
	for _, service := range in.State.Config().Services() {
		ops = append(ops, p.planService(in, service)...)
	}
	return ops
}

// planService returns the operations for the shards of one service, none if
// the round can be skipped.
func (p *Planner) planService(in Input, service *config.Service) []record.Op {
	conditions := p.targetConditions(in, service)
	if p.canSkip(in, service, conditions) {
		return nil
	}
	view := p.buildView(in, service, conditions)
	ops := p.proposeMoves(in, service, view)
	p.lastRounds[service.Name()] = serviceRound{
		next: in.State.Next(), conditions: conditions, plannedAt: in.Now, idle: len(ops) == 0 && !view.hasUnowned,
	}
	return ops
}

// proposeMoves returns the moves, splits and merges of shards for the view of
// a service.
func (p *Planner) proposeMoves(in Input, service *config.Service, view *serviceView) []record.Op {
	if view.hasUnowned && view.hasUnknown && !p.reportWaitOver(in, service) {
		return nil
	}
	decision := balance.Plan(view.balanceInput(service))
	mayBalance := in.Now.Sub(p.loadBalancedAt[service.Name()]) >= loadBalanceInterval
	var ops []record.Op
	balanced := false
	for _, move := range decision.Moves {
		owned := in.State.Shard(move.Shard)
		forBalance := move.Reason == balance.ReasonImbalance
		if forBalance && (!mayBalance || len(owned.Former) > 0) {
			continue
		}
		balanced = balanced || forBalance
		ops = append(ops, record.Op{Assign: &record.Assign{
			Shard: move.Shard, Target: move.To, Expect: owned.Epoch, Why: move.Reason,
		}})
	}
	if mayBalance && view.hotCount < maxHotShards {
		for _, split := range decision.Splits {
			balanced = true
			ops = append(ops, record.Op{Split: &record.Split{
				Shard: split.Shard, Expect: in.State.Shard(split.Shard.Parent()).Epoch,
			}})
		}
	}
	if balanced {
		p.loadBalancedAt[service.Name()] = in.Now
	}
	return append(ops, p.mergeOps(in, view)...)
}

// reportWaitOver reports whether the service has waited for initialReportWait
// for reports on its targets.
func (p *Planner) reportWaitOver(in Input, service *config.Service) bool {
	since, ok := p.waitingSince[service.Name()]
	if !ok {
		since = in.Now
		p.waitingSince[service.Name()] = since
	}
	return in.Now.Sub(since) >= initialReportWait
}

// serviceView is the data on one service that a round is planned from.
type serviceView struct {
	targets []balance.Target
	shards  []balance.Shard
	groups  map[string]*config.Group
	// movingCount is the number of shards that have former owners.
	movingCount int
	// hotCount is the number of shards of hot keys.
	hotCount int
	// hasUnowned is set if a shard has no owner.
	hasUnowned bool
	// hasUnknown is set if the condition of a target is not known.
	hasUnknown bool
}

// buildView collects the data on a service. Targets of unknown condition and
// the shards that they own are left out, so that their assignments do not
// change.
func (p *Planner) buildView(in Input, service *config.Service, conditions []condition) *serviceView {
	v := &serviceView{groups: map[string]*config.Group{}}
	unreported := map[string]bool{}
	loads := map[shard.ID]float64{}
	keys := map[shard.ID][]balance.Key{}
	for i, target := range service.Targets() {
		if !conditions[i].known {
			unreported[target.ID().Name] = true
			v.hasUnknown = true
			continue
		}
		v.targets = append(v.targets, balance.Target{
			Name: target.ID().Name, Slots: float64(target.Slots()), State: conditions[i].state,
		})
		p.addLoads(in.State, target.ID(), loads, keys)
	}
	for _, group := range service.Groups() {
		v.groups[group.Name()] = group
	}
	for _, id := range fold.RangeShards(service) {
		v.addShard(in.State, id, unreported, loads, keys)
		for _, key := range in.State.HotKeys(id) {
			hot := id
			hot.Key = key
			v.hotCount++
			v.addShard(in.State, hot, unreported, loads, keys)
		}
	}
	return v
}

// condition is the state of a target, if it is known.
type condition struct {
	state balance.State
	known bool
}

// targetConditions returns the conditions of the targets of a service, in the
// order of service.Targets.
func (p *Planner) targetConditions(in Input, service *config.Service) []condition {
	list := make([]condition, 0, len(service.Targets()))
	for _, target := range service.Targets() {
		list = append(list, p.condition(in, target))
	}
	return list
}

// condition returns the condition of a target according to the configuration,
// the log and the latest report of its leaseholder. Reports of other terms and
// those of maxReportAge or older are not used; the condition is then only
// known if the configuration or the log drains the target.
func (p *Planner) condition(in Input, target *config.Target) condition {
	logged := in.State.Target(target.ID())
	latest, ok := p.reports[target.ID()]
	fresh := ok && latest.Term == logged.Term && in.Now.Sub(latest.receivedAt) < maxReportAge
	switch {
	case fresh && latest.Lost:
		return condition{balance.Lost, true}
	case target.Drain() || logged.Drain || fresh && latest.Draining:
		return condition{balance.Draining, true}
	case fresh && latest.Alive && latest.Cold:
		return condition{balance.Cold, true}
	case fresh && latest.Alive:
		return condition{balance.Ready, true}
	}
	return condition{}
}

// serviceRound is the input of the latest round of a service.
type serviceRound struct {
	next       uint64
	conditions []condition
	plannedAt  time.Time
	// idle is set if the round proposed nothing and no shard was without an
	// owner.
	idle bool
}

// canSkip reports whether planning a service can be skipped: the latest round
// was idle and less than idlePlanInterval ago, and nothing but loads can have
// changed since.
func (p *Planner) canSkip(in Input, service *config.Service, conditions []condition) bool {
	last := p.lastRounds[service.Name()]
	return last.idle && last.next == in.State.Next() && in.Now.Sub(last.plannedAt) < idlePlanInterval &&
		slices.Equal(last.conditions, conditions)
}

// addLoads adds the loads that the leaseholder of a target measured.
func (p *Planner) addLoads(state *fold.State, id record.Target, loads map[shard.ID]float64, keys map[shard.ID][]balance.Key) {
	latest := p.reports[id]
	for _, load := range latest.Shards {
		loads[load.Shard] = max(loads[load.Shard], load.Load)
	}
	if latest.receivedAt.Sub(latest.termSince) < loadMeasuringTime {
		for _, load := range latest.predecessorLoads {
			loads[load.Shard] = max(loads[load.Shard], load.Load)
		}
	}
	for _, key := range latest.Hot {
		keyShard, _, ok := state.Locate(id.Service, key.Key)
		if ok && keyShard.Key == "" {
			keys[keyShard] = append(keys[keyShard], balance.Key{Name: key.Key, Load: key.Load})
		}
	}
}

func (v *serviceView) addShard(state *fold.State, id shard.ID, unreported map[string]bool, loads map[shard.ID]float64, keys map[shard.ID][]balance.Key) {
	owned := state.Shard(id)
	if len(owned.Former) > 0 {
		v.movingCount++
	}
	v.hasUnowned = v.hasUnowned || owned.Target == ""
	if unreported[owned.Target] {
		return
	}
	v.shards = append(v.shards, balance.Shard{ID: id, Target: owned.Target, Load: loads[id], Hot: keys[id]})
}

func (v *serviceView) balanceInput(service *config.Service) balance.Input {
	weights := service.Weights()
	return balance.Input{
		OverloadFloor: overloadFloor,
		Shards:        v.shards, Targets: v.targets, MaxMoves: service.MaxMoves(), MovesInProgress: v.movingCount,
		Weights: balance.Weights{
			Unavailable: weights.Unavailable(), Churn: weights.Churn(), Imbalance: weights.Imbalance(),
		},
		Eligible: func(id shard.ID, target string) bool {
			group, ok := v.groups[id.Group]
			return ok && group.Eligible(target)
		},
	}
}

// mergeOps returns at most one operation that merges the shard of a hot key
// back into its range shard: the hot key has had no load for mergeDelay, and
// both shards are settled on the same target.
func (p *Planner) mergeOps(in Input, v *serviceView) []record.Op {
	for _, item := range v.shards {
		if item.ID.Key == "" {
			continue
		}
		if item.Load > 0 {
			delete(p.idleSince, item.ID)
			continue
		}
		since, ok := p.idleSince[item.ID]
		if !ok {
			p.idleSince[item.ID] = in.Now
			continue
		}
		parent := in.State.Shard(item.ID.Parent())
		owned := in.State.Shard(item.ID)
		sameTarget := parent.Target == owned.Target && len(parent.Former) == 0 && len(owned.Former) == 0
		if sameTarget && in.Now.Sub(since) >= mergeDelay {
			delete(p.idleSince, item.ID)
			return []record.Op{{Merge: &record.Merge{Shard: item.ID, Expect: owned.Epoch}}}
		}
	}
	return nil
}
