// Package balance decides which target owns which shard. Its policies are pure
// functions of the measured loads and break ties by rendezvous hashing, so hosts
// with the same input compute the same plan.
package balance

import (
	"cmp"
	"slices"

	"pineturn/core/shard"
)

// State determines which moves to and from a target are planned.
type State uint8

// The states of a target.
const (
	// Ready targets receive shards without restriction.
	Ready State = iota
	// Cold targets count with fewer slots and receive few shards per plan.
	Cold
	// Draining targets receive no shards, and their shards are moved off.
	Draining
	// Lost targets can't serve requests. Their shards are reassigned at once.
	Lost
)

// Target is a target of the service.
type Target struct {
	Name string
	// Slots is the number of request slots.
	Slots float64
	State State
}

// Key is a hot key with its measured load.
type Key struct {
	Name string
	Load float64
}

// Shard is a shard of the service with its measured load.
type Shard struct {
	ID shard.ID
	// Target is the current owner, or empty.
	Target string
	// Load is the moving average of the number of slots that the shard's requests
	// occupy.
	Load float64
	// Keys is the approximate number of keys in use, or 0 if unknown.
	Keys float64
	// Hot lists the hottest keys of a range shard. Their loads are part of Load.
	Hot []Key
}

// Weights are the relative weights of the load that waits during handovers, of
// the keys that change owner, and of the imbalance, all of which a plan
// minimizes.
type Weights struct {
	Unavailable float64
	Churn       float64
	Imbalance   float64
}

// Input is the input of a plan for one service.
type Input struct {
	Shards  []Shard
	Targets []Target
	// Eligible reports whether a target may own a shard. If it is nil, all
	// targets may own all shards.
	Eligible func(id shard.ID, target string) bool
	Weights  Weights
	// OverloadFloor is the load per slot up to which a target is never
	// considered overloaded. Below it, imbalance is noise and has no cost.
	OverloadFloor float64
	// MaxMoves is the maximum number of shards that change owner at the same
	// time because of a drain or an imbalance.
	MaxMoves int
	// MovesInProgress is the number of moves that have begun and not ended. It
	// counts against MaxMoves.
	MovesInProgress int
}

// Move assigns a shard to another target. From is empty if the shard had no
// owner.
type Move struct {
	Shard  shard.ID
	From   string
	To     string
	Reason string
}

// The reasons of moves.
const (
	ReasonUnassigned = "unassigned"
	ReasonTargetLost = "target lost"
	ReasonIneligible = "not eligible"
	ReasonDraining   = "draining"
	ReasonImbalance  = "imbalance"
)

// Split creates a separate shard for a hot key on the same target.
type Split struct {
	Shard shard.ID
	Load  float64
}

// Decision lists the changes that a policy proposes.
type Decision struct {
	Moves  []Move
	Splits []Split
	// Unplaceable lists the shards that have to move and for which no usable
	// target is eligible.
	Unplaceable []shard.ID
}

// Plan is the policy of pineturn. It first assigns shards without a usable owner
// at once, then moves shards off draining targets. Finally, if the utilization of
// a target exceeds OverloadRatio times the mean, it splits off hot keys and moves
// the fewest shards that bring the utilization down, each only if its gain exceeds
// its cost. A plan that replaces owners does not rebalance.
func Plan(in Input) Decision {
	as := newAssignment(in)
	var decision Decision
	reassigned := as.place(&decision)
	movesLeft := in.MaxMoves - in.MovesInProgress
	movesLeft -= as.drain(&decision, movesLeft)
	if !reassigned {
		as.rebalance(&decision, movesLeft)
	}
	return decision
}

// sortByLoad sorts shards by decreasing load, then by id.
func sortByLoad(shards []*Shard) {
	slices.SortFunc(shards, func(a, b *Shard) int {
		if order := cmp.Compare(b.Load, a.Load); order != 0 {
			return order
		}
		return compareShards(a, b)
	})
}
