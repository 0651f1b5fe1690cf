//go:build review3

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
	// statementTimeout is the timeout of landlord-statement, longWork within the longest that it works.
	statementTimeout = 4 * time.Second
	longWork         = 3 * time.Second
	usualWork        = 100 * time.Millisecond
)

// grantCopy has a backend write the answer to a grant once more, late, where the answer to the next grant
// is due, and carry that next grant out late without an answer. Then the backend is drained, while requests
// wait for its slots.
func grantCopy(r *rig) (int, error) {
	if err := r.configure([]route{
		{Name: "r-statement", Host: "site.example", PathPrefix: "/records/", Kind: "safe", TimeoutS: statementTimeout.Seconds(), TargetS: 2, Priority: 2, Service: "records", Attempts: 2},
	}, []service{{Name: "records", HealthPath: "/health", MaxConnections: 110, Protocol: "h1", Sharding: true, WarmS: 5}}); err != nil {
		return 0, err
	}
	if err := r.addBackends("records"); err != nil {
		return 0, err
	}
	if err := r.startHosts("pos-a", "pos-b", "chag-a"); err != nil {
		return 0, err
	}
	time.Sleep(calmTime)
	clients := newClient(r, "/records/statement", 8*time.Second)
	go clients.run(50*time.Millisecond, usualWork)
	faulty := r.backends["i-1"]
	unanswered := faulty.nextGrant(r.trouble)
	o := <-unanswered
	faulty.fill(r, clients, o)
	time.Sleep(500 * time.Millisecond)
	r.setState("i-1", "draining")
	time.Sleep(6 * time.Second)
	close(clients.stop)
	time.Sleep(2 * time.Second)
	one, other, found := r.rec.bothBegan()
	if !found {
		r.rec.line("OWNER held: no two backends began requests on keys that both held at the time")
		return held, nil
	}
	r.rec.line("OWNER broken: backend %s began %s on key %d at %.3f and backend %s began %s on key %d at %.3f, on keys that both held all the while",
		one.backend, one.id, one.key, r.rec.at(one.at), other.backend, other.id, other.key, r.rec.at(other.at))
	return broken, nil
}

// fill has clients send two requests that take long, for keys of another range than that of an order, and then
// some for keys of that range: these wait for a slot.
func (b *backend) fill(r *rig, clients *client, o order) {
	b.mu.Lock()
	var elsewhere []int
	for first := range b.granted {
		if first != o.From {
			elsewhere = append(elsewhere, first)
		}
	}
	b.mu.Unlock()
	for i := range b.slots {
		go clients.send(r.hosts[0], elsewhere[0]+i, longWork)
	}
	time.Sleep(50 * time.Millisecond)
	for i := range 3 {
		go clients.send(r.hosts[0], o.From+i, usualWork)
	}
}

// nextGrant returns a channel that gets the next renewal that arrives on a connection that has carried an answer to a
// grant. In trouble the backend then writes that answer once more, and carries the renewal out late without an answer.
func (b *backend) nextGrant(trouble bool) chan order {
	arrivedAt := make(chan order, 1)
	var once sync.Once
	b.mu.Lock()
	defer b.mu.Unlock()
	b.grantHook = func(c *conn, o order, arrived time.Time) bool {
		taken := false
		if c.lastGrantAnswer == nil {
			return false
		}
		once.Do(func() {
			arrivedAt <- o
			taken = trouble
			if !trouble {
				return
			}
			b.rec.line("backend %s: grant %d-%d fence %d gets no answer; the backend writes its answer to the grant before once more", b.id, o.From, o.To, o.Fence)
			if os.Getenv("TROUBLE") != "late" {
				_, _ = c.Write(c.lastGrantAnswer)
			}
			time.AfterFunc(lateBy, func() {
				if status := b.apply(o, arrived, "carried out late"); status != http.StatusOK {
					b.rec.line("backend %s: late grant not carried out: %d", b.id, status)
				}
			})
		})
		return taken
	}
	return arrivedAt
}
