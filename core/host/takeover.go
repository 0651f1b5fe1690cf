package host

import (
	"time"

	"pineturn/core/message"
	"pineturn/core/record"
)

// takeoverLogTimeout is the time after which deputies may take over without the
// log, since the latest read of the log with a response was sent.
const takeoverLogTimeout = time.Second

// candidacy is an attempt of this host to take over a target as a deputy.
type candidacy struct {
	// promise is the promise requested from the other members.
	promise message.Promise
	// promisedBy is the set of members that made the promise.
	promisedBy map[record.Incarnation]bool
}

// promisedLevel returns the level of the promise that this host has made for
// the current term of a target, 0 if there is none.
func (h *Host) promisedLevel(target record.Target) int {
	promise, ok := h.promises[target]
	if !ok || promise.Term != h.state.Target(target).Term {
		return 0
	}
	return promise.Level
}

// currentPromises returns the promises that this host has made for current
// terms, and deletes those for other terms.
func (h *Host) currentPromises() []message.Promise {
	var list []message.Promise
	for target, promise := range h.promises {
		if promise.Term == h.state.Target(target).Term {
			list = append(list, promise)
			continue
		}
		delete(h.promises, target)
	}
	return list
}

// notPromisedAbove returns a filter that accepts the replies of members that
// have made no promise above the level. Only these may confirm the leaseholder
// of the target at that level.
func (h *Host) notPromisedAbove(target record.Target, term uint64, level int) func(id record.Incarnation, pong message.Pong) bool {
	return func(id record.Incarnation, pong message.Pong) bool {
		if id == h.self.Incarnation {
			return h.promisedLevel(target) <= level
		}
		return promisedLevelIn(pong, target, term) <= level
	}
}

// promisedLevelIn returns the level of the promise that the replying host has
// made for the term of a target, 0 if there is none.
func promisedLevelIn(pong message.Pong, target record.Target, term uint64) int {
	for _, promise := range pong.Promises {
		if promise.Target == target && promise.Term == term {
			return promise.Level
		}
	}
	return 0
}

// plannerLogTimeout is the time without any response of the log to a host after
// which that host cannot be the planner. A slow log does not prevent planning,
// so the time counts from when the latest response was received.
const plannerLogTimeout = 4 * time.Second

// logStalled reports whether the log has not responded to this host for longer
// than plannerLogTimeout, so that another host should plan.
func (h *Host) logStalled(now time.Time) bool { return now.Sub(h.logResponseAt) > plannerLogTimeout }

// logDown reports whether the latest read of the log with a response was sent
// longer than takeoverLogTimeout ago.
func (h *Host) logDown(now time.Time) bool { return now.Sub(h.logReadSentAt) > takeoverLogTimeout }

// leaseholdersByLevel returns the leaseholder that the log names for a target,
// which is at level 0, followed by its deputies.
func (h *Host) leaseholdersByLevel(target record.Target) []record.Incarnation {
	logged := h.state.Target(target)
	return append([]record.Incarnation{logged.Leaseholder}, logged.Deputies...)
}

// Candidacies returns the promises that this host requests from the other
// members at now. It requests one for each target that it is a deputy of if
// the log is down and all leaseholders at lower levels are lost or leaving.
func (h *Host) Candidacies(now time.Time) []message.Promise {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.stateUsable() || h.leaving || !h.logDown(now) || !h.state.Members().Has(h.self.Incarnation) {
		clear(h.candidacies)
		return nil
	}
	var list []message.Promise
	for target, logged := range h.state.Targets() {
		for i, deputy := range logged.Deputies {
			if deputy != h.self.Incarnation || h.holdsLevel(target, i+1) || !h.lowerLevelsLost(target, i+1, now) {
				continue
			}
			list = append(list, h.prepareCandidacy(target, logged.Term, i+1))
		}
	}
	return list
}

// holdsLevel reports whether this host is the leaseholder of a target at the
// given level.
func (h *Host) holdsLevel(target record.Target, level int) bool {
	for _, held := range h.leases.HeldTargets() {
		if held.Target == target {
			return held.Level == level
		}
	}
	return false
}

// lowerLevelsLost reports whether all leaseholders of a target below the level
// are lost or leaving.
func (h *Host) lowerLevelsLost(target record.Target, level int, now time.Time) bool {
	members := h.state.Members()
	for _, leaseholder := range h.leaseholdersByLevel(target)[:level] {
		if !h.tracker.Lost(members, leaseholder, now) && !h.tracker.Leaving(leaseholder) {
			return false
		}
	}
	return true
}

