package peers

import (
	"fmt"
	"testing"
	"time"
)

// dispatchersOf returns the hosts that select targets for those of a failure domain.
func dispatchersOf(tables []*Table, domain string, perSecond float64, now time.Time) map[string]float64 {
	cores := make(map[string]float64)
	for _, table := range tables {
		if table.Self().Domain != domain {
			continue
		}
		for range 200 {
			h, ok := table.Dispatcher(service, perSecond, now)
			if !ok {
				h = table.Self()
			}
			cores[h.Address] = h.Cores
		}
	}
	return cores
}

// TestDispatchers guards against targets that are selected by more hosts than bear the load, or by
// too few of them, in steady state and after some have been killed.
func TestDispatchers(t *testing.T) {
	for _, n := range []int{9, 36, 77, 195} {
		for _, perSecond := range []float64{20, 120, 600} {
			t.Run(fmt.Sprint(n, " hosts, ", perSecond, " a second"), func(t *testing.T) {
				now := time.Unix(1000, 0)
				hosts := holderHosts(n)
				tables, _ := holderTables(hosts, now)
				need := perSecond * dispatchCost / maxDispatchShare
				check := func(when string) {
					t.Helper()
					cores, largest, all := 0., 0., 0.
					for _, c := range dispatchersOf(tables, "a", perSecond, now) {
						cores, largest = cores+c, max(largest, c)
					}
					for _, table := range tables {
						if table.Self().Domain == "a" {
							all += table.Self().Cores
						}
					}
					if cores < min(need, all)-1e-9 || cores > need+largest {
						t.Errorf("%s: cores of the hosts that select targets: got %.2f of %.2f, want %.2f and at most one host more", when, cores, all, need)
					}
				}
				check("steady")
				first, other := tables[0].Dispatcher(service, 0, now)
				if !other {
					first = tables[0].Self()
				}
				for i, table := range tables {
					table.MarkFailed(first.Address, now)
					if hosts[i].Address == first.Address {
						table.Stop()
					}
				}
				if got := dispatchersOf(tables, "a", perSecond, now)[first.Address]; got > 0 {
					t.Errorf("host that has failed: got requests, want none")
				}
			})
		}
	}
}

// TestNoDispatcher guards against a hop to a host that can't serve the request.
func TestNoDispatcher(t *testing.T) {
	now := time.Unix(1000, 0)
	cored := func(h Host) Host { h.Cores = 1; return h }
	for _, x := range []struct {
		name   string
		host   Host
		change func(*Table)
	}{
		{"other failure domain", cored(far), func(*Table) {}},
		{"older build", near, func(*Table) {}},
		{"detached", detached(cored(near), service), func(*Table) {}},
		{"in backoff", cored(near), func(t *Table) { t.MarkFailed(near.Address, now) }},
		{"gone", cored(near), func(t *Table) { t.Apply(Changes{Gone: []string{near.Address}}, now) }},
	} {
		t.Run(x.name, func(t *testing.T) {
			table := New(self)
			table.Put([]Host{x.host}, now)
			x.change(table)
			if h, ok := table.Dispatcher(service, 1000, now); ok {
				t.Errorf("host that selects targets: got %s, want this host", h.Address)
			}
		})
	}
}
