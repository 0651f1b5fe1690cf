package owner

import (
	"testing"
	"time"
)

// TestHold replays leases of targets that grant shorter ones than usual: each
// lasts no longer than that, and is renewed before it ends.
func TestHold(t *testing.T) {
	for _, c := range []struct{ longest, want time.Duration }{
		{longest: 10 * time.Second, want: MaxLeaseDuration},
		{longest: 2 * time.Second, want: 2 * time.Second},
	} {
		t.Run(c.longest.String(), func(t *testing.T) {
			view := map[string]Target{"t00": {Incarnation: Incarnation{Target: "t00"}, Service: planService, Slots: 2}}
			l := NewLeader(&Assignment{Epoch: firstEpoch}, c.longest, planStart)
			l.Assign(planService, view, NewLoads(planStart), planStart)
			l.MarkPersisted(l.Record())
			wantOrders(t, l, view, c.want, planStart)
			wantOrders(t, l, view, c.want, planStart.Add(c.want/2))
		})
	}
}

// wantOrders checks that grants are due, each with a lease of a length, and has
// them accepted.
func wantOrders(t *testing.T, l *Leader, view map[string]Target, want time.Duration, now time.Time) {
	t.Helper()
	orders := l.Orders(view, true, now)
	if len(orders) == 0 {
		t.Errorf("orders at %v: got none, want some", now.Sub(planStart))
	}
	for _, o := range orders {
		if got := o.LeaseDuration; got != want {
			t.Errorf("lease from %d: got %v, want %v", o.First, got, want)
		}
		l.HandleOutcome(o, Outcome{Done: true}, now)
	}
}
