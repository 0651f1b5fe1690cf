package owner

import "testing"

// TestKeysForAnEndedTarget guards against keys that move to a target again and again, although another one has
// its address: its entry is a late or another writer's.
func TestKeysForAnEndedTarget(t *testing.T) {
	l, view, loads := newCluster(t, 4)
	const ghost = "t04"
	ranges := func() int {
		n := 0
		for _, r := range l.Record().Services[testService] {
			if r.Owner.Target == ghost {
				n++
			}
		}
		return n
	}
	view[ghost] = Target{Incarnation: Incarnation{Target: ghost}, Service: testService, Slots: 2}
	now := testStart
	moves := 0
	for now.Sub(testStart) < endedRetention {
		before := ranges()
		l.Assign(testService, view, loads, now)
		l.MarkPersisted(l.Record())
		if after := ranges(); after > before {
			moves += after - before
		}
		for _, o := range l.Orders(view, true, now) {
			ended := o.Target.Target == ghost
			l.HandleOutcome(o, Outcome{Done: !ended, TargetEnded: ended}, now)
		}
		l.DropFormerOwners(view, now)
		now = now.Add(orderRetryInterval)
	}
	if moves != 1 {
		t.Errorf("moves of ranges to a target whose address another one has: got %d, want 1", moves)
	}
	if got := ranges(); got != 0 {
		t.Errorf("ranges of that target in the end: got %d, want 0", got)
	}
	now = now.Add(endedRetention)
	l.Assign(testService, view, loads, now)
	if got := ranges(); got != 1 {
		t.Errorf("ranges of a target that may have the address again: got %d, want 1", got)
	}
}
