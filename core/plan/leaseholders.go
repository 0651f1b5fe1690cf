package plan

import (
	"pineturn/core/config"
	"pineturn/core/fold"
	"pineturn/core/record"
)

// maxDeputies is the maximum number of deputies of a leaseholder.
const maxDeputies = 2

// maxRebalancedPerRound is the maximum number of targets whose lease is moved
// in one round only for balance.
const maxRebalancedPerRound = 4

// minHostsForDeputies is the minimum number of hosts with which targets have
// deputies. With fewer hosts, no majority is left to confirm a deputy after
// the loss of one host.
const minHostsForDeputies = 3

// proposeLeaseholders proposes a leaseholder for each target that has none or
// whose leaseholder is lost or leaving, replaces deputies, and balances the
// number of targets of each host.
func (p *Planner) proposeLeaseholders(in Input) []record.Op {
	hosts := p.Candidates(in)
	if len(hosts) == 0 {
		return nil
	}
	round := &leaseholderRound{state: in.State, hosts: hosts, targetCounts: map[record.Incarnation]int{}}
	var vacant []record.Target
	targets := p.cachedTargetsToLease(in.State)
	for _, id := range targets {
		leaseholder := in.State.Target(id).Leaseholder
		promised, replaced := in.PromisedLeaseholder(id)
		switch {
		case replaced && p.mayBeLeaseholder(in, promised):
			round.targetCounts[promised]++
			round.propose(id, promised)
		case !replaced && (p.mayBeLeaseholder(in, leaseholder) || p.memberNotLost(in, leaseholder) && hasIncomingShards(in.State, id)):
			round.targetCounts[leaseholder]++
		default:
			vacant = append(vacant, id)
		}
	}
	for _, id := range vacant {
		chosen := chooseLeaseholder(hosts, round.targetCounts, in.State.Config(), id)
		round.targetCounts[chosen.Incarnation]++
		round.propose(id, chosen.Incarnation)
	}
	if len(round.ops) > 0 || in.Now.Sub(p.leasesCheckedAt) < DefaultRebalanceInterval {
		return round.ops
	}
	p.leasesCheckedAt = in.Now
	p.replaceDeputies(in, round, targets)
	if len(round.ops) == 0 {
		round.rebalance(targets)
	}
	return round.ops
}

// memberNotLost reports whether a leaseholder is a member that is not lost. It
// may be leaving.
func (p *Planner) memberNotLost(in Input, leaseholder record.Incarnation) bool {
	members := in.State.Members()
	return members.Has(leaseholder) && !in.Tracker.Lost(members, leaseholder, in.Now)
}

// hasIncomingShards reports whether shards are being moved to a target. Its
// leaseholder may have granted some of them already. A successor cannot detect
// that: it would withdraw them from the target until it has the replies to
// its own release queries.
func hasIncomingShards(state *fold.State, id record.Target) bool {
	shards, _ := state.ShardsOf(id)
	for movedShard := range shards {
		if len(state.Shard(movedShard).Former) > 0 {
			return true
		}
	}
	return false
}

// leaseholderRound collects the proposals of one round.
type leaseholderRound struct {
	state        *fold.State
	hosts        []record.Member
	targetCounts map[record.Incarnation]int
	ops          []record.Op
}

// propose adds a proposal of a leaseholder with its deputies.
func (r *leaseholderRound) propose(id record.Target, leaseholder record.Incarnation) {
	r.ops = append(r.ops, record.Op{Lead: &record.Lead{
		Target: id, Leaseholder: leaseholder, Expect: r.state.Target(id).Term, Deputies: r.chooseDeputies(id, leaseholder),
	}})
}

// chooseDeputies returns up to maxDeputies hosts. Hosts are preferred that are
// in other failure domains than the leaseholder, the target and the other
// deputies; ties are broken by rendezvous hash.
func (r *leaseholderRound) chooseDeputies(id record.Target, leaseholder record.Incarnation) []record.Incarnation {
	if len(r.hosts) < minHostsForDeputies {
		return nil
	}
	usedDomains := map[string]bool{}
	if target, ok := r.state.Config().Target(id); ok {
		usedDomains[target.Domain()] = true
	}
	usedHosts := map[record.Incarnation]bool{leaseholder: true}
	for _, host := range r.hosts {
		if host.Incarnation == leaseholder {
			usedDomains[host.Domain] = true
		}
	}
	var list []record.Incarnation
	for len(list) < maxDeputies {
		best, ok := r.bestDeputy(id, usedDomains, usedHosts)
		if !ok {
			break
		}
		usedDomains[best.Domain], usedHosts[best.Incarnation] = true, true
		list = append(list, best.Incarnation)
	}
	return list
}

