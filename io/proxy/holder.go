package proxy

import "pineturn/core/peers"

// peer returns the host to which a request is relayed: the one that holds the queue of its
// owner, one that selects targets or, if the path to the targets is lost, any other. It returns
// false if the request is sent to a target directly: there is no such host, or another one has
// relayed the request already.
func (p *Proxy) peer(q *request) (peers.Host, bool) {
	q.queueOwner, q.dispatched = "", false
	if q.relayed {
		return peers.Host{}, false
	}
	if host, ok := p.holder(q); ok {
		return host, p.mayRelay(q, host)
	}
	if !p.reach.IsLost(q.match.Service.Name) {
		return peers.Host{}, false
	}
	host, ok := p.peers.Pick(q.match.Service.Name, q.triedHosts, p.clock.Now())
	return host, ok && p.mayRelay(q, host)
}

// mayRelay reports whether a request may be sent to another host, as far as the regions go that
// its route allows.
func (p *Proxy) mayRelay(q *request, host peers.Host) bool {
	return q.match.Route.Regions == nil || p.allowsDomain(q, host.Domain)
}

// holder returns the host that holds the queue of the owner of a request's key or, without a key,
// one that selects targets, if that is another one. A request whose relay to such a host came to
// nothing is sent directly.
func (p *Proxy) holder(q *request) (peers.Host, bool) {
	if len(q.triedHosts) > 0 {
		return peers.Host{}, false
	}
	if !q.match.Service.Keyed {
		return p.dispatcher(q)
	}
	if !q.keyed() || !p.OwnerQueue() {
		return peers.Host{}, false
	}
	target, _ := p.currentOwner(q)
	entry, ok := p.targets.Entry(target)
	if !ok {
		return peers.Host{}, false
	}
	host, ok := p.peers.Holder(entry.ID, entry.Domain, entry.Service, p.clock.Now())
	if ok {
		q.queueOwner = entry.ID
	}
	return host, ok
}

// objectiveTimes is how many times as long as a request usually takes its objective is assumed to
// be.
const objectiveTimes = 4

// dispatcher returns the host that selects the target of a request, if that is another one. The
// number of such hosts follows the requests a second that the targets of this failure domain bear.
func (p *Proxy) dispatcher(q *request) (peers.Host, bool) {
	if !p.Dispatches() || q.match.Route.Objective <= 0 {
		return peers.Host{}, false
	}
	service := q.match.Service.Name
	perSecond := float64(p.targets.DomainSlots(service)) * objectiveTimes / q.match.Route.Objective.Seconds()
	host, ok := p.peers.Dispatcher(service, perSecond, p.clock.Now())
	q.dispatched = ok
	return host, ok
}

// toHolder reports whether a request is relayed to a host because of that host's part in all
// requests, not because this host has lost its path to the targets.
func (q *request) toHolder() bool { return q.queueOwner != "" || q.dispatched }
