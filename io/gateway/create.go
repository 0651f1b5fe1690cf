package gateway

import (
	"pineturn/core/budget"
	"pineturn/core/hostcount"
	"pineturn/core/owner"
	"pineturn/core/peers"
	"pineturn/core/placement"
	"pineturn/core/poison"
	"pineturn/core/ratelimit"
	"pineturn/io/coordinator"
	"pineturn/io/hostlink"
	"pineturn/io/metastore"
	"pineturn/io/proxy"
	"pineturn/platform"
)

// createTables creates the client of the store and the tables that hold what this host knows.
func (g *Gateway) createTables() {
	g.store = platform.NewStore(g.settings.StoreAddress)
	g.store.Observe = g.metrics.observeStoreCall
	g.hosts = hostcount.New()
	g.limits = ratelimit.NewDivider(g.hosts)
	g.targets = placement.NewSet(g.settings.Domain)
	g.targets.Hosts = g.hosts.Hosts
	g.catalog = metastore.NewCatalog(g.clock, g.targets)
	g.targets.Cold, g.targets.Sender = g.coldBound, g.sendsAll
	g.peers = peers.New(peers.Host{Address: peerAddress(g.settings), Domain: g.settings.Domain, Incarnation: g.incarnation, Cores: peers.RelayCapacity(g.settings.Cores, g.settings.LinkRate)})
}

// createProxy creates what serves callers' requests.
func (g *Gateway) createProxy() {
	g.pool = proxy.NewPool()
	g.budget = budget.New(g.settings.RetryRatio, g.settings.RetryExtra, g.settings.RetryWindow, g.hosts)
	g.budget.Observe = g.metrics.observeRetry
	if !g.settings.FirstStart {
		g.budget.MarkRestarted(g.started)
	}
	g.poison = poison.NewTracker()
	g.proxy = proxy.New(g.catalog, g.targets, g.budget, g.poison, g.pool, g.peers, g.clock)
	g.proxy.HandleRecord = g.recordRequest
	g.proxy.Regions = g.settings.Regions
}

// createCoordinator creates what takes part in the election and leads.
func (g *Gateway) createCoordinator() {
	self := coordinator.Host{
		Name: g.settings.Name, Incarnation: g.incarnation, Address: peerAddress(g.settings), Cores: g.settings.Cores, FirstStart: g.settings.FirstStart,
	}
	g.coordinator = coordinator.New(self, g.settings.MaxLease, g.store, g.catalog, g.targets, g.clock)
	g.coordinator.PredecessorEnded = g.predecessorEnded
	g.coordinator.Yields = g.yields
	g.coordinator.HandleUnanswered = g.proxy.RecordUnanswered
	g.coordinator.HandleMoves = g.metrics.observeMoves
}

// connectReads sets how this host reads the store, by whether it leads.
func (g *Gateway) connectReads() {
	g.catalog.SetReadTimes(g.ownerReadWait, g.readWait, g.batchDelay)
	g.catalog.SetDefers(func() bool { return !g.coordinator.Leading() })
	g.catalog.SetRelayAge(relayAge(g.settings.UpdateBound))
	g.catalog.SetDomainDrainBound(g.settings.DomainDrainBound)
	g.catalog.SetEntryLifetime(g.settings.EntryLifetime)
}

// connectLinks creates the server of links from other hosts, whose leader this host may be.
func (g *Gateway) connectLinks() {
	g.links = hostlink.NewServer(g.incarnation, g.clock)
	g.links.HandleReport = g.coordinator.AddReport
	g.coordinator.Hosts = g.links.Hosts
	g.links.HandleOwners = g.catalog.ApplyOwners
	g.links.Leadership = g.leadership
	g.links.Unaccounted = g.coordinator.UnaccountedGrants
	g.links.Subscribe = g.feed
	g.links.Owners = g.catalog.OwnersRecord
	g.links.Snapshot = metastore.NewSnapshots(g.catalog, g.store).Get
	g.links.Self = g.peers.Self
}

// connectReporter creates the link of this host to the leader.
func (g *Gateway) connectReporter() {
	g.reporter = hostlink.NewReporter(g.clock)
	g.reporter.Leader = g.leader
	g.reporter.Report = g.proxy.Report
	g.reporter.HandleReport = func(report owner.Report) {
		g.hosts.Set(g.links.Hosts(), g.clock.Now())
		g.coordinator.AddReport(report)
	}
	g.reporter.Self = g.peers.Self
	g.reporter.WhileLeading = func() { g.peers.Put(g.links.Peers(), g.clock.Now()) }
	g.reporter.HandleFeed = g.applyFeed
	g.reporter.Lacks = g.catalog.Lacks
}

// connectFinder creates what asks other hosts for the leader when neither the store nor the
// leader known here tells.
func (g *Gateway) connectFinder() {
	g.finder = hostlink.NewFinder(g.clock)
	g.finder.Lost = func() bool { return !g.coordinator.Leading() && g.catalog.LeaderLost() }
	g.finder.Epoch = func() int64 {
		epoch, _ := g.leadership()
		return epoch
	}
	g.finder.Hosts = func() []peers.Host { return g.peers.Hosts(g.clock.Now()) }
	g.finder.HandleOwners = g.catalog.ApplyOwners
}

// applyFeed takes over what the leader relays.
func (g *Gateway) applyFeed(feed hostlink.Feed) {
	now := g.clock.Now()
	g.hosts.Set(feed.Hosts, now)
	limits := ratelimit.Update{Shares: feed.Limits, Continues: feed.LimitsContinue}
	g.targets.ApplyLimits(limits, now.Add(-feed.Delay), now)
	g.targets.ApplyDepartures(feed.Departures, now)
	if len(feed.Peers) > 0 {
		g.peers.Put(feed.Peers, now)
	}
	if feed.PeerChanges != nil {
		g.peers.Apply(*feed.PeerChanges, now)
	}
	g.catalog.ApplyRelayed(feed.Updates, feed.Watermarks)
}

// connectDepartures connects what this host knows of targets that leave with the leader, which
// moves their keys, and with the hosts that are linked to this one.
func (g *Gateway) connectDepartures() {
	g.links.HandleDepartures = func(all []placement.Departure) { g.targets.ApplyDepartures(all, g.clock.Now()) }
	g.links.Departures = func(n int) ([]placement.Departure, int) { return g.targets.Departures(n, false) }
	g.reporter.Departures = func(n int) ([]placement.Departure, int) { return g.targets.Departures(n, true) }
}
