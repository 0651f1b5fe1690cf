package plan

import (
	"pineturn/core/config"
	"pineturn/core/fold"
	"pineturn/core/record"
)

// maxDeputies is how many deputies a leaseholder has at most.
const maxDeputies = 2

// maxRebalanced is how many targets change leaseholder in one round for no need.
const maxRebalanced = 4

// minHosts is the number of hosts from which on leaseholders have deputies:
// with fewer, the loss of one host leaves no majority that could confirm them.
const minHosts = 3

// lead proposes leaseholders for targets that have none that is at work, and
// evens out how many each host leads.
func (p *Planner) lead(in Input) []record.Op {
	hosts := p.Candidates(in)
	if len(hosts) == 0 {
		return nil
	}
	round := &leadRound{state: in.State, hosts: hosts, counts: map[record.Incarnation]int{}}
	var orphans []record.Target
	targets := p.leadable(in.State)
	for _, id := range targets {
		holder := in.State.Target(id).Holder
		acting, replaced := in.ActingLeaseholder(id)
		switch {
		case replaced && p.fit(in, acting):
			round.counts[acting]++
			round.propose(id, acting)
		case !replaced && (p.fit(in, holder) || p.present(in, holder) && moving(in.State, id)):
			round.counts[holder]++
		default:
			orphans = append(orphans, id)
		}
	}
	for _, id := range orphans {
		chosen := choose(hosts, round.counts, in.State.Config(), id)
		round.counts[chosen.Incarnation]++
		round.propose(id, chosen.Incarnation)
	}
	if len(round.ops) > 0 || in.Now.Sub(p.rebalanced) < DefaultRebalanceInterval {
		return round.ops
	}
	p.rebalanced = in.Now
	p.renewDeputies(in, round, targets)
	if len(round.ops) == 0 {
		round.rebalance(targets)
	}
	return round.ops
}

// present reports whether a leaseholder is still at work, if about to stop.
func (p *Planner) present(in Input, holder record.Incarnation) bool {
	members := in.State.Members()
	return members.Has(holder) && !in.Tracker.Lost(members, holder, in.Now)
}

// moving reports whether shards are on their way to a target. Its leaseholder
// may have granted some of them already, which a successor could not know: it
// would take them from the target until it has asked anew.
func moving(state *fold.State, id record.Target) bool {
	shards, _ := state.ShardsOf(id)
	for piece := range shards {
		if len(state.Shard(piece).Former) > 0 {
			return true
		}
	}
	return false
}

// leadRound collects the proposals of one round.
type leadRound struct {
	state  *fold.State
	hosts  []record.Member
	counts map[record.Incarnation]int
	ops    []record.Op
}

// propose adds a leaseholder, with its deputies, to the proposals.
func (r *leadRound) propose(id record.Target, holder record.Incarnation) {
	r.ops = append(r.ops, record.Op{Lead: &record.Lead{
		Target: id, Holder: holder, Expect: r.state.Target(id).Term, Deputies: r.deputies(id, holder),
	}})
}

// deputies picks hosts in failure domains other than the holder's, the
// target's and each other's, as far as there are any; ties go by rendezvous
// hash.
func (r *leadRound) deputies(id record.Target, holder record.Incarnation) []record.Incarnation {
	if len(r.hosts) < minHosts {
		return nil
	}
	used := map[string]bool{}
	if target, ok := r.state.Config().Target(id); ok {
		used[target.Domain()] = true
	}
	taken := map[record.Incarnation]bool{holder: true}
	for _, host := range r.hosts {
		if host.Incarnation == holder {
			used[host.Domain] = true
		}
	}
	var list []record.Incarnation
	for len(list) < maxDeputies {
		best, ok := r.bestDeputy(id, used, taken)
		if !ok {
			break
		}
		used[best.Domain], taken[best.Incarnation] = true, true
		list = append(list, best.Incarnation)
	}
	return list
}

func (r *leadRound) bestDeputy(id record.Target, used map[string]bool, taken map[record.Incarnation]bool) (record.Member, bool) {
	var best record.Member
	found := false
	for _, host := range r.hosts {
		if taken[host.Incarnation] {
			continue
		}
		switch {
		case !found, used[best.Domain] && !used[host.Domain]:
			best, found = host, true
		case used[best.Domain] == used[host.Domain] && weight(host, id) > weight(best, id):
			best = host
		}
	}
	return best, found
}

// renewDeputies names new deputies for targets that lack one or have one that
// is no longer at work; their leaseholders stay.
func (p *Planner) renewDeputies(in Input, round *leadRound, targets []record.Target) {
	want := 0
	if len(round.hosts) >= minHosts {
		want = min(maxDeputies, len(round.hosts)-1)
	}
	for _, id := range targets {
		logged := in.State.Target(id)
		fit := 0
		for _, deputy := range logged.Deputies {
			if p.fit(in, deputy) {
				fit++
			}
		}
		if fit < want || fit < len(logged.Deputies) {
			round.propose(id, logged.Holder)
		}
	}
}

// choose picks the host that leads fewest targets, in the target's failure
// domain if there is one; ties go by rendezvous hash. A slot of the target is
// empty while an answer and the next request cross between the two, so the
// way between them is to be short.
func choose(hosts []record.Member, counts map[record.Incarnation]int, conf *config.Config, id record.Target) record.Member {
	domain := ""
	if target, ok := conf.Target(id); ok {
		domain = target.Domain()
	}
	best := hosts[0]
	for _, host := range hosts[1:] {
		if better(host, best, domain, counts, id) {
			best = host
		}
	}
	return best
}

func better(host, best record.Member, domain string, counts map[record.Incarnation]int, id record.Target) bool {
	if (host.Domain == domain) != (best.Domain == domain) {
		return host.Domain == domain
	}
	left, right := counts[host.Incarnation], counts[best.Incarnation]
	if left != right {
		return left < right
	}
	return weight(host, id) > weight(best, id)
}

func weight(host record.Member, id record.Target) uint64 {
	return weightOf(host.Incarnation.Host, id.String())
}

// rebalance moves a few targets to hosts in their own failure domain, and to hosts
// that lead at least two targets fewer.
func (r *leadRound) rebalance(targets []record.Target) {
	for _, id := range targets {
		if len(r.ops) == maxRebalanced {
			return
		}
		holder := r.state.Target(id).Holder
		chosen := choose(r.hosts, r.counts, r.state.Config(), id)
		if chosen.Incarnation == holder || !r.pays(id, holder, chosen) || moving(r.state, id) {
			continue
		}
		r.counts[holder]--
		r.counts[chosen.Incarnation]++
		r.propose(id, chosen.Incarnation)
	}
}

// pays reports whether a move of a target's lease is worth its handover.
func (r *leadRound) pays(id record.Target, holder record.Incarnation, chosen record.Member) bool {
	settings, ok := r.state.Config().Target(id)
	if !ok {
		return false
	}
	member, ok := r.state.Members().Find(holder)
	if ok && member.Domain != settings.Domain() && chosen.Domain == settings.Domain() {
		return true
	}
	return r.counts[holder]-r.counts[chosen.Incarnation] >= 2
}
