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

// grant is the set of shards that the target owns until expires. A zero grant
// owns nothing.
type grant struct {
	term    uint64
	holder  string
	set     uint64
	expires time.Duration
	shards  map[shard.ID]*owned
}

// owned is one shard that the target owns.
type owned struct {
	epoch  uint64
	except []string
	since  time.Duration
}

// Order is the body of PUT /pineturn/v1/grant.
type Order struct {
	Incarnation string        `json:"incarnation"`
	Term        uint64        `json:"term"`
	Holder      string        `json:"holder"`
	Set         uint64        `json:"set"`
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

// refusal is the body of an answer that refuses an order.
type refusal struct {
	Error string `json:"error"`
	Status
}

func (t *Target) serveGrant(w http.ResponseWriter, r *http.Request) {
	var asked Order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxGrantBytes)).Decode(&asked); err != nil {
		writeJSON(w, http.StatusBadRequest, refusal{Error: badGrant})
		return
	}
	reason, status := t.apply(asked)
	if reason != "" {
		writeJSON(w, http.StatusConflict, refusal{Error: reason, Status: status})
		return
	}
	writeJSON(w, http.StatusOK, status)
}

// apply takes or refuses an order; a refusal has a reason.
func (t *Target) apply(asked Order) (string, Status) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	t.lapse(now)
	if reason := t.judge(asked, now); reason != "" {
		t.counts.GrantsRefused[reason]++
		entry := asked.entry()
		entry.Reason = reason
		t.record(grantEntry(audit.GrantRefused, entry), now)
		return reason, t.status(now)
	}
	t.counts.Grants++
	t.highTerm = max(t.highTerm, asked.Term)
	if asked.Renew {
		t.renew(asked, now)
	} else {
		t.replace(asked, now)
	}
	t.broadcast()
	return "", t.status(now)
}

// judge returns the reason to refuse an order, empty for a good one.
func (t *Target) judge(asked Order, now time.Duration) string {
	switch {
	case asked.Incarnation != t.incarnation:
		return wrongIncarnation
	case t.checked && asked.Term < t.highTerm:
		return staleTerm
	case asked.ExpiresUs <= now.Microseconds():
		return expired
	case asked.Renew && (t.grant.shards == nil || asked.Set != t.grant.set):
		return unknownSet
	}
	return ""
}

// renew extends the grant. One that arrives out of order doesn't shorten it.
func (t *Target) renew(asked Order, now time.Duration) {
	t.grant.term, t.grant.holder = asked.Term, asked.Holder
	t.grant.expires = max(t.grant.expires, microseconds(asked.ExpiresUs))
	entry := asked.entry()
	entry.ExpiresUs = t.grant.expires.Microseconds()
	t.record(grantEntry(audit.Granted, entry), now)
}

// replace makes the ordered set the one that the target owns.
func (t *Target) replace(asked Order, now time.Duration) {
	before := t.grant
	t.grant = grant{
		term:    asked.Term,
		holder:  asked.Holder,
		set:     asked.Set,
		expires: microseconds(asked.ExpiresUs),
		shards:  map[shard.ID]*owned{},
	}
	for _, item := range asked.Shards {
		since := before.since(item.Shard, now)
		t.grant.shards[item.Shard] = &owned{epoch: item.Epoch, except: item.Except, since: since}
	}
	if lost := before.without(t.grant); len(lost) > 0 {
		entry := before.entry()
		entry.Shards = lost
		t.record(grantEntry(audit.Released, entry), now)
		t.forget(now)
	}
	t.record(grantEntry(audit.Granted, asked.entry()), now)
}

// lapse drops the grant if it expired by now, and records the exact time.
func (t *Target) lapse(now time.Duration) {
	if t.grant.shards == nil || now < t.grant.expires {
		return
	}
	if len(t.grant.shards) > 0 {
		t.record(grantEntry(audit.Expired, t.grant.entry()), t.grant.expires)
	}
	t.drop(t.grant.expires)
}

// drop loses the whole grant at the instant at.
func (t *Target) drop(at time.Duration) {
	t.grant = grant{}
	t.forget(at)
	t.broadcast()
}

// forget loses the state of the keys whose shard is no longer owned, and
// tells the requests of such keys that run.
func (t *Target) forget(at time.Duration) {
	for key, state := range t.keys {
		if _, ok := t.grant.owns(state.shard, key); !ok {
			delete(t.keys, key)
		}
	}
	for running := range t.running {
		if _, ok := t.grant.owns(running.asked.shard, running.asked.key); !ok && !running.lost {
			running.lost, running.lostAt = true, at
		}
	}
}

// broadcast tells running requests that the grant changed.
func (t *Target) broadcast() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// owns reports whether the grant covers key as one of shard id.
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

// since returns from when on the keys of id are owned: now, unless g owns
// them already, be it by the shard that id was split from.
func (g *grant) since(id shard.ID, now time.Duration) time.Duration {
	if old, ok := g.shards[id]; ok {
		return old.since
	}
	if parent, ok := g.owns(id.Parent(), id.Key); ok && id.Key != "" {
		return parent.since
	}
	return now
}

// without lists the shards that g owns and after doesn't.
func (g *grant) without(after grant) []audit.Shard {
	var lost []audit.Shard
	for id, item := range g.shards {
		if _, ok := after.shards[id]; !ok {
			lost = append(lost, audit.Shard{Shard: id, Epoch: item.epoch, Except: item.except})
		}
	}
	sort.Slice(lost, func(i, j int) bool { return lost[i].Shard.Less(lost[j].Shard) })
	return lost
}

// entry returns the grant as the audit tells it.
func (g *grant) entry() audit.Grant {
	return audit.Grant{
		Term:      g.term,
		Holder:    g.holder,
		Set:       g.set,
		ExpiresUs: g.expires.Microseconds(),
		Shards:    g.without(grant{}),
	}
}

func (o Order) entry() audit.Grant {
	return audit.Grant{
		Term:      o.Term,
		Holder:    o.Holder,
		Set:       o.Set,
		ExpiresUs: o.ExpiresUs,
		Renew:     o.Renew,
		Shards:    o.Shards,
	}
}

func microseconds(us int64) time.Duration { return time.Duration(us) * time.Microsecond }
