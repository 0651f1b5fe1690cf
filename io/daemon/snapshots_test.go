package daemon

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"pineturn/core/host"
	"pineturn/core/record"
	standinlog "pineturn/io/standin/log"
)

// logSnapshots appends count records to a log and returns the encoded state after each
// of them.
func logSnapshots(t *testing.T, log *testLog, count uint64) []host.Snapshot {
	t.Helper()
	r := newFixture(t, log, "writer")
	var list []host.Snapshot
	for i := range count {
		appendJoins(t, r, i, i+1)
		assertNoError(t, r.reader.read(testContext(t)))
		data, digest, err := r.host.Snapshot()
		assertNoError(t, err)
		list = append(list, host.Snapshot{Next: r.host.Next(), Digest: digest, Data: data})
	}
	return list
}

// splitInThree splits a snapshot into three parts.
func splitInThree(snapshot host.Snapshot) []snapshotPart {
	third := len(snapshot.Data) / 3
	var parts []snapshotPart
	for i, data := range [][]byte{snapshot.Data[:third], snapshot.Data[third : 2*third], snapshot.Data[2*third:]} {
		parts = append(parts, snapshotPart{Next: snapshot.Next, Digest: snapshot.Digest, Index: i, Count: 3, Data: data})
	}
	return parts
}

func (r *fixture) appendParts(parts ...snapshotPart) {
	r.t.Helper()
	for _, part := range parts {
		data, err := cbor.Marshal(part)
		assertNoError(r.t, err)
		_, err = r.client.Append(testContext(r.t), SnapshotStream, data)
		assertNoError(r.t, err)
	}
}

// snapshotFailures returns the value of the metric of rejected snapshots.
func (r *fixture) snapshotFailures() float64 {
	r.t.Helper()
	families, err := r.snapshots.metrics.registry.Gather()
	assertNoError(r.t, err)
	for _, family := range families {
		if family.GetName() == "pineturn_snapshot_failures_total" {
			return family.GetMetric()[0].GetCounter().GetValue()
		}
	}
	r.t.Fatal("no metric of rejected snapshots")
	return 0
}

func TestSnapshotSelection(t *testing.T) {
	restore := func(t *testing.T, choose func(older, newer []snapshotPart) []snapshotPart, want uint64, refused float64) {
		t.Helper()
		log := newTestLog(t)
		list := logSnapshots(t, log, 3)
		joining := newFixture(t, log, "joining")
		joining.appendParts(choose(splitInThree(list[0]), splitInThree(list[2]))...)
		err := joining.snapshots.restore(testContext(t))
		assertEqual(t, "restored", err == nil, want > 0)
		assertEqual(t, "next", joining.host.Next(), want)
		assertEqual(t, "ready after restoring a snapshot only", joining.host.Ready(), false)
		assertEqual(t, "rejected snapshots", joining.snapshotFailures(), refused)
	}
	t.Run("newest of two complete snapshots", func(t *testing.T) {
		restore(t, func(older, newer []snapshotPart) []snapshotPart { return append(newer, older...) }, 3, 0)
	})
	t.Run("two snapshots written concurrently", func(t *testing.T) {
		restore(t, func(older, newer []snapshotPart) []snapshotPart {
			return []snapshotPart{newer[0], older[0], older[1], newer[1], newer[2], older[2]}
		}, 3, 0)
	})
	t.Run("one snapshot written by two hosts, both incomplete", func(t *testing.T) {
		restore(t, func(_, newer []snapshotPart) []snapshotPart {
			return []snapshotPart{newer[0], newer[1], newer[0], newer[2]}
		}, 3, 0)
	})
	t.Run("skips a truncated snapshot", func(t *testing.T) {
		restore(t, func(older, newer []snapshotPart) []snapshotPart { return append(older, newer[:2]...) }, 1, 0)
	})
	t.Run("skips a snapshot with a wrong digest", func(t *testing.T) {
		restore(t, func(older, newer []snapshotPart) []snapshotPart {
			for i := range newer {
				newer[i].Digest++
			}
			return append(older, newer...)
		}, 1, 1)
	})
	t.Run("skips a snapshot with corrupted data", func(t *testing.T) {
		restore(t, func(older, newer []snapshotPart) []snapshotPart {
			newer[1].Data[0]++
			return append(older, newer...)
		}, 1, 1)
	})
	t.Run("skips a snapshot with invalid part indexes", func(t *testing.T) {
		restore(t, func(older, newer []snapshotPart) []snapshotPart {
			newer[0].Index, newer[1].Index, newer[2].Index = -1, 1<<40, 3
			return append(older, newer...)
		}, 1, 0)
	})
	t.Run("no complete snapshot", func(t *testing.T) {
		restore(t, func(older, newer []snapshotPart) []snapshotPart { return append(older[1:], newer[:2]...) }, 0, 0)
	})
}

