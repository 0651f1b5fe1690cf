package target

import (
	"encoding/json"
	"net/http"
	"slices"
	"sort"
	"time"

	"pineturn/core/audit"
	"pineturn/core/shard"
)

// grant is the set of shards that the target owns until expires, by the target's
// clock, and the version of that set. A zero grant owns no shards.
type grant struct {
	term        uint64
	leaseholder string
	setVersion  uint64
	expires     time.Duration
	shards      map[shard.ID]*owned
}

// owned is one shard that the target owns. The keys in except are not part of the
// shard. The time since is the start of the ownership by the target's clock.
type owned struct {
	epoch  uint64
	except []string
	since  time.Duration
}

// Order is the body of PUT /pineturn/v1/grant. ExpiresUs is by the target's
// clock, in microseconds.
type Order struct {
	Incarnation string        `json:"incarnation"`
	Term        uint64        `json:"term"`
	Leaseholder string        `json:"holder"`
	SetVersion  uint64        `json:"set"`
	ExpiresUs   int64         `json:"expires_us"`
	Renew       bool          `json:"renew,omitempty"`
	Shards      []audit.Shard `json:"shards,omitempty"`
}

// The reasons for which an order is refused.
const (
	wrongIncarnation = "wrong-incarnation"
	staleTerm        = "stale-term"
	expired          = "expired"
	unknownSet       = "unknown-set"
	badGrant         = "bad-grant"
)

// orderRefusal is the body of a response that refuses an order.
type orderRefusal struct {
	Error string `json:"error"`
	Status
}

func (t *Target) serveGrant(w http.ResponseWriter, r *http.Request) {
	var order Order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxGrantBytes)).Decode(&order); err != nil {
		writeJSON(w, http.StatusBadRequest, orderRefusal{Error: badGrant})
		return
	}
	reason, status := t.applyOrder(order)
	if reason != "" {
		writeJSON(w, http.StatusConflict, orderRefusal{Error: reason, Status: status})
		return
	}
	writeJSON(w, http.StatusOK, status)
}

// applyOrder applies an order, or refuses it. It returns the reason of a
// refusal, otherwise an empty string, and the status after the order.
func (t *Target) applyOrder(order Order) (string, Status) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	t.expireGrant(now)
	if reason := t.checkOrder(order, now); reason != "" {
		t.counts.GrantsRefused[reason]++
		entry := order.entry()
		entry.Reason = reason
		t.record(grantEntry(audit.GrantRefused, entry), now)
		return reason, t.status(now)
	}
	t.counts.Grants++
	t.highestTerm = max(t.highestTerm, order.Term)
	if order.Renew {
		t.renewGrant(order, now)
	} else {
		t.replaceGrant(order, now)
	}
	t.notifyChanged()
	return "", t.status(now)
}

// checkOrder returns the reason to refuse an order, or an empty string if the
// order is valid.
func (t *Target) checkOrder(order Order, now time.Duration) string {
	switch {
	case order.Incarnation != t.incarnation:
		return wrongIncarnation
	case t.checked && order.Term < t.highestTerm:
		return staleTerm
	case order.ExpiresUs <= now.Microseconds():
		return expired
	case order.Renew && (t.grant.shards == nil || order.SetVersion != t.grant.setVersion):
		return unknownSet
	}
	return ""
}

// renewGrant extends the grant. A renewal that arrives out of order does not
// shorten the grant.
func (t *Target) renewGrant(order Order, now time.Duration) {
	t.grant.term, t.grant.leaseholder = order.Term, order.Leaseholder
	t.grant.expires = max(t.grant.expires, microseconds(order.ExpiresUs))
	entry := order.entry()
	entry.ExpiresUs = t.grant.expires.Microseconds()
	t.record(grantEntry(audit.Granted, entry), now)
}

