package balance

import "pineturn/core/shard"

// level brings the most loaded targets under the bound: it splits hot keys
// off their shards first, and moves shards that need no split.
func (l *ledger) level(decision *Decision, budget int) {
	mean := l.mean()
	if mean == 0 || l.highest(mean*OverloadRatio) == nil {
		return
	}
	split := l.split(decision, mean)
	for budget > 0 {
		from := l.highest(mean * StopRatio)
		if from == nil {
			return
		}
		choice, ok := l.best(from, mean, split)
		if !ok {
			from.stuck = true
			continue
		}
		l.move(decision, choice.item, choice.to, ReasonImbalance)
		budget--
	}
}

// highest returns the most loaded target above limit, and not quiet, that is
// not stuck.
func (l *ledger) highest(limit float64) *bin {
	var most *bin
	limit = max(limit, l.in.OverloadFloor)
	for _, b := range l.bins {
		if b.stuck || !b.usable() || b.level() <= limit {
			continue
		}
		if most == nil || b.level() > most.level() {
			most = b
		}
	}
	return most
}

// split proposes to split hot keys off the shards of overloaded targets. It
// returns the shards concerned: what is left of them is not known before the
// split has taken effect.
func (l *ledger) split(decision *Decision, mean float64) map[*Shard]bool {
	touched := map[*Shard]bool{}
	for _, b := range l.bins {
		if !b.usable() || b.level() <= max(mean*OverloadRatio, l.in.OverloadFloor) {
			continue
		}
		for _, item := range b.shards {
			l.splitShard(decision, item, mean*b.capacity*splitShare, touched)
		}
	}
	return touched
}

func (l *ledger) splitShard(decision *Decision, item *Shard, least float64, touched map[*Shard]bool) {
	if item.ID.Key != "" {
		return
	}
	for _, key := range item.Hot {
		if key.Load < least || len(decision.Splits) >= maxSplits {
			continue
		}
		id := shard.ID{Service: item.ID.Service, Group: item.ID.Group, Index: item.ID.Index, Key: key.Name}
		decision.Splits = append(decision.Splits, Split{Shard: id, Load: key.Load})
		touched[item] = true
	}
}

// choice is a possible move with what it gains over its cost.
type choice struct {
	item *Shard
	to   *bin
	net  float64
}

// best returns the move off a target that gains most over its cost.
func (l *ledger) best(from *bin, mean float64, skip map[*Shard]bool) (choice, bool) {
	var found choice
	for _, item := range from.shards {
		if item.Load <= 0 || skip[item] {
			continue
		}
		cost := l.cost(item)
		for _, to := range l.bins {
			if to == from || !to.usable() || to.full() || !l.eligible(item, to) {
				continue
			}
			net := l.in.Weights.Imbalance*l.gain(item, from, to, mean) - cost
			next := choice{item: item, to: to, net: net}
			if net > 0 && next.better(found) {
				found = next
			}
		}
	}
	return found, found.item != nil
}

func (c choice) better(than choice) bool {
	switch {
	case than.item == nil || c.net > than.net:
		return true
	case c.net < than.net:
		return false
	case c.item != than.item:
		return c.item.ID.Less(than.item.ID)
	case c.to.level() != than.to.level():
		return c.to.level() < than.to.level()
	}
	return closer(c.item, c.to, than.to)
}

// gain is how much less load stands above Settled times the mean after the
// move, as a part of all load. It is 0 when the receiver would then be the
// higher of the two.
func (l *ledger) gain(item *Shard, from, to *bin, mean float64) float64 {
	before, after := from.level(), (to.load+item.Load)/to.capacity
	if after >= before {
		return 0
	}
	excess := func(load, capacity float64) float64 { return max(0, load-capacity*mean*StopRatio) }
	less := excess(from.load, from.capacity) - excess(from.load-item.Load, from.capacity)
	more := excess(to.load+item.Load, to.capacity) - excess(to.load, to.capacity)
	return (less - more) / l.total
}

// cost is what a move costs, on the scale of gain: the keys that change
// owner and the load that waits for the handover.
func (l *ledger) cost(item *Shard) float64 {
	churn := l.in.Weights.Churn * churnCost * item.keys() / l.keys
	waiting := l.in.Weights.Unavailable * handoverCost * item.Load / l.total
	return churn + waiting
}
