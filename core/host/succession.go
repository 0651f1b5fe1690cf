package host

import (
	"time"

	"pineturn/core/message"
	"pineturn/core/record"
)

// logPatience is how long the log must not have answered before a deputy
// takes over without it.
const logPatience = time.Second

// candidacy is a deputy's attempt to take over a target.
type candidacy struct {
	promise message.Promise
	made    map[record.Incarnation]bool
}

// level returns the promise that this host has made for a target's present
// term, 0 if none.
func (h *Host) level(target record.Target) int {
	made, ok := h.promises[target]
	if !ok || made.Term != h.state.Target(target).Term {
		return 0
	}
	return made.Level
}

// listPromises lists what this host has promised for present terms.
func (h *Host) listPromises() []message.Promise {
	var list []message.Promise
	for target, made := range h.promises {
		if made.Term == h.state.Target(target).Term {
			list = append(list, made)
			continue
		}
		delete(h.promises, target)
	}
	return list
}

// unpromised returns a filter of the answers that may confirm the leaseholder of a
// target at a level: those that have promised themselves to none above.
func (h *Host) unpromised(target record.Target, term uint64, level int) func(id record.Incarnation, pong message.Pong) bool {
	return func(id record.Incarnation, pong message.Pong) bool {
		if id == h.self.Incarnation {
			return h.level(target) <= level
		}
		return promised(pong, target, term) <= level
	}
}

// promised is the level that an answering host has promised itself to.
func promised(pong message.Pong, target record.Target, term uint64) int {
	for _, made := range pong.Promises {
		if made.Target == target && made.Term == term {
			return made.Level
		}
	}
	return 0
}

// plannerPatience is how long the log must not have answered a host before
// that host can't plan. A slow log is planned with.
const plannerPatience = 4 * time.Second

// logSilent reports whether the log has not answered this host for so long
// that another host should plan.
func (h *Host) logSilent(now time.Time) bool { return now.Sub(h.logAnswered) > plannerPatience }

// logDown reports whether the log has not answered this host for long.
func (h *Host) logDown(now time.Time) bool { return now.Sub(h.logAt) > logPatience }

// line lists the leaseholder of a target and its deputies, by level.
func (h *Host) line(target record.Target) []record.Incarnation {
	logged := h.state.Target(target)
	return append([]record.Incarnation{logged.Holder}, logged.Deputies...)
}

// Candidacies returns the promises that this host asks of the other members at now:
// for targets that it is a deputy of, while the log is down and every
// leaseholder before it is lost or leaving.
func (h *Host) Candidacies(now time.Time) []message.Promise {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.known() || h.leaving || !h.logDown(now) || !h.state.Members().Has(h.self.Incarnation) {
		clear(h.candidacies)
		return nil
	}
	var list []message.Promise
	for target, logged := range h.state.Targets() {
		for i, deputy := range logged.Deputies {
			if deputy != h.self.Incarnation || h.holds(target, i+1) || !h.vacant(target, i+1, now) {
				continue
			}
			list = append(list, h.ask(target, logged.Term, i+1))
		}
	}
	return list
}

// holds reports whether this host is the leaseholder of a target at a level.
func (h *Host) holds(target record.Target, level int) bool {
	for _, place := range h.leases.HeldTargets() {
		if place.Target == target {
			return place.Level == level
		}
	}
	return false
}

// vacant reports whether every leaseholder before a level is lost or leaving.
func (h *Host) vacant(target record.Target, level int, now time.Time) bool {
	members := h.state.Members()
	for _, holder := range h.line(target)[:level] {
		if !h.tracker.Lost(members, holder, now) && !h.tracker.Leaving(holder) {
			return false
		}
	}
	return true
}

// ask returns the promise to ask for, and makes it at this host itself.
func (h *Host) ask(target record.Target, term uint64, level int) message.Promise {
	promise := message.Promise{Target: target, Term: term, Level: level, Next: h.state.Next()}
	known := h.candidacies[target]
	if known == nil || known.promise != promise {
		known = &candidacy{promise: promise, made: map[record.Incarnation]bool{}}
		h.candidacies[target] = known
	}
	if h.level(target) <= level {
		h.promises[target] = promise
		known.made[h.self.Incarnation] = true
	}
	return promise
}

