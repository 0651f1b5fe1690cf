package host

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pineturn/core/record"
)

// fault is one thing that goes wrong in the model, from at on for a while.
type fault struct {
	At   int
	For  int
	Kind string
	A, B int
}

var faultKinds = []string{
	"cut-log", "cut-peer", "cut-target", "pause-host", "restart-host", "freeze-target", "restart-target",
	"log-down", "drain-target", "isolate-host", "drain-record", "strand", "strand", "amnesia",
	"log-split", "log-split",
}

func drawFaults(t *rapid.T) []fault {
	draw := rapid.Custom(func(t *rapid.T) fault {
		return fault{
			At:   rapid.IntRange(0, 15000).Draw(t, "at"),
			For:  rapid.IntRange(50, 12000).Draw(t, "for"),
			Kind: rapid.SampledFrom(faultKinds).Draw(t, "kind"),
			A:    rapid.IntRange(0, modelHosts-1).Draw(t, "a"),
			B:    rapid.IntRange(0, modelHosts-1).Draw(t, "b"),
		}
	})
	return rapid.SliceOfN(draw, 0, 16).Draw(t, "faults")
}

// inject schedules a fault and its end.
func (w *world) inject(f fault, start time.Duration) {
	at := start + time.Duration(f.At)*time.Millisecond
	length := time.Duration(f.For) * time.Millisecond
	h, t := w.hosts[f.A], w.targets[f.B%modelTargets]
	both := func(set func(on bool)) {
		w.after(at-w.now, func() { set(true) })
		w.after(at-w.now+length, func() { set(false) })
	}
	once := func(run func()) { w.after(at-w.now, run) }
	switch f.Kind {
	case "cut-log":
		both(func(on bool) { w.setCut("log", f.A, 0, on) })
	case "cut-peer":
		both(func(on bool) { w.setCut("peer", min(f.A, f.B), max(f.A, f.B), on) })
	case "cut-target":
		both(func(on bool) { w.setCut("target", f.A, t.index, on) })
	case "isolate-host":
		both(func(on bool) { w.isolate(f.A, on) })
	case "pause-host":
		once(func() { h.paused = max(h.paused, w.now+length) })
	case "restart-host":
		once(h.restart)
	case "freeze-target":
		once(func() { t.frozen = max(t.frozen, w.now+length) })
	case "restart-target":
		once(t.restart)
	case "log-down":
		both(func(on bool) { w.logDown = on })
	case "strand":
		both(func(on bool) { w.strand(t, f.A%3+1, on) })
	case "log-split":
		both(func(on bool) { w.splitLog(t, f.A, on) })
	case "amnesia":
		once(func() { w.forget(t, length) })
	case "drain-record":
		both(func(on bool) { w.drainRecord(t, on) })
	case "drain-target":
		both(func(on bool) { t.drain = on })
	}
}

// isolate cuts a host from all others, but not from log and targets.
func (w *world) isolate(index int, on bool) {
	for other := range w.hosts {
		w.setCut("peer", min(index, other), max(index, other), on)
	}
}

// leads reports whether a host takes itself for the leaseholder of a target.
func (h *simHost) leads(t *simTarget) bool {
	for _, status := range h.host.Leases().Statuses(h.clock()) {
		if status.Target.Name == t.name {
			return true
		}
	}
	return false
}

// strand cuts the leaseholder of a target and some of its friends from the
// log and from the other hosts, the other hosts from the target, and has the
// platform's list leave the stranded hosts out.
func (w *world) strand(t *simTarget, size int, on bool) {
	if !on {
		w.unstrand()
		return
	}
	stranded := map[int]bool{}
	for _, h := range w.hosts {
		if h.leads(t) && len(stranded) < size {
			stranded[h.index] = true
		}
	}
	for i := 0; len(stranded) < size; i++ {
		stranded[i] = true
	}
	listed := map[string]bool{}
	for i, h := range w.hosts {
		listed[h.name()] = !stranded[i]
		w.setCut("log", i, 0, stranded[i])
		w.setCut("target", i, t.index, !stranded[i])
		for j := range i {
			w.setCut("peer", j, i, stranded[i] != stranded[j])
		}
	}
	w.list(listed)
}

// splitLog leaves the log to the leaseholder of a target and one other host.
// The leaseholder hears that other host alone.
func (w *world) splitLog(t *simTarget, other int, on bool) {
	if !on {
		w.unstrand()
		return
	}
	for i, h := range w.hosts {
		if h.leads(t) {
			w.isolate(i, true)
			w.setCut("peer", min(i, other), max(i, other), false)
			continue
		}
		w.setCut("log", i, 0, i != other)
	}
}

func (w *world) list(listed map[string]bool) {
	for _, h := range w.hosts {
		h.host.OnHostList(listed)
	}
}

// unstrand mends every cut.
func (w *world) unstrand() {
	clear(w.cuts)
	w.list(nil)
}

