package main

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

// keySpace is the number of keys of a service.
const keySpace = 1 << 16

// heldTogether is how long two backends may hold a key at the same time.
const heldTogether = 500 * time.Millisecond

// keyedBed starts two hosts and backends of a keyed service, and waits until each of the keys is
// served.
func (b *bed) keyedBed(s service, backends, slots int, work time.Duration, keys []int) ([]*client, error) {
	if err := b.configure(3, []service{s}, []route{{prefix: "/statement/", service: s.name, kind: "safe", timeoutS: 4, targetLatencyS: 2, maxAttempts: 2}}); err != nil {
		return nil, err
	}
	zones := []string{"pos-a", "pos-b"}
	for i := range backends {
		if _, err := b.startBackend(fmt.Sprintf("i-vault%d", i+1), zones[i%2], s, slots, 8, work); err != nil {
			return nil, err
		}
	}
	if err := b.startHosts(zones...); err != nil {
		return nil, err
	}
	var clients []*client
	for i, key := range keys {
		clients = append(clients, b.newClient(b.hosts[i%2], http.MethodGet, "/statement/1", key, 8*time.Second, nil))
	}
	for end := time.Now().Add(15 * time.Second); ; {
		served := 0
		for _, c := range clients {
			probe := b.newClient(c.host, c.method, c.path, c.key, time.Second, nil)
			if probe.send().status == http.StatusOK {
				served++
			}
		}
		if served == len(clients) {
			b.record.printf("all keys are served")
			return clients, nil
		}
		if time.Now().After(end) {
			return nil, fmt.Errorf("only %d of %d keys are served", served, len(clients))
		}
	}
}

// spreadKeys returns n keys, evenly spread.
func spreadKeys(n int) []int {
	var keys []int
	for i := range n {
		keys = append(keys, i*keySpace/n+keySpace/n/2)
	}
	return keys
}

// orders returns what backends were granted and what they were to release, in the order of time.
func (b *bed) orders() []grantEvent {
	b.mu.Lock()
	defer b.mu.Unlock()
	var all []grantEvent
	for _, t := range b.backends {
		t.mu.Lock()
		all = append(all, t.grants...)
		t.mu.Unlock()
	}
	slices.SortFunc(all, func(x, y grantEvent) int { return x.at.Compare(y.at) })
	return all
}

// allRuns returns all runs.
func (b *bed) allRuns() []*run {
	b.mu.Lock()
	defer b.mu.Unlock()
	var all []*run
	for _, t := range b.backends {
		t.mu.Lock()
		all = append(all, t.runs...)
		t.mu.Unlock()
	}
	return all
}

// judgeOwners judges the rule OWNER for some keys.
func (b *bed) judgeOwners(keys []int, runs []*run) error {
	together, atWork := 0, 0
	for _, key := range keys {
		together += b.judgeHolds(key)
		atWork += b.judgeWork(key, runs)
	}
	b.record.printf("%d keys judged, %d held by two for over %v, %d given away while another was at work", len(keys), together, heldTogether, atWork)
	if together+atWork > 0 {
		return fmt.Errorf("keys were held by two backends for over %v %d times, and given to one while another was at work %d times: %w", heldTogether, together, atWork, errBroken)
	}
	return nil
}

// judgeHolds counts how often two backends held a key for over heldTogether. A backend holds it from
// its grant until the grant runs out, or until a release reaches it.
func (b *bed) judgeHolds(key int) int {
	type span struct {
		backend     string
		from, until time.Time
	}
	holds := make(map[string]*span)
	var spans []*span
	for _, g := range b.orders() {
		if key < g.from || key > g.to {
			continue
		}
		h := holds[g.backend]
		switch {
		case g.release && h != nil && g.at.Before(h.until):
			h.until = g.at
		case g.release:
		case h != nil && g.at.Before(h.until):
			h.until = g.until
		default:
			h = &span{g.backend, g.at, g.until}
			holds[g.backend] = h
			spans = append(spans, h)
		}
	}
	count := 0
	for i, x := range spans {
		for _, y := range spans[i+1:] {
			from, until := later(x.from, y.from), earlier(x.until, y.until)
			if x.backend == y.backend || until.Sub(from) <= heldTogether {
				continue
			}
			count++
			b.record.printf("OWNER: key %d is held by %s and by %s for %v, from %.3f on", key, x.backend, y.backend,
				until.Sub(from).Round(time.Millisecond), from.Sub(b.record.start).Seconds())
		}
	}
	return count
}

// judgeWork counts how often a backend was given a key on which another was still at work, before
// the hold of that one would have run out.
func (b *bed) judgeWork(key int, runs []*run) int {
	count := 0
	orders := b.orders()
	for _, n := range runs {
		if n.key != key {
			continue
		}
		var until time.Time
		for _, g := range orders {
			inside := key >= g.from && key <= g.to
			ended := n.ended
			if ended.IsZero() {
				ended = time.Now()
			}
			switch {
			case !inside || g.release:
			case g.backend == n.backend && !g.at.After(ended):
				until = g.until
			case g.backend != n.backend && g.at.After(n.begun) && g.at.Before(ended) && g.at.Before(until):
				count++
				b.record.printf("OWNER: %s is given key %d at %.3f, %s works on %s until %.3f, and its hold would have run out at %.3f", g.backend, key,
					g.at.Sub(b.record.start).Seconds(), n.backend, n.id, ended.Sub(b.record.start).Seconds(), until.Sub(b.record.start).Seconds())
			}
		}
	}
	return count
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
