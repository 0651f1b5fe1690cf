package gateway

import (
	"k8s.io/klog/v2"

	"pineturn/core/poison"
)

// connectPoison connects what this host knows of requests that end targets with the leader, which
// puts together what all hosts have observed, and with the record that all hosts read.
func (g *Gateway) connectPoison() {
	g.poison.HandleBlock = func(b poison.Block) {
		klog.InfoS("Requests that end targets are refused from now on", "fingerprint", b.Fingerprint, "targets", b.Targets, "versions", b.Versions, "ids", b.Requests)
	}
	g.reporter.Poison = func(n int) ([]poison.Event, int) { return g.poison.Events(n, g.clock.Now()) }
	g.links.HandlePoison = func(events []poison.Event) { g.poison.AddEvents(events, g.clock.Now()) }
	g.catalog.HandleBlocked = g.applyBlocked
	g.coordinator.Unrecorded = g.unrecordedBlocks
}

// poisonRole returns the role of this host in finding requests that end targets.
func (g *Gateway) poisonRole(leading bool) poison.Role {
	switch {
	case leading:
		return poison.Leader
	case g.catalog.RelayActive():
		return poison.Follower
	}
	return poison.Alone
}

// applyBlocked applies the record of the requests that are refused; nil if there is none.
func (g *Gateway) applyBlocked(value []byte) {
	if value == nil {
		g.poison.LoseRecord()
		return
	}
	blocks, err := poison.Decode(value)
	if err != nil {
		klog.ErrorS(err, "Failed to decode the requests that are refused, keeping those known")
		return
	}
	refused := len(g.poison.Blocks(g.clock.Now()))
	g.poison.SetRecord(blocks, g.clock.Now())
	if now := len(g.poison.Blocks(g.clock.Now())); now != refused {
		klog.InfoS("Requests that are refused changed", "refused", now, "refusedBefore", refused, "recorded", len(blocks))
	}
}

// unrecordedBlocks returns the record of the requests that are refused, and whether the store
// has another one.
func (g *Gateway) unrecordedBlocks() (record []byte, differs bool) {
	blocks, differs := g.poison.Unrecorded(g.clock.Now())
	if !differs {
		return nil, false
	}
	record, err := poison.Encode(blocks)
	if err != nil {
		klog.ErrorS(err, "Failed to encode the requests that are refused")
		return nil, false
	}
	return record, true
}
