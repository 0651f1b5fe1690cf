package peers

import (
	"cmp"
	"hash/maphash"
	"slices"
)

// Sample returns at most n of the hosts, by address: those without detached services
// first, of each failure domain in turn. Which hosts of a domain it takes depends on
// the seed; with the same seed a host that comes or goes changes little.
func Sample(hosts []Host, n int, seed maphash.Seed) []Host {
	type group struct {
		domain   string
		detached bool
	}
	type ranked struct {
		Host
		rank uint64
		// turn is the number of hosts in the same group with a lower rank.
		turn int
	}
	all := make([]ranked, len(hosts))
	for i, h := range hosts {
		all[i] = ranked{Host: h, rank: maphash.String(seed, h.Address)}
	}
	slices.SortFunc(all, func(a, b ranked) int { return cmp.Compare(a.rank, b.rank) })
	turns := make(map[group]int)
	for i, h := range all {
		g := group{h.Domain, len(h.Detached) > 0}
		all[i].turn = turns[g]
		turns[g]++
	}
	slices.SortStableFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(min(len(a.Detached), 1), min(len(b.Detached), 1)), cmp.Compare(a.turn, b.turn))
	})
	taken := make([]Host, min(n, len(all)))
	for i := range taken {
		taken[i] = all[i].Host
	}
	sortByAddress(taken)
	return taken
}
