package balance

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"pineturn/core/shard"
)

// assignment is the assignment of shards to targets while a plan is computed.
type assignment struct {
	in        Input
	targets   []*targetLoad
	byName    map[string]*targetLoad
	totalLoad float64
	totalKeys float64
	// extraLoad is added to the load of each shard during placement.
	extraLoad float64
	ownerOf   map[shard.ID]*targetLoad
	shards    []*Shard
	// unowned lists the shards without a usable owner.
	unowned []*Shard
}

// targetLoad is a target with the shards that it owns under the plan.
type targetLoad struct {
	target Target
	// slots is the number of slots that the plan uses. It is lower than that of
	// the target if the target is cold.
	slots  float64
	load   float64
	shards []*Shard
	// received is the number of shards that the plan moves to the target.
	received int
	// skipped is set when no move off the target is worth its cost.
	skipped bool
}

func newAssignment(in Input) *assignment {
	as := &assignment{in: in, byName: map[string]*targetLoad{}, ownerOf: map[shard.ID]*targetLoad{}}
	for _, target := range in.Targets {
		t := &targetLoad{target: target, slots: max(target.Slots, 1)}
		if target.State == Cold {
			t.slots *= coldCapacityFraction
		}
		as.targets = append(as.targets, t)
		as.byName[target.Name] = t
	}
	slices.SortFunc(as.targets, func(a, b *targetLoad) int { return strings.Compare(a.target.Name, b.target.Name) })
	for i := range in.Shards {
		as.shards = append(as.shards, &in.Shards[i])
	}
	// Floating-point sums depend on the order, so it must be the same on all
	// hosts.
	slices.SortFunc(as.shards, compareShards)
	for _, item := range as.shards {
		as.addShard(item)
	}
	if len(in.Shards) > 0 {
		as.extraLoad = placementExtraFraction * as.totalLoad / float64(len(in.Shards))
	}
	if as.extraLoad == 0 {
		as.extraLoad = 1
	}
	return as
}

// addShard adds a shard to its current owner, or to the unowned shards.
func (as *assignment) addShard(item *Shard) {
	as.totalLoad += item.Load
	as.totalKeys += item.keys()
	owner, ok := as.byName[item.Target]
	if !ok || owner.target.State == Lost || !as.eligible(item, owner) {
		as.unowned = append(as.unowned, item)
		return
	}
	owner.add(item)
	as.ownerOf[item.ID] = owner
}

// move moves a shard to another target and adds the move to the decision.
func (as *assignment) move(decision *Decision, item *Shard, to *targetLoad, reason string) {
	if from := as.ownerOf[item.ID]; from != nil {
		from.remove(item)
	}
	to.add(item)
	to.received++
	as.ownerOf[item.ID] = to
	decision.Moves = append(decision.Moves, Move{Shard: item.ID, From: item.Target, To: to.target.Name, Reason: reason})
}

func (as *assignment) eligible(item *Shard, t *targetLoad) bool {
	return as.in.Eligible == nil || as.in.Eligible(item.ID, t.target.Name)
}

// meanUtilization returns the total load divided by the slots of all usable
// targets, or 0 if there are none.
func (as *assignment) meanUtilization() float64 {
	slots := 0.0
	for _, t := range as.targets {
		if t.usable() {
			slots += t.slots
		}
	}
	if slots == 0 {
		return 0
	}
	return as.totalLoad / slots
}

func (t *targetLoad) add(item *Shard) {
	t.shards = append(t.shards, item)
	t.load += item.Load
}

func (t *targetLoad) remove(item *Shard) {
	t.shards = slices.DeleteFunc(t.shards, func(other *Shard) bool { return other == item })
	t.load -= item.Load
}

// usable reports whether shards may be moved to the target.
func (t *targetLoad) usable() bool { return t.target.State == Ready || t.target.State == Cold }

// atMoveLimit reports whether the target is cold and the plan already moves
// coldMoves shards to it.
func (t *targetLoad) atMoveLimit() bool { return t.target.State == Cold && t.received >= coldMoves }

// utilization returns the load per slot.
func (t *targetLoad) utilization() float64 { return t.load / t.slots }

// keys returns the approximate number of keys in use in the shard.
func (s *Shard) keys() float64 {
	switch {
	case s.ID.Key != "":
		return 1
	case s.Keys > 0:
		return s.Keys
	}
	return assumedKeys
}

// affinity returns the rendezvous hash of a shard and a target.
func affinity(id shard.ID, target string) uint64 {
	return xxhash.Sum64String(id.String() + "\x00" + target)
}

func compareShards(a, b *Shard) int {
	switch {
	case a.ID == b.ID:
		return 0
	case a.ID.Less(b.ID):
		return -1
	}
	return 1
}
