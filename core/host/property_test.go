package host

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pineturn/core/record"
)

// fault is one fault that is injected into the model. At is its start and For
// its duration, both in milliseconds. A selects a host; B selects a second
// host or a target.
type fault struct {
	At   int
	For  int
	Kind string
	A, B int
}

var faultKinds = []string{
	"cut-log", "cut-peer", "cut-target", "pause-host", "restart-host", "freeze-target", "restart-target",
	"log-down", "drain-target", "isolate-host", "drain-record", "partition-leaseholder", "partition-leaseholder", "restart-others",
	"partition-log", "partition-log",
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
func (m *model) inject(f fault, start time.Duration) {
	at := start + time.Duration(f.At)*time.Millisecond
	length := time.Duration(f.For) * time.Millisecond
	h, t := m.hosts[f.A], m.targets[f.B%modelTargets]
	whileActive := func(set func(on bool)) {
		m.schedule(at-m.now, func() { set(true) })
		m.schedule(at-m.now+length, func() { set(false) })
	}
	atStart := func(run func()) { m.schedule(at-m.now, run) }
	switch f.Kind {
	case "cut-log":
		whileActive(func(on bool) { m.setCut("log", f.A, 0, on) })
	case "cut-peer":
		whileActive(func(on bool) { m.setCut("peer", min(f.A, f.B), max(f.A, f.B), on) })
	case "cut-target":
		whileActive(func(on bool) { m.setCut("target", f.A, t.index, on) })
	case "isolate-host":
		whileActive(func(on bool) { m.isolate(f.A, on) })
	case "pause-host":
		atStart(func() { h.pausedUntil = max(h.pausedUntil, m.now+length) })
	case "restart-host":
		atStart(h.restart)
	case "freeze-target":
		atStart(func() { t.frozenUntil = max(t.frozenUntil, m.now+length) })
	case "restart-target":
		atStart(t.restart)
	case "log-down":
		whileActive(func(on bool) { m.logDown = on })
	case "partition-leaseholder":
		whileActive(func(on bool) { m.partitionLeaseholder(t, f.A%3+1, on) })
	case "partition-log":
		whileActive(func(on bool) { m.partitionLog(t, f.A, on) })
	case "restart-others":
		atStart(func() { m.restartOthers(t, length) })
	case "drain-record":
		whileActive(func(on bool) { m.drainRecord(t, on) })
	case "drain-target":
		whileActive(func(on bool) { t.draining = on })
	}
}

// isolate cuts a host from all other hosts, but not from the log and the
// targets.
func (m *model) isolate(index int, on bool) {
	for other := range m.hosts {
		m.setCut("peer", min(index, other), max(index, other), on)
	}
}

// holdsTarget reports whether a host acts as the leaseholder of a target.
func (h *simHost) holdsTarget(t *simTarget) bool {
	for _, status := range h.host.Leases().Statuses(h.clock()) {
		if status.Target.Name == t.name {
			return true
		}
	}
	return false
}

// partitionLeaseholder isolates a group of hosts that includes the leaseholder
// of a target: the group is cut from the log and from the other hosts, the
// other hosts are cut from the target, and the platform lists only the other
// hosts as live.
func (m *model) partitionLeaseholder(t *simTarget, size int, on bool) {
	if !on {
		m.heal()
		return
	}
	isolated := map[int]bool{}
	for _, h := range m.hosts {
		if h.holdsTarget(t) && len(isolated) < size {
			isolated[h.index] = true
		}
	}
	for i := 0; len(isolated) < size; i++ {
		isolated[i] = true
	}
	listed := map[string]bool{}
	for i, h := range m.hosts {
		listed[h.name()] = !isolated[i]
		m.setCut("log", i, 0, isolated[i])
		m.setCut("target", i, t.index, !isolated[i])
		for j := range i {
			m.setCut("peer", j, i, isolated[i] != isolated[j])
		}
	}
	m.setHostList(listed)
}

// partitionLog cuts all hosts from the log except the leaseholder of a target
// and one other host. That host is also the only one connected to the
// leaseholder.
func (m *model) partitionLog(t *simTarget, other int, on bool) {
	if !on {
		m.heal()
		return
	}
	for i, h := range m.hosts {
		if h.holdsTarget(t) {
			m.isolate(i, true)
			m.setCut("peer", min(i, other), max(i, other), false)
			continue
		}
		m.setCut("log", i, 0, i != other)
	}
}

func (m *model) setHostList(listed map[string]bool) {
	for _, h := range m.hosts {
		h.host.OnHostList(listed)
	}
}

// heal ends all cuts and resets the host list.
func (m *model) heal() {
	clear(m.cuts)
	m.setHostList(nil)
}

// restartOthers cuts the leaseholder of a target off for a while. When it is
// connected again, all other hosts have just been restarted, and the log is
// down for 2 s.
func (m *model) restartOthers(t *simTarget, length time.Duration) {
	for _, h := range m.hosts {
		if !h.holdsTarget(t) {
			continue
		}
		m.setCut("log", h.index, 0, true)
		m.isolate(h.index, true)
		m.schedule(length, func() {
			m.logDown = true
			for _, other := range m.hosts {
				if other != h {
					other.restart()
				}
			}
			m.heal()
		})
		m.schedule(length+2*time.Second, func() { m.logDown = false })
		return
	}
}

// drainRecord appends an operator's record that starts or cancels the drain of
// a target.
func (m *model) drainRecord(t *simTarget, on bool) {
	m.operatorRecords++
	m.append(record.Batch{
		Version: record.Version,
		ID:      record.ID{Writer: record.Incarnation{Host: "operator", Run: 1}, Seq: 1 + m.operatorRecords},
		Ops:     []record.Op{{Drain: &record.Drain{Target: record.Target{Service: "vault", Name: t.name}, On: on}}},
	})
}

// TestOneOwnerUnderFaults checks under random faults that no shard has two
// owners, that an acknowledged assignment of an epoch never changes, that all
// hosts fold to the same state, and that every shard has an owner again once
// the faults have ended. A failure can be replayed with -rapid.seed.
func TestOneOwnerUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		suspicion := rapid.SampledFrom([]time.Duration{200 * time.Millisecond, 500 * time.Millisecond}).Draw(t, "suspicion")
		mustRecover(t, seed, suspicion, drawFaults(t))
	})
}

