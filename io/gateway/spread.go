package gateway

import (
	"pineturn/core/feature"
	"pineturn/core/owner"
)

// minSpreadHosts is the number of hosts in service from which on keys are spread by default. Fewer
// hosts serve fewer targets, which one round of rebalancing a second keeps level.
const minSpreadHosts = 24

// useSpreadKeys sets whether hot regions of keys are spread soon and finely over their owners. It is
// called before Run.
func (g *Gateway) useSpreadKeys(setting feature.Setting) {
	spread := feature.New(setting, minSpreadHosts, g.linkedHosts)
	g.coordinator.SpreadKeys = spread.Enabled
	g.coordinator.HandleMoves = g.metrics.observeMoves
	g.reporter.Frequent = spread.Enabled
}

// linkedHosts returns the number of hosts that are linked to the leader, which this host may be.
func (g *Gateway) linkedHosts() int {
	if g.coordinator.Leading() {
		return g.links.Hosts()
	}
	return g.reporter.Hosts()
}

// observeMoves records a round of rebalancing.
func (m *metrics) observeMoves(service string, moves owner.Moves) {
	service = m.serviceLabel(service)
	m.moves.WithLabelValues(service, "overload").Add(float64(moves.Overload))
	m.moves.WithLabelValues(service, "hot-key").Add(float64(moves.HotKey))
	m.moves.WithLabelValues(service, "join").Add(float64(moves.Joined))
	m.unservable.WithLabelValues(service).Set(moves.Unservable)
}
