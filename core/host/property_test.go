package host

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
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
	"log-down", "drain-target", "isolate-host",
}

func drawFaults(t *rapid.T) []fault {
	draw := rapid.Custom(func(t *rapid.T) fault {
		return fault{
			At:   rapid.IntRange(0, 15000).Draw(t, "at"),
			For:  rapid.IntRange(50, 6000).Draw(t, "for"),
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

// TestOneOwnerUnderFaults checks over random faults that no shard has two
// owners, that acknowledged assignments stand and all folds agree, and that
// every shard has an owner again once the faults are over. Replay a failure
// with -rapid.seed.
func TestOneOwnerUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		faults := drawFaults(t)
		w := newWorld(seed)
		start := 4 * time.Second
		w.run(start)
		mustServe(t, w, "before the faults")
		start = w.now
		for _, f := range faults {
			w.inject(f, start)
		}
		w.run(start + 22*time.Second)
		mustServe(t, w, "after the faults")
	})
}

// servedWithin is how long the model may take to serve every shard again
// after the last fault has ended, the expulsion of lost members included.
const servedWithin = 15 * time.Second

// mustServe runs until every shard has an owner.
func mustServe(t *rapid.T, w *world, when string) {
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
		w := newWorld(7)
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
