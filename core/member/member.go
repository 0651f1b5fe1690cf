// Package member judges the other hosts of a cell from their heartbeats:
// which are suspected of being lost, and what a majority of them confirms.
// It keeps nothing beyond the life of the process.
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
	// DefaultInterval is the time between two heartbeats to one host.
	DefaultInterval = 125 * time.Millisecond
	// DefaultSuspicion is how long a host may be silent before it is suspected.
	DefaultSuspicion = 500 * time.Millisecond
)

// Tracker holds what this host knows of the others. It is not safe for
// concurrent use.
type Tracker struct {
	self      record.Incarnation
	suspicion time.Duration
	started   time.Time
	peers     map[record.Incarnation]*peer
	gone      map[record.Incarnation]time.Time
	listed    map[string]bool
	// settled is the epoch of the latest membership known to be settled.
	settled uint64
}

// peer is the latest that one incarnation said.
type peer struct {
	asked    time.Time
	answered time.Time
	pong     message.Pong
	since    time.Time
	leaving  bool
}

// New returns a tracker for the host self.
func New(self record.Incarnation, suspicion time.Duration, now time.Time) *Tracker {
	return &Tracker{
		self: self, suspicion: suspicion, started: now,
		peers: map[record.Incarnation]*peer{}, gone: map[record.Incarnation]time.Time{},
	}
}

// Sync tells the tracker who the members are at now.
func (t *Tracker) Sync(members *fold.Membership, now time.Time) {
	keep := map[record.Incarnation]bool{}
	for _, list := range [][]record.Member{members.Current(), members.Before()} {
		for _, member := range list {
			id := member.Incarnation
			keep[id] = true
			if t.peers[id] == nil && id != t.self {
				t.peers[id] = &peer{since: now}
			}
		}
	}
	for id := range t.peers {
		if !keep[id] {
			delete(t.peers, id)
		}
	}
	for id := range t.gone {
		if !keep[id] {
			delete(t.gone, id)
		}
	}
}

// RecordPong records the answer to a heartbeat that was sent at asked.
func (t *Tracker) RecordPong(pong message.Pong, asked, now time.Time) {
	p := t.peers[pong.From]
	if p == nil {
		return
	}
	p.answered = now
	p.leaving = pong.Leaving
	t.settled = max(t.settled, pong.Settled)
	if asked.After(p.asked) {
		p.asked = asked
		p.pong = pong
	}
}

// MarkReplaced records that a later incarnation answers at the address of id, so
// that id runs no more and confirms nothing from now on.
func (t *Tracker) MarkReplaced(id record.Incarnation, now time.Time) {
	if _, ok := t.gone[id]; !ok {
		t.gone[id] = now
	}
}

// ReplacedAt returns since when id is known to run no more.
func (t *Tracker) ReplacedAt(id record.Incarnation) (time.Time, bool) {
	at, ok := t.gone[id]
	return at, ok
}

// LatestPong returns the latest answer of id, and when it was received; the zero
// time if there was none.
func (t *Tracker) LatestPong(id record.Incarnation) (message.Pong, time.Time) {
	p := t.peers[id]
	if p == nil {
		return message.Pong{}, time.Time{}
	}
	return p.pong, p.answered
}

// Suspected reports whether this host by itself suspects id.
func (t *Tracker) Suspected(id record.Incarnation, now time.Time) bool {
	if id == t.self {
		return false
	}
	if _, ok := t.gone[id]; ok {
		return true
	}
	p := t.peers[id]
	if p == nil {
		return true
	}
	last := p.answered
	if last.Before(p.since) {
		last = p.since
	}
	return now.Sub(last) > t.suspicion
}

// Suspects lists the members that this host by itself suspects.
func (t *Tracker) Suspects(members *fold.Membership, now time.Time) []record.Incarnation {
	var list []record.Incarnation
	for _, member := range members.Current() {
		if t.Suspected(member.Incarnation, now) {
			list = append(list, member.Incarnation)
		}
	}
	return list
}

// SetListed tells the tracker which hosts the platform lists as live.
func (t *Tracker) SetListed(hosts map[string]bool) { t.listed = hosts }

// unlisted reports that the platform has taken the host of id off its list.
func (t *Tracker) unlisted(id record.Incarnation) bool {
	return t.listed != nil && !t.listed[id.Host]
}

// Lost reports whether id is to be treated as lost: it is known to run no
// more, or this host suspects it and so does a majority of the members or the
// platform's list. One host that is cut off from the others can't call them
// lost. It decides who leads a target, never whether a grant has lapsed.
func (t *Tracker) Lost(members *fold.Membership, id record.Incarnation, now time.Time) bool {
	if id == t.self {
		return false
	}
	if _, ok := t.gone[id]; ok || !members.Has(id) {
		return true
	}
	if !t.Suspected(id, now) {
		return false
	}
	if t.unlisted(id) {
		return true
	}
	return t.majority(members.Current(), func(voter record.Incarnation) bool {
		if voter == t.self {
			return true
		}
		return t.voterSuspects(voter, id, now)
	})
}

// voterSuspects counts the word of a voter; one that runs no more, and the
// suspected host itself, say nothing.
func (t *Tracker) voterSuspects(voter, id record.Incarnation, now time.Time) bool {
	if t.Suspected(voter, now) {
		return false
	}
	for _, other := range t.peers[voter].pong.Suspects {
		if other == id {
			return true
		}
	}
	return false
}

