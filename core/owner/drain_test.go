package owner

import (
	"testing"
	"time"
)

// drain has the first n targets count as draining, or not.
func drain(targets map[string]Target, n int, draining bool) {
	for i := range n {
		t := targets[targetID(i)]
		t.Draining = draining
		targets[targetID(i)] = t
	}
}

// ranges returns the number of ranges whose owner is one of the first n targets, and of those
// that have former owners.
func ranges(l *Leader, n int) (owned, moving int) {
	first := make(map[string]bool)
	for i := range n {
		first[targetID(i)] = true
	}
	for _, r := range l.Record().Services[testService] {
		if first[r.Owner.Target] {
			owned++
		}
		if len(r.Former) > 0 {
			moving++
		}
	}
	return owned, moving
}

// step does the work of one tick of a leader whose record is stored at once and whose orders
// succeed.
func step(t *testing.T, l *Leader, targets map[string]Target, loads *Loads, now time.Time) {
	t.Helper()
	l.Assign(testService, targets, loads, now)
	l.MarkPersisted(l.Record())
	completeOrders(t, l, targets, now)
	l.DropFormerOwners(targets, now)
	l.MarkPersisted(l.Record())
	completeOrders(t, l, targets, now)
}

// TestDrainedTargets guards against keys that stay with many targets that drain at once, go to
// the busiest others, or leave although there are no others.
func TestDrainedTargets(t *testing.T) {
	const all, drained = 171, 62
	t.Run("a third of the owners", func(t *testing.T) {
		l, targets, loads := newCluster(t, all)
		drain(targets, drained, true)
		loads.Add(Report{Counts: []KeyCount{{Service: testService, Key: 10, Count: 300}, {Service: testService, Key: 30000, Count: 400}}})
		busy, _ := l.Record().Find(testService, 30000)
		step(t, l, targets, loads, testStart)
		if owned, moving := ranges(l, drained); owned != 0 || moving != 0 {
			t.Errorf("after one change and its orders: got %d ranges there, %d moving, want none", owned, moving)
		}
		if hot, _ := l.Record().Find(testService, 10); hot.Owner == busy.Owner {
			t.Errorf("the hot range: got the owner of another one, want a target with more room")
		}
	})
	t.Run("a leader that takes over halfway", func(t *testing.T) {
		l, targets, loads := newCluster(t, all)
		drain(targets, drained, true)
		l.Assign(testService, targets, loads, testStart)
		record := l.Record()
		record.LeaderIncarnation = "first"
		next := NewLeader(record.NextLeader("other", LeaderProcess{Incarnation: "other"}, 0), MaxLeaseDuration, testStart)
		next.PredecessorEnded("first", testStart)
		step(t, next, targets, loads, testStart)
		step(t, next, targets, loads, testStart.Add(orderRetryInterval))
		if owned, moving := ranges(next, drained); owned != 0 || moving != 0 {
			t.Errorf("after the takeover: got %d ranges there, %d moving, want none", owned, moving)
		}
	})
	t.Run("none elsewhere", func(t *testing.T) {
		l, targets, loads := newCluster(t, 4)
		drain(targets, 4, true)
		step(t, l, targets, loads, testStart)
		if _, moving := ranges(l, 4); moving != 0 || l.Unsaved() {
			t.Errorf("got %d ranges that move, want none", moving)
		}
		drain(targets, 4, false)
		step(t, l, targets, loads, testStart.Add(l.renewInterval()))
		if l.unreachableOwners(testService, testStart.Add(l.renewInterval())) == nil {
			t.Error("owners after the drain: got none that respond, want all")
		}
	})
	t.Run("taken back", func(t *testing.T) {
		l, targets, loads := newCluster(t, 8)
		drain(targets, 2, true)
		step(t, l, targets, loads, testStart)
		drain(targets, 2, false)
		step(t, l, targets, loads, testStart.Add(time.Second))
		if owned, _ := ranges(l, 2); owned != 2 {
			t.Errorf("ranges at the targets taken back: got %d, want one each", owned)
		}
	})
}
