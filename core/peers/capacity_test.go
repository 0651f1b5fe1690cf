package peers

import (
	"fmt"
	"testing"
)

// TestQueuesBehindSlowLinks guards against queues of owners that are held by the cores of hosts whose links are full
// long before: their callers wait, and other hosts take them for silent.
func TestQueuesBehindSlowLinks(t *testing.T) {
	const perKind, targets = 20, 2000
	hosts := map[string]Host{}
	for i := range perKind {
		hosts[fmt.Sprint("narrow", i)] = Host{Domain: "a", Cores: RelayCapacity(0.4, 10)}
		hosts[fmt.Sprint("small", i)] = Host{Domain: "a", Cores: RelayCapacity(0.12, 10)}
		hosts[fmt.Sprint("wide", i)] = Host{Domain: "a", Cores: RelayCapacity(0.8, 200)}
	}
	held := map[string]int{}
	for i := range targets {
		best, bestScore := "", 0.
		for name, h := range hosts {
			if s := score(hash(name), hash(fmt.Sprint("target", i)), h.Cores); best == "" || s < bestScore {
				best, bestScore = name, s
			}
		}
		held[best[:4]]++
	}
	perLink := func(kind string, rate float64) float64 { return float64(held[kind]) / (perKind * rate) }
	if got, want := perLink("narr", 10), 2*perLink("smal", 10); got > want {
		t.Errorf("queues per Mbit/s of hosts with much processor and a slow link: got %.1f, want %.1f at most", got, want)
	}
	for _, x := range []struct{ cores, rate, want float64 }{{0.4, 0, 0.4}, {0.8, 200, 0.8}, {0.16, 1000, 0.16}} {
		if got := RelayCapacity(x.cores, x.rate); got != x.want {
			t.Errorf("capacity of %v cores and a link of %v Mbit/s: got %v, want %v", x.cores, x.rate, got, x.want)
		}
	}
}