// forget cuts the leaseholder of a target off for a while; when it comes back
// all others have just restarted, and the log is down.
func (w *world) forget(t *simTarget, length time.Duration) {
	for _, h := range w.hosts {
		if !h.leads(t) {
			continue
		}
		w.setCut("log", h.index, 0, true)
		w.isolate(h.index, true)
		w.after(length, func() {
			w.logDown = true
			for _, other := range w.hosts {
				if other != h {
					other.restart()
				}
			}
			w.unstrand()
		})
		w.after(length+2*time.Second, func() { w.logDown = false })
		return
	}
}

// drainRecord has the operator mark a target as leaving.
func (w *world) drainRecord(t *simTarget, on bool) {
	w.operated++
	w.append(record.Batch{
		Version: record.Version,
		ID:      record.ID{Writer: record.Incarnation{Host: "operator", Run: 1}, Seq: 1 + w.operated},
		Ops:     []record.Op{{Drain: &record.Drain{Target: record.Target{Service: "vault", Name: t.name}, On: on}}},
	})
}

// TestOneOwnerUnderFaults checks over random faults that no shard has two
// owners, that acknowledged assignments stand and all folds agree, and that
// every shard has an owner again once the faults are over. Replay a failure
// with -rapid.seed.
func TestOneOwnerUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		suspicion := rapid.SampledFrom([]time.Duration{200 * time.Millisecond, 500 * time.Millisecond}).Draw(t, "suspicion")
		mustStand(t, seed, suspicion, drawFaults(t))
	})
}

// TestCasesFound runs cases in which the property test once found two owners.
func TestCasesFound(t *testing.T) {
	t.Run("holder named again after its deputy acted", func(t *testing.T) {
		mustStand(t, 0x40, 500*time.Millisecond, []fault{
			{At: 49, For: 52, Kind: "strand", A: 1, B: 3}, {At: 12, For: 866, Kind: "cut-peer", A: 1, B: 0},
			{At: 729, For: 2312, Kind: "strand", A: 1, B: 2}, {At: 2, For: 1286, Kind: "log-down", A: 0, B: 4},
			{At: 2433, For: 227, Kind: "cut-log", A: 2, B: 0}, {At: 3, For: 54, Kind: "restart-target", A: 0, B: 3},
		})
	})
}

// failer is the part of a test that can fail.
type failer interface {
	Helper()
	Fatalf(format string, args ...any)
}

// mustStand runs a world through faults.
func mustStand(t failer, seed uint64, suspicion time.Duration, faults []fault) {
	t.Helper()
	w := newWorld(seed, suspicion)
	start := 4 * time.Second
	w.run(start)
	mustServe(t, w, "before the faults")
	start = w.now
	for _, f := range faults {
		w.inject(f, start)
	}
	w.run(start + 30*time.Second)
	mustServe(t, w, "after the faults")
}

// servedWithin is how long the model may take to serve every shard again
// after the last fault has ended, the expulsion of lost members included.
const servedWithin = 15 * time.Second

// mustServe runs until every shard has an owner.
func mustServe(t failer, w *world, when string) {
	for end := w.now + servedWithin; w.now < end && w.broken == "" && len(w.owners()) < modelShards; {
		w.run(w.now + 100*time.Millisecond)
	}
	if w.broken != "" {
		t.Fatalf("%s: %s", when, w.broken)
	}
	if got, want := len(w.owners()), modelShards; got != want {
		t.Fatalf("%s: got %d shards with an owner, want %d\n%s", when, got, want, w.summary())
	}
}

// TestModelIsRepeatable checks that a seed always gives the same run.
func TestModelIsRepeatable(t *testing.T) {
	trace := func() string {
		w := newWorld(7, 0)
		w.inject(fault{At: 3000, For: 1500, Kind: "freeze-target", B: 1}, 0)
		w.inject(fault{At: 4000, For: 1500, Kind: "restart-host", A: 1}, 0)
		w.run(8 * time.Second)
		return fmt.Sprint(len(w.log), w.owners(), w.broken)
	}
	got, want := trace(), trace()
	if got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}

// TestDeputyServesWhileLogIsDown checks that the loss of a leaseholder during
// an outage of the log leaves its targets' shards served.
func TestDeputyServesWhileLogIsDown(t *testing.T) {
	for _, index := range []int{0, 1, 2} {
		t.Run(fmt.Sprintf("target t%d", index), func(t *testing.T) {
			w := newWorld(uint64(index), 0)
			w.run(6 * time.Second)
			w.logDown = true
			w.run(8 * time.Second)
			for _, h := range w.hosts {
				if h.leads(w.targets[index]) {
					h.paused = time.Hour
				}
			}
			w.run(14 * time.Second)
			if got, want := len(w.owners()), modelShards; got != want || w.broken != "" {
				t.Errorf("got %d shards with an owner, want %d; %s\n%s", got, want, w.broken, w.summary())
			}
		})
	}
}
