package owner

import (
	"testing"
	"time"
)

// releases returns the number of releases that a leader sends now, and reports success
// for its grants.
func releases(l *Leader, targets map[string]Target, now time.Time) int {
	n := 0
	for _, o := range l.Orders(targets, true, now) {
		if o.Kind == Release {
			n++
			continue
		}
		l.HandleOutcome(o, Outcome{Done: true}, now)
	}
	return n
}

func wantReleases(t *testing.T, l *Leader, targets map[string]Target, now time.Time, want int) {
	t.Helper()
	if got := releases(l, targets, now); got != want {
		t.Errorf("releases: got %d, want %d", got, want)
	}
}

// moveFirstRange moves the first range to another target.
func moveFirstRange(t *testing.T, l *Leader, now time.Time) {
	t.Helper()
	r := l.Record().Services[testService][0]
	to := Incarnation{Target: "t01"}
	if r.Owner == to {
		to = Incarnation{Target: "t02"}
	}
	if !l.Move(testService, r.First, r.Last, to, now) {
		t.Fatal("move: got false, want true")
	}
	l.MarkPersisted(l.Record())
}

// TestMoveUnderWay guards against keys without an owner for many seconds after a
// change of leader: a move that the previous leader had begun goes on as soon as
// that leader is known to send no more grants.
func TestMoveUnderWay(t *testing.T) {
	first, view, _ := newCluster(t, 4)
	moveFirstRange(t, first, testStart)
	record := first.Record()
	record.LeaderIncarnation = "1"
	second := NewLeader(record.NextLeader("b", LeaderProcess{Incarnation: "2"}, 0), MaxLeaseDuration, testStart)
	wantReleases(t, second, view, testStart, 0)
	now := testStart.Add(orderRetryInterval)
	second.PredecessorEnded("1", now)
	wantReleases(t, second, view, now, 1)
}

// TestMoveBesideUnaccountedGrants guards against keys without an owner until the last grant of an earlier leader
// has expired, which was for other keys, and against two owners where it was for these.
func TestMoveBesideUnaccountedGrants(t *testing.T) {
	for name, unanswered := range map[string]bool{"other keys": false, "these keys": true} {
		t.Run(name, func(t *testing.T) {
			first, view, _ := newCluster(t, 4)
			now := testStart.Add(first.renewInterval())
			for _, o := range first.Orders(view, true, now) {
				first.HandleOutcome(o, Outcome{Done: (o.First == 0) != unanswered}, now)
			}
			moveFirstRange(t, first, now)
			record := first.Record()
			record.LeaderIncarnation = "1"
			second := NewLeader(record.NextLeader("b", LeaderProcess{Incarnation: "2"}, 0), MaxLeaseDuration, now)
			grants, complete := first.UnaccountedGrants(now)
			if len(grants) == 0 || !complete {
				t.Fatalf("unaccounted grants: got %v, complete %v, want some and true", grants, complete)
			}
			second.PredecessorStopped("1", now, grants)
			if !unanswered {
				wantReleased(t, second, view, now)
				return
			}
			answerReleases(second, view, Outcome{Done: true}, now)
			expired := now.Add(leaseExpiryBound)
			if got := second.DropFormerOwners(view, expired.Add(-time.Nanosecond)); len(got) > 0 {
				t.Errorf("former owners dropped before the grant has expired: got %v, want none", got)
			}
			if got := second.DropFormerOwners(view, expired); len(got) != 1 {
				t.Errorf("former owners dropped after the grant has expired: got %v, want one", got)
			}
		})
	}
}

// TestChainOfLeaders guards against two owners of a key: a leader that is cut off may
// renew leases while two others follow it, so the end of the last of them is no proof
// that a range is free.
func TestChainOfLeaders(t *testing.T) {
	founder, view, _ := newCluster(t, 4)
	record := founder.Record()
	record.LeaderIncarnation = "1"
	second := NewLeader(record.NextLeader("b", LeaderProcess{Incarnation: "2"}, 0), MaxLeaseDuration, testStart)
	moveFirstRange(t, second, testStart)
	third := NewLeader(second.Record().NextLeader("c", LeaderProcess{Incarnation: "3"}, 0), MaxLeaseDuration, testStart)
	now := testStart.Add(orderRetryInterval)
	third.PredecessorEnded("2", now)
	wantReleases(t, third, view, now, 0)
	third.PredecessorEnded("1", now)
	wantReleases(t, third, view, now, 1)
}

