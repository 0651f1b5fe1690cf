package balance

import (
	"math"
	"slices"
)

// Rendezvous assigns each shard to the eligible target with the highest
// weighted rendezvous hash, whatever the loads are. It is a baseline.
func Rendezvous(in Input) Decision {
	return newLedger(in).assign(func(ranked []*bin, _ *Shard) *bin { return ranked[0] })
}

// BoundedLoad assigns each shard to the first target in the order of their
// rendezvous hashes that stays within Bound times the mean load, which is
// consistent hashing with bounded loads. It is a baseline.
func BoundedLoad(in Input) Decision {
	book := newLedger(in)
	limit := book.mean() * OverloadRatio
	loads := map[*bin]float64{}
	return book.assign(func(ranked []*bin, item *Shard) *bin {
		chosen := ranked[0]
		for _, b := range ranked {
			if loads[b]+item.Load <= limit*b.capacity {
				chosen = b
				break
			}
		}
		loads[chosen] += item.Load
		return chosen
	})
}

// assign lets pick choose anew for every shard and returns the differences.
func (l *ledger) assign(pick func(ranked []*bin, item *Shard) *bin) Decision {
	var decision Decision
	for _, item := range l.shards {
		ranked := l.rank(item)
		if len(ranked) == 0 {
			decision.Unplaceable = append(decision.Unplaceable, item.ID)
			continue
		}
		to := pick(ranked, item)
		if to.target.Name == item.Target {
			continue
		}
		why := ReasonImbalance
		if l.homeOf[item.ID] == nil {
			why = l.whyOrphan(item)
		}
		l.move(&decision, item, to, why)
	}
	return decision
}

// rank lists the usable eligible targets by falling weighted hash.
func (l *ledger) rank(item *Shard) []*bin {
	var ranked []*bin
	scores := map[*bin]float64{}
	for _, b := range l.bins {
		if b.usable() && l.eligible(item, b) {
			ranked = append(ranked, b)
			scores[b] = score(affinity(item.ID, b.target.Name), b.capacity)
		}
	}
	slices.SortFunc(ranked, func(a, b *bin) int {
		if scores[a] > scores[b] {
			return -1
		}
		return 1
	})
	return ranked
}

// score weighs a hash by capacity, so that a target's part of the shards is
// its part of the capacity.
func score(hash uint64, capacity float64) float64 {
	unit := (float64(hash>>11) + 0.5) / (1 << 53)
	return -capacity / math.Log(unit)
}
