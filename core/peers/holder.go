package peers

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Holder returns the host that holds the queue of a target, by rendezvous among the hosts of the
// target's failure domain, weighed by their cores. It returns false if that is this host, or if
// no host of that failure domain can be used now; the request is then sent directly. A failure
// domain without any host has its queues at the hosts of all others. Hosts that disagree, because
// they know or have tried different ones, send to the target from several queues for a while.
func (t *Table) Holder(target, domain, service string, now time.Time) (Host, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.forgetAt.IsZero() && !now.Before(t.forgetAt) {
		t.forget(now)
	}
	if t.holders == nil {
		t.groupHolders()
	}
	seed := hash(target)
	candidates, own := t.holders[domain], t.self.Domain == domain
	if len(candidates) == 0 && !own {
		candidates, own = t.holders[""], true
	}
	var best *entry
	bestScore := math.Inf(1)
	if own && !t.stopping && !slices.Contains(t.self.Detached, service) {
		bestScore = score(hash(t.self.Address), seed, t.self.Cores)
	}
	for _, e := range candidates {
		if s := score(e.seed, seed, e.Cores); s < bestScore && e.usable(service, now) {
			best, bestScore = e, s
		}
	}
	if best == nil {
		return Host{}, false
	}
	return best.Host, true
}

// groupHolders groups the hosts that may hold queues by failure domain, and all under the empty
// name. The caller holds mu.
func (t *Table) groupHolders() {
	t.holders = make(map[string][]*entry)
	for _, e := range t.hosts {
		if e.gone || e.Cores <= 0 {
			continue
		}
		t.holders[e.Domain] = append(t.holders[e.Domain], e)
		t.holders[""] = append(t.holders[""], e)
	}
}

// Stop makes this host hold no queues from now on, because it stops.
func (t *Table) Stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopping = true
}

func hash(text string) uint64 { return xxhash.Sum64String(text) }

// score returns the score of a host, by the seed of its address, for a target, by that of its id.
// The host with the lowest score holds the queue; each has it with a probability in proportion to
// its weight.
func score(host, target uint64, weight float64) float64 {
	x := host ^ target
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	x ^= x >> 31
	// The upper 53 bits, and a half so that the logarithm is finite.
	return -math.Log((float64(x>>11)+0.5)/(1<<53)) / weight
}
