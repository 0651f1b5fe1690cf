package owner

import (
	"testing"
	"time"
)

// moveOff renews the leases that started at testStart after a time, then moves the ranges
// of t01 to other targets, and returns the view in which it drains.
func moveOff(t *testing.T, after time.Duration) (*Leader, map[string]Target) {
	t.Helper()
	l, view, loads := newCluster(t, 4)
	now := testStart.Add(after)
	completeOrders(t, l, view, now)
	draining := view["t01"]
	draining.Draining = true
	view["t01"] = draining
	l.Assign(testService, view, loads, now)
	l.MarkPersisted(l.Record())
	return l, view
}

// answerReleases completes all orders that are due, the releases with an outcome.
func answerReleases(l *Leader, view map[string]Target, outcome Outcome, now time.Time) {
	for _, o := range l.Orders(view, true, now) {
		if o.Kind == Release {
			l.HandleOutcome(o, outcome, now)
		} else {
			l.HandleOutcome(o, Outcome{Done: true}, now)
		}
	}
}

// TestDropped guards against a record of why a former owner counts as holding nothing
// that names the wrong reason, target or token.
func TestDropped(t *testing.T) {
	const end = leaseExpiryBound
	for _, c := range []struct {
		name  string
		do    func(l *Leader, view map[string]Target)
		after time.Duration
		want  Reason
	}{
		{name: "released", do: func(l *Leader, view map[string]Target) { answerReleases(l, view, Outcome{Done: true}, testStart) }, want: Released},
		{name: "another target answers", do: func(l *Leader, view map[string]Target) {
			answerReleases(l, view, Outcome{TargetEnded: true}, testStart)
		}, want: Ended},
		{name: "another target refuses the release", do: func(l *Leader, view map[string]Target) {
			answerReleases(l, view, Outcome{Refused: true}, testStart)
		}, want: Ended},
		{name: "expired", do: func(*Leader, map[string]Target) {}, after: end, want: Expired},
	} {
		t.Run(c.name, func(t *testing.T) {
			l, view := moveOff(t, 0)
			token := l.services[testService][1].former[0].state.fencingToken
			c.do(l, view)
			dropped := l.DropFormerOwners(view, testStart.Add(c.after))
			if len(dropped) == 0 {
				t.Fatal("dropped former owners: got none, want some")
			}
			for _, d := range dropped {
				if d.Reason != c.want || d.Owner.Target != "t01" || d.Service != testService {
					t.Errorf("dropped: got %v of %s for %s, want %v of t01 for %s", d.Reason, d.Owner.Target, d.Service, c.want, testService)
				}
			}
			if got := dropped[0].FencingToken; got != token {
				t.Errorf("token of the first dropped owner: got %d, want %d", got, token)
			}
		})
	}
}

// TestDroppedAfterRestart guards against a restart that counts as a proof too early, while
// the new incarnation may have accepted a grant, or not before the renewals that only the
// earlier one can have received have expired.
func TestDroppedAfterRestart(t *testing.T) {
	l, view := moveOff(t, 2*time.Second)
	restarted := view["t01"]
	restarted.Born++
	view["t01"] = restarted
	if got := l.DropFormerOwners(view, testStart.Add(leaseExpiryBound-time.Millisecond)); len(got) > 0 {
		t.Errorf("dropped before the last new grant has expired: got %v, want none", got)
	}
	got := l.DropFormerOwners(view, testStart.Add(leaseExpiryBound))
	if len(got) == 0 || got[0].Reason != Restarted {
		t.Errorf("dropped once the last new grant has expired: got %v, want some, restarted", got)
	}
}

// setStaleness sets how long ago all targets are last known to have run.
func setStaleness(view map[string]Target, staleness time.Duration) {
	for id, target := range view {
		target.Staleness = staleness
		view[id] = target
	}
}

// restartAndDrain shows a leader that t01 has started again and drains, and has it move the target's ranges.
func restartAndDrain(l *Leader, view map[string]Target, loads *Loads, now time.Time) {
	restarted := view["t01"]
	restarted.Born++
	restarted.Draining = true
	view["t01"] = restarted
	l.Assign(testService, view, loads, now)
	l.MarkPersisted(l.Record())
}

