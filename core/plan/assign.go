package plan

import (
	"sort"

	"pineturn/core/config"
	"pineturn/core/fold"
	"pineturn/core/record"
	"pineturn/core/shard"
)

// condition is what the planner takes a target to be able to do.
type condition uint8

const (
	// unknown targets keep their shards and get none.
	unknown condition = iota
	// serving targets keep and get shards.
	serving
	// leaving targets lose their shards step by step.
	leaving
	// dead targets lose their shards at once.
	dead
)

// condition judges a target by the configuration, the log and the latest
// report of its leaseholder.
func (p *Planner) condition(in Input, target *config.Target) condition {
	logged := in.State.Target(target.ID())
	known, ok := p.reports[target.ID()]
	fresh := ok && known.Term == logged.Term && in.Now.Sub(known.at) < reportAge
	switch {
	case fresh && known.Lost:
		return dead
	case target.Drain() || logged.Drain || fresh && known.Draining:
		return leaving
	case fresh && known.Alive:
		return serving
	}
	return unknown
}

// assign proposes owners for shards, service by service.
func (p *Planner) assign(in Input) []record.Op {
	var ops []record.Op
	for _, service := range in.State.Config().Services() {
		ops = append(ops, p.assignService(in, service)...)
	}
	return ops
}

// assignService moves shards that have no owner, or one that is dead, leaving
// or no longer eligible. Shards whose handover is still under way stay put
// unless their new owner died.
func (p *Planner) assignService(in Input, service *config.Service) []record.Op {
	view := newView(in.State, service)
	for _, target := range service.Targets() {
		view.conditions[target.ID().Name] = p.condition(in, target)
	}
	var ops []record.Op
	budget := service.MaxMoves() - view.moving
	for _, id := range view.ids {
		owned := in.State.Shard(id)
		group, ok := service.GroupNamed(id.Group)
		if !ok {
			continue
		}
		why := view.reason(group, owned)
		if why == "" {
			continue
		}
		if byChoice(why) && (len(owned.Former) > 0 || budget <= 0) {
			continue
		}
		chosen, found := view.choose(group, id)
		if !found {
			continue
		}
		if byChoice(why) {
			budget--
		}
		view.load[chosen]++
		ops = append(ops, record.Op{Assign: &record.Assign{Shard: id, Target: chosen, Expect: owned.Epoch, Why: why}})
	}
	return ops
}

// The reasons for which a shard is given to another target.
const (
	whyUnowned    = "no owner yet"
	whyDead       = "owner does not answer"
	whyLeaving    = "owner is leaving"
	whyIneligible = "rules exclude the owner"
)

// byChoice reports whether a move can wait for others to end.
func byChoice(why string) bool { return why == whyLeaving || why == whyIneligible }

// view is one service as a round sees it.
type view struct {
	ids        []shard.ID
	conditions map[string]condition
	load       map[string]int
	slots      map[string]int
	moving     int
}

func newView(state *fold.State, service *config.Service) *view {
	v := &view{conditions: map[string]condition{}, load: map[string]int{}, slots: map[string]int{}}
	for _, target := range service.Targets() {
		v.slots[target.ID().Name] = target.Slots()
	}
	for _, id := range fold.RangeShards(service) {
		v.add(state, id)
		for _, key := range state.HotKeys(id) {
			hot := id
			hot.Key = key
			v.add(state, hot)
		}
	}
	return v
}

func (v *view) add(state *fold.State, id shard.ID) {
	owned := state.Shard(id)
	v.ids = append(v.ids, id)
	v.load[owned.Target]++
	if len(owned.Former) > 0 {
		v.moving++
	}
}

// reason says why a shard needs another owner; empty when it does not.
func (v *view) reason(group *config.Group, owned fold.Shard) string {
	state, listed := v.conditions[owned.Target]
	switch {
	case owned.Target == "":
		return whyUnowned
	case !listed || !group.Eligible(owned.Target):
		return whyIneligible
	case state == dead:
		return whyDead
	case state == leaving:
		return whyLeaving
	}
	return ""
}

// choose picks the eligible serving target with the fewest shards for its
// slots; ties go by rendezvous hash.
func (v *view) choose(group *config.Group, id shard.ID) (string, bool) {
	var names []string
	for _, target := range group.Targets() {
		if v.conditions[target.ID().Name] == serving {
			names = append(names, target.ID().Name)
		}
	}
	if len(names) == 0 {
		return "", false
	}
	sort.Slice(names, func(i, j int) bool {
		left, right := v.fill(names[i]), v.fill(names[j])
		if left != right {
			return left < right
		}
		return rank(names[i], id) > rank(names[j], id)
	})
	return names[0], true
}

func (v *view) fill(name string) float64 { return float64(v.load[name]) / float64(v.slots[name]) }

func rank(name string, id shard.ID) uint64 {
	return weightOf(id.String(), name)
}
