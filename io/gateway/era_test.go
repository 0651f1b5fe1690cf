package gateway

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"pineturn/io/standin/platformstore"
)

// readLimit is the time after the store responds again until all hosts have read it.
const readLimit = time.Second

// TestOlderCopy guards against hosts that return to an older configuration or to a target
// that has left, or that stop reading, when the store comes back from an older copy.
func TestOlderCopy(t *testing.T) {
	const (
		age         = 3 * time.Second
		lastVersion = 6
	)
	for _, c := range []struct {
		mode string
		away time.Duration
		// again is the time until the operator and the targets write again.
		again time.Duration
	}{
		{"busy", 0, 0}, {"busy", 700 * time.Millisecond, time.Second}, {"busy", 2500 * time.Millisecond, 500 * time.Millisecond},
		{"silent", 700 * time.Millisecond, 500 * time.Millisecond}, {"silent", 2500 * time.Millisecond, 0},
	} {
		t.Run(fmt.Sprintf("%s for %v, written again after %v", c.mode, c.away, c.again), func(t *testing.T) {
			t.Parallel()
			d := newDrill(t)
			d.store.Copy()
			// Of the lost versions, only the last one is written again, at a lower offset.
			for version := range lastVersion - 1 {
				d.configure(version + 2)
			}
			left := d.targets["c1"]
			d.store.PutTarget(left.id, nil)
			eventually(t, "the last version without the target", 2*time.Second, func() bool { return d.inForce(lastVersion) && d.know("c2 k0 k1 k2") })
			runs := d.runsAt(left.id)
			time.Sleep(age)
			if !d.store.Return(platformstore.Return{Age: age, Away: c.away, Mode: c.mode, WriteAgainAfter: c.again}) {
				t.Fatal("return of the store: got none, want one")
			}
			returned := time.Now()
			d.wantReadWithin(returned)
			for time.Since(returned) < 2*time.Second {
				d.wantUnchanged("c2 k0 k1 k2", lastVersion)
			}
			if got := d.runsAt(left.id); got != runs {
				t.Errorf("requests at the target that left: got %d, want none", got-runs)
			}
			d.configure(lastVersion + 1)
			eventually(t, "the next version", time.Second, func() bool { return d.inForce(lastVersion + 1) })
		})
	}
}

// drill is a cluster of three hosts whose store states an era.
type drill struct {
	*testCluster
	client *http.Client
}

func newDrill(t *testing.T) *drill {
	t.Helper()
	d := &drill{testCluster: newTestCluster(t), client: newClient(t)}
	d.store.SetEra(1)
	d.addTarget("c1", plainService)
	d.addTarget("c2", plainService)
	for i := range 3 {
		d.addTarget(fmt.Sprint("k", i), keyedService)
	}
	for i := range 3 {
		d.addHost(fmt.Sprint("host-", i))
	}
	eventually(t, "a leader that relays", 5*time.Second, func() bool {
		relayed := 0
		for _, h := range d.hosts {
			if h.gateway.catalog.RelayActive() {
				relayed++
			}
		}
		return relayed == len(d.hosts)-1 && d.inForce(1)
	})
	return d
}

// inForce reports whether a version is in force at all hosts, by a request to each.
func (d *drill) inForce(version int) bool {
	for _, h := range d.hosts {
		if d.call(d.client, h, "GET", fmt.Sprintf("/v%d/", version), -1, "").status != http.StatusOK {
			return false
		}
	}
	return true
}

// runsAt returns the number of requests that a target has run.
func (d *drill) runsAt(target string) int {
	n := 0
	for _, run := range d.audit.Runs() {
		if run.Target == target {
			n++
		}
	}
	return n
}

// know reports whether all hosts know exactly these targets.
func (d *drill) know(want string) bool {
	for _, h := range d.hosts {
		if targetIDs(h) != want {
			return false
		}
	}
	return true
}

func targetIDs(h *host) string {
	ids := ""
	for i, e := range h.gateway.targets.Entries("") {
		if i > 0 {
			ids += " "
		}
		ids += e.ID
	}
	return ids
}

// wantReadWithin asserts that all hosts have read all topics of the store's era within
// readLimit.
func (d *drill) wantReadWithin(returned time.Time) {
	d.t.Helper()
	hasRead := func(h *host) bool {
		watermarks := h.gateway.catalog.Watermarks()
		return len(watermarks) == 3 && watermarks[0].Era == d.store.Era()
	}
	for _, h := range d.hosts {
		eventually(d.t, "all topics read in the new era", 10*time.Second, func() bool { return hasRead(h) })
	}
	got := time.Since(returned)
	d.t.Logf("all hosts have read all topics %v after the return", got.Round(time.Millisecond))
	if got > readLimit {
		d.t.Errorf("time until all hosts have read all topics: got %v, want at most %v", got, readLimit)
	}
}

// wantUnchanged asserts that each host has exactly these targets and a version in force.
func (d *drill) wantUnchanged(targets string, version int) {
	d.t.Helper()
	for _, h := range d.hosts {
		if got := targetIDs(h); got != targets {
			d.t.Fatalf("targets after the return: got %s, want %s", got, targets)
		}
		got := d.call(d.client, h, "GET", fmt.Sprintf("/v%d/", version), -1, "")
		if got.status != http.StatusOK {
			d.t.Fatalf("request of version %d after the return: got status %d, error %v, want %d", version, got.status, got.err, http.StatusOK)
		}
	}
}
