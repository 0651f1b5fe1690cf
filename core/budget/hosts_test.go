package budget

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pineturn/core/hostcount"
)

// newStormHosts returns hosts that know how many they are, each with a rate of requests a
// second.
func newStormHosts(n int, rate float64) []*simHost {
	hosts := make([]*simHost, n)
	for i := range hosts {
		hosts[i] = &simHost{budget: New(stormRatio, stormExtra, stormWindow, hostcount.New()), rate: rate}
		setHosts(hosts[i:i+1], n, -2*hostcount.SettleTime)
		setHosts(hosts[i:i+1], n, -hostcount.SettleTime)
	}
	return hosts
}

// setHosts tells hosts that a number of them was counted.
func setHosts(hosts []*simHost, n int, at time.Duration) {
	for _, h := range hosts {
		h.budget.hosts.Set(n, simStart.Add(at))
	}
}

// TestCountsOfFewHosts guards against parts of the extra that add up to a multiple of it:
// hosts that can't reach the others, or that are linked to a leader that has just taken
// over, are told a number of hosts that is too low. Requests are few, so that the extra is
// much of the limit.
func TestCountsOfFewHosts(t *testing.T) {
	const begin = 12 * time.Second
	for name, counted := range map[string]int{"two halves": 5, "pairs": 2, "each alone": 1} {
		t.Run(name, func(t *testing.T) {
			hosts := newStormHosts(10, 8)
			tell := map[time.Duration]func(){begin: func() { setHosts(hosts, counted, begin) }}
			assertStormWithinLimit(t, hosts, tell)
		})
	}
	t.Run("first start", func(t *testing.T) {
		hosts := make([]*simHost, 10)
		for i := range hosts {
			hosts[i] = &simHost{budget: New(stormRatio, stormExtra, stormWindow, hostcount.New()), rate: 8}
		}
		tell := make(map[time.Duration]func())
		for linked := range hosts {
			at := begin + time.Duration(linked)*100*time.Millisecond
			tell[at] = func() { setHosts(hosts, linked+1, at) }
		}
		assertStormWithinLimit(t, hosts, tell)
	})
}

// assertStormWithinLimit runs hosts through one storm with the given events.
func assertStormWithinLimit(t *testing.T, hosts []*simHost, events map[time.Duration]func()) {
	t.Helper()
	storms := []storm{{12 * time.Second, 20 * time.Second}}
	runWithEvents(rand.New(rand.NewPCG(1, 0)), func() []*simHost { return hosts }, storms, 24*time.Second, events).assertWithinLimit(t)
}

// TestFirstStartOfManyHosts guards against hosts that assume too few others until they are
// counted: all start at once and lose all responses, more of them than any fixed number.
func TestFirstStartOfManyHosts(t *testing.T) {
	const (
		rate  = 2.0
		extra = 430.0
		storm = 3 * time.Second
	)
	for _, n := range []int{10, 60, 195, 300, 1000} {
		t.Run(fmt.Sprint(n, " hosts"), func(t *testing.T) {
			retries, requests := 0, 0
			for range n {
				counter := hostcount.New()
				b := New(stormRatio, extra, stormWindow, counter)
				for at := time.Duration(0); at < storm; at += time.Duration(float64(time.Second) / rate) {
					now := simStart.Add(at)
					counter.Set(1, now)
					b.RecordRequest("records", now)
					requests++
					if b.Spend("records", now) {
						retries++
					}
				}
			}
			if allowed := stormRatio*float64(requests) + extra; float64(retries) > allowed {
				t.Errorf("retries: got %d, want at most %.0f", retries, allowed)
			}
		})
	}
}
