package balance

import (
	"math"
	"slices"
)

// Rendezvous assigns each shard to the eligible target with the highest weighted
// rendezvous hash, regardless of load. It is a baseline for comparison with Plan.
func Rendezvous(in Input) Decision {
	return newAssignment(in).assign(func(ranked []*targetLoad, _ *Shard) *targetLoad { return ranked[0] })
}

// BoundedLoad implements consistent hashing with bounded loads: it assigns each
// shard to the first target, by decreasing rendezvous hash, whose utilization
// stays within OverloadRatio times the mean. It is a baseline for comparison with
// Plan.
func BoundedLoad(in Input) Decision {
	as := newAssignment(in)
	limit := as.meanUtilization() * OverloadRatio
	loads := map[*targetLoad]float64{}
	return as.assign(func(ranked []*targetLoad, item *Shard) *targetLoad {
		chosen := ranked[0]
		for _, t := range ranked {
			if loads[t]+item.Load <= limit*t.slots {
				chosen = t
				break
			}
		}
		loads[chosen] += item.Load
		return chosen
	})
}

// assign chooses a target for every shard by calling pick with the eligible
// targets, and returns the changes to the current assignment.
func (as *assignment) assign(pick func(ranked []*targetLoad, item *Shard) *targetLoad) Decision {
	var decision Decision
	for _, item := range as.shards {
		ranked := as.rank(item)
		if len(ranked) == 0 {
			decision.Unplaceable = append(decision.Unplaceable, item.ID)
			continue
		}
		to := pick(ranked, item)
		if to.target.Name == item.Target {
			continue
		}
		reason := ReasonImbalance
		if as.ownerOf[item.ID] == nil {
			reason = as.placementReason(item)
		}
		as.move(&decision, item, to, reason)
	}
	return decision
}

// rank returns the usable, eligible targets by decreasing weighted hash.
func (as *assignment) rank(item *Shard) []*targetLoad {
	var ranked []*targetLoad
	scores := map[*targetLoad]float64{}
	for _, t := range as.targets {
		if t.usable() && as.eligible(item, t) {
			ranked = append(ranked, t)
			scores[t] = score(affinity(item.ID, t.target.Name), t.slots)
		}
	}
	slices.SortFunc(ranked, func(a, b *targetLoad) int {
		if scores[a] > scores[b] {
			return -1
		}
		return 1
	})
	return ranked
}

// score weights a hash by capacity, so that the expected fraction of the shards
// that a target gets is its fraction of the capacity.
func score(hash uint64, slots float64) float64 {
	unit := (float64(hash>>11) + 0.5) / (1 << 53)
	return -slots / math.Log(unit)
}
