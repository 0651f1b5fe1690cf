package balance

// place gives each shard without a usable owner to the target that it loads
// least, heaviest shards first, and reports whether any owner was lost.
func (l *ledger) place(decision *Decision) bool {
	replaced := false
	byLoad(l.orphans)
	counts := l.placedLoads()
	for _, item := range l.orphans {
		to := l.least(item, counts)
		if to == nil {
			decision.Unplaceable = append(decision.Unplaceable, item.ID)
			continue
		}
		counts[to] += l.placedLoad(item)
		why := l.whyOrphan(item)
		replaced = replaced || why != ReasonUnassigned
		l.move(decision, item, to, why)
	}
	return replaced
}

// placedLoad is a shard's load with a floor, so that idle shards spread too.
func (l *ledger) placedLoad(item *Shard) float64 { return item.Load + l.floor }

func (l *ledger) placedLoads() map[*bin]float64 {
	loads := map[*bin]float64{}
	for _, b := range l.bins {
		loads[b] = b.load + l.floor*float64(len(b.shards))
	}
	return loads
}

// least returns the usable target that would be least loaded with the shard.
func (l *ledger) least(item *Shard, loads map[*bin]float64) *bin {
	var best *bin
	lowest := 0.0
	for _, b := range l.bins {
		if !b.usable() || !l.eligible(item, b) {
			continue
		}
		after := (loads[b] + l.placedLoad(item)) / b.capacity
		if best == nil || after < lowest || after == lowest && closer(item, b, best) {
			best, lowest = b, after
		}
	}
	return best
}

// closer breaks a tie between two targets for a shard.
func closer(item *Shard, a, b *bin) bool {
	return affinity(item.ID, a.target.Name) > affinity(item.ID, b.target.Name)
}

func (l *ledger) whyOrphan(item *Shard) string {
	if item.Target == "" {
		return ReasonUnassigned
	}
	if home, ok := l.byName[item.Target]; ok && home.target.State != Lost {
		return ReasonIneligible
	}
	return ReasonTargetLost
}

// drain moves up to budget shards off the draining targets, heaviest first,
// and returns how many it moved.
func (l *ledger) drain(decision *Decision, budget int) int {
	moved := 0
	for _, item := range l.leaving() {
		if moved >= budget {
			break
		}
		to := l.refuge(item)
		if to == nil {
			decision.Unplaceable = append(decision.Unplaceable, item.ID)
			continue
		}
		l.move(decision, item, to, ReasonDraining)
		moved++
	}
	return moved
}

// leaving lists the shards on draining targets.
func (l *ledger) leaving() []*Shard {
	var items []*Shard
	for _, b := range l.bins {
		if b.target.State == Draining {
			items = append(items, b.shards...)
		}
	}
	byLoad(items)
	return items
}

// refuge is where a draining target's shard goes. A cold target takes its few
// only while another target could take the rest.
func (l *ledger) refuge(item *Shard) *bin {
	loads := l.placedLoads()
	for b := range loads {
		if b.full() && l.warmExists(item) {
			loads[b] += l.total + float64(len(l.shards))*l.floor
		}
	}
	return l.least(item, loads)
}

func (l *ledger) warmExists(item *Shard) bool {
	for _, b := range l.bins {
		if b.target.State == Ready && l.eligible(item, b) {
			return true
		}
	}
	return false
}
