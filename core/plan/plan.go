// Package plan proposes who leads targets and which targets own shards. Any
// host may plan; proposals of two planners that race are sorted out by the
// fold, and cost churn but never safety.
package plan

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"pineturn/core/fold"
	"pineturn/core/member"
	"pineturn/core/message"
	"pineturn/core/record"
	"pineturn/core/shard"
)

// Defaults of the planner.
const (
	// DefaultRemovalDelay is how long a member must have been lost before it is
	// taken off the membership.
	DefaultRemovalDelay = 5 * time.Second
	// DefaultRebalanceInterval is the time between two moves that only even out how
	// many targets each host leads.
	DefaultRebalanceInterval = time.Second
	// settleAfter is how long a new service waits for reports of all its
	// targets before its shards are given to those that are known.
	settleAfter = time.Second
	// levelAfter is the time between two plans that move shards only to even
	// out load, so that the effect of one is measured before the next.
	levelAfter = 4 * time.Second
	// restInterval is the time between two plans of a service while nothing
	// but loads changes.
	restInterval = 500 * time.Millisecond
	// mergeAfter is how long a hot key must have been idle before its shard
	// is merged into its range shard again.
	mergeAfter = time.Minute
	// measureAfter is how long a new leaseholder's measurement of its targets'
	// loads takes; until then that of its predecessor counts as well.
	measureAfter = 4 * time.Second
	// quietLoad is the load for each slot up to which a target is never taken
	// as overloaded.
	quietLoad = 0.1
	// maxHot bounds the hot keys of a service that are shards of their own.
	maxHot = 512
	// reportAge is how old a leaseholder's report may be to be believed.
	reportAge = 2 * time.Second
)

// Planner keeps what a planner remembers between rounds. It is not safe for
// concurrent use.
type Planner struct {
	self       record.Incarnation
	reports    map[record.Target]report
	lost       map[record.Incarnation]time.Time
	rebalanced time.Time
	seen       map[string]time.Time
	levels     map[string]time.Time
	idle       map[shard.ID]time.Time
	rounds     map[string]serviceRound
	// targets are the leadable ones of the state at position next.
	targets []record.Target
	next    uint64
}

// report is the latest word of a target's leaseholder.
type report struct {
	message.TargetReport
	at time.Time
	// former is what the leaseholder of the term before measured last, and
	// since is when the present term's first report came.
	former []message.ShardLoad
	since  time.Time
}

// Input is what one round is planned from.
type Input struct {
	State   *fold.State
	Tracker *member.Tracker
	Now     time.Time
	// Leaving reports that this host itself is about to stop, LogDown that it
	// can't read the log.
	Leaving bool
	LogDown bool
	// ActingLeaseholder returns the leaseholder that acts for a target, when deputies
	// were promised anything in its present term.
	ActingLeaseholder func(target record.Target) (record.Incarnation, bool)
}

// New returns a planner for the host self.
func New(self record.Incarnation) *Planner {
	return &Planner{
		self: self, reports: map[record.Target]report{},
		lost: map[record.Incarnation]time.Time{}, seen: map[string]time.Time{},
		levels: map[string]time.Time{}, idle: map[shard.ID]time.Time{},
		rounds: map[string]serviceRound{},
	}
}

// RecordReport records what a leaseholder observes of its targets.
func (p *Planner) RecordReport(msg message.Report, now time.Time) {
	for _, target := range msg.Targets {
		known, ok := p.reports[target.Target]
		entry := report{TargetReport: target, at: now, since: now}
		switch {
		case ok && known.Term > target.Term:
			continue
		case ok && known.Term == target.Term:
			entry.former, entry.since = known.former, known.since
		case ok:
			entry.former = known.Shards
		}
		p.reports[target.Target] = entry
	}
}

// SelectPlanner returns the member that is to plan: the first by name of those that
// this host takes for live and that read the log.
func SelectPlanner(in Input, self record.Incarnation) (record.Member, bool) {
	for _, one := range in.Tracker.Live(in.State.Members(), in.Now) {
		if able(in, self, one.Incarnation) {
			return one, true
		}
	}
	return record.Member{}, false
}

// able reports whether a live member can plan.
func able(in Input, self, id record.Incarnation) bool {
	if id == self {
		return !in.Leaving && !in.LogDown
	}
	pong, _ := in.Tracker.LatestPong(id)
	return !pong.LogDown
}

// Propose returns the operations to append now.
func (p *Planner) Propose(in Input) []record.Op {
	ops := p.expel(in)
	ops = append(ops, p.lead(in)...)
	return append(ops, p.assign(in)...)
}

// expel proposes to take at most one lost member off the membership, once
// the last change is settled.
func (p *Planner) expel(in Input) []record.Op {
	members := in.State.Members()
	if !in.Tracker.Settled(members, in.State.Next()) {
		return nil
	}
	for id := range p.lost {
		if !members.Has(id) {
			delete(p.lost, id)
		}
	}
	for _, one := range members.Current() {
		id := one.Incarnation
		if !in.Tracker.Lost(members, id, in.Now) {
			delete(p.lost, id)
			continue
		}
		if _, ok := p.lost[id]; !ok {
			p.lost[id] = in.Now
		}
		if replaced(members, id) || in.Now.Sub(p.lost[id]) >= DefaultRemovalDelay {
			return []record.Op{{Leave: &record.Leave{Incarnation: id, Expect: members.Epoch()}}}
		}
	}
	return nil
}

// fit reports whether a leaseholder may stay: it is a member, not known by a
// majority to be lost, and not leaving.
func (p *Planner) fit(in Input, holder record.Incarnation) bool {
	if !in.State.Members().Has(holder) || in.Tracker.Lost(in.State.Members(), holder, in.Now) {
		return false
	}
	if holder == p.self {
		return !in.Leaving
	}
	return !in.Tracker.Leaving(holder)
}

// replaced reports whether a later run of a host is a member. It joins before
// the former one leaves, so that the membership never shrinks in between.
func replaced(members *fold.Membership, id record.Incarnation) bool {
	for _, one := range members.Current() {
		if one.Incarnation.Host == id.Host && one.Incarnation.Run > id.Run {
			return true
		}
	}
	return false
}

// Candidates lists the hosts that may be leaseholders: live members that
// aren't leaving.
func (p *Planner) Candidates(in Input) []record.Member {
	var list []record.Member
	for _, one := range in.Tracker.Live(in.State.Members(), in.Now) {
		if one.Incarnation == p.self && in.Leaving {
			continue
		}
		list = append(list, one)
	}
	return list
}

// leadable returns what the function of that name does, and works it out
// once for each position of the log.
func (p *Planner) leadable(state *fold.State) []record.Target {
	if p.targets == nil || p.next != state.Next() {
		p.targets, p.next = leadable(state), state.Next()
	}
	return p.targets
}

// leadable lists the targets that need a leaseholder: those configured, and
// those that shards may still have to be released from.
func leadable(state *fold.State) []record.Target {
	set := map[record.Target]bool{}
	for _, service := range state.Config().Services() {
		for _, target := range service.Targets() {
			set[target.ID()] = true
		}
	}
	for id, owned := range state.Shards() {
		set[record.Target{Service: id.Service, Name: owned.Target}] = true
		for _, name := range owned.Former {
			set[record.Target{Service: id.Service, Name: name}] = true
		}
	}
	list := make([]record.Target, 0, len(set))
	for id := range set {
		list = append(list, id)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Less(list[j]) })
	return list
}

// weightOf is the rendezvous hash of two names.
func weightOf(left, right string) uint64 {
	return xxhash.Sum64String(left + "\x00" + right)
}
