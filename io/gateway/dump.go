package gateway

import (
	"encoding/json"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"pineturn/core/dump"
	"pineturn/core/owner"
)

// dump returns the state of this host, as served at /state.
func (g *Gateway) dump() dump.State {
	now := g.clock.Now()
	d := dump.State{
		Host: g.settings.Name, Incarnation: g.incarnation, UptimeS: now.Sub(g.started).Seconds(),
		Ready: g.catalog.Ready(), Stopping: g.stop.stopping(), Leading: g.coordinator.Leading(),
		AgesS: make(map[string]float64), Targets: g.targets.States(now), Keys: make(map[string][]dump.Range),
		Requests: make(map[string]int), Peers: g.peers.Hosts(now), OwnerQueue: g.ownerQueue.Enabled(), Blocked: g.poison.Blocks(now),
		DrainedDomains: g.dumpDrains(now),
	}
	for topic, name := range ageNames {
		d.AgesS[name] = g.catalog.Age(topic).Seconds()
	}
	if table := g.catalog.Table(); table != nil {
		config := table.Config()
		d.Version, d.Routes, d.Services, d.Limits = config.Version, config.Routes, config.Services, config.Limits
	}
	for _, t := range d.Targets {
		d.Requests[t.Service] += t.InFlight
	}
	if a := g.catalog.Assignment(); a != nil {
		d.Leader, d.Epoch = a.Leader, a.Epoch
		for service, ranges := range a.Services {
			d.Keys[service] = dumpRanges(ranges)
		}
	}
	return d
}

func dumpRanges(ranges []owner.Range) []dump.Range {
	dumped := make([]dump.Range, len(ranges))
	for i, r := range ranges {
		dumped[i] = dump.Range{First: r.First, Last: r.Last, Owner: r.Owner.Target}
		for _, f := range r.Former {
			dumped[i].Former = append(dumped[i].Former, f.Target)
		}
	}
	return dumped
}

// dumpDrains returns the failure domains that are drained.
func (g *Gateway) dumpDrains(now time.Time) []dump.DrainedDomain {
	var dumped []dump.DrainedDomain
	for _, d := range g.catalog.DomainDrains() {
		dumped = append(dumped, dump.DrainedDomain{
			Domain: d.Domain, SinceS: now.Sub(d.Since).Seconds(), Offset: d.Offset, Era: d.Era,
			OwnersForS: max(d.OwnersUntil.Sub(now), 0).Seconds(),
		})
	}
	return dumped
}

// movingRanges returns the number of ranges of keys that still have a former
// owner.
func (g *Gateway) movingRanges() int {
	a := g.catalog.Assignment()
	if a == nil {
		return 0
	}
	n := 0
	for _, ranges := range a.Services {
		for _, r := range ranges {
			if len(r.Former) > 0 {
				n++
			}
		}
	}
	return n
}

// operatorHandler serves the metrics at /metrics and the state at /state.
func (g *Gateway) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", g.metrics.handler())
	mux.HandleFunc("GET /state", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		if err := encoder.Encode(g.dump()); err != nil {
			klog.ErrorS(err, "Failed to write the state")
		}
	})
	return mux
}

// droppedLinesInterval is the time between two reports of dropped log lines.
const droppedLinesInterval = 10 * time.Second

// logDroppedLines logs the total numbers of dropped log lines whenever they have
// grown.
func (g *Gateway) logDroppedLines(done <-chan struct{}) {
	tick := time.NewTicker(droppedLinesInterval)
	defer tick.Stop()
	var last int64
	for {
		select {
		case <-done:
			return
		case <-tick.C:
		}
		failures, successes, slow := g.metrics.failureLimiter.Dropped(), g.metrics.successLimiter.Dropped(), g.logs.Dropped()
		if all := failures + successes + slow; all != last {
			last = all
			klog.InfoS("Log lines were dropped", "failures", failures, "successes", successes, "outputSlow", slow)
		}
	}
}