// replaceGrant replaces the owned shards by those of the order.
func (t *Target) replaceGrant(order Order, now time.Duration) {
	previous := t.grant
	t.grant = grant{
		term:        order.Term,
		leaseholder: order.Leaseholder,
		setVersion:  order.SetVersion,
		expires:     microseconds(order.ExpiresUs),
		shards:      map[shard.ID]*owned{},
	}
	for _, item := range order.Shards {
		since := previous.since(item.Shard, now)
		t.grant.shards[item.Shard] = &owned{epoch: item.Epoch, except: item.Except, since: since}
	}
	if lost := previous.shardsNotIn(t.grant); len(lost) > 0 {
		entry := previous.entry()
		entry.Shards = lost
		t.record(grantEntry(audit.Released, entry), now)
		t.dropUnowned(now)
	}
	t.record(grantEntry(audit.Granted, order.entry()), now)
}

// expireGrant drops the grant if it has expired at now. The audit entry has the
// time of the expiry, not that of its detection.
func (t *Target) expireGrant(now time.Duration) {
	if t.grant.shards == nil || now < t.grant.expires {
		return
	}
	if len(t.grant.shards) > 0 {
		t.record(grantEntry(audit.Expired, t.grant.entry()), t.grant.expires)
	}
	t.dropGrant(t.grant.expires)
}

// dropGrant drops the whole grant at the given time.
func (t *Target) dropGrant(at time.Duration) {
	t.grant = grant{}
	t.dropUnowned(at)
	t.notifyChanged()
}

// dropUnowned drops the state of keys that the target no longer owns, and marks
// the running requests of such keys as lost at the given time.
func (t *Target) dropUnowned(at time.Duration) {
	for key, state := range t.keys {
		if _, ok := t.grant.owns(state.shard, key); !ok {
			delete(t.keys, key)
		}
	}
	for running := range t.running {
		if _, ok := t.grant.owns(running.req.shard, running.req.key); !ok && !running.lost {
			running.lost, running.lostAt = true, at
		}
	}
}

// notifyChanged wakes the running requests after a change of the grant.
func (t *Target) notifyChanged() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// owns returns the owned shard with the given id, and whether the grant covers
// key as part of that shard.
func (g *grant) owns(id shard.ID, key string) (*owned, bool) {
	item, ok := g.shards[id]
	if !ok {
		return nil, false
	}
	if id.Key != "" {
		return item, id.Key == key
	}
	return item, !slices.Contains(item.except, key)
}

// since returns the time from which the keys of shard id are owned. It is now,
// unless g already owns the shard or the one from which it was split.
func (g *grant) since(id shard.ID, now time.Duration) time.Duration {
	if old, ok := g.shards[id]; ok {
		return old.since
	}
	if parent, ok := g.owns(id.Parent(), id.Key); ok && id.Key != "" {
		return parent.since
	}
	return now
}

// shardsNotIn returns the shards of g that other does not own, sorted.
func (g *grant) shardsNotIn(other grant) []audit.Shard {
	var lost []audit.Shard
	for id, item := range g.shards {
		if _, ok := other.shards[id]; !ok {
			lost = append(lost, audit.Shard{Shard: id, Epoch: item.epoch, Except: item.except})
		}
	}
	sort.Slice(lost, func(i, j int) bool { return lost[i].Shard.Less(lost[j].Shard) })
	return lost
}

// entry returns the grant in the form of an audit entry.
func (g *grant) entry() audit.Grant {
	return audit.Grant{
		Term:        g.term,
		Leaseholder: g.leaseholder,
		SetVersion:  g.setVersion,
		ExpiresUs:   g.expires.Microseconds(),
		Shards:      g.shardsNotIn(grant{}),
	}
}

func (o Order) entry() audit.Grant {
	return audit.Grant{
		Term:        o.Term,
		Leaseholder: o.Leaseholder,
		SetVersion:  o.SetVersion,
		ExpiresUs:   o.ExpiresUs,
		Renew:       o.Renew,
		Shards:      o.Shards,
	}
}

func microseconds(us int64) time.Duration { return time.Duration(us) * time.Microsecond }
