package budget

import (
	"fmt"
	"testing"
	"time"
)

// TestStorm replays hosts whose every request fails: in no window do all hosts
// together repeat more than the operator's share and extra.
func TestStorm(t *testing.T) {
	for _, hosts := range []int{1, 9, 78, 300} {
		t.Run(fmt.Sprint(hosts, " hosts"), func(t *testing.T) { storm(t, hosts, true) })
	}
	t.Run("hosts that don't know how many there are", func(t *testing.T) { storm(t, 78, false) })
}

func storm(t *testing.T, hosts int, told bool) {
	t.Helper()
	const (
		ratio  = 0.2
		extra  = 58.0
		window = 10 * time.Second
		rate   = 20
	)
	repeats := make([]int, 0, 40)
	budgets := make([]*Budget, hosts)
	for i := range budgets {
		budgets[i] = New(ratio, extra, window)
		if told {
			budgets[i].SetHosts(hosts)
		}
	}
	start := time.Unix(1000, 0)
	for second := range 40 {
		n := 0
		for _, b := range budgets {
			for i := range rate {
				now := start.Add(time.Duration(second)*time.Second + time.Duration(i)*time.Second/rate)
				b.RecordRequest("s", now)
				if b.Spend("s", now) {
					n++
				}
			}
		}
		repeats = append(repeats, n)
	}
	for from := 0; from+10 <= len(repeats); from++ {
		sum := 0
		for _, n := range repeats[from : from+10] {
			sum += n
		}
		if most := ratio*float64(hosts)*rate*10 + extra; float64(sum) > most {
			t.Errorf("repeats in 10 s from second %d: got %d, want at most %.0f", from, sum, most)
		}
	}
}

func TestServicesAreApart(t *testing.T) {
	b := New(0.2, 3, 10*time.Second)
	b.SetHosts(1)
	now := time.Unix(1000, 0)
	for b.Spend("a", now) {
	}
	if !b.Spend("b", now) {
		t.Error("repeat for another service: got none, want one")
	}
}
