package admission

import (
	"fmt"
	"testing"
	"time"
)

// deployment holds the parameters of the targets of one deployment.
type deployment struct {
	name  string
	slots int
	// remoteDelay is the one-way delay between two failure domains.
	remoteDelay time.Duration
	// serviceTime is the mean service time of a request.
	serviceTime time.Duration
}

var deployments = []deployment{
	{name: "caroni", slots: 2, remoteDelay: 1500 * time.Microsecond, serviceTime: 9 * time.Millisecond},
	{name: "tomor", slots: 4, remoteDelay: 500 * time.Microsecond, serviceTime: 7 * time.Millisecond},
}

// paths lists the paths of a request to the target. leaseholder is the failure domain
// of the leaseholder, or -1 if each ingress host sends directly.
var paths = []struct {
	name        string
	leaseholder int
}{
	{"direct", -1}, {"leaseholder in another domain", 1}, {"leaseholder in the target's domain", 0},
}

// BenchmarkPath compares the paths to one target in simulated time.
func BenchmarkPath(b *testing.B) {
	for _, d := range deployments {
		for _, load := range []float64{0.5, 0.9, 2} {
			for _, path := range paths {
				b.Run(fmt.Sprintf("%s/%.0f%%/%s", d.name, load*100, path.name), func(b *testing.B) {
					m := newModel(d, path.leaseholder)
					for b.Loop() {
						m = newModel(d, path.leaseholder)
						m.run(load)
					}
					capacity := modelDuration.Seconds() * float64(d.slots) / d.serviceTime.Seconds()
					b.ReportMetric(0, "ns/op")
					b.ReportMetric(m.quantile(0.5), "p50_ms")
					b.ReportMetric(m.quantile(0.99), "p99_ms")
					b.ReportMetric(100*float64(len(m.latencies))/capacity, "goodput_%")
					b.ReportMetric(100*float64(m.shed)/float64(m.requests), "shed_%")
					b.ReportMetric(100*float64(m.refused)/float64(m.requests), "refused_%")
				})
			}
		}
	}
}

// A target that sheds all requests for 10 s receives at most 10% more requests than
// the callers send, and serves at least 90% of its previous rate from 2 s after its
// recovery.
func TestRecovery(t *testing.T) {
	for _, d := range deployments {
		t.Run(d.name, func(t *testing.T) {
			m := newModel(d, 0)
			var before, during int
			m.after(50*time.Second, func() { before, m.slots = m.requests, 0 })
			m.after(60*time.Second, func() { during, m.slots = m.requests-before, d.slots })
			m.run(0.5)
			if most := during + during/10; m.shed > most {
				t.Errorf("got %d requests sent, want at most %d", m.shed, most)
			}
			if got, want := m.servedBetween(62, 71), m.servedBetween(40, 49)*9/10; got < want {
				t.Errorf("got %d requests served in 10 s after the recovery, want at least %d", got, want)
			}
		})
	}
}

// A hot key whose requests alone are twice the capacity does not prevent the requests
// of the other keys from being served.
func TestHotKey(t *testing.T) {
	for _, d := range deployments {
		t.Run(d.name, func(t *testing.T) {
			m := newModel(d, 0)
			m.hotShare = 0.9
			m.run(2.2)
			if m.refused == 0 {
				t.Error("got no refusals, want some of the hot key's")
			}
			if most := m.cold / 100; m.coldRefused > most {
				t.Errorf("got %d of %d requests of other keys refused, want at most %d", m.coldRefused, m.cold, most)
			}
		})
	}
}
