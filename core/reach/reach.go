// Package reach decides whether this host has lost its network path to the targets of
// a service. A host that has lost it relays requests to other hosts.
//
// Responses and new connections are contacts: they prove the path. A connection that
// fails, or a send without a response for longer than expected, makes the path suspect;
// then connections to several targets of the service are probed. If none of them is
// accepted, it is the path that is lost and not a target. While it is lost, it is probed
// further, and it counts as restored when targets have accepted connections repeatedly.
//
// It answers the load pattern of a host that is cut off from all targets, of all services
// or of one, while callers and the other hosts still reach it (TestLost).
package reach

import (
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// overdueFactor and overdueMargin give the time after which a send without a
	// response is overdue: the factor times its expected latency, plus the margin.
	overdueFactor = 2
	overdueMargin = 200 * time.Millisecond
	// probeInterval is the time between two rounds of probes of a suspect or lost
	// path. While a path is suspect and the probes succeed, it doubles up to
	// maxProbeInterval.
	probeInterval    = 250 * time.Millisecond
	maxProbeInterval = time.Second
	// roundsToRestore is the number of consecutive rounds of probes with an accepted
	// connection after which a lost path counts as restored.
	roundsToRestore = 2
)

// Detector keeps the state of the paths to the targets of each service. It is safe for
// concurrent use.
type Detector struct {
	mu       sync.Mutex
	services map[string]*path
}

// path is the state of the path to the targets of one service.
type path struct {
	// respondedAt is the time of the last response, connectedAt that of the last
	// connection that was accepted, and failedAt that of the last one that failed.
	respondedAt, connectedAt, failedAt time.Time
	// sends are the sends without a response.
	sends map[*Send]bool
	// probedAt is the time at which the last round of probes started, and interval
	// the time from it to the next one.
	probedAt time.Time
	interval time.Duration
	probing  bool
	lost     bool
	// restoring is the number of consecutive successful rounds since the path was lost.
	restoring int
}

// Send is a request in flight to a target.
type Send struct {
	path      *path
	sentAt    time.Time
	overdueAt time.Time
	// onLost is called once the send is overdue and the path is lost; nil for none.
	onLost func()
}

// New returns a detector to which all paths count as intact.
func New() *Detector { return &Detector{services: make(map[string]*path)} }

func (d *Detector) path(service string) *path {
	p := d.services[service]
	if p == nil {
		p = &path{sends: make(map[*Send]bool), interval: probeInterval}
		d.services[service] = p
	}
	return p
}

// Sent records that a request was sent to a target of a service, which is expected to
// respond within the given latency. If the send is overdue while the path is lost, onLost
// is called once; it may be nil. End must be called for the result.
func (d *Detector) Sent(service string, expected time.Duration, onLost func(), now time.Time) *Send {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.path(service)
	s := &Send{path: p, sentAt: now, overdueAt: now.Add(overdueFactor*expected + overdueMargin), onLost: onLost}
	p.sends[s] = true
	return s
}

// End records the end of a send. responded reports whether the target has responded.
func (d *Detector) End(s *Send, responded bool, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(s.path.sends, s)
	if responded {
		s.path.respondedAt = now
	}
}

// Connected records that a target of a service has accepted a connection.
func (d *Detector) Connected(service string, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.path(service).connectedAt = now
}

// Failed records that a connection to a target of a service failed, or that an order to
// one was not answered.
func (d *Detector) Failed(service string, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.path(service).failedAt = now
}

// Due returns the services whose targets are to be probed now, sorted. Each must be
// followed by a call of Probed.
func (d *Detector) Due(now time.Time) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var due []string
	for _, service := range slices.Sorted(maps.Keys(d.services)) {
		p := d.services[service]
		switch {
		case p.probing:
			continue
		case !p.lost && !p.suspect(now):
			if now.Sub(p.probedAt) >= maxProbeInterval {
				p.interval = probeInterval
			}
			continue
		case now.Sub(p.probedAt) < p.interval:
			continue
		}
		p.probing, p.probedAt = true, now
		due = append(due, service)
	}
	return due
}

// suspect reports whether a connection has failed without an accepted one since, or a
// send has become overdue without any contact since. Responses alone say nothing of new
// connections: open ones may live on while new ones fail.
func (p *path) suspect(now time.Time) bool {
	if p.failedAt.After(p.connectedAt) {
		return true
	}
	for s := range p.sends {
		if now.After(s.overdueAt) && s.sentAt.After(p.connectedAt) && s.sentAt.After(p.respondedAt) {
			return true
		}
	}
	return false
}

// Probed records the result of a round of probes: how many targets of the service were
// probed, and how many of them accepted a connection. It reports whether the path was
// lost or restored by it. A service without targets has no lost path.
func (d *Detector) Probed(service string, probed, accepted int, now time.Time) (changed bool) {
	changed, overdue := d.recordRound(service, probed, accepted, now)
	for _, onLost := range overdue {
		onLost()
	}
	return changed
}

// recordRound also returns the functions to be called for overdue sends on a lost path.
func (d *Detector) recordRound(service string, probed, accepted int, now time.Time) (changed bool, overdue []func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.path(service)
	p.probing = false
	switch {
	case probed > 0 && accepted == 0:
		changed = !p.lost
		p.lost, p.restoring, p.interval = true, 0, probeInterval
		return changed, p.takeOverdue(now)
	case p.lost:
		return p.restore(probed == 0, now), nil
	case probed > 0:
		p.connectedAt = now
		p.interval = min(2*p.interval, maxProbeInterval)
	}
	return false, nil
}

func (p *path) takeOverdue(now time.Time) []func() {
	var overdue []func()
	for s := range p.sends {
		if s.onLost != nil && now.After(s.overdueAt) {
			overdue = append(overdue, s.onLost)
			s.onLost = nil
		}
	}
	return overdue
}

// restore counts a successful round of a lost path and reports whether the path is
// restored by it.
func (p *path) restore(noTargets bool, now time.Time) bool {
	p.restoring++
	if p.restoring < roundsToRestore && !noTargets {
		return false
	}
	p.lost, p.connectedAt = false, now
	return true
}

// IsLost reports whether the path to the targets of a service is lost.
func (d *Detector) IsLost(service string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.services[service]
	return p != nil && p.lost
}

// LostServices returns the services whose targets this host has no path to, sorted.
func (d *Detector) LostServices() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var lost []string
	for service, p := range d.services {
		if p.lost {
			lost = append(lost, service)
		}
	}
	slices.Sort(lost)
	return lost
}
