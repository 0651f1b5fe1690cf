package gateway

import (
	"pineturn/core/placement"
	"pineturn/core/ratelimit"
)

// connectLimits connects what this host knows of the limits of targets with the leader, which
// divides them, and with the hosts that are linked to this one.
func (g *Gateway) connectLimits() {
	g.reporter.Limits = func() []ratelimit.Observation { return g.targets.Limits(g.clock.Now()) }
	g.reporter.LimitsChanged = g.targets.TakeLimitsChanged
	g.links.HandleLimits = func(host string, known []ratelimit.Observation) { g.limits.AddReport(host, known, g.clock.Now()) }
	g.links.Limits = g.nextLimits
	g.reporter.Leading = func() bool {
		leading := g.coordinator.Leading()
		g.limits.SetLeading(leading, g.clock.Now())
		g.poison.SetRole(g.poisonRole(leading), g.clock.Now())
		return leading
	}
	whileLeading := g.reporter.WhileLeading
	var told ratelimit.Told
	g.reporter.WhileLeading = func() {
		whileLeading()
		g.applyOwnLimits(&told)
	}
}

// nextLimits returns what a host, by its address, is to know of the limits of targets beyond
// what it has been told.
func (g *Gateway) nextLimits(host string, told *ratelimit.Told) ratelimit.Update {
	return g.limits.Update(host, told, g.links.Hosts(), g.clock.Now())
}

// applyOwnLimits divides the limits of targets for this host itself, while it leads.
func (g *Gateway) applyOwnLimits(told *ratelimit.Told) {
	self, now := g.peers.Self().Address, g.clock.Now()
	g.limits.AddReport(self, g.targets.Limits(now), now)
	g.targets.ApplyLimits(g.nextLimits(self, told), now, now)
}

// coldBound returns what a target of a service bears while it is cold.
func (g *Gateway) coldBound(service string) placement.Cold {
	table := g.catalog.Table()
	if table == nil {
		return placement.Cold{}
	}
	configured := table.Config().Services[service]
	return placement.Cold{
		Time:  configured.ColdTime,
		Bound: ratelimit.Bound{PerSecond: configured.ColdRate, Overage: g.settings.ColdOverage, Slack: g.settings.ColdSlack},
	}
}

// sendsAll reports whether this host sends nearly all requests for a target, because it holds the
// queue of the owner.
func (g *Gateway) sendsAll(target *placement.Entry) bool {
	table := g.catalog.Table()
	if table == nil || target.Domain != g.settings.Domain || !g.ownerQueue.Enabled() || !table.Config().Services[target.Service].Keyed {
		return false
	}
	_, other := g.peers.Holder(target.ID, target.Domain, target.Service, g.clock.Now())
	return !other
}
