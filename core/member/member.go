// Package member implements the failure detector and the majority checks among
// the hosts of a cluster, based on the heartbeats between them. Its state is
// kept in memory only.
package member

import (
	"sort"
	"time"

	"pineturn/core/fold"
	"pineturn/core/message"
	"pineturn/core/record"
)

// Defaults of the failure detector.
const (
	// DefaultInterval is the interval between heartbeats to a host.
	DefaultInterval = 125 * time.Millisecond
	// DefaultSuspicion is the time without a reply after which a host is
	// suspected of being lost.
	DefaultSuspicion = 500 * time.Millisecond
)

// Tracker holds the latest replies of the other hosts to heartbeats. It is not
// safe for concurrent use.
type Tracker struct {
	self      record.Incarnation
	suspicion time.Duration
	peers     map[record.Incarnation]*peer
	// replaced maps incarnations that no longer run to the time at which this
	// host detected it.
	replaced map[record.Incarnation]time.Time
	// listed is the set of hosts on the platform's host list, nil before the
	// first SetListed.
	listed map[string]bool
	// settled is the epoch of the latest membership known to be settled.
	settled uint64
}

// peer is the heartbeat state of one incarnation.
type peer struct {
	// sentAt is when the Ping that pong replies to was sent.
	sentAt time.Time
	// repliedAt is when the latest reply was received.
	repliedAt time.Time
	pong      message.Pong
	// addedAt is when the tracker started to track the incarnation.
	addedAt time.Time
	leaving bool
}

// New returns a tracker for the host self.
func New(self record.Incarnation, suspicion time.Duration, now time.Time) *Tracker {
	return &Tracker{
		self: self, suspicion: suspicion,
		peers: map[record.Incarnation]*peer{}, replaced: map[record.Incarnation]time.Time{},
	}
}

// Sync updates the tracked incarnations to the current and the previous
// membership.
func (t *Tracker) Sync(members *fold.Membership, now time.Time) {
	keep := map[record.Incarnation]bool{}
	for _, list := range [][]record.Member{members.Current(), members.Previous()} {
		for _, member := range list {
			id := member.Incarnation
			keep[id] = true
			if t.peers[id] == nil && id != t.self {
				t.peers[id] = &peer{addedAt: now}
			}
		}
	}
	for id := range t.peers {
		if !keep[id] {
			delete(t.peers, id)
		}
	}
	for id := range t.replaced {
		if !keep[id] {
			delete(t.replaced, id)
		}
	}
}

// RecordPong records the reply, received at now, to a heartbeat that was sent
// at sentAt.
func (t *Tracker) RecordPong(pong message.Pong, sentAt, now time.Time) {
	p := t.peers[pong.From]
	if p == nil {
		return
	}
	p.repliedAt = now
	p.leaving = pong.Leaving
	t.settled = max(t.settled, pong.Settled)
	if sentAt.After(p.sentAt) {
		p.sentAt = sentAt
		p.pong = pong
	}
}

// MarkReplaced records that a later incarnation replies at the address of id.
// The process of id has therefore ended and confirms nothing from now on.
func (t *Tracker) MarkReplaced(id record.Incarnation, now time.Time) {
	if _, ok := t.replaced[id]; !ok {
		t.replaced[id] = now
	}
}

// ReplacedAt returns when id was marked as replaced, and false if it was not.
func (t *Tracker) ReplacedAt(id record.Incarnation) (time.Time, bool) {
	at, ok := t.replaced[id]
	return at, ok
}

// LatestPong returns the reply of id to its latest heartbeat, and the time at
// which a reply was last received; the zero time if there was none.
func (t *Tracker) LatestPong(id record.Incarnation) (message.Pong, time.Time) {
	p := t.peers[id]
	if p == nil {
		return message.Pong{}, time.Time{}
	}
	return p.pong, p.repliedAt
}

// Suspected reports whether this host on its own suspects id of being lost.
func (t *Tracker) Suspected(id record.Incarnation, now time.Time) bool {
	if id == t.self {
		return false
	}
	if _, ok := t.replaced[id]; ok {
		return true
	}
	p := t.peers[id]
	if p == nil {
		return true
	}
	last := p.repliedAt
	if last.Before(p.addedAt) {
		last = p.addedAt
	}
	return now.Sub(last) > t.suspicion
}