// TestDroppedAfterRestartUnseen guards against two owners of a key: a later incarnation may have accepted the
// connection on which the leader renews leases, as the owner is not known to have run since that was opened.
func TestDroppedAfterRestartUnseen(t *testing.T) {
	const renewed = 2 * time.Second
	for _, c := range []struct {
		name string
		// staleness is that of the view at the renewal.
		staleness time.Duration
		want      time.Duration
	}{
		{name: "owner ran after the connection was opened", staleness: renewed - time.Millisecond, want: leaseExpiryBound},
		{name: "owner ran when the connection was opened", staleness: renewed, want: leaseExpiryBound},
		{name: "owner may have ended before", staleness: renewed + time.Millisecond, want: renewed + leaseExpiryBound},
		{name: "owner is not known to have run", staleness: unknownStaleness, want: renewed + leaseExpiryBound},
	} {
		t.Run(c.name, func(t *testing.T) {
			l, view, loads := newClusterWithoutGrants(4)
			setStaleness(view, unknownStaleness)
			completeOrders(t, l, view, testStart)
			now := testStart.Add(renewed)
			setStaleness(view, c.staleness)
			completeOrders(t, l, view, now)
			restartAndDrain(l, view, loads, now)
			free := testStart.Add(c.want)
			if got := l.DropFormerOwners(view, free.Add(-time.Millisecond)); len(got) > 0 {
				t.Errorf("dropped before %v: got %v, want none", c.want, got)
			}
			if got := l.DropFormerOwners(view, free); len(got) == 0 {
				t.Errorf("dropped after %v: got none, want some", c.want)
			}
		})
	}
}

// TestDroppedAfterRenewalOnNewConnection guards against two owners of a key: the connection to a target is opened
// again for a grant of one range, and a renewal of another range is sent on it, which a later incarnation accepts.
func TestDroppedAfterRenewalOnNewConnection(t *testing.T) {
	l, view, loads := newCluster(t, 4)
	reopened := testStart.Add(5 * time.Second)
	renewed := reopened.Add(l.renewInterval())
	for _, o := range l.Orders(view, true, renewed) {
		l.HandleOutcome(o, Outcome{Done: true, ConnectedAt: reopened}, renewed)
	}
	restartAndDrain(l, view, loads, renewed)
	expired := reopened.Add(leaseExpiryBound)
	if got := l.DropFormerOwners(view, expired.Add(-time.Millisecond)); len(got) > 0 {
		t.Errorf("dropped before a grant on the new connection has expired: got %v, want none", got)
	}
	if got := l.DropFormerOwners(view, expired); len(got) == 0 || got[0].Reason != Restarted {
		t.Errorf("dropped once a grant on the new connection has expired: got %v, want some, restarted", got)
	}
}

// TestDroppedAfterEntryOfOtherService guards against two owners of a key because another writer's entry,
// under the id of a live target, names another service and a later start.
func TestDroppedAfterEntryOfOtherService(t *testing.T) {
	l, view := moveOff(t, 2*time.Second)
	foreign := view["t01"]
	foreign.Born++
	foreign.Service = "other"
	view["t01"] = foreign
	if got := l.DropFormerOwners(view, testStart.Add(leaseExpiryBound)); len(got) > 0 {
		t.Errorf("dropped before the last lease has expired: got %v, want none", got)
	}
}

// TestRangesOfOverwrittenOwner guards against keys that are assigned to a target of another service, as
// another writer's entry under their owner's id names that one and a later start.
func TestRangesOfOverwrittenOwner(t *testing.T) {
	l, view, loads := newCluster(t, 4)
	foreign := view["t01"]
	foreign.Born++
	foreign.Service = "other"
	view["t01"] = foreign
	l.Assign(testService, view, loads, testStart.Add(leaseExpiryBound))
	for _, r := range l.Record().Services[testService] {
		if r.Owner.Target == "t01" {
			t.Errorf("owner of keys %d to %d: got a target of service %q, want one of %q", r.First, r.Last, view["t01"].Service, testService)
		}
	}
}
