package main

import (
	"net/http"
	"os"
	"sync"
	"time"
)

const (
	// lateBy is how long after its arrival an unanswered grant is carried out: 2 to 12 s by the pages.
	lateBy = 2 * time.Second
	// calmTime is the time before the disruption, in which the backend answers over 40 grants.
	calmTime = 20 * time.Second
	// maxOverlap is the time for which two backends may hold the same keys (OWNER).
	maxOverlap = 500 * time.Millisecond
)

// grantCopy has a backend write the answer to a grant once more, late, where the answer to the next grant
// is due, and carry that next grant out late without an answer. Then the backend is drained.
func grantCopy(r *rig) (int, error) {
	if err := r.configure(7, []route{
		{Name: "r-records", Host: "site.example", PathPrefix: "/records/", Kind: "safe", TimeoutS: 2.5, TargetS: 1.2, Priority: 2, Service: "records", Attempts: 2},
	}, []service{{Name: "records", HealthPath: "/health", MaxConnections: 110, Protocol: "h1", Sharding: true, WarmS: 5}}); err != nil {
		return 0, err
	}
	for _, id := range []string{"i-1", "i-2", "i-3"} {
		if _, err := r.add(id, "records", "pos-a", true); err != nil {
			return 0, err
		}
	}
	if err := r.startHosts("pos-a", "pos-b", "chag-a"); err != nil {
		return 0, err
	}
	time.Sleep(calmTime)
	faulty := r.backends["i-1"]
	if r.trouble {
		armed, applied := faulty.copyNextGrantAnswer()
		<-armed
		time.Sleep(500 * time.Millisecond)
		r.setState("i-1", "draining")
		<-applied
	} else {
		r.setState("i-1", "draining")
	}
	time.Sleep(6 * time.Second)
	o := r.rec.longestOverlap()
	if o.length <= maxOverlap {
		r.rec.line("OWNER held: no keys were held by two backends for over %v (longest %v)", maxOverlap, o.length)
		return held, nil
	}
	r.rec.line("OWNER broken: backends %s and %s both held keys %d-%d for %v, from %.3f", o.one.backend, o.other.backend, o.first, o.last, o.length, max(r.rec.at(o.one.from), r.rec.at(o.other.from)))
	return broken, nil
}

// copyNextGrantAnswer makes the backend answer the next renewal with a copy of the answer before, and carry
// it out late. armed is closed once the copy was written, applied once the grant was carried out.
func (b *backend) copyNextGrantAnswer() (armed, applied chan struct{}) {
	armed, applied = make(chan struct{}), make(chan struct{})
	var once sync.Once
	b.mu.Lock()
	defer b.mu.Unlock()
	b.grantHook = func(c *conn, o order, arrived time.Time) bool {
		taken := false
		if c.lastGrantAnswer == nil {
			return false
		}
		once.Do(func() {
			taken = true
			b.rec.line("backend %s: grant %d-%d fence %d gets no answer; the backend writes its answer to the grant before once more", b.id, o.From, o.To, o.Fence)
			if os.Getenv("TROUBLE") != "late" {
				_, _ = c.Write(c.lastGrantAnswer)
			}
			close(armed)
			time.AfterFunc(lateBy, func() {
				if status := b.apply(o, arrived, "carried out late"); status != http.StatusOK {
					b.rec.line("backend %s: late grant not carried out: %d", b.id, status)
				}
				close(applied)
			})
		})
		return taken
	}
	return armed, applied
}
