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

// Intervals and retry delays.
const (
	// joinInterval is the minimum interval between two proposals of this host
	// to join the membership.
	joinInterval = 250 * time.Millisecond
	// retryAfter is the retry delay sent with refusals while the host has no
	// usable state, or the shard no owner or no leaseholder.
	retryAfter = 250 * time.Millisecond
)

// DueMessages returns the orders to targets and the release queries to other
// leaseholders that are due at now.
func (h *Host) DueMessages(now time.Time) ([]lease.Order, []lease.ReleaseQuery) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.recordFreshness(now)
	h.leases.UpdateGuards(h.tracker, h.state.Members(), now)
	heldTargets, next := h.leases.HeldTargets(), h.state.Next()
	queries := h.leases.ReleaseQueries(now, func(target record.Target) bool { return h.releaseConfirmed(heldTargets, target, next) })
	return h.leases.Orders(now), queries
}

// Propose returns the operations that this host appends to the log at now: its
// own Join until it is a member, a Settle for each completed handover and, if
// this host is the planner and reaches a majority of the members, the
// operations of the planner. It returns nil while the host has no usable
// state.
func (h *Host) Propose(now time.Time) []record.Op {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.stateUsable() {
		return nil
	}
	ops := h.leases.SettleOps(now)
	if op, ok := h.joinOp(now); ok {
		return append(ops, op)
	}
	in := h.planInput(now)
	planner, ok := plan.SelectPlanner(in, h.self.Incarnation)
	if !ok || planner.Incarnation != h.self.Incarnation || !h.tracker.MajorityReachable(in.State.Members(), now) {
		return ops
	}
	return append(ops, h.planner.Propose(in)...)
}

func (h *Host) planInput(now time.Time) plan.Input {
	return plan.Input{State: h.state, Tracker: h.tracker, Now: now, Leaving: h.leaving, LogStalled: h.logStalled(now), PromisedLeaseholder: h.promisedLeaseholder}
}

// joinOp returns the operation that adds this host to the membership. It
// returns false if the host is a member or leaving, if the last membership
// change is not settled, or if a Join was proposed less than joinInterval ago.
func (h *Host) joinOp(now time.Time) (record.Op, bool) {
	members := h.state.Members()
	if members.Has(h.self.Incarnation) || h.leaving || now.Sub(h.joinProposedAt) < joinInterval {
		return record.Op{}, false
	}
	if !h.tracker.Settled(members, h.state.Next()) {
		return record.Op{}, false
	}
	h.joinProposedAt = now
	return record.Op{Join: &record.Join{Member: h.self, Expect: members.Epoch()}}, true
}

// Planner returns the host that plans, which is the receiver of all reports.
// It returns false if no live member can plan.
func (h *Host) Planner(now time.Time) (record.Member, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return plan.SelectPlanner(h.planInput(now), h.self.Incarnation)
}

// OnReport records the state and load of targets as reported by their
// leaseholder.
func (h *Host) OnReport(report message.Report, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.planner.RecordReport(report, now)
}

// OnRelease replies to the query of another leaseholder which of the given
// shards a target no longer holds. The reply is empty if releaseConfirmed is false
// for the query.
func (h *Host) OnRelease(query message.ReleaseQuery, now time.Time) message.ReleaseReply {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.releaseConfirmed(h.leases.HeldTargets(), query.Target, query.Next) {
		return message.ReleaseReply{}
	}
	shards, _ := h.leases.ReleasedShards(query, now)
	return message.ReleaseReply{Shards: shards}
}

// releaseConfirmed reports whether this host holds the target and a majority
// of the members has folded all records below next and made no promise to a
// deputy at a level above this host's. No deputy that has folded less can take
// over then. A target without deputies needs no majority. Unlike in
// Tracker.FoldedByMajority, a replaced member is not counted as having folded the
// records just because its process has ended: the process may have made a promise
// before. Only its latest reply counts.
func (h *Host) releaseConfirmed(heldTargets []lease.HeldTarget, target record.Target, next uint64) bool {
	for _, held := range heldTargets {
		if held.Target != target {
			continue
		}
		accepts := h.notPromisedAbove(target, held.Term, held.Level)
		return !held.Deputies || h.tracker.MajoritySatisfies(h.state.Members(), h.state.Next(), func(id record.Incarnation) bool {
			pong, _ := h.tracker.LatestPong(id)
			folded := pong.Next
			if id == h.self.Incarnation {
				folded = h.state.Next()
			}
			return folded >= next && accepts(id, pong)
		})
	}
	return false
}

