package host

import (
	"time"

	"pineturn/core/config"
	"pineturn/core/lease"
	"pineturn/core/message"
	"pineturn/core/outcome"
	"pineturn/core/plan"
	"pineturn/core/record"
	"pineturn/core/route"
	"pineturn/core/shard"
)

// Delays of what a host proposes by itself.
const (
	// joinInterval is the time between two proposals to join.
	joinInterval = 250 * time.Millisecond
	// retryAfter is when callers are told to come back while nothing is known.
	retryAfter = 250 * time.Millisecond
)

// DueMessages returns the orders and questions that are due at now.
func (h *Host) DueMessages(now time.Time) ([]lease.Order, []lease.ReleaseQuery) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.confirm(now)
	h.leases.UpdateGuards(h.tracker, h.state.Members(), now)
	places, next := h.leases.HeldTargets(), h.state.Next()
	questions := h.leases.ReleaseQueries(now, func(target record.Target) bool { return h.majorityKnows(places, target, next) })
	return h.leases.Orders(now), questions
}

// Propose returns the operations that this host appends at now for itself:
// its own join, completed handovers, and, when it is the one to plan, the
// planner's.
func (h *Host) Propose(now time.Time) []record.Op {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.known() {
		return nil
	}
	ops := h.leases.SettleOps(now)
	if op, ok := h.join(now); ok {
		return append(ops, op)
	}
	in := h.input(now)
	chosen, ok := plan.SelectPlanner(in, h.self.Incarnation)
	if !ok || chosen.Incarnation != h.self.Incarnation || !h.tracker.MajorityReachable(in.State.Members(), now) {
		return ops
	}
	return append(ops, h.planner.Propose(in)...)
}

func (h *Host) input(now time.Time) plan.Input {
	return plan.Input{State: h.state, Tracker: h.tracker, Now: now, Leaving: h.leaving, LogDown: h.logSilent(now), ActingLeaseholder: h.acting}
}

// join proposes this host's membership, once the last change is settled.
func (h *Host) join(now time.Time) (record.Op, bool) {
	members := h.state.Members()
	if members.Has(h.self.Incarnation) || h.leaving || now.Sub(h.joinAt) < joinInterval {
		return record.Op{}, false
	}
	if !h.tracker.Settled(members, h.state.Next()) {
		return record.Op{}, false
	}
	h.joinAt = now
	return record.Op{Join: &record.Join{Member: h.self, Expect: members.Epoch()}}, true
}

// Planner returns the host that reports are to be sent to, if any.
func (h *Host) Planner(now time.Time) (record.Member, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return plan.SelectPlanner(h.input(now), h.self.Incarnation)
}

// OnReport takes in what a leaseholder observes of its targets.
func (h *Host) OnReport(report message.Report, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.planner.RecordReport(report, now)
}

// OnRelease answers whether shards have left a target.
func (h *Host) OnRelease(question message.ReleaseQuery, now time.Time) message.ReleaseReply {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.majorityKnows(h.leases.HeldTargets(), question.Target, question.Next) {
		return message.ReleaseReply{}
	}
	shards, _ := h.leases.ReleasedShards(question, now)
	return message.ReleaseReply{Shards: shards}
}

// majorityKnows reports whether a majority has folded the log up to next and has
// promised itself to no leaseholder of a target above this one. Then no deputy
// can take over that has folded less. A member that runs no more doesn't
// count, as it may have promised itself before.
func (h *Host) majorityKnows(places []lease.HeldTarget, target record.Target, next uint64) bool {
	for _, place := range places {
		if place.Target != target {
			continue
		}
		unpromised := h.unpromised(target, place.Term, place.Level)
		return !place.Deputies || h.tracker.MajoritySatisfies(h.state.Members(), h.state.Next(), func(id record.Incarnation) bool {
			pong, _ := h.tracker.LatestPong(id)
			known := pong.Next
			if id == h.self.Incarnation {
				known = h.state.Next()
			}
			return known >= next && unpromised(id, pong)
		})
	}
	return false
}

// Route finds where the requests of a key go.
func (h *Host) Route(service, key string) (route.Route, *outcome.Error) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	if !h.known() {
		return route.Route{}, outcome.Refuse(outcome.NotReady, "no state yet", retryAfter)
	}
	id, found, ok := h.state.Locate(service, key)
	if !ok {
		return route.Route{}, outcome.Refuse(outcome.UnknownService, service, 0)
	}
	return h.way(id, found)
}

// RouteShard finds where the requests of a shard go.
func (h *Host) RouteShard(id shard.ID) (route.Route, *outcome.Error) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	if !h.known() {
		return route.Route{}, outcome.Refuse(outcome.NotReady, "no state yet", retryAfter)
	}
	found, ok := h.state.Config().Service(id.Service)
	if !ok {
		return route.Route{}, outcome.Refuse(outcome.UnknownService, id.Service, 0)
	}
	return h.way(id, found)
}

// way returns the owner of a shard and its leaseholder.
func (h *Host) way(id shard.ID, service *config.Service) (route.Route, *outcome.Error) {
	owned := h.state.Shard(id)
	target, ok := service.Target(owned.Target)
	if !ok {
		return route.Route{Service: service, Shard: id}, outcome.Refuse(outcome.NoOwner, id.String(), retryAfter)
	}
	holder, token, ok := h.holder(target.ID())
	if !ok {
		return route.Route{Service: service, Shard: id}, outcome.Refuse(outcome.NoOwner, "no leaseholder of "+target.ID().String(), retryAfter)
	}
	return route.Route{
		Service: service, Target: target, Shard: id, Epoch: owned.Epoch, Leaseholder: holder, Term: token,
	}, nil
}

// HolderOf returns the leaseholder of a target, if it is a member.
func (h *Host) HolderOf(target record.Target) (record.Member, bool) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	holder, _, ok := h.holder(target)
	return holder, ok
}

// Report is what this host observes of the targets that it leads.
func (h *Host) Report(now time.Time) message.Report {
	var report message.Report
	for _, status := range h.leases.Statuses(now) {
		shards, keys := h.leases.Load(status.Target, now)
		report.Targets = append(report.Targets, message.TargetReport{
			Target: status.Target, Term: status.Term, Alive: status.Alive, Lost: status.Lost,
			Draining: status.Health == lease.HealthDraining, Cold: status.Health == lease.HealthCold,
			Shards: shards, Hot: keys,
		})
	}
	return report
}

// HeldTargetCount counts the targets that this host is the leaseholder of, leaving out
// those that a deputy has taken over while the log is down.
func (h *Host) HeldTargetCount() int {
	h.mu.RLock()
	defer h.mu.RUnlock()
	count := 0
	for _, place := range h.leases.HeldTargets() {
		if h.effective(place.Target) <= place.Level {
			count++
		}
	}
	return count
}

// HasSuccessor reports whether another host could take over what this one leads.
func (h *Host) HasSuccessor(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.planner.Candidates(h.input(now))) > 0
}

// LeaveOp returns the operation that takes this host off the membership; false
// when it is no member or the last change is not settled.
func (h *Host) LeaveOp() (record.Op, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	members := h.state.Members()
	if !members.Has(h.self.Incarnation) || !h.tracker.Settled(members, h.state.Next()) {
		return record.Op{}, false
	}
	return record.Op{Leave: &record.Leave{Incarnation: h.self.Incarnation, Expect: members.Epoch()}}, true
}
