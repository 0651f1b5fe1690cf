package coordinator

import (
	"testing"
	"time"

	"pineturn/core/clock"
	"pineturn/core/owner"
	"pineturn/core/placement"
)

// TestStalenessOfTargets guards against a target that the leader takes for running though the store may not show yet
// that it has started again.
func TestStalenessOfTargets(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range []struct {
		name  string
		ranAt time.Time
		want  time.Duration
	}{
		{name: "known to have run", ranAt: now.Add(-3 * time.Second), want: 3 * time.Second},
		{name: "no proof", want: unknownStaleness},
	} {
		t.Run(c.name, func(t *testing.T) {
			targets := placement.NewSet("a")
			targets.Put(placement.Entry{ID: "t", Service: "s", Address: "127.0.0.1:1", Slots: 1}, now)
			catalog := &fakeCatalog{targetsRanAt: c.ranAt}
			coordinator := New(Host{Name: "host-1"}, owner.MaxLeaseDuration, &fakeStore{}, catalog, targets, clock.NewFake(now))
			if got := coordinator.currentTargets()["t"].Staleness; got != c.want {
				t.Errorf("staleness: got %v, want %v", got, c.want)
			}
		})
	}
}
