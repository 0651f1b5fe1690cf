package balance

// place assigns each shard without a usable owner to the target with the lowest
// resulting utilization, in the order of decreasing load. It reports whether any
// of these shards had an owner before.
func (as *assignment) place(decision *Decision) bool {
	reassigned := false
	sortByLoad(as.unowned)
	loads := as.placementLoads()
	for _, item := range as.unowned {
		to := as.leastLoaded(item, loads)
		if to == nil {
			decision.Unplaceable = append(decision.Unplaceable, item.ID)
			continue
		}
		loads[to] += as.placementLoad(item)
		reason := as.placementReason(item)
		reassigned = reassigned || reason != ReasonUnassigned
		as.move(decision, item, to, reason)
	}
	return reassigned
}

// placementLoad returns the load of a shard plus extraLoad, so that idle shards
// are spread evenly too.
func (as *assignment) placementLoad(item *Shard) float64 { return item.Load + as.extraLoad }

func (as *assignment) placementLoads() map[*targetLoad]float64 {
	loads := map[*targetLoad]float64{}
	for _, t := range as.targets {
		loads[t] = t.load + as.extraLoad*float64(len(t.shards))
	}
	return loads
}

// leastLoaded returns the eligible target with the lowest utilization after
// receiving the shard, or nil. The loads include extraLoad.
func (as *assignment) leastLoaded(item *Shard, loads map[*targetLoad]float64) *targetLoad {
	var best *targetLoad
	lowest := 0.0
	for _, t := range as.targets {
		if !t.usable() || !as.eligible(item, t) {
			continue
		}
		after := (loads[t] + as.placementLoad(item)) / t.slots
		if best == nil || after < lowest || after == lowest && hasHigherAffinity(item, t, best) {
			best, lowest = t, after
		}
	}
	return best
}

// hasHigherAffinity reports whether a has a higher rendezvous hash than b for a
// shard. It breaks ties.
func hasHigherAffinity(item *Shard, a, b *targetLoad) bool {
	return affinity(item.ID, a.target.Name) > affinity(item.ID, b.target.Name)
}

func (as *assignment) placementReason(item *Shard) string {
	if item.Target == "" {
		return ReasonUnassigned
	}
	if owner, ok := as.byName[item.Target]; ok && owner.target.State != Lost {
		return ReasonIneligible
	}
	return ReasonTargetLost
}

// drain moves up to movesLeft shards off the draining targets, in the order of
// decreasing load, and returns the number of moves.
func (as *assignment) drain(decision *Decision, movesLeft int) int {
	moved := 0
	for _, item := range as.drainingShards() {
		if moved >= movesLeft {
			break
		}
		to := as.drainDestination(item)
		if to == nil {
			decision.Unplaceable = append(decision.Unplaceable, item.ID)
			continue
		}
		as.move(decision, item, to, ReasonDraining)
		moved++
	}
	return moved
}

// drainingShards returns the shards on draining targets by decreasing load.
func (as *assignment) drainingShards() []*Shard {
	var items []*Shard
	for _, t := range as.targets {
		if t.target.State == Draining {
			items = append(items, t.shards...)
		}
	}
	sortByLoad(items)
	return items
}

// drainDestination returns the target for a shard of a draining target, or nil.
// A cold target that has reached its move limit is chosen only if no ready
// target is eligible.
func (as *assignment) drainDestination(item *Shard) *targetLoad {
	loads := as.placementLoads()
	for t := range loads {
		if t.atMoveLimit() && as.hasReadyTarget(item) {
			loads[t] += as.totalLoad + float64(len(as.shards))*as.extraLoad
		}
	}
	return as.leastLoaded(item, loads)
}

func (as *assignment) hasReadyTarget(item *Shard) bool {
	for _, t := range as.targets {
		if t.target.State == Ready && as.eligible(item, t) {
			return true
		}
	}
	return false
}
