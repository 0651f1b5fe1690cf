// Package lease implements the leaseholder of a target: it decides which shards
// to grant to the target and until when, when the target is guaranteed to no
// longer hold a shard, and whether a request may be sent to the target.
//
// The lease of a target is the right of one host, its leaseholder, to grant shards
// to the target and to send it requests. The log assigns it; while the log is down,
// a deputy may take it over.
//
// A grant expires at most Options.MaxGrantDuration after the latest proof of
// freshness. Such a proof is a read that reached the end of the log, or the
// confirmation of a majority of the members; its time is when the read or the
// messages were sent.
//
// After a takeover, the new leaseholder waits until a majority has folded the
// takeover, and then for Options.MaxGrantDuration extended by the clock drift. This
// wait is the guard. It ends earlier if the target rejects orders with an old
// fencing token and has accepted a grant of the new leaseholder. After it, no grant
// of an earlier leaseholder is in force and none can come into force.
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

// Table holds the state of all targets that this host is the leaseholder of (the
// held targets). It is safe for concurrent use. Its lock is acquired after the
// locks of the folded state and of the member tracker.
type Table struct {
	mu      sync.Mutex
	self    record.Incarnation
	options Options
	// next is the first offset that this host has not folded.
	next    uint64
	targets map[record.Target]*targetLease
}

// targetLease is the state of one held target.
type targetLease struct {
	id record.Target
	// term is the term of the lease in the log.
	term uint64
	// level is 0 for the leaseholder that the log names, and the rank of a deputy
	// otherwise.
	level int
	// firstTerm is the first term of this host's uninterrupted lease.
	firstTerm uint64
	// token is the fencing token that is derived from term and level.
	token uint64
	// firstToken is the fencing token at the start of this host's uninterrupted
	// lease. Orders and requests with this or a higher token belong to the lease.
	firstToken uint64
	// termOffset is the offset of the takeover record that a majority has to fold
	// before the guard can be passed.
	termOffset uint64
	// deputies is set if the term has deputies.
	deputies bool
	// freshAt is the time of the latest proof of freshness.
	freshAt time.Time
	// address is empty if the target is not in the configuration.
	address string
	// checked is set if the target rejects orders with an old fencing token.
	checked bool

	// guarded is set once all grants of earlier leaseholders have expired or are
	// rejected by the target.
	guarded bool
	// majorityFoldedAt is when a majority was first found to have folded the
	// takeover.
	majorityFoldedAt time.Time

	// incarnation is the incarnation of the target in its latest response.
	incarnation string
	// clockUs is the reading of the target's clock in its latest response, in
	// microseconds.
	clockUs int64
	// clockSentAt is when the order with that response was sent.
	clockSentAt time.Time
	// clockAt is when that response was received.
	clockAt time.Time
	// health is the health that the target reported in its latest response.
	health string
	// drainRequested is set if the log or the settings request a drain.
	drainRequested bool
	// drainingSince is when such a request, or the target's own report that it is
	// draining, was first seen. It is zero if the target is not draining.
	drainingSince time.Time
	respondedAt   time.Time
	createdAt     time.Time
	// statusCurrent is set if the target responded to the latest order and its
	// address has not changed since.
	statusCurrent bool

	// inputs is the input from which desired was computed.
	inputs desiredInputs
	// desired is the set of shards that the log assigns to the target and that no
	// former owner may still hold.
	desired   map[shard.ID]grantedShard
	handovers map[shard.ID]*handover
	// accepted is the latest set that the target has accepted.
	accepted *grantSet
	// outstanding lists the sets that were sent and have no response yet.
	outstanding []*grantSet
	// version is the version of the latest set that was sent.
	version       uint64
	orderInFlight bool
	orderedAt     time.Time
	// orderDue is set if an order is due before the next renewal.
	orderDue bool

	// requestsByShard counts the requests in flight by shard.
	requestsByShard map[shard.ID]int
	// requestsByKey counts the requests in flight by key.
	requestsByKey map[shardKey]int
	// busyTime is the time that the requests of each shard took since measuredAt.
	busyTime map[shard.ID]time.Duration
	// load is the moving average of the number of slots that the requests of each
	// shard occupy.
	load       map[shard.ID]float64
	measuredAt time.Time
	hotKeys    *hotkey.Sketch
}

