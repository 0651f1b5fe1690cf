package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// rounds is the number of times that a backend joins and another drains.
const rounds = 3

// lateRelease: backends join a keyed service, and one that has given up keys for that drains soon
// after. It gives its answer to the release a second time, late.
func lateRelease(b *bed) error {
	s := service{name: "recordsvault", keyed: true}
	keys := spreadKeys(16)
	clients, err := b.keyedBed(s, 2, 8, 640*time.Millisecond, keys)
	if err != nil {
		return err
	}
	g := &garbling{bed: b, spoilers: make(map[*backend]*spoiler)}
	for _, t := range b.backends {
		g.add(t)
	}
	end := loops(clients, 0)
	for i := range rounds {
		time.Sleep(3 * time.Second)
		g.begin()
		time.Sleep(time.Second)
		zone := []string{"pos-a", "pos-b"}[i%2]
		t, err := b.startBackend(fmt.Sprintf("i-vault%d", 3+i), zone, s, 8, 8, 640*time.Millisecond)
		if err != nil {
			return err
		}
		g.add(t)
		if err := g.end(); err != nil {
			return err
		}
		from := g.first
		if from == nil {
			b.record.printf("no backend was to give up keys")
			continue
		}
		from.drain()
		time.Sleep(6 * time.Second)
	}
	end()
	time.Sleep(time.Second)
	return b.judgeOwners(keys, b.allRuns())
}

// garbling has the backend that first answers a release in a window send that answer once more.
type garbling struct {
	bed      *bed
	spoilers map[*backend]*spoiler

	mu    sync.Mutex
	begun time.Time
	// first is the backend that answered a release first.
	first *backend
}

// add adds a backend.
func (g *garbling) add(t *backend) {
	s := &spoiler{wanted: func(status int, order bool) bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		if !order || status != http.StatusOK || g.first != nil {
			return false
		}
		g.first = t
		return g.bed.trouble
	}}
	g.spoilers[t] = s
	t.spoil = s.spoil
}

func (g *garbling) begin() {
	g.mu.Lock()
	g.begun, g.first = time.Now(), nil
	g.mu.Unlock()
	for _, s := range g.spoilers {
		s.begin()
	}
}

// end waits for the end of the window, and returns an error if the dose was too high.
func (g *garbling) end() error {
	time.Sleep(time.Until(g.begun.Add(spoilTime)))
	for t, s := range g.spoilers {
		if err := s.end(g.bed, t.id); err != nil {
			return err
		}
	}
	return nil
}
