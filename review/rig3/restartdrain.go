//go:build review3

package main

import (
	"os"
	"time"
)

const (
	// outage is how long the store is down, after a tenth of a second before the backend starts again.
	outage = 6900 * time.Millisecond
	// maxOverlap is the time for which two backends may hold the same keys (OWNER).
	maxOverlap = 500 * time.Millisecond
)

// restartDrain has a backend crash and start again under its id just before the store goes down, and leave as
// the store comes back: the first entry of its new lifetime says that it is draining.
func restartDrain(r *rig) (int, error) {
	if err := r.configure([]route{
		{Name: "r-records", Host: "site.example", PathPrefix: "/records/", Kind: "safe", TimeoutS: 2.5, TargetS: 1.2, Priority: 2, Service: "records", Attempts: 2},
	}, []service{{Name: "records", HealthPath: "/health", MaxConnections: 110, Protocol: "h1", Sharding: true, WarmS: 5}}); err != nil {
		return 0, err
	}
	if err := r.addBackends("records"); err != nil {
		return 0, err
	}
	if err := r.startHosts("pos-a", "pos-b", "chag-a"); err != nil {
		return 0, err
	}
	time.Sleep(10 * time.Second)
	variant := os.Getenv("TROUBLE")
	b := r.backends["i-1"]
	if r.trouble && variant != "outage" {
		b.crash()
		time.Sleep(100 * time.Millisecond)
	}
	if r.trouble && variant != "crash" {
		r.setStoreDown(true)
	}
	if r.trouble && variant != "outage" {
		time.Sleep(100 * time.Millisecond)
		if err := b.restart(); err != nil {
			return 0, err
		}
	}
	time.Sleep(outage)
	r.leave("i-1")
	if r.trouble && variant != "crash" {
		r.setStoreDown(false)
	}
	time.Sleep(100 * time.Millisecond)
	r.setState("i-1", "draining")
	time.Sleep(8 * time.Second)
	return r.checkOwners()
}

// checkOwners checks the rule OWNER.
func (r *rig) checkOwners() (int, error) {
	o := r.rec.longestOverlap()
	if o.length <= maxOverlap {
		r.rec.line("OWNER held: no keys were held by two backends for over %v (longest %v)", maxOverlap, o.length)
		return held, nil
	}
	r.rec.line("OWNER broken: backends %s and %s both held keys %d-%d for %v, from %.3f", o.one.backend, o.other.backend, o.first, o.last, o.length, max(r.rec.at(o.one.from), r.rec.at(o.other.from)))
	return broken, nil
}