type shardKey struct {
	shard shard.ID
	key   string
}

// desiredInputs is the input that the desired shards of a target were computed
// from; they are recomputed only if it changes.
type desiredInputs struct {
	// changed is the next offset after the latest change of the target's shards.
	changed    uint64
	hasAddress bool
}

// grantedShard is one shard of a set. except lists the keys of its range that have
// shards of their own.
type grantedShard struct {
	epoch  uint64
	except []string
}

// grantSet is the set of shards that an order grants to a target.
type grantSet struct {
	version uint64
	shards  map[shard.ID]grantedShard
	// earliestExpiry and latestExpiry bound the time at which the grant expires
	// at the target, by this host's clock.
	earliestExpiry time.Time
	latestExpiry   time.Time
}

// handover is the transfer of a shard to its new owner. It exists until the log
// records the shard as settled or assigns it again.
type handover struct {
	epoch  uint64
	except []string
	// unreleased is the set of former owners that may still hold the shard.
	unreleased       map[string]bool
	queriedAt        time.Time
	settleProposedAt time.Time
}

// New returns an empty table for the host self.
func New(self record.Incarnation, options Options) *Table {
	return &Table{self: self, options: options.withDefaults(), targets: map[record.Target]*targetLease{}}
}

// Sync updates the table to the folded state: it adds and removes held targets
// and applies their terms, settings and desired shards.
func (t *Table) Sync(state *fold.State, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.next = state.Next()
	for id, target := range state.Targets() {
		l := t.targets[id]
		switch {
		case l != nil && l.level > 0 && l.term == target.Term:
		case target.Leaseholder != t.self:
			delete(t.targets, id)
			continue
		case l != nil && l.level == 0 && l.firstTerm == target.FirstTerm:
			l.advanceTerm(target)
		default:
			l = newTargetLease(id, target, 0, now)
			t.targets[id] = l
		}
		settings, ok := state.Config().Target(id)
		l.applySettings(settings, ok)
		l.drainRequested = target.Drain || ok && settings.Drain()
		l.updateDraining(now)
	}
	t.updateDesired(state)
}

// updateDraining updates drainingSince after a change of drainRequested or health.
func (l *targetLease) updateDraining(now time.Time) {
	switch {
	case !l.drainRequested && l.health != HealthDraining:
		l.drainingSince = time.Time{}
	case l.drainingSince.IsZero():
		l.drainingSince = now
	}
}

// HealthDraining and HealthCold are values of the health that targets report.
// A cold target is still warming up.
const (
	HealthDraining = "draining"
	HealthCold     = "cold"
)

// ActivateDeputy makes this host the leaseholder of a target as the deputy of the
// given level. It is called at the time now at which a majority has promised not
// to confirm lower levels of the term.
func (t *Table) ActivateDeputy(state *fold.State, id record.Target, level int, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := newTargetLease(id, state.Target(id), level, now)
	l.majorityFoldedAt = now
	t.targets[id] = l
	settings, ok := state.Config().Target(id)
	l.applySettings(settings, ok)
	t.updateDesired(state)
}

// advanceTerm updates an uninterrupted lease of this host to a newer term. The
// host's own grants remain tracked. If the previous term had deputies, one of
// them may have issued grants too, so the guard has to be passed again.
func (l *targetLease) advanceTerm(target fold.Target) {
	if l.term == target.Term {
		return
	}
	if l.deputies {
		l.guarded, l.majorityFoldedAt, l.termOffset = false, time.Time{}, target.Since
	}
	l.term, l.token, l.deputies = target.Term, record.Token(target.Term, 0), len(target.Deputies) > 0
	l.orderDue = true
}

