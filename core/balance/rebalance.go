package balance

import "pineturn/core/shard"

// rebalance reduces the load of the most utilized targets if one exceeds
// OverloadRatio. It splits hot keys off the shards of overloaded targets, and
// moves up to movesLeft other shards until no target exceeds StopRatio.
func (as *assignment) rebalance(decision *Decision, movesLeft int) {
	mean := as.meanUtilization()
	if mean == 0 || as.mostUtilized(mean*OverloadRatio) == nil {
		return
	}
	splitShards := as.splitHotKeys(decision, mean)
	for movesLeft > 0 {
		from := as.mostUtilized(mean * StopRatio)
		if from == nil {
			return
		}
		best, ok := as.bestMove(from, mean, splitShards)
		if !ok {
			from.skipped = true
			continue
		}
		as.move(decision, best.item, best.to, ReasonImbalance)
		movesLeft--
	}
}

// mostUtilized returns the target with the highest utilization above limit and
// above OverloadFloor, or nil. It ignores targets that are not usable or were
// skipped.
func (as *assignment) mostUtilized(limit float64) *targetLoad {
	var most *targetLoad
	limit = max(limit, as.in.OverloadFloor)
	for _, t := range as.targets {
		if t.skipped || !t.usable() || t.utilization() <= limit {
			continue
		}
		if most == nil || t.utilization() > most.utilization() {
			most = t
		}
	}
	return most
}

// splitHotKeys adds splits of the hot keys on overloaded targets to the
// decision. It returns the shards that are split, which must not be moved: their
// remaining load is unknown until the split has taken effect.
func (as *assignment) splitHotKeys(decision *Decision, mean float64) map[*Shard]bool {
	splitShards := map[*Shard]bool{}
	for _, t := range as.targets {
		if !t.usable() || t.utilization() <= max(mean*OverloadRatio, as.in.OverloadFloor) {
			continue
		}
		for _, item := range t.shards {
			as.splitShard(decision, item, mean*t.slots*splitLoadFraction, splitShards)
		}
	}
	return splitShards
}

func (as *assignment) splitShard(decision *Decision, item *Shard, minLoad float64, splitShards map[*Shard]bool) {
	if item.ID.Key != "" {
		return
	}
	for _, key := range item.Hot {
		if key.Load < minLoad || len(decision.Splits) >= maxSplits {
			continue
		}
		id := shard.ID{Service: item.ID.Service, Group: item.ID.Group, Index: item.ID.Index, Key: key.Name}
		decision.Splits = append(decision.Splits, Split{Shard: id, Load: key.Load})
		splitShards[item] = true
	}
}

// candidateMove is a possible move of a shard. Its net value is the weighted
// gain minus the cost.
type candidateMove struct {
	item *Shard
	to   *targetLoad
	net  float64
}

// bestMove returns the move off a target with the highest positive net value,
// except for the shards in skip. It returns false if there is none.
func (as *assignment) bestMove(from *targetLoad, mean float64, skip map[*Shard]bool) (candidateMove, bool) {
	var best candidateMove
	for _, item := range from.shards {
		if item.Load <= 0 || skip[item] {
			continue
		}
		cost := as.cost(item)
		for _, to := range as.targets {
			if to == from || !to.usable() || to.atMoveLimit() || !as.eligible(item, to) {
				continue
			}
			net := as.in.Weights.Imbalance*as.gain(item, from, to, mean) - cost
			next := candidateMove{item: item, to: to, net: net}
			if net > 0 && next.betterThan(best) {
				best = next
			}
		}
	}
	return best, best.item != nil
}

func (c candidateMove) betterThan(other candidateMove) bool {
	switch {
	case other.item == nil || c.net > other.net:
		return true
	case c.net < other.net:
		return false
	case c.item != other.item:
		return c.item.ID.Less(other.item.ID)
	case c.to.utilization() != other.to.utilization():
		return c.to.utilization() < other.to.utilization()
	}
	return hasHigherAffinity(c.item, c.to, other.to)
}

// gain returns by how much a move reduces the load in excess of StopRatio times
// the mean utilization, as a fraction of the total load. It is 0 if the
// utilization of the receiver would reach that of the source before the move.
func (as *assignment) gain(item *Shard, from, to *targetLoad, mean float64) float64 {
	before, after := from.utilization(), (to.load+item.Load)/to.slots
	if after >= before {
		return 0
	}
	excess := func(load, slots float64) float64 { return max(0, load-slots*mean*StopRatio) }
	less := excess(from.load, from.slots) - excess(from.load-item.Load, from.slots)
	more := excess(to.load+item.Load, to.slots) - excess(to.load, to.slots)
	return (less - more) / as.totalLoad
}

// cost returns the weighted cost of a move on the scale of gain. It consists of
// the keys that change owner and the load that waits during the handover.
func (as *assignment) cost(item *Shard) float64 {
	churn := as.in.Weights.Churn * churnCost * item.keys() / as.totalKeys
	waiting := as.in.Weights.Unavailable * handoverCost * item.Load / as.totalLoad
	return churn + waiting
}
