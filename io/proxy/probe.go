package proxy

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"pineturn/core/placement"
)

const (
	// probePollInterval is the time between checks whether probes are due.
	probePollInterval = 50 * time.Millisecond
	// probeTimeout limits the time to connect to a target in a probe.
	probeTimeout = 250 * time.Millisecond
	// probesPerRound is the number of targets of a service that a round probes.
	probesPerRound = 3
)

// Run probes the targets of services whose path may be lost, until the context ends.
func (p *Proxy) Run(ctx context.Context) {
	defer close(p.done)
	tick := time.NewTicker(probePollInterval)
	defer tick.Stop()
	var rounds sync.WaitGroup
	defer rounds.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		for _, service := range p.reach.Due(p.clock.Now()) {
			rounds.Go(func() { p.probe(ctx, service) })
		}
	}
}

// Done is closed when Run has returned.
func (p *Proxy) Done() <-chan struct{} { return p.done }

// probe connects to some targets of a service at the same time and records how many
// accepted.
func (p *Proxy) probe(ctx context.Context, service string) {
	chosen := p.probeTargets(service)
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var accepted atomic.Int64
	var dials sync.WaitGroup
	for _, entry := range chosen {
		dials.Go(func() {
			conn, err := p.pool.Dial(ctx, "tcp", entry.Address)
			if err != nil {
				return
			}
			accepted.Add(1)
			_ = conn.Close()
		})
	}
	dials.Wait()
	if !p.reach.Probed(service, len(chosen), int(accepted.Load()), p.clock.Now()) {
		return
	}
	lost := p.publishDetached()
	klog.InfoS("Path to the targets of a service changed", "service", service, "lost", p.reach.IsLost(service),
		"probed", len(chosen), "accepted", accepted.Load(), "lostServices", lost)
	for _, entry := range p.targets.Entries(service) {
		p.pool.Get(entry.ID).CloseIdleConnections()
	}
}

// publishDetached makes the services without a path known to the other hosts, and returns
// them. Rounds of several services may end at the same time.
func (p *Proxy) publishDetached() []string {
	p.detachedMu.Lock()
	defer p.detachedMu.Unlock()
	lost := p.reach.LostServices()
	p.peers.SetDetached(lost)
	return lost
}

// probeTargets returns up to probesPerRound random targets of a service that are not
// draining, nor in a failure domain that is drained.
func (p *Proxy) probeTargets(service string) []placement.Entry {
	var entries []placement.Entry
	for _, e := range p.targets.Entries(service) {
		if !e.Draining && !p.targets.DrainsDomain(e.Domain) {
			entries = append(entries, e)
		}
	}
	rand.Shuffle(len(entries), func(i, j int) { entries[i], entries[j] = entries[j], entries[i] })
	return entries[:min(len(entries), probesPerRound)]
}