func newTargetLease(id record.Target, target fold.Target, level int, now time.Time) *targetLease {
	token := record.Token(target.Term, level)
	return &targetLease{
		id: id, term: target.Term, level: level, firstTerm: target.FirstTerm, token: token, firstToken: token, termOffset: target.Since,
		deputies: len(target.Deputies) > 0, guarded: target.Term == 1 && level == 0, createdAt: now, version: token << 32, orderDue: true,
		desired: map[shard.ID]grantedShard{}, handovers: map[shard.ID]*handover{},
		requestsByShard: map[shard.ID]int{}, requestsByKey: map[shardKey]int{}, busyTime: map[shard.ID]time.Duration{},
		load: map[shard.ID]float64{}, hotKeys: hotkey.New(sketchKeys, loadHalfLife),
	}
}

// applySettings applies the target's settings. A target that is not in the
// configuration receives no more orders, and its grants expire.
func (l *targetLease) applySettings(settings *config.Target, ok bool) {
	if !ok {
		l.address = ""
		return
	}
	if l.address != settings.Address() {
		l.address = settings.Address()
		l.statusCurrent = false
	}
	l.checked = settings.Checked()
}

// updateDesired computes from the log which shards each held target is to own. It
// skips targets whose inputs have not changed since the last call.
func (t *Table) updateDesired(state *fold.State) {
	for _, l := range t.targets {
		shards, changed := state.ShardsOf(l.id)
		inputs := desiredInputs{changed: changed, hasAddress: l.address != ""}
		if inputs == l.inputs {
			continue
		}
		l.inputs = inputs
		if !inputs.hasAddress {
			shards = nil
		}
		l.setDesired(l.desiredShards(shards, state), state)
	}
}

// desiredShards returns the subset of shards that may be granted to the target
// now, which excludes shards that a former owner may still hold.
func (l *targetLease) desiredShards(shards map[shard.ID]struct{}, state *fold.State) map[shard.ID]grantedShard {
	desired := make(map[shard.ID]grantedShard, len(shards))
	for id := range shards {
		owned := state.Shard(id)
		item := grantedShard{epoch: owned.Epoch}
		if id.Key == "" {
			item.except = state.HotKeys(id)
		}
		if l.updateHandover(id, owned, item.except) {
			desired[id] = item
		}
	}
	return desired
}

// updateHandover creates, updates or deletes the handover of a shard, and reports
// whether every former owner has released the shard.
func (l *targetLease) updateHandover(id shard.ID, owned fold.Shard, except []string) bool {
	pending := l.handovers[id]
	if len(owned.Former) == 0 {
		delete(l.handovers, id)
		return true
	}
	if pending == nil || pending.epoch != owned.Epoch {
		pending = &handover{epoch: owned.Epoch, unreleased: map[string]bool{}}
		for _, name := range owned.Former {
			pending.unreleased[name] = true
		}
		l.handovers[id] = pending
	}
	pending.except = except
	return len(pending.unreleased) == 0
}

// setDesired replaces the desired shards and deletes outdated handovers.
func (l *targetLease) setDesired(desired map[shard.ID]grantedShard, state *fold.State) {
	if !equal(l.desired, desired) {
		l.orderDue = true
	}
	l.desired = desired
	for id := range l.handovers {
		owned := state.Shard(id)
		if owned.Target != l.id.Name || owned.Epoch != l.handovers[id].epoch {
			delete(l.handovers, id)
		}
	}
}

func equal(left, right map[shard.ID]grantedShard) bool {
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

// sortedTargets lists the held targets sorted by service and name, so that the
// order of actions is deterministic.
func (t *Table) sortedTargets() []*targetLease {
	list := make([]*targetLease, 0, len(t.targets))
	for _, l := range t.targets {
		list = append(list, l)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].id.Less(list[j].id) })
	return list
}

// UpdateGuards advances the guard of each takeover: it records when a majority has
// folded the takeover, and marks the target as guarded once all earlier grants
// have expired since then.
func (t *Table) UpdateGuards(tracker *member.Tracker, members *fold.Membership, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	wait := time.Duration(float64(t.options.MaxGrantDuration) * driftFactor)
	for _, l := range t.targets {
		if l.guarded {
			continue
		}
		if l.majorityFoldedAt.IsZero() {
			if tracker.FoldedByMajority(members, l.termOffset, t.next) {
				l.majorityFoldedAt = now
			}
			continue
		}
		l.guarded = now.Sub(l.majorityFoldedAt) >= wait
	}
}
