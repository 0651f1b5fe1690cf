// Package plan proposes the leaseholders of targets and the owners of shards.
// Any host may plan. If two planners race, the fold rejects proposals that are
// based on an outdated state; a race can cause unnecessary moves but never
// violates safety.
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
	// DefaultRemovalDelay is how long a member must have been lost before it
	// is removed from the membership.
	DefaultRemovalDelay = 5 * time.Second
	// DefaultRebalanceInterval is the minimum interval between rounds that
	// replace deputies or move leases only to balance the number of targets of
	// each host.
	DefaultRebalanceInterval = time.Second
	// initialReportWait is how long a new service waits for reports on all of
	// its targets. After that, its shards are assigned to the targets with
	// reports.
	initialReportWait = time.Second
	// loadBalanceInterval is the minimum interval between rounds that move
	// shards of a service only to balance the load, so that the effect of one
	// round is measured before the next.
	loadBalanceInterval = 4 * time.Second
	// idlePlanInterval is the interval between rounds of a service while
	// nothing but its loads changes.
	idlePlanInterval = 500 * time.Millisecond
	// mergeDelay is how long a hot key must have had no load before its shard
	// is merged back into the range shard.
	mergeDelay = time.Minute
	// loadMeasuringTime is how long a new leaseholder takes to measure the load of
	// its targets. Until then, the load measured by its predecessor counts as
	// well.
	loadMeasuringTime = 4 * time.Second
	// overloadFloor is the load for each slot up to which a target is never
	// treated as overloaded.
	overloadFloor = 0.1
	// maxHotShards is the number of shards of hot keys of a service at which
	// no more hot keys are split off.
	maxHotShards = 512
	// maxReportAge is the age from which a report of a leaseholder is no
	// longer used.
	maxReportAge = 2 * time.Second
)

// Planner holds the state of a planner between rounds. It is not safe for
// concurrent use.
type Planner struct {
	self    record.Incarnation
	reports map[record.Target]report
	// lostSince maps lost members to the time of the round that first found
	// them lost.
	lostSince map[record.Incarnation]time.Time
	// leasesCheckedAt is the time of the latest round that checked deputies and
	// the balance of leases.
	leasesCheckedAt time.Time
	// waitingSince maps services to the start of their wait for reports, see
	// initialReportWait.
	waitingSince map[string]time.Time
	// loadBalancedAt maps services to the latest round that moved or split shards
	// to balance the load.
	loadBalancedAt map[string]time.Time
	// idleSince maps shards of hot keys to the time since when they have had
	// no load.
	idleSince map[shard.ID]time.Time
	// lastRounds maps services to their latest round.
	lastRounds map[string]serviceRound
	// targetsToLease caches the result of findTargetsToLease for the state at
	// offset targetsToLeaseNext.
	targetsToLease     []record.Target
	targetsToLeaseNext uint64
}

// report is the latest report on a target.
type report struct {
	message.TargetReport
	receivedAt time.Time
	// predecessorLoads are the last loads that the leaseholder of the previous
	// term measured.
	predecessorLoads []message.ShardLoad
	// termSince is when the first report of the current term was received.
	termSince time.Time
}

// Input is the input of one round.
type Input struct {
	State   *fold.State
	Tracker *member.Tracker
	Now     time.Time
	// Leaving is set while this host is handing over its targets before it
	// stops.
	Leaving bool
	// LogStalled is set if the log has not responded to this host for longer than a
	// planner may go without a response.
	LogStalled bool
	// PromisedLeaseholder returns the leaseholder of a target according to the
	// promises made to its deputies, and false if none was made for the
	// current term.
	PromisedLeaseholder func(target record.Target) (record.Incarnation, bool)
}

// New returns a planner for the host self.
func New(self record.Incarnation) *Planner {
	return &Planner{
		self: self, reports: map[record.Target]report{},
		lostSince: map[record.Incarnation]time.Time{}, waitingSince: map[string]time.Time{},
		loadBalancedAt: map[string]time.Time{}, idleSince: map[shard.ID]time.Time{},
		lastRounds: map[string]serviceRound{},
	}
}

