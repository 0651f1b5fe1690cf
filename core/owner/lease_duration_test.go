package owner

import (
	"testing"
	"time"
)

// TestLeaseDuration checks that leases last no longer than the targets accept,
// and that they are renewed before they expire.
func TestLeaseDuration(t *testing.T) {
	for _, c := range []struct{ targetMaxLease, want time.Duration }{
		{targetMaxLease: 10 * time.Second, want: MaxLeaseDuration},
		{targetMaxLease: 2 * time.Second, want: 2 * time.Second},
	} {
		t.Run(c.targetMaxLease.String(), func(t *testing.T) {
			view := map[string]Target{"t00": {Incarnation: Incarnation{Target: "t00"}, Service: testService, Slots: 2}}
			l := NewLeader(&Assignment{Epoch: firstEpoch(0)}, c.targetMaxLease, testStart)
			l.Assign(testService, view, NewLoads(testStart), testStart)
			l.MarkPersisted(l.Record())
			wantGrants(t, l, view, c.want, testStart)
			wantGrants(t, l, view, c.want, testStart.Add(c.want/2))
		})
	}
}

// wantGrants checks that grants are due, each for a lease of the given
// duration, and completes them.
func wantGrants(t *testing.T, l *Leader, view map[string]Target, want time.Duration, now time.Time) {
	t.Helper()
	orders := l.Orders(view, true, now)
	if len(orders) == 0 {
		t.Errorf("orders at %v: got none, want some", now.Sub(testStart))
	}
	for _, o := range orders {
		if got := o.LeaseDuration; got != want {
			t.Errorf("duration of the lease from key %d: got %v, want %v", o.First, got, want)
		}
		l.HandleOutcome(o, Outcome{Done: true}, now)
	}
}
