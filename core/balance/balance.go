// Package balance decides which target owns which shard. Its policies are
// pure functions of what is measured; ties are broken by rendezvous hashing,
// so every host that plans from the same input plans the same.
package balance

import (
	"cmp"
	"slices"

	"pineturn/core/shard"
)

// State says what a target can be used for.
type State uint8

// The states of a target.
const (
	// Ready targets take shards in full.
	Ready State = iota
	// Cold targets take shards by small steps.
	Cold
	// Draining targets are emptied and take no shards.
	Draining
	// Lost targets own nothing that can be served; their shards go elsewhere
	// at once.
	Lost
)

// Target is a target of the service as the planner knows it.
type Target struct {
	Name string
	// Capacity is the number of slots.
	Capacity float64
	State    State
}

// Key is a key with a measured load of its own.
type Key struct {
	Name string
	Load float64
}

// Shard is a shard of the service with its measured load.
type Shard struct {
	ID shard.ID
	// Target is the present owner, empty without one.
	Target string
	// Load is a moving average in any unit that all shards share.
	Load float64
	// Keys is about how many keys the shard has in use; 0 when not known.
	Keys float64
	// Hot lists the hottest keys of a range shard, with their part of Load.
	Hot []Key
}

// Weights rank what the plan minimises; a larger one counts more.
type Weights struct {
	Unavailable float64
	Churn       float64
	Imbalance   float64
}

// Input is what a plan is made from. It covers one service.
type Input struct {
	Shards  []Shard
	Targets []Target
	// Eligible reports whether a target may own a shard; nil means any may.
	Eligible func(id shard.ID, target string) bool
	Weights  Weights
	// OverloadFloor is the load for each unit of capacity up to which a target is never
	// taken as overloaded: uneven loads are noise there, and cost nothing.
	OverloadFloor float64
	// MaxMoves bounds how many shards change owner at once by choice.
	MaxMoves int
	// MovesInProgress is how many such moves have begun and not ended.
	MovesInProgress int
}

// Move gives a shard to another target. From is empty for a shard that had
// no owner.
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

// Split makes a hot key a shard of its own on the same target.
type Split struct {
	Shard shard.ID
	Load  float64
}

// Decision is what a policy wants changed.
type Decision struct {
	Moves  []Move
	Splits []Split
	// Unplaceable lists the shards that no usable target may own.
	Unplaceable []shard.ID
}

// Plan is pineturn's policy. In this order: shards without a usable owner
// are placed at once; draining targets are emptied; and when the most loaded
// target exceeds Bound times the mean, hot keys are split off and the fewest
// shards are moved that bring it down, each only if the gain exceeds its cost.
// A plan that replaces lost owners moves no other shard by choice.
func Plan(in Input) Decision {
	book := newLedger(in)
	var decision Decision
	replaced := book.place(&decision)
	budget := in.MaxMoves - in.MovesInProgress
	budget -= book.drain(&decision, budget)
	if !replaced {
		book.level(&decision, budget)
	}
	return decision
}

// byLoad orders shards by falling load, then by id.
func byLoad(shards []*Shard) {
	slices.SortFunc(shards, func(a, b *Shard) int {
		if order := cmp.Compare(b.Load, a.Load); order != 0 {
			return order
		}
		return compareShards(a, b)
	})
}