// TestSnapshotAppendRetry writes a snapshot of several parts while responses to
// appends are lost or appends are refused. The snapshot has to be complete.
func TestSnapshotAppendRetry(t *testing.T) {
	for name, fault := range map[string]standinlog.Fault{
		"all responses lost":  {Mode: standinlog.LoseResponses},
		"two responses lost":  {Mode: standinlog.LoseResponses, Only: "append", Count: 2},
		"two appends refused": {Mode: standinlog.Down, Only: "append", Count: 2},
	} {
		t.Run(name, func(t *testing.T) {
			log := newTestLog(t)
			r := newFixture(t, log, "h1")
			r.run(r.reader.run, r.writer.run)
			for _, file := range []string{"1.yaml", "2.yaml", "3.yaml", "4.yaml", "5.yaml"} {
				got := receive(t, submitAsync(testContext(t), r.writer, put(file, "#"+strings.Repeat("x", 60<<10)+"\n")))
				assertApplied(t, got)
			}
			r.snapshots.submit = func(ctx context.Context, ops []record.Op) (SubmitResult, error) {
				written, err := r.writer.Submit(ctx, ops)
				log.service.SetFault(fault)
				return written, err
			}
			assertNoError(t, r.snapshots.write(testContext(t)))
			if got := log.next(SnapshotStream); got < 2 {
				t.Fatalf("parts: got %d, want at least 2", got)
			}
			joining := newFixture(t, log, "h2")
			assertNoError(t, joining.snapshots.restore(testContext(t)))
			assertEqual(t, "next", joining.host.Next(), r.host.Next())
			assertEqual(t, "rejected snapshots", joining.snapshotFailures(), 0)
		})
	}
}

// TestHostBehindRetention guards against a host that was stopped or paused beyond
// the retention of the log and then serves requests with its old state, or writes a
// snapshot of it.
func TestHostBehindRetention(t *testing.T) {
	// stopped returns a host that has folded only the first two records of a log
	// that keeps later records only.
	stopped := func(t *testing.T) (*testLog, *fixture) {
		t.Helper()
		log := newTestLog(t)
		r := newFixture(t, log, "h1")
		appendJoins(t, r, 0, 2)
		assertNoError(t, r.reader.read(testContext(t)))
		assertEqual(t, "ready before the stop", r.host.Ready(), true)
		appendJoins(t, r, 2, 5)
		log.trim(t, ChangeStream, 4)
		return log, r
	}
	t.Run("is not ready and appends no snapshot of its old state", func(t *testing.T) {
		log, r := stopped(t)
		r.run(r.reader.run, r.writer.run)
		eventually(t, "not ready", func() bool { return !r.host.Ready() })
		ctx, cancel := context.WithCancel(testContext(t))
		wrote := make(chan error, 1)
		go func() { wrote <- r.snapshots.write(ctx) }()
		eventually(t, "the checkpoint is appended", func() bool { return log.next(ChangeStream) > 5 })
		cancel()
		if err := <-wrote; err == nil {
			t.Fatal("write: got no error, want one")
		}
		assertEqual(t, "snapshot records", log.next(SnapshotStream), 0)
		assertEqual(t, "ready", r.host.Ready(), false)
	})
	t.Run("continues from a newer snapshot", func(t *testing.T) {
		log, r := stopped(t)
		other := newFixture(t, newTestLog(t), "other")
		data := appendJoins(t, other, 0, 5)
		assertNoError(t, other.reader.read(testContext(t)))
		snapshot, digest, err := other.host.Snapshot()
		assertNoError(t, err)
		r.appendParts(splitInThree(host.Snapshot{Next: uint64(len(data)), Digest: digest, Data: snapshot})...)
		r.run(r.reader.run)
		eventually(t, "ready at the end of the log", func() bool { return r.host.Ready() && r.host.Next() == log.next(ChangeStream) })
		assertSameState(t, r, other)
	})
	t.Run("appends nothing after a pause between checkpoint and snapshot", func(t *testing.T) {
		log := newTestLog(t)
		r := newFixture(t, log, "h1")
		r.run(r.reader.run, r.writer.run)
		r.snapshots.interval = 100 * time.Millisecond
		r.snapshots.submit = func(_ context.Context, ops []record.Op) (SubmitResult, error) {
			defer time.Sleep(2 * r.snapshots.interval)
			return r.writer.Submit(testContext(t), ops)
		}
		if err := r.snapshots.write(testContext(t)); err == nil {
			t.Fatal("write: got no error, want one")
		}
		assertEqual(t, "snapshot records", log.next(SnapshotStream), 0)
	})
}
