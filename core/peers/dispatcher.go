package peers

import (
	"cmp"
	"slices"
	"time"
)

const (
	// dispatchCost is the processor time, in seconds, that a relayed request takes at the host that
	// selects its target.
	dispatchCost = 400e-6
	// maxDispatchShare is the part of a host's cores that relayed requests may take.
	maxDispatchShare = 1. / 3
)

// Dispatcher returns the host that selects the target of a request to a service without keys, for
// a number of requests a second to that service from this host's failure domain. It returns false
// if that is this host, or if no host of the domain can be used now.
//
// It answers the load pattern of many hosts that share many targets: each host sends few requests
// to each target, and learns too late of those that are full, slow, or fail. As few hosts as bear
// the requests select targets for all of a domain: the first ones by rendezvous, weighed by their
// cores. Hosts that disagree on the rate use the same hosts and some more.
func (t *Table) Dispatcher(service string, perSecond float64, now time.Time) (Host, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	candidates := t.dispatchers(service, now)
	if len(candidates) == 0 {
		return Host{}, false
	}
	need := perSecond * dispatchCost / maxDispatchShare
	cores, n := 0., 0
	for n < len(candidates) && (n == 0 || cores < need) {
		cores += candidates[n].Cores
		n++
	}
	at := cores * float64(t.Random(randomSteps)) / randomSteps
	for _, c := range candidates[:n-1] {
		if at < c.Cores {
			return *c.Host, c.Host != &t.self
		}
		at -= c.Cores
	}
	last := candidates[n-1]
	return *last.Host, last.Host != &t.self
}

// randomSteps is the number of steps of a random choice by weight.
const randomSteps = 1 << 16

// scored is a host with its score for a service.
type scored struct {
	*Host
	score float64
}

// dispatchers returns the hosts of this host's failure domain that may select targets of a
// service now, by rendezvous. The caller holds mu.
func (t *Table) dispatchers(service string, now time.Time) []scored {
	if !t.forgetAt.IsZero() && !now.Before(t.forgetAt) {
		t.forget(now)
	}
	if t.holders == nil {
		t.groupHolders()
	}
	seed := hash(service)
	var usable []scored
	if !t.stopping && t.self.Cores > 0 && !slices.Contains(t.self.Detached, service) {
		usable = append(usable, scored{&t.self, score(hash(t.self.Address), seed, t.self.Cores)})
	}
	for _, e := range t.holders[t.self.Domain] {
		if e.usable(service, now) {
			usable = append(usable, scored{&e.Host, score(e.seed, seed, e.Cores)})
		}
	}
	slices.SortFunc(usable, func(a, b scored) int { return cmp.Compare(a.score, b.score) })
	return usable
}