// Suspects lists the members that this host on its own suspects.
func (t *Tracker) Suspects(members *fold.Membership, now time.Time) []record.Incarnation {
	var list []record.Incarnation
	for _, member := range members.Current() {
		if t.Suspected(member.Incarnation, now) {
			list = append(list, member.Incarnation)
		}
	}
	return list
}

// SetListed sets the hosts that the platform lists as live.
func (t *Tracker) SetListed(hosts map[string]bool) { t.listed = hosts }

// unlisted reports whether the platform no longer lists the host of id.
func (t *Tracker) unlisted(id record.Incarnation) bool {
	return t.listed != nil && !t.listed[id.Host]
}

// Lost reports whether id is to be treated as lost: it was replaced or is no
// member, or this host suspects it and either the platform no longer lists it
// or a majority of the members suspects it too. A host that is partitioned
// from the others therefore cannot declare them lost alone. The result decides
// which host becomes leaseholder of a target, never whether a grant has expired.
func (t *Tracker) Lost(members *fold.Membership, id record.Incarnation, now time.Time) bool {
	if id == t.self {
		return false
	}
	if _, ok := t.replaced[id]; ok || !members.Has(id) {
		return true
	}
	if !t.Suspected(id, now) {
		return false
	}
	if t.unlisted(id) {
		return true
	}
	return t.majority(members.Current(), func(other record.Incarnation) bool {
		if other == t.self {
			return true
		}
		return t.memberSuspects(other, id, now)
	})
}

// memberSuspects reports whether other suspects id according to its latest
// reply. Members that this host suspects, id itself included, do not count.
func (t *Tracker) memberSuspects(other, id record.Incarnation, now time.Time) bool {
	if t.Suspected(other, now) {
		return false
	}
	for _, suspect := range t.peers[other].pong.Suspects {
		if suspect == id {
			return true
		}
	}
	return false
}

// majority reports whether ok is true for more than half of members.
func (t *Tracker) majority(members []record.Member, ok func(record.Incarnation) bool) bool {
	count := 0
	for _, member := range members {
		if ok(member.Incarnation) {
			count++
		}
	}
	return 2*count > len(members)
}

// MajorityReachable reports whether a majority of the members replies to this host.
// Members that were replaced, and suspected members that the platform no longer
// lists, are not counted.
func (t *Tracker) MajorityReachable(members *fold.Membership, now time.Time) bool {
	var running []record.Member
	for _, member := range members.Current() {
		_, replaced := t.replaced[member.Incarnation]
		if !replaced && (!t.unlisted(member.Incarnation) || !t.Suspected(member.Incarnation, now)) {
			running = append(running, member)
		}
	}
	return t.majority(running, func(id record.Incarnation) bool {
		return !t.Suspected(id, now)
	})
}

// PongFilter reports whether the latest reply of a member counts. For this host
// itself it is called with an empty Pong. A nil filter accepts all replies.
type PongFilter func(id record.Incarnation, pong message.Pong) bool

func (f PongFilter) accepts(id record.Incarnation, pong message.Pong) bool {
	return f == nil || f(id, pong)
}

// FoldedByMajority reports whether a majority of the members has folded the
// record at offset, and also a majority of the previous members unless the last
// membership change is settled. A replaced member counts as having folded it,
// since it can no longer confirm an older next offset. next is the first offset
// that this host has not folded.
func (t *Tracker) FoldedByMajority(members *fold.Membership, offset, next uint64) bool {
	folded := func(id record.Incarnation) bool {
		if id == t.self {
			return next > offset
		}
		if _, ok := t.replaced[id]; ok {
			return true
		}
		p := t.peers[id]
		return p != nil && p.pong.Next > offset
	}
	return t.MajoritySatisfies(members, next, folded)
}

