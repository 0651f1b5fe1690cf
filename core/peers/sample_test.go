package peers

import (
	"hash/maphash"
	"slices"
	"strconv"
	"testing"
)

// sampleHosts returns n hosts in turn of the failure domains a, b and c; those in
// detachedDomain are detached.
func sampleHosts(n int, detachedDomain string) []Host {
	hosts := make([]Host, n)
	for i := range hosts {
		hosts[i] = Host{Address: strconv.Itoa(1000 + i), Domain: string(rune('a' + i%3))}
		if hosts[i].Domain == detachedDomain {
			hosts[i].Detached = []string{service}
		}
	}
	return hosts
}

// TestSample guards against a list of hosts that can't serve, or that are all in one
// failure domain, while others could.
func TestSample(t *testing.T) {
	for _, c := range []struct {
		name           string
		hosts          int
		detachedDomain string
		want           map[string]int
	}{
		{"all fit", 4, "a", map[string]int{"a": 2, "b": 1, "c": 1}},
		{"a mix of failure domains", 30, "", map[string]int{"a": 3, "b": 3, "c": 3}},
		{"hosts without detached services first", 30, "a", map[string]int{"b": 5, "c": 4}},
		{"detached ones for the rest", 12, "a", map[string]int{"a": 1, "b": 4, "c": 4}},
	} {
		t.Run(c.name, func(t *testing.T) {
			hosts := sampleHosts(c.hosts, c.detachedDomain)
			got := make(map[string]int)
			for _, h := range Sample(hosts, 9, maphash.MakeSeed()) {
				got[h.Domain]++
			}
			wantDomains(t, got, c.want)
		})
	}
}

// wantDomains asserts the numbers of hosts in the failure domains, but not which of
// several domains has one host more.
func wantDomains(t *testing.T, got, want map[string]int) {
	t.Helper()
	counts := func(m map[string]int) []int {
		return slices.Sorted(slices.Values([]int{m["b"], m["c"]}))
	}
	if got["a"] != want["a"] || !slices.Equal(counts(got), counts(want)) {
		t.Errorf("hosts by failure domain: got %v, want %v", got, want)
	}
}

// TestSampleSeed guards against a sample that is the same for each link, and against
// one that changes at random from one feed to the next.
func TestSampleSeed(t *testing.T) {
	hosts := sampleHosts(60, "")
	seed := maphash.MakeSeed()
	first := Sample(hosts, 9, seed)
	t.Run("the same seed", func(t *testing.T) {
		slices.Reverse(hosts)
		if got := Sample(hosts, 9, seed); !slices.EqualFunc(got, first, Host.Equal) {
			t.Errorf("second sample: got %v, want %v", got, first)
		}
	})
	t.Run("a host less", func(t *testing.T) {
		left := slices.DeleteFunc(slices.Clone(hosts), func(h Host) bool { return h.Equal(first[0]) })
		kept := 0
		for _, h := range Sample(left, 9, seed) {
			if slices.ContainsFunc(first, h.Equal) {
				kept++
			}
		}
		if kept != 8 {
			t.Errorf("hosts kept: got %d, want 8", kept)
		}
	})
	t.Run("other seeds", func(t *testing.T) {
		seen := make(map[string]bool)
		for range 20 {
			for _, h := range Sample(hosts, 9, maphash.MakeSeed()) {
				seen[h.Address] = true
			}
		}
		if len(seen) < 30 {
			t.Errorf("hosts in 20 samples: got %d of 60, want at least 30", len(seen))
		}
	})
}
