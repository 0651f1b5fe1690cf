package owner

import (
	"fmt"
	"math"
	"testing"
	"time"
)

const planService = "records"

var planStart = time.Unix(1000, 0)

// site returns n targets and a first leader that has divided the keys among
// them and granted all.
func site(t *testing.T, n int) (*Leader, map[string]Target, *Loads) {
	t.Helper()
	l, targets, loads := ungranted(n)
	grantAll(t, l, targets, planStart)
	return l, targets, loads
}

// ungranted is a site whose leader has granted nothing yet.
func ungranted(n int) (*Leader, map[string]Target, *Loads) {
	targets := make(map[string]Target)
	for i := range n {
		id := fmt.Sprintf("t%02d", i)
		targets[id] = Target{Incarnation: Incarnation{Target: id}, Service: planService, Slots: 2}
	}
	loads := NewLoads(planStart)
	l := NewLeader(&Assignment{Epoch: firstEpoch}, MaxLeaseDuration, planStart)
	l.Assign(planService, targets, loads, planStart)
	l.MarkPersisted(l.Record())
	return l, targets, loads
}

// grantAll carries all due orders out.
func grantAll(t *testing.T, l *Leader, targets map[string]Target, now time.Time) {
	t.Helper()
	for _, o := range l.Orders(targets, true, now) {
		l.HandleOutcome(o, Outcome{Done: true}, now)
	}
}

// shares returns the load of each target.
func shares(l *Leader, loads *Loads) map[string]float64 {
	sums := make(map[string]float64)
	for _, r := range l.Record().Services[planService] {
		sums[r.Owner.Target] += loads.Range(planService, r.First, r.Last)
	}
	return sums
}

func imbalance(l *Leader, loads *Loads, targets int) float64 {
	most, sum := 0.0, 0.0
	for _, load := range shares(l, loads) {
		most = max(most, load)
		sum += load
	}
	return most / (sum / float64(targets))
}

// TestBusyNeighbourhood replays keys whose load falls off from one place on, as
// busy keys lie side by side: few moves of few keys level the targets.
func TestBusyNeighbourhood(t *testing.T) {
	const targets = 13
	l, view, loads := site(t, targets)
	now := planStart
	for range 20 {
		var counts []KeyCount
		for i := range 200 {
			counts = append(counts, KeyCount{Service: planService, Key: uint16(20000 + i*3), Count: 3 * math.Pow(float64(i+1), -0.7)})
		}
		loads.Add(Report{Counts: counts})
		now = now.Add(time.Second)
		loads.Decay(now)
	}
	before := imbalance(l, loads, targets)
	moved := 0
	for range 15 {
		now = now.Add(2 * time.Second)
		l.Balance(planService, view, loads, now)
		l.MarkPersisted(l.Record())
		grantAll(t, l, view, now)
		l.DropFormerOwners(view, now)
		l.MarkPersisted(l.Record())
		grantAll(t, l, view, now)
	}
	for _, r := range l.Record().Services[planService] {
		if r.Owner.Target != view["t00"].Target && r.First >= 20000 && r.Last <= 20600 {
			moved += int(r.Last) - int(r.First) + 1
		}
	}
	if after := imbalance(l, loads, targets); after > 1.6 || after > before/2 {
		t.Errorf("busiest target over the mean: got %.2f after %.2f, want at most 1.6 and half", after, before)
	}
	if moved > Keys/50 {
		t.Errorf("keys moved: got %d, want at most %d", moved, Keys/50)
	}
}

// TestSingleHotKey replays one key with more load than a target should have: its
// neighbours move, the key stays, and moves come to an end.
func TestSingleHotKey(t *testing.T) {
	l, view, loads := site(t, 4)
	for range 10 {
		loads.Add(Report{Counts: []KeyCount{{planService, 100, 40}, {planService, 110, 4}, {planService, 120, 4}}})
	}
	owner, _ := l.Record().Find(planService, 100)
	now := planStart
	last := 0
	for range 12 {
		now = now.Add(2 * time.Second)
		last = l.Balance(planService, view, loads, now)
		l.MarkPersisted(l.Record())
		grantAll(t, l, view, now)
		l.DropFormerOwners(view, now)
		l.MarkPersisted(l.Record())
		grantAll(t, l, view, now)
	}
	if after, _ := l.Record().Find(planService, 100); after.Owner != owner.Owner {
		t.Errorf("owner of the hot key: got %s, want it to stay at %s", after.Owner.Target, owner.Owner.Target)
	}
	if last != 0 {
		t.Errorf("moves of the last round: got %d, want 0", last)
	}
}