// OnPromise answers a deputy. A host promises only what it sees itself: the
// log is down, and no leaseholder before the deputy is at work. It refuses a
// deputy that knows less of the log than it does.
func (h *Host) OnPromise(ask message.Promise, now time.Time) message.PromiseReply {
	h.mu.Lock()
	defer h.mu.Unlock()
	logged := h.state.Target(ask.Target)
	able := h.known() && h.state.Members().Has(h.self.Incarnation) && h.logDown(now)
	fits := ask.Term == logged.Term && ask.Level >= 1 && ask.Level <= len(logged.Deputies) && ask.Next >= h.state.Next()
	if !able || !fits || h.level(ask.Target) > ask.Level || !h.silent(ask.Target, ask.Level, now) {
		return message.PromiseReply{}
	}
	h.promises[ask.Target] = ask
	return message.PromiseReply{Made: true}
}

// silent reports whether this host by itself suspects every leaseholder
// before a level, or knows it to be leaving.
func (h *Host) silent(target record.Target, level int, now time.Time) bool {
	for _, holder := range h.line(target)[:level] {
		if !h.tracker.Suspected(holder, now) && !h.tracker.Leaving(holder) {
			return false
		}
	}
	return true
}

// OnPromiseReply takes in the answer to a candidacy. Once a majority has promised, this
// host is the target's leaseholder at its level; it reports whether that
// has come about now.
func (h *Host) OnPromiseReply(from record.Incarnation, ask message.Promise, answer message.PromiseReply, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	known := h.candidacies[ask.Target]
	if !answer.Made || known == nil || known.promise != ask || ask.Term != h.state.Target(ask.Target).Term {
		return false
	}
	known.made[from] = true
	if ask.Next != h.state.Next() || h.holds(ask.Target, ask.Level) {
		return false
	}
	made := func(id record.Incarnation) bool { return known.made[id] }
	if !h.tracker.MajoritySatisfies(h.state.Members(), h.state.Next(), made) {
		return false
	}
	delete(h.candidacies, ask.Target)
	h.leases.ActivateDeputy(h.state, ask.Target, ask.Level, now)
	return true
}

// effective returns the level whose leaseholder is to be asked for a target:
// the highest one that a majority has promised itself to.
func (h *Host) effective(target record.Target) int {
	logged := h.state.Target(target)
	for _, place := range h.leases.HeldTargets() {
		if place.Target == target && place.Level > 0 {
			return place.Level
		}
	}
	for level := len(logged.Deputies); level > 0; level-- {
		reached := func(id record.Incarnation) bool {
			if id == h.self.Incarnation {
				return h.level(target) >= level
			}
			pong, _ := h.tracker.LatestPong(id)
			return promised(pong, target, logged.Term) >= level
		}
		if h.tracker.MajoritySatisfies(h.state.Members(), h.state.Next(), reached) {
			return level
		}
	}
	return 0
}

// acting returns the leaseholder of a target as far as promises say: the
// deputy that a majority has promised itself to, or else the one that the log
// names. ok is false when nobody has made a promise.
func (h *Host) acting(target record.Target) (record.Incarnation, bool) {
	term := h.state.Target(target).Term
	if h.level(target) == 0 && !h.tracker.HasPromise(target, term) {
		return record.Incarnation{}, false
	}
	return h.line(target)[h.effective(target)], true
}

// holder returns the leaseholder that is to be asked for a target, and its
// fencing token.
func (h *Host) holder(target record.Target) (record.Member, uint64, bool) {
	logged := h.state.Target(target)
	level := 0
	if len(h.promises) > 0 || h.tracker.AnyPromise() {
		level = h.effective(target)
	}
	member, ok := h.state.Members().Find(h.line(target)[level])
	return member, record.Token(logged.Term, level), ok
}