// RecordReport records a report of a leaseholder on its targets. Entries of a
// lower term than the last recorded one are ignored.
func (p *Planner) RecordReport(msg message.Report, now time.Time) {
	for _, target := range msg.Targets {
		previous, ok := p.reports[target.Target]
		entry := report{TargetReport: target, receivedAt: now, termSince: now}
		switch {
		case ok && previous.Term > target.Term:
			continue
		case ok && previous.Term == target.Term:
			entry.predecessorLoads, entry.termSince = previous.predecessorLoads, previous.termSince
		case ok:
			entry.predecessorLoads = previous.Shards
		}
		p.reports[target.Target] = entry
	}
}

// SelectPlanner returns the member that plans: the first by name of the
// members that are live according to this host and can read the log.
func SelectPlanner(in Input, self record.Incarnation) (record.Member, bool) {
	for _, m := range in.Tracker.Live(in.State.Members(), in.Now) {
		if canPlan(in, self, m.Incarnation) {
			return m, true
		}
	}
	return record.Member{}, false
}

// canPlan reports whether a live member can plan.
func canPlan(in Input, self, id record.Incarnation) bool {
	if id == self {
		return !in.Leaving && !in.LogStalled
	}
	pong, _ := in.Tracker.LatestPong(id)
	return !pong.LogStalled
}

// Propose plans one round and returns the operations to append to the log.
func (p *Planner) Propose(in Input) []record.Op {
	ops := p.removeLost(in)
	ops = append(ops, p.proposeLeaseholders(in)...)
	return append(ops, p.proposeAssignments(in)...)
}

// removeLost proposes to remove at most one lost member from the membership,
// once the last membership change is settled.
func (p *Planner) removeLost(in Input) []record.Op {
	members := in.State.Members()
	if !in.Tracker.Settled(members, in.State.Next()) {
		return nil
	}
	for id := range p.lostSince {
		if !members.Has(id) {
			delete(p.lostSince, id)
		}
	}
	for _, m := range members.Current() {
		id := m.Incarnation
		if !in.Tracker.Lost(members, id, in.Now) {
			delete(p.lostSince, id)
			continue
		}
		if _, ok := p.lostSince[id]; !ok {
			p.lostSince[id] = in.Now
		}
		if hasLaterIncarnation(members, id) || in.Now.Sub(p.lostSince[id]) >= DefaultRemovalDelay {
			return []record.Op{{Leave: &record.Leave{Incarnation: id, Expect: members.Epoch()}}}
		}
	}
	return nil
}

// mayBeLeaseholder reports whether a host may stay leaseholder or deputy: it is a
// member, not lost as defined by member.Tracker.Lost, and not leaving.
func (p *Planner) mayBeLeaseholder(in Input, leaseholder record.Incarnation) bool {
	if !in.State.Members().Has(leaseholder) || in.Tracker.Lost(in.State.Members(), leaseholder, in.Now) {
		return false
	}
	if leaseholder == p.self {
		return !in.Leaving
	}
	return !in.Tracker.Leaving(leaseholder)
}

// hasLaterIncarnation reports whether a later incarnation of the host is a
// member. It joins before the earlier one is removed, so that the membership
// does not shrink in between.
func hasLaterIncarnation(members *fold.Membership, id record.Incarnation) bool {
	for _, m := range members.Current() {
		if m.Incarnation.Host == id.Host && m.Incarnation.Run > id.Run {
			return true
		}
	}
	return false
}

// Candidates returns the hosts that may become leaseholders: the live members,
// without this host if it is leaving.
func (p *Planner) Candidates(in Input) []record.Member {
	var list []record.Member
	for _, m := range in.Tracker.Live(in.State.Members(), in.Now) {
		if m.Incarnation == p.self && in.Leaving {
			continue
		}
		list = append(list, m)
	}
	return list
}

// cachedTargetsToLease returns findTargetsToLease, computed once for each offset of the
// log.
func (p *Planner) cachedTargetsToLease(state *fold.State) []record.Target {
	if p.targetsToLease == nil || p.targetsToLeaseNext != state.Next() {
		p.targetsToLease, p.targetsToLeaseNext = findTargetsToLease(state), state.Next()
	}
	return p.targetsToLease
}

// findTargetsToLease returns the targets that need a leaseholder: those that are
// configured, and the owners and former owners of shards, which may still have
// to release shards.
func findTargetsToLease(state *fold.State) []record.Target {
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

// rendezvousHash returns the rendezvous hash of two names.
func rendezvousHash(left, right string) uint64 {
	return xxhash.Sum64String(left + "\x00" + right)
}
