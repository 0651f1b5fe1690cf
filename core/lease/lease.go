// Package lease decides what the leaseholder of a target may do: which shards
// it grants and until when, when a shard has certainly left a target, and
// whether a request may be sent.
//
// A grant lasts no longer than Life after the latest proof that this host is
// fresh: a read of the log's end, or the word of a majority of the members,
// counted from when the question was sent. A successor waits that long after
// a majority has seen its takeover; from then on no grant of an earlier
// leaseholder is in force and none can follow.
package lease

import (
	"sort"
	"sync"
	"time"

	"pineturn/core/config"
	"pineturn/core/fold"
	"pineturn/core/hotkey"
	"pineturn/core/member"
	"pineturn/core/record"
	"pineturn/core/shard"
)

// Table holds the targets that this host is the leaseholder of. It is safe
// for concurrent use; its lock is taken after those of the folded state and
// of the member tracker.
type Table struct {
	mu      sync.Mutex
	self    record.Incarnation
	options Options
	next    uint64
	targets map[record.Target]*held
}

// held is one target that this host is the leaseholder of.
type held struct {
	id record.Target
	// term and level are the leaseholder's place in the log, token stands
	// for both.
	term  uint64
	level int
	first uint64
	token uint64
	// born is the token with which this host began to lead without a break;
	// orders and requests since then are this leaseholder's.
	born        uint64
	since       uint64
	deputies    bool
	fresh       time.Time
	address     string
	checked     bool
	longRunning bool

	// guard: earlier leaseholders' grants have lapsed.
	guarded bool
	seen    time.Time

	// what the target said last.
	incarnation string
	clockUs     int64
	clockSent   time.Time
	clockAt     time.Time
	health      string
	// drained is set while the log or the settings take the target out of
	// use, leaving since when that or the target itself says so.
	drained  bool
	leaving  time.Time
	answered time.Time
	created  time.Time
	trusted  bool

	// sets of shards: wanted by the log, accepted by the target, and sent
	// without an answer.
	basis   basis
	wanted  map[shard.ID]entry
	pending map[shard.ID]*handover
	acked   *set
	unacked []*set
	version uint64
	busy    bool
	ordered time.Time
	dirty   bool

	// requests in flight, and the time they took since the last report.
	active     map[shard.ID]int
	activeKeys map[keyOf]int
	spent      map[shard.ID]time.Duration
	load       map[shard.ID]float64
	measured   time.Time
	hot        *hotkey.Sketch
}

type keyOf struct {
	shard shard.ID
	key   string
}

// basis is what the wanted shards of a target were computed from.
type basis struct {
	// changed is the log position of the latest change of the target's shards.
	changed uint64
	// placed reports that the target has an address.
	placed bool
}

// entry is one shard of a set.
type entry struct {
	epoch  uint64
	except []string
}

// set is what an order grants to a target.
type set struct {
	version uint64
	shards  map[shard.ID]entry
	// until is when the target may lapse at the earliest, late when it has
	// lapsed at the latest, by this host's clock.
	until time.Time
	late  time.Time
}

// handover is a shard whose former owners are not all known to have let go.
type handover struct {
	epoch   uint64
	except  []string
	former  map[string]bool
	asked   time.Time
	settled time.Time
}

// New returns an empty table for the host self.
func New(self record.Incarnation, options Options) *Table {
	return &Table{self: self, options: options.withDefaults(), targets: map[record.Target]*held{}}
}

// Life is how long a grant lasts after the latest proof of freshness.
func (t *Table) Life() time.Duration { return t.options.Life }

// Sync brings the table in line with the folded state at now.
func (t *Table) Sync(state *fold.State, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.next = state.Next()
	for id, target := range state.Targets() {
		h := t.targets[id]
		switch {
		case h != nil && h.level > 0 && h.term == target.Term:
		case target.Holder != t.self:
			delete(t.targets, id)
			continue
		case h != nil && h.level == 0 && h.first == target.First:
			h.rename(target)
		default:
			h = newHeld(id, target, 0, now)
			t.targets[id] = h
		}
		settings, ok := state.Config().Target(id)
		h.configure(state.Config(), settings, ok)
		h.drained = target.Drain || ok && settings.Drain()
		h.noteLeaving(now)
	}
	t.want(state)
}

// noteLeaving keeps since when the target is known to be leaving.
func (h *held) noteLeaving(now time.Time) {
	switch {
	case !h.drained && h.health != HealthDraining:
		h.leaving = time.Time{}
	case h.leaving.IsZero():
		h.leaving = now
	}
}

// HealthDraining and HealthCold are words by which targets state their health.
const (
	HealthDraining = "draining"
	HealthCold     = "cold"
)

// ActivateDeputy makes this host the leaseholder of a target as a deputy: a
// majority has promised at now to confirm no lower level of the term.
func (t *Table) ActivateDeputy(state *fold.State, id record.Target, level int, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := newHeld(id, state.Target(id), level, now)
	h.seen = now
	t.targets[id] = h
	settings, ok := state.Config().Target(id)
	h.configure(state.Config(), settings, ok)
	t.want(state)
}