// prepareCandidacy returns the promise to request from the other members. This
// host makes the same promise itself, unless it has made one to a higher
// level.
func (h *Host) prepareCandidacy(target record.Target, term uint64, level int) message.Promise {
	promise := message.Promise{Target: target, Term: term, Level: level, Next: h.state.Next()}
	current := h.candidacies[target]
	if current == nil || current.promise != promise {
		current = &candidacy{promise: promise, promisedBy: map[record.Incarnation]bool{}}
		h.candidacies[target] = current
	}
	if h.promisedLevel(target) <= level {
		h.promises[target] = promise
		current.promisedBy[h.self.Incarnation] = true
	}
	return promise
}

// OnPromise replies to a deputy's request for a promise. The host makes the
// promise only by its own observation: the log is down, and it suspects each
// leaseholder below the requested level or received its announcement that it
// is leaving. It refuses deputies that have folded less of the log than it
// has.
func (h *Host) OnPromise(request message.Promise, now time.Time) message.PromiseReply {
	h.mu.Lock()
	defer h.mu.Unlock()
	logged := h.state.Target(request.Target)
	eligible := h.stateUsable() && h.state.Members().Has(h.self.Incarnation) && h.logDown(now)
	valid := request.Term == logged.Term && request.Level >= 1 && request.Level <= len(logged.Deputies) && request.Next >= h.state.Next()
	if !eligible || !valid || h.promisedLevel(request.Target) > request.Level || !h.lowerLevelsSuspected(request.Target, request.Level, now) {
		return message.PromiseReply{}
	}
	h.promises[request.Target] = request
	return message.PromiseReply{Made: true}
}

// lowerLevelsSuspected reports whether each leaseholder of a target below the
// level is leaving or suspected by this host on its own.
func (h *Host) lowerLevelsSuspected(target record.Target, level int, now time.Time) bool {
	for _, leaseholder := range h.leaseholdersByLevel(target)[:level] {
		if !h.tracker.Suspected(leaseholder, now) && !h.tracker.Leaving(leaseholder) {
			return false
		}
	}
	return true
}

// OnPromiseReply records the reply to a requested promise. Once a majority of
// the members has made it, this host becomes the leaseholder of the target at
// the requested level. OnPromiseReply reports whether this reply completed
// the majority.
func (h *Host) OnPromiseReply(from record.Incarnation, request message.Promise, reply message.PromiseReply, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	current := h.candidacies[request.Target]
	if !reply.Made || current == nil || current.promise != request || request.Term != h.state.Target(request.Target).Term {
		return false
	}
	current.promisedBy[from] = true
	if request.Next != h.state.Next() || h.holdsLevel(request.Target, request.Level) {
		return false
	}
	promised := func(id record.Incarnation) bool { return current.promisedBy[id] }
	if !h.tracker.MajoritySatisfies(h.state.Members(), h.state.Next(), promised) {
		return false
	}
	delete(h.candidacies, request.Target)
	h.leases.ActivateDeputy(h.state, request.Target, request.Level, now)
	return true
}

// currentLevel returns the level of the leaseholder to contact for a target:
// the level that this host holds as a deputy, or else the highest level that a
// majority of the members has promised, 0 if there is none.
func (h *Host) currentLevel(target record.Target) int {
	logged := h.state.Target(target)
	for _, held := range h.leases.HeldTargets() {
		if held.Target == target && held.Level > 0 {
			return held.Level
		}
	}
	for level := len(logged.Deputies); level > 0; level-- {
		reached := func(id record.Incarnation) bool {
			if id == h.self.Incarnation {
				return h.promisedLevel(target) >= level
			}
			pong, _ := h.tracker.LatestPong(id)
			return promisedLevelIn(pong, target, logged.Term) >= level
		}
		if h.tracker.MajoritySatisfies(h.state.Members(), h.state.Next(), reached) {
			return level
		}
	}
	return 0
}

// promisedLeaseholder returns the leaseholder of a target according to the promises
// of the members: the deputy that has the promises of a majority, or else the
// leaseholder that the log names. It returns false if no promise was made for
// the current term.
func (h *Host) promisedLeaseholder(target record.Target) (record.Incarnation, bool) {
	term := h.state.Target(target).Term
	if h.promisedLevel(target) == 0 && !h.tracker.HasPromise(target, term) {
		return record.Incarnation{}, false
	}
	return h.leaseholdersByLevel(target)[h.currentLevel(target)], true
}

// leaseholder returns the leaseholder to contact for a target and its fencing
// token, and false if the leaseholder is not a member.
func (h *Host) leaseholder(target record.Target) (record.Member, uint64, bool) {
	logged := h.state.Target(target)
	level := 0
	if len(h.promises) > 0 || h.tracker.AnyPromise() {
		level = h.currentLevel(target)
	}
	member, ok := h.state.Members().Find(h.leaseholdersByLevel(target)[level])
	return member, record.Token(logged.Term, level), ok
}
