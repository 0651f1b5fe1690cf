package gateway

import "pineturn/core/owner"

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