// Route returns the shard of a key, its owner and the leaseholder of the
// owner. The error is NotReady while the host has no usable state,
// UnknownService for a service that is not configured, and NoOwner if the
// shard has no configured owner or the owner no leaseholder.
func (h *Host) Route(service, key string) (route.Route, *outcome.Error) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	if !h.stateUsable() {
		return route.Route{}, outcome.Refuse(outcome.NotReady, "no state yet", retryAfter)
	}
	id, settings, ok := h.state.Locate(service, key)
	if !ok {
		return route.Route{}, outcome.Refuse(outcome.UnknownService, service, 0)
	}
	return h.routeOf(id, settings)
}

// RouteShard returns the owner of a shard and the leaseholder of the owner,
// with the same errors as Route.
func (h *Host) RouteShard(id shard.ID) (route.Route, *outcome.Error) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	if !h.stateUsable() {
		return route.Route{}, outcome.Refuse(outcome.NotReady, "no state yet", retryAfter)
	}
	settings, ok := h.state.Config().Service(id.Service)
	if !ok {
		return route.Route{}, outcome.Refuse(outcome.UnknownService, id.Service, 0)
	}
	return h.routeOf(id, settings)
}

// routeOf returns the owner of a shard of the service and the leaseholder of
// the owner, or a NoOwner error.
func (h *Host) routeOf(id shard.ID, service *config.Service) (route.Route, *outcome.Error) {
	owned := h.state.Shard(id)
	target, ok := service.Target(owned.Target)
	if !ok {
		return route.Route{Service: service, Shard: id}, outcome.Refuse(outcome.NoOwner, id.String(), retryAfter)
	}
	leaseholder, token, ok := h.leaseholder(target.ID())
	if !ok {
		return route.Route{Service: service, Shard: id}, outcome.Refuse(outcome.NoOwner, "no leaseholder of "+target.ID().String(), retryAfter)
	}
	return route.Route{
		Service: service, Target: target, Shard: id, Epoch: owned.Epoch, Leaseholder: leaseholder, Token: token,
	}, nil
}

// LeaseholderOf returns the leaseholder to contact for a target, and false if it is
// not a member.
func (h *Host) LeaseholderOf(target record.Target) (record.Member, bool) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	leaseholder, _, ok := h.leaseholder(target)
	return leaseholder, ok
}

// Report returns the state and load of the targets that this host is the
// leaseholder of.
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

// HeldTargetCount returns the number of targets that this host is the
// leaseholder of. Targets that a deputy has taken over while the log is down
// are not counted.
func (h *Host) HeldTargetCount() int {
	h.mu.RLock()
	defer h.mu.RUnlock()
	count := 0
	for _, held := range h.leases.HeldTargets() {
		if h.currentLevel(held.Target) <= held.Level {
			count++
		}
	}
	return count
}

// HasSuccessor reports whether another host could become the leaseholder of
// the targets of this host. It is only meaningful while this host is leaving;
// before that, this host counts as well.
func (h *Host) HasSuccessor(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.planner.Candidates(h.planInput(now))) > 0
}

// LeaveOp returns the operation that removes this host from the membership. It
// returns false if the host is not a member or the last membership change is
// not settled.
func (h *Host) LeaveOp() (record.Op, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	members := h.state.Members()
	if !members.Has(h.self.Incarnation) || !h.tracker.Settled(members, h.state.Next()) {
		return record.Op{}, false
	}
	return record.Op{Leave: &record.Leave{Incarnation: h.self.Incarnation, Expect: members.Epoch()}}, true
}