// TestTargetsComeAndGo replays targets that are lost, leave and are added.
func TestTargetsComeAndGo(t *testing.T) {
	t.Run("one that leaves", func(t *testing.T) {
		l, view, loads := site(t, 4)
		gone := view["t01"]
		gone.Draining = true
		view["t01"] = gone
		l.Assign(planService, view, loads, planStart)
		wantRecordedMoves(t, l, "t01")
	})
	t.Run("one that is lost", func(t *testing.T) {
		l, view, loads := site(t, 4)
		delete(view, "t02")
		l.Assign(planService, view, loads, planStart)
		wantRecordedMoves(t, l, "t02")
	})
	t.Run("one that started again keeps its keys", func(t *testing.T) {
		l, view, loads := site(t, 4)
		reborn := view["t03"]
		reborn.Born = 9
		view["t03"] = reborn
		l.Assign(planService, view, loads, planStart)
		for _, r := range l.Record().Services[planService] {
			if r.Owner.Target == "t03" && r.Owner.Born != 9 {
				t.Errorf("range from %d: got life %d, want 9", r.First, r.Owner.Born)
			}
		}
	})
	t.Run("one that is added gets keys", func(t *testing.T) {
		l, view, loads := site(t, 4)
		view["t99"] = Target{Incarnation: Incarnation{Target: "t99"}, Service: planService, Slots: 2}
		l.Assign(planService, view, loads, planStart)
		if got := shares(l, loads)["t99"]; got == 0 {
			t.Error("keys of the newcomer: got none, want some")
		}
	})
	t.Run("most can't be reached, so none moves", func(t *testing.T) {
		l, view, loads := site(t, 4)
		now := planStart.Add(l.renewAfter())
		for range 4 {
			for _, o := range l.Orders(view, true, now) {
				l.HandleOutcome(o, Outcome{Unsent: true}, now)
			}
			now = now.Add(unreachableAfter)
		}
		l.Assign(planService, view, loads, now)
		if l.Dirty() {
			t.Error("record while the host is cut off: got a change, want none")
		}
	})
}

// wantRecordedMoves checks that a target owns nothing any more, and that the
// record names it where it may still hold keys.
func wantRecordedMoves(t *testing.T, l *Leader, target string) {
	t.Helper()
	former := 0
	for _, r := range l.Record().Services[planService] {
		if r.Owner.Target == target {
			t.Errorf("range from %d: got owner %s, want another", r.First, target)
		}
		for _, h := range r.Former {
			if h.Target == target {
				former++
			}
		}
	}
	if former == 0 {
		t.Errorf("ranges with former owner %s: got none, want some", target)
	}
}

// TestTakeover replays a host that takes over: it renews at once, but releases
// only when the leader before can start no lease any more.
func TestTakeover(t *testing.T) {
	first, view, _ := site(t, 4)
	record := first.Record()
	record.Epoch++
	l := NewLeader(record, MaxLeaseDuration, planStart)
	orders := l.Orders(view, true, planStart)
	if got, want := len(orders), len(record.Services[planService]); got != want {
		t.Errorf("grants at once: got %d, want %d", got, want)
	}
	for _, o := range orders {
		l.HandleOutcome(o, Outcome{Done: true}, planStart)
	}
	r := record.Services[planService][0]
	to := Incarnation{Target: "t01"}
	if r.Owner == to {
		to = Incarnation{Target: "t02"}
	}
	if !l.Move(planService, r.First, r.Last, to, planStart) {
		t.Fatal("move: got refused, want taken")
	}
	l.MarkPersisted(l.Record())
	released := func(now time.Time) bool {
		for _, o := range l.Orders(view, true, now) {
			if o.Kind == Release {
				return true
			}
			l.HandleOutcome(o, Outcome{Done: true}, now)
		}
		return false
	}
	if released(planStart.Add(MaxProofAgeForNewLease + orderTime - time.Millisecond)) {
		t.Error("release while the leader before may start leases: got one, want none")
	}
	if !released(planStart.Add(MaxProofAgeForNewLease + orderTime)) {
		t.Error("release after that: got none, want one")
	}
}

func TestDecode(t *testing.T) {
	l, _, _ := site(t, 3)
	data, err := l.Record().Encode()
	if err != nil {
		t.Fatal(err)
	}
	a, err := Decode(data)
	if err != nil {
		t.Fatal(err)
	}
	again, err := a.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if string(again) != string(data) {
		t.Errorf("record written again: got %d bytes, want the same %d", len(again), len(data))
	}
	for key := 0; key < Keys; key += 997 {
		if _, ok := a.Find(planService, uint16(key)); !ok {
			t.Errorf("key %d: got no owner, want one", key)
		}
	}
}

func FuzzDecodeAssignment(f *testing.F) {
	a := &Assignment{Epoch: 3, Services: map[string][]Range{"s": {{First: 0, Last: Keys - 1, Owner: Incarnation{Target: "t"}}}}}
	data, err := a.Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		a, err := Decode(data)
		if err != nil {
			return
		}
		for service := range a.Services {
			a.Find(service, 7)
		}
	})
}