// TestRegressionCases runs cases in which TestOneOwnerUnderFaults found two
// owners of a shard.
func TestRegressionCases(t *testing.T) {
	t.Run("leaseholder named again after its deputy took over", func(t *testing.T) {
		mustRecover(t, 0x40, 500*time.Millisecond, []fault{
			{At: 49, For: 52, Kind: "partition-leaseholder", A: 1, B: 3}, {At: 12, For: 866, Kind: "cut-peer", A: 1, B: 0},
			{At: 729, For: 2312, Kind: "partition-leaseholder", A: 1, B: 2}, {At: 2, For: 1286, Kind: "log-down", A: 0, B: 4},
			{At: 2433, For: 227, Kind: "cut-log", A: 2, B: 0}, {At: 3, For: 54, Kind: "restart-target", A: 0, B: 3},
		})
	})
}

// testFailer is the part of testing.T and rapid.T that the checks use.
type testFailer interface {
	Helper()
	Fatalf(format string, args ...any)
}

// mustRecover runs a model with faults and checks that every shard has an
// owner before and after them.
func mustRecover(t testFailer, seed uint64, suspicion time.Duration, faults []fault) {
	t.Helper()
	m := newModel(seed, suspicion)
	start := 4 * time.Second
	m.runUntil(start)
	mustServeAll(t, m, "before the faults")
	start = m.now
	for _, f := range faults {
		m.inject(f, start)
	}
	m.runUntil(start + 30*time.Second)
	mustServeAll(t, m, "after the faults")
}

// recoveryTimeout is the maximum time from the end of the last fault until
// every shard has an owner again. It includes the removal of lost members.
const recoveryTimeout = 15 * time.Second

// mustServeAll runs the model until every shard has an owner, and fails
// after recoveryTimeout or on a violated invariant.
func mustServeAll(t testFailer, m *model, when string) {
	for end := m.now + recoveryTimeout; m.now < end && m.violation == "" && len(m.owners()) < modelShards; {
		m.runUntil(m.now + 100*time.Millisecond)
	}
	if m.violation != "" {
		t.Fatalf("%s: %s", when, m.violation)
	}
	if got, want := len(m.owners()), modelShards; got != want {
		t.Fatalf("%s: got %d shards with an owner, want %d\n%s", when, got, want, m.summary())
	}
}

// TestModelIsDeterministic checks that runs with the same seed have the same
// result.
func TestModelIsDeterministic(t *testing.T) {
	trace := func() string {
		m := newModel(7, 0)
		m.inject(fault{At: 3000, For: 1500, Kind: "freeze-target", B: 1}, 0)
		m.inject(fault{At: 4000, For: 1500, Kind: "restart-host", A: 1}, 0)
		m.runUntil(8 * time.Second)
		return fmt.Sprint(len(m.log), m.owners(), m.violation)
	}
	got, want := trace(), trace()
	if got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}

// TestDeputyServesWhileLogIsDown checks that all shards have an owner again
// after the leaseholder of a target is lost while the log is down.
func TestDeputyServesWhileLogIsDown(t *testing.T) {
	for _, index := range []int{0, 1, 2} {
		t.Run(fmt.Sprintf("target t%d", index), func(t *testing.T) {
			m := newModel(uint64(index), 0)
			m.runUntil(6 * time.Second)
			m.logDown = true
			m.runUntil(8 * time.Second)
			for _, h := range m.hosts {
				if h.holdsTarget(m.targets[index]) {
					h.pausedUntil = time.Hour
				}
			}
			m.runUntil(14 * time.Second)
			if got, want := len(m.owners()), modelShards; got != want || m.violation != "" {
				t.Errorf("got %d shards with an owner, want %d; %s\n%s", got, want, m.violation, m.summary())
			}
		})
	}
}
