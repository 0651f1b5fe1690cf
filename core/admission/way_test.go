package admission

import (
	"fmt"
	"testing"
	"time"
)

// user is the sizes of a user's targets.
type user struct {
	name    string
	slots   int
	far     time.Duration
	service time.Duration
}

var users = []user{
	{name: "caroni", slots: 2, far: 1500 * time.Microsecond, service: 9 * time.Millisecond},
	{name: "tomor", slots: 4, far: 500 * time.Microsecond, service: 7 * time.Millisecond},
}

// The ways of a request, by the domain of the leaseholder.
var ways = []struct {
	name   string
	holder int
}{
	{"direct", -1}, {"leaseholder apart", 1}, {"leaseholder beside target", 0},
}

// BenchmarkWay compares the ways to one target by simulated time.
func BenchmarkWay(b *testing.B) {
	for _, user := range users {
		for _, load := range []float64{0.5, 0.9, 2} {
			for _, way := range ways {
				b.Run(fmt.Sprintf("%s/%.0f%%/%s", user.name, load*100, way.name), func(b *testing.B) {
					m := newModel(user, way.holder)
					for b.Loop() {
						m = newModel(user, way.holder)
						m.run(load)
					}
					capacity := modelSpan.Seconds() * float64(user.slots) / user.service.Seconds()
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

// A target that sheds everything for 10 s is sent no more than the callers'
// own requests, and serves as before within 2 s of its recovery.
func TestRecovery(t *testing.T) {
	for _, user := range users {
		t.Run(user.name, func(t *testing.T) {
			m := newModel(user, 0)
			var before, during int
			m.after(50*time.Second, func() { before, m.slots = m.requests, 0 })
			m.after(60*time.Second, func() { during, m.slots = m.requests-before, user.slots })
			m.run(0.5)
			if most := during + during/10; m.shed > most {
				t.Errorf("got %d requests sent, want at most %d", m.shed, most)
			}
			if got, want := m.window(62, 71), m.window(40, 49)*9/10; got < want {
				t.Errorf("got %d requests served in 10 s after the recovery, want at least %d", got, want)
			}
		})
	}
}

// A hot key that alone asks for twice the capacity does not keep the other
// keys from being served.
func TestHotKey(t *testing.T) {
	for _, user := range users {
		t.Run(user.name, func(t *testing.T) {
			m := newModel(user, 0)
			m.hot = 0.9
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
