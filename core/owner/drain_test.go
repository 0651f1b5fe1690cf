package owner

import "testing"

// drainFirst has the first n targets count as draining, or not.
func drainFirst(targets map[string]Target, n int, draining bool) {
	for i := range n {
		t := targets[targetID(i)]
		t.Draining = draining
		targets[targetID(i)] = t
	}
}

// drained is the number of targets in the domain that is drained.
const drained = 62

// wantOwned plays a leader whose record is stored at once and whose orders succeed. It checks
// how many ranges the drained targets own then, and that none moves any more.
func wantOwned(t *testing.T, l *Leader, targets map[string]Target, loads *Loads, want int) {
	t.Helper()
	now := testStart
	for range 3 {
		l.Assign(testService, targets, loads, now)
		l.MarkPersisted(l.Record())
		completeOrders(t, l, targets, now)
		l.DropFormerOwners(targets, now)
		now = now.Add(orderRetryInterval)
	}
	owned, moving := 0, 0
	for _, r := range l.Record().Services[testService] {
		moving += len(r.Former)
		for i := range drained {
			if r.Owner.Target == targetID(i) {
				owned++
			}
		}
	}
	if owned != want || moving != 0 {
		t.Errorf("got %d ranges there, %d moving, want %d and none", owned, moving, want)
	}
}

// TestDrainedTargets guards against keys that stay with many targets that drain at once, or
// leave although there are no others, also where the leader changes halfway.
func TestDrainedTargets(t *testing.T) {
	const all = 171
	l, targets, loads := newCluster(t, all)
	drainFirst(targets, drained, true)
	t.Run("a leader that takes over halfway", func(t *testing.T) {
		first, _, _ := newCluster(t, all)
		first.Assign(testService, targets, loads, testStart)
		record := first.Record()
		record.LeaderIncarnation = "first"
		next := NewLeader(record.NextLeader("other", LeaderProcess{Incarnation: "other"}, 0), MaxLeaseDuration, testStart)
		next.PredecessorEnded("first", testStart)
		wantOwned(t, next, targets, loads, 0)
	})
	t.Run("a third of the owners", func(t *testing.T) {
		loads.Add(Report{Counts: []KeyCount{{Service: testService, Key: 10, Count: 300}, {Service: testService, Key: 30000, Count: 400}}})
		busy, _ := l.Record().Find(testService, 30000)
		wantOwned(t, l, targets, loads, 0)
		if hot, _ := l.Record().Find(testService, 10); hot.Owner == busy.Owner {
			t.Errorf("the hot range: got the owner of another one, want a target with more room")
		}
	})
	t.Run("none elsewhere", func(t *testing.T) {
		drainFirst(targets, all, true)
		wantOwned(t, l, targets, loads, 0)
	})
	t.Run("taken back", func(t *testing.T) {
		drainFirst(targets, all, false)
		wantOwned(t, l, targets, loads, drained)
	})
}