// rename moves an unbroken leaseholder to the latest of its terms. What it
// granted itself it still knows; but a deputy of the term before may have
// granted as well, so that the guard is to be passed again.
func (h *held) rename(target fold.Target) {
	if h.term == target.Term {
		return
	}
	if h.deputies {
		h.guarded, h.seen, h.since = false, time.Time{}, target.Since
	}
	h.term, h.token, h.deputies = target.Term, record.Token(target.Term, 0), len(target.Deputies) > 0
	h.dirty = true
}

func newHeld(id record.Target, target fold.Target, level int, now time.Time) *held {
	token := record.Token(target.Term, level)
	return &held{
		id: id, term: target.Term, level: level, first: target.First, token: token, born: token, since: target.Since,
		deputies: len(target.Deputies) > 0, guarded: target.Term == 1 && level == 0, created: now, version: token << 32, dirty: true,
		wanted: map[shard.ID]entry{}, pending: map[shard.ID]*handover{},
		active: map[shard.ID]int{}, activeKeys: map[keyOf]int{}, spent: map[shard.ID]time.Duration{},
		load: map[shard.ID]float64{}, hot: hotkey.New(sketchKeys, loadHalfLife),
	}
}

// configure takes the target's settings; one that the configuration lacks
// gets no more orders, and its grants lapse.
func (h *held) configure(conf *config.Config, settings *config.Target, ok bool) {
	if !ok {
		h.address = ""
		return
	}
	if h.address != settings.Address() {
		h.address = settings.Address()
		h.trusted = false
	}
	h.checked = settings.Checked()
	if service, found := conf.Service(h.id.Service); found {
		h.longRunning = service.LongRunning()
	}
}

// want computes from the log which shards each held target is to own. Only
// targets of which something has changed since the last time are looked at.
func (t *Table) want(state *fold.State) {
	for _, h := range t.targets {
		shards, changed := state.ShardsOf(h.id)
		basis := basis{changed: changed, placed: h.address != ""}
		if basis == h.basis {
			continue
		}
		h.basis = basis
		if !basis.placed {
			shards = nil
		}
		h.replaceWanted(h.wantedOf(shards, state), state)
	}
}

// wantedOf lists those of shards that the target is to be granted now.
func (h *held) wantedOf(shards map[shard.ID]struct{}, state *fold.State) map[shard.ID]entry {
	wanted := make(map[shard.ID]entry, len(shards))
	for id := range shards {
		owned := state.Shard(id)
		item := entry{epoch: owned.Epoch}
		if id.Key == "" {
			item.except = state.HotKeys(id)
		}
		if h.handOver(id, owned, item.except) {
			wanted[id] = item
		}
	}
	return wanted
}

// handOver reports whether every former owner of a shard has let go, and
// keeps track of those that have not.
func (h *held) handOver(id shard.ID, owned fold.Shard, except []string) bool {
	move := h.pending[id]
	if len(owned.Former) == 0 {
		delete(h.pending, id)
		return true
	}
	if move == nil || move.epoch != owned.Epoch {
		move = &handover{epoch: owned.Epoch, former: map[string]bool{}}
		for _, name := range owned.Former {
			move.former[name] = true
		}
		h.pending[id] = move
	}
	move.except = except
	return len(move.former) == 0
}

func (h *held) replaceWanted(wanted map[shard.ID]entry, state *fold.State) {
	if !equal(h.wanted, wanted) {
		h.dirty = true
	}
	h.wanted = wanted
	for id := range h.pending {
		owned := state.Shard(id)
		if owned.Target != h.id.Name || owned.Epoch != h.pending[id].epoch {
			delete(h.pending, id)
		}
	}
}

func equal(left, right map[shard.ID]entry) bool {
	if len(left) != len(right) {
		return false
	}
	for id, item := range left {
		other, ok := right[id]
		if !ok || item.epoch != other.epoch || len(item.except) != len(other.except) {
			return false
		}
		for i, key := range item.except {
			if other.except[i] != key {
				return false
			}
		}
	}
	return true
}

// sorted lists the held targets in order, so that equal tables act alike.
func (t *Table) sorted() []*held {
	list := make([]*held, 0, len(t.targets))
	for _, h := range t.targets {
		list = append(list, h)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].id.Less(list[j].id) })
	return list
}

// UpdateGuards notes, for each takeover, when a majority has seen it, and passes
// those for which every earlier grant has lapsed since.
func (t *Table) UpdateGuards(tracker *member.Tracker, members *fold.Membership, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	wait := time.Duration(float64(t.options.Life) * guardFactor)
	for _, h := range t.targets {
		if h.guarded {
			continue
		}
		if h.seen.IsZero() {
			if tracker.FoldedByMajority(members, h.since, t.next) {
				h.seen = now
			}
			continue
		}
		h.guarded = now.Sub(h.seen) >= wait
	}
}