// MajoritySatisfies reports whether ok is true for a majority of the members, and
// also for a majority of the previous members unless the last membership change
// is settled. next is the first offset that this host has not folded.
func (t *Tracker) MajoritySatisfies(members *fold.Membership, next uint64, ok func(id record.Incarnation) bool) bool {
	if !t.majority(members.Current(), ok) {
		return false
	}
	return t.Settled(members, next) || t.majority(members.Previous(), ok)
}

// Settled reports whether a majority of the previous members has folded the last
// membership change, which is the condition for the next change. A membership
// that another host reported as settled stays settled, even if members that
// confirmed it to that host have been lost since.
func (t *Tracker) Settled(members *fold.Membership, next uint64) bool {
	before := members.Previous()
	if len(before) == 0 || t.settled >= members.Epoch() {
		return true
	}
	return t.majority(before, func(id record.Incarnation) bool {
		if id == t.self {
			return next > members.ChangeOffset()
		}
		if _, ok := t.replaced[id]; ok {
			return true
		}
		p := t.peers[id]
		return p != nil && p.pong.Next > members.ChangeOffset()
	})
}

// UpdateSettled records the current membership as settled if it is, so that
// SettledEpoch can be reported to other hosts.
func (t *Tracker) UpdateSettled(members *fold.Membership, next uint64) {
	if t.Settled(members, next) {
		t.settled = max(t.settled, members.Epoch())
	}
}

// SettledEpoch returns the epoch of the latest membership known to be settled.
func (t *Tracker) SettledEpoch() uint64 { return t.settled }

// ConfirmedAt returns the latest time such that a majority of the members, this
// host included, has replied to a heartbeat sent at or after that time, is ready
// and has folded no record at or after next, the first offset that this host has
// not folded. Only replies accepted by filter count. While the last membership
// change is not settled, a majority of the previous members is required as well.
// It returns false if there is no such time.
func (t *Tracker) ConfirmedAt(members *fold.Membership, next uint64, now time.Time, filter PongFilter) (time.Time, bool) {
	if !members.Has(t.self) {
		return time.Time{}, false
	}
	at, ok := t.confirmedBy(members.Current(), next, now, filter)
	if !ok || t.Settled(members, next) {
		return at, ok
	}
	earlier, ok := t.confirmedBy(members.Previous(), next, now, filter)
	if earlier.Before(at) {
		at = earlier
	}
	return at, ok
}

func (t *Tracker) confirmedBy(members []record.Member, next uint64, now time.Time, filter PongFilter) (time.Time, bool) {
	var times []time.Time
	for _, member := range members {
		if member.Incarnation == t.self {
			if filter.accepts(t.self, message.Pong{}) {
				times = append(times, now)
			}
			continue
		}
		p := t.peers[member.Incarnation]
		if p != nil && !p.sentAt.IsZero() && p.pong.Ready && p.pong.Next <= next && filter.accepts(member.Incarnation, p.pong) {
			times = append(times, p.sentAt)
		}
	}
	need := len(members)/2 + 1
	if len(times) < need {
		return time.Time{}, false
	}
	sort.Slice(times, func(i, j int) bool { return times[i].After(times[j]) })
	return times[need-1], true
}

// Live lists the members that are neither suspected by this host nor leaving,
// sorted by host.
func (t *Tracker) Live(members *fold.Membership, now time.Time) []record.Member {
	var list []record.Member
	for _, member := range members.Current() {
		id := member.Incarnation
		if t.Suspected(id, now) || t.Leaving(id) {
			continue
		}
		list = append(list, member)
	}
	return list
}

// AnyPromise reports whether any member has made a promise to a deputy.
func (t *Tracker) AnyPromise() bool {
	for _, p := range t.peers {
		if len(p.pong.Promises) > 0 {
			return true
		}
	}
	return false
}

// HasPromise reports whether any member has made a promise to a deputy of the
// given term of a target.
func (t *Tracker) HasPromise(target record.Target, term uint64) bool {
	for _, p := range t.peers {
		for _, promise := range p.pong.Promises {
			if promise.Target == target && promise.Term == term {
				return true
			}
		}
	}
	return false
}

// Leaving reports whether id announced in its latest reply that it is shutting
// down.
func (t *Tracker) Leaving(id record.Incarnation) bool {
	p := t.peers[id]
	return p != nil && p.leaving
}