// TestPredecessorsInRecord checks which earlier leaders a record names: all that may
// still send grants, and not the leader itself.
func TestPredecessorsInRecord(t *testing.T) {
	a := &Assignment{}
	for _, incarnation := range []string{"1", "2", "1", "3"} {
		a = a.NextLeader("host", LeaderProcess{Incarnation: incarnation, Address: "address-" + incarnation}, 0)
	}
	l := NewLeader(a, MaxLeaseDuration, testStart)
	want := []LeaderProcess{{Incarnation: "1", Address: "address-1"}, {Incarnation: "2", Address: "address-2"}}
	got := l.Predecessors(testStart)
	if len(got) != len(want) || got[0] != want[0] || got[1] != want[1] {
		t.Errorf("predecessors: got %v, want %v", got, want)
	}
	l.PredecessorEnded("2", testStart)
	if got := len(l.Record().Earlier); got != 1 {
		t.Errorf("earlier leaders in the record after one has ended: got %d, want 1", got)
	}
	l.DropFormerOwners(nil, testStart.Add(MaxProofAgeForRenewal+orderTimeout+leaseExpiryBound))
	if got := len(l.Record().Earlier); got != 0 {
		t.Errorf("earlier leaders in the record after their leases have expired: got %d, want 0", got)
	}
}

// TestEndedOwner guards against keys without an owner until a lease expires, though the
// former owner is known to have ended.
func TestEndedOwner(t *testing.T) {
	l, view, loads := newCluster(t, 4)
	now := testStart.Add(l.renewInterval())
	for _, o := range l.Orders(view, true, now) {
		ended := o.Target.Target == "t01"
		l.HandleOutcome(o, Outcome{Done: !ended, TargetEnded: ended}, now)
	}
	l.Assign(testService, view, loads, now)
	l.MarkPersisted(l.Record())
	l.DropFormerOwners(view, now)
	for _, r := range l.Record().Services[testService] {
		if len(r.Former) > 0 {
			t.Errorf("former owners of the range from %d: got %v, want none", r.First, r.Former)
		}
	}
}

// TestRefusedOrderStartsNoLease guards against waiting for a lease that was never started:
// the response to an order shows that the target did not execute it.
func TestRefusedOrderStartsNoLease(t *testing.T) {
	l, view, loads := newCluster(t, 4)
	now := testStart.Add(l.renewInterval())
	for range 8 {
		for _, o := range l.Orders(view, true, now) {
			l.HandleOutcome(o, Outcome{Refused: o.Target.Target == "t01", Done: o.Target.Target != "t01"}, now)
		}
		now = now.Add(orderRetryInterval)
	}
	delete(view, "t01")
	l.Assign(testService, view, loads, now)
	l.MarkPersisted(l.Record())
	l.DropFormerOwners(view, testStart.Add(leaseExpiryBound))
	for _, r := range l.Record().Services[testService] {
		if len(r.Former) > 0 {
			t.Errorf("former owners of the range from %d after its lease: got %v, want none", r.First, r.Former)
		}
	}
}

// TestSecondTerm guards against two owners of a key where a process leads again after one
// that was killed: its own leases of its earlier term may be later than those of that one.
func TestSecondTerm(t *testing.T) {
	first, view, _ := newCluster(t, 4)
	record := first.Record()
	record.LeaderIncarnation = "1"
	second := record.NextLeader("b", LeaderProcess{Incarnation: "2"}, 0)
	// Process 2 is killed. Process 1, which has not read its record yet, renews leases.
	renewed := testStart.Add(6 * time.Second)
	completeOrders(t, first, view, renewed)
	third := NewLeader(second.NextLeader("a", LeaderProcess{Incarnation: "1"}, 0), MaxLeaseDuration, renewed)
	third.PredecessorKilled("2", testStart)
	moveFirstRange(t, third, renewed)
	expired := renewed.Add(leaseExpiryBound)
	if got := third.DropFormerOwners(view, expired.Add(-time.Nanosecond)); len(got) > 0 {
		t.Errorf("former owners dropped before their leases of the first term have expired: got %v, want none", got)
	}
	if got := third.DropFormerOwners(view, expired); len(got) != 1 {
		t.Errorf("former owners dropped after their leases have expired: got %v, want one", got)
	}
}