func (r *leaseholderRound) bestDeputy(id record.Target, usedDomains map[string]bool, usedHosts map[record.Incarnation]bool) (record.Member, bool) {
	var best record.Member
	found := false
	for _, host := range r.hosts {
		if usedHosts[host.Incarnation] {
			continue
		}
		switch {
		case !found, usedDomains[best.Domain] && !usedDomains[host.Domain]:
			best, found = host, true
		case usedDomains[best.Domain] == usedDomains[host.Domain] && hostHash(host, id) > hostHash(best, id):
			best = host
		}
	}
	return best, found
}

// replaceDeputies proposes new deputies for targets that have too few, or have
// one that is lost or leaving. Their leaseholders do not change.
func (p *Planner) replaceDeputies(in Input, round *leaseholderRound, targets []record.Target) {
	want := 0
	if len(round.hosts) >= minHostsForDeputies {
		want = min(maxDeputies, len(round.hosts)-1)
	}
	for _, id := range targets {
		logged := in.State.Target(id)
		suitable := 0
		for _, deputy := range logged.Deputies {
			if p.mayBeLeaseholder(in, deputy) {
				suitable++
			}
		}
		if suitable < want || suitable < len(logged.Deputies) {
			round.propose(id, logged.Leaseholder)
		}
	}
}

// chooseLeaseholder returns the host with the fewest targets, among the hosts
// in the target's failure domain if there are any; ties are broken by
// rendezvous hash. The failure domain comes first because a slot of the target
// stays empty while a response and the next request are in transit between
// target and leaseholder, so that the latency between them has to be low.
func chooseLeaseholder(hosts []record.Member, targetCounts map[record.Incarnation]int, conf *config.Config, id record.Target) record.Member {
	domain := ""
	if target, ok := conf.Target(id); ok {
		domain = target.Domain()
	}
	best := hosts[0]
	for _, host := range hosts[1:] {
		if preferred(host, best, domain, targetCounts, id) {
			best = host
		}
	}
	return best
}

func preferred(host, best record.Member, domain string, targetCounts map[record.Incarnation]int, id record.Target) bool {
	if (host.Domain == domain) != (best.Domain == domain) {
		return host.Domain == domain
	}
	left, right := targetCounts[host.Incarnation], targetCounts[best.Incarnation]
	if left != right {
		return left < right
	}
	return hostHash(host, id) > hostHash(best, id)
}

func hostHash(host record.Member, id record.Target) uint64 {
	return rendezvousHash(host.Incarnation.Host, id.String())
}

// rebalance moves the leases of up to maxRebalancedPerRound targets to hosts
// in the target's failure domain, or to hosts that have at least two targets
// fewer.
func (r *leaseholderRound) rebalance(targets []record.Target) {
	for _, id := range targets {
		if len(r.ops) == maxRebalancedPerRound {
			return
		}
		leaseholder := r.state.Target(id).Leaseholder
		chosen := chooseLeaseholder(r.hosts, r.targetCounts, r.state.Config(), id)
		if chosen.Incarnation == leaseholder || !r.worthMoving(id, leaseholder, chosen) || hasIncomingShards(r.state, id) {
			continue
		}
		r.targetCounts[leaseholder]--
		r.targetCounts[chosen.Incarnation]++
		r.propose(id, chosen.Incarnation)
	}
}

// worthMoving reports whether moving the lease of a target to the chosen host
// is worth the handover.
func (r *leaseholderRound) worthMoving(id record.Target, leaseholder record.Incarnation, chosen record.Member) bool {
	settings, ok := r.state.Config().Target(id)
	if !ok {
		return false
	}
	member, ok := r.state.Members().Find(leaseholder)
	if ok && member.Domain != settings.Domain() && chosen.Domain == settings.Domain() {
		return true
	}
	return r.targetCounts[leaseholder]-r.targetCounts[chosen.Incarnation] >= 2
}
