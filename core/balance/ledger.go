package balance

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"pineturn/core/shard"
)

// ledger is the assignment while a plan is made.
type ledger struct {
	in      Input
	bins    []*bin
	byName  map[string]*bin
	total   float64
	keys    float64
	floor   float64
	homeOf  map[shard.ID]*bin
	shards  []*Shard
	orphans []*Shard
}

// bin is a target with the shards that it would own.
type bin struct {
	target   Target
	capacity float64
	load     float64
	shards   []*Shard
	received int
	stuck    bool
}

func newLedger(in Input) *ledger {
	book := &ledger{in: in, byName: map[string]*bin{}, homeOf: map[shard.ID]*bin{}}
	for _, target := range in.Targets {
		b := &bin{target: target, capacity: max(target.Capacity, 1)}
		if target.State == Cold {
			b.capacity *= coldCapacity
		}
		book.bins = append(book.bins, b)
		book.byName[target.Name] = b
	}
	slices.SortFunc(book.bins, func(a, b *bin) int { return strings.Compare(a.target.Name, b.target.Name) })
	for i := range in.Shards {
		book.shards = append(book.shards, &in.Shards[i])
	}
	// One order for all hosts, as sums of floating point depend on it.
	slices.SortFunc(book.shards, compareShards)
	for _, item := range book.shards {
		book.enter(item)
	}
	if len(in.Shards) > 0 {
		book.floor = placeFloor * book.total / float64(len(in.Shards))
	}
	if book.floor == 0 {
		book.floor = 1
	}
	return book
}

// enter notes a shard with its present owner.
func (l *ledger) enter(item *Shard) {
	l.total += item.Load
	l.keys += item.keys()
	home, ok := l.byName[item.Target]
	if !ok || home.target.State == Lost || !l.eligible(item, home) {
		l.orphans = append(l.orphans, item)
		return
	}
	home.add(item)
	l.homeOf[item.ID] = home
}

// move gives a shard to another bin and notes it in the decision.
func (l *ledger) move(decision *Decision, item *Shard, to *bin, why string) {
	if from := l.homeOf[item.ID]; from != nil {
		from.remove(item)
	}
	to.add(item)
	to.received++
	l.homeOf[item.ID] = to
	decision.Moves = append(decision.Moves, Move{Shard: item.ID, From: item.Target, To: to.target.Name, Reason: why})
}

func (l *ledger) eligible(item *Shard, b *bin) bool {
	return l.in.Eligible == nil || l.in.Eligible(item.ID, b.target.Name)
}

// mean is the load for each unit of capacity, over the targets that take
// shards.
func (l *ledger) mean() float64 {
	capacity := 0.0
	for _, b := range l.bins {
		if b.usable() {
			capacity += b.capacity
		}
	}
	if capacity == 0 {
		return 0
	}
	return l.total / capacity
}

func (b *bin) add(item *Shard) {
	b.shards = append(b.shards, item)
	b.load += item.Load
}

func (b *bin) remove(item *Shard) {
	b.shards = slices.DeleteFunc(b.shards, func(other *Shard) bool { return other == item })
	b.load -= item.Load
}

// usable reports whether the target takes shards.
func (b *bin) usable() bool { return b.target.State == Ready || b.target.State == Cold }

// full reports that a cold target has had its moves of this plan.
func (b *bin) full() bool { return b.target.State == Cold && b.received >= coldMoves }

// level is the load for each unit of capacity.
func (b *bin) level() float64 { return b.load / b.capacity }

// keys is about how many keys the shard has in use.
func (s *Shard) keys() float64 {
	switch {
	case s.ID.Key != "":
		return 1
	case s.Keys > 0:
		return s.Keys
	}
	return unknownKeys
}

// affinity is the rendezvous hash of a shard and a target.
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