// majority reports whether more than half of members satisfy ok.
func (t *Tracker) majority(members []record.Member, ok func(record.Incarnation) bool) bool {
	count := 0
	for _, member := range members {
		if ok(member.Incarnation) {
			count++
		}
	}
	return 2*count > len(members)
}

// MajorityReachable reports whether a majority of the members answer this host,
// leaving out those that run no more or that the platform no longer lists.
func (t *Tracker) MajorityReachable(members *fold.Membership, now time.Time) bool {
	var running []record.Member
	for _, one := range members.Current() {
		_, gone := t.gone[one.Incarnation]
		if !gone && (!t.unlisted(one.Incarnation) || !t.Suspected(one.Incarnation, now)) {
			running = append(running, one)
		}
	}
	return t.majority(running, func(id record.Incarnation) bool {
		return !t.Suspected(id, now)
	})
}

// PongFilter tells whether the latest answer of a member counts; the answer of
// this host itself is empty. A nil filter lets all count.
type PongFilter func(id record.Incarnation, pong message.Pong) bool

func (f PongFilter) passes(id record.Incarnation, pong message.Pong) bool {
	return f == nil || f(id, pong)
}

// FoldedByMajority reports whether a majority of the members, and of those before the
// last change unless that is settled, have folded the record at offset. A
// member that runs no more counts as having seen it: it will never confirm
// an older position. next is this host's own position.
func (t *Tracker) FoldedByMajority(members *fold.Membership, offset, next uint64) bool {
	seen := func(id record.Incarnation) bool {
		if id == t.self {
			return next > offset
		}
		if _, ok := t.gone[id]; ok {
			return true
		}
		p := t.peers[id]
		return p != nil && p.pong.Next > offset
	}
	return t.MajoritySatisfies(members, next, seen)
}

// MajoritySatisfies reports whether a majority of the members, and of those before the
// last change unless that is settled, satisfy ok.
func (t *Tracker) MajoritySatisfies(members *fold.Membership, next uint64, ok func(id record.Incarnation) bool) bool {
	if !t.majority(members.Current(), ok) {
		return false
	}
	return t.Settled(members, next) || t.majority(members.Before(), ok)
}

// Settled reports whether a majority of the members before the last change
// have seen it, so that the next change may be made. What another host knows
// to be settled is settled: the word of members that were lost since counts.
func (t *Tracker) Settled(members *fold.Membership, next uint64) bool {
	before := members.Before()
	if len(before) == 0 || t.settled >= members.Epoch() {
		return true
	}
	return t.majority(before, func(id record.Incarnation) bool {
		if id == t.self {
			return next > members.Changed()
		}
		if _, ok := t.gone[id]; ok {
			return true
		}
		p := t.peers[id]
		return p != nil && p.pong.Next > members.Changed()
	})
}

// UpdateSettled keeps that the present membership is settled, if it is, so that
// other hosts can be told.
func (t *Tracker) UpdateSettled(members *fold.Membership, next uint64) {
	if t.Settled(members, next) {
		t.settled = max(t.settled, members.Epoch())
	}
}

// SettledEpoch is the epoch of the latest membership known to be settled.
func (t *Tracker) SettledEpoch() uint64 { return t.settled }

// ConfirmedAt returns the latest instant at which a question was sent to which
// a majority has answered that it knows nothing newer than next; false if
// there is none. Both memberships count while the last change is unsettled.
func (t *Tracker) ConfirmedAt(members *fold.Membership, next uint64, now time.Time, filter PongFilter) (time.Time, bool) {
	if !members.Has(t.self) {
		return time.Time{}, false
	}
	at, ok := t.confirmedBy(members.Current(), next, now, filter)
	if !ok || t.Settled(members, next) {
		return at, ok
	}
	earlier, ok := t.confirmedBy(members.Before(), next, now, filter)
	if earlier.Before(at) {
		at = earlier
	}
	return at, ok
}

func (t *Tracker) confirmedBy(members []record.Member, next uint64, now time.Time, filter PongFilter) (time.Time, bool) {
	var times []time.Time
	for _, member := range members {
		if member.Incarnation == t.self {
			if filter.passes(t.self, message.Pong{}) {
				times = append(times, now)
			}
			continue
		}
		p := t.peers[member.Incarnation]
		if p != nil && !p.asked.IsZero() && p.pong.Ready && p.pong.Next <= next && filter.passes(member.Incarnation, p.pong) {
			times = append(times, p.asked)
		}
	}
	need := len(members)/2 + 1
	if len(times) < need {
		return time.Time{}, false
	}
	sort.Slice(times, func(i, j int) bool { return times[i].After(times[j]) })
	return times[need-1], true
}

// Live lists the members that are neither suspected by this host nor
// leaving, by host.
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

// HasPromise reports whether any member has made a promise to a deputy of a
// target's term.
func (t *Tracker) HasPromise(target record.Target, term uint64) bool {
	for _, p := range t.peers {
		for _, made := range p.pong.Promises {
			if made.Target == target && made.Term == term {
				return true
			}
		}
	}
	return false
}

// Leaving reports whether id said that it is about to stop.
func (t *Tracker) Leaving(id record.Incarnation) bool {
	p := t.peers[id]
	return p != nil && p.leaving
}
