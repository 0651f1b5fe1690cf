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

// images are the encoded states of a log at each of its offsets.
func images(t *testing.T, log *logRig, count uint64) []host.Snapshot {
	t.Helper()
	r := newRig(t, log, "writer")
	var list []host.Snapshot
	for i := range count {
		appendJoins(t, r, i, i+1)
		assertNoError(t, r.reader.read(within(t)))
		data, digest, err := r.host.Snapshot()
		assertNoError(t, err)
		list = append(list, host.Snapshot{Next: r.host.Next(), Digest: digest, Data: data})
	}
	return list
}

// inThree divides a snapshot into three parts.
func inThree(image host.Snapshot) []snapshotPart {
	third := len(image.Data) / 3
	var parts []snapshotPart
	for i, data := range [][]byte{image.Data[:third], image.Data[third : 2*third], image.Data[2*third:]} {
		parts = append(parts, snapshotPart{Next: image.Next, Digest: image.Digest, Index: i, Count: 3, Data: data})
	}
	return parts
}

func (r *rig) appendParts(parts ...snapshotPart) {
	r.t.Helper()
	for _, part := range parts {
		data, err := cbor.Marshal(part)
		assertNoError(r.t, err)
		_, err = r.client.Append(within(r.t), SnapshotStream, data)
		assertNoError(r.t, err)
	}
}

// refusals is how often a snapshot was refused.
func (r *rig) refusals() float64 {
	r.t.Helper()
	families, err := r.snapshots.counts.registry.Gather()
	assertNoError(r.t, err)
	for _, family := range families {
		if family.GetName() == "pineturn_snapshot_failures_total" {
			return family.GetMetric()[0].GetCounter().GetValue()
		}
	}
	r.t.Fatal("no count of refused snapshots")
	return 0
}

func TestSnapshotChoice(t *testing.T) {
	restore := func(t *testing.T, choose func(older, newer []snapshotPart) []snapshotPart, want uint64, refused float64) {
		t.Helper()
		log := newLog(t)
		list := images(t, log, 3)
		late := newRig(t, log, "late")
		late.appendParts(choose(inThree(list[0]), inThree(list[2]))...)
		err := late.snapshots.restore(within(t))
		assertEqual(t, "restored", err == nil, want > 0)
		assertEqual(t, "next", late.host.Next(), want)
		assertEqual(t, "ready by a snapshot alone", late.host.Ready(), false)
		assertEqual(t, "refused snapshots", late.refusals(), refused)
	}
	t.Run("of two whole ones the newest", func(t *testing.T) {
		restore(t, func(older, newer []snapshotPart) []snapshotPart { return append(newer, older...) }, 3, 0)
	})
	t.Run("two written at once", func(t *testing.T) {
		restore(t, func(older, newer []snapshotPart) []snapshotPart {
			return []snapshotPart{newer[0], older[0], older[1], newer[1], newer[2], older[2]}
		}, 3, 0)
	})
	t.Run("the same one written by two hosts, each cut", func(t *testing.T) {
		restore(t, func(_, newer []snapshotPart) []snapshotPart {
			return []snapshotPart{newer[0], newer[1], newer[0], newer[2]}
		}, 3, 0)
	})
	t.Run("not one that is cut in the middle", func(t *testing.T) {
		restore(t, func(older, newer []snapshotPart) []snapshotPart { return append(older, newer[:2]...) }, 1, 0)
	})
	t.Run("not one with a wrong digest", func(t *testing.T) {
		restore(t, func(older, newer []snapshotPart) []snapshotPart {
			for i := range newer {
				newer[i].Digest++
			}
			return append(older, newer...)
		}, 1, 1)
	})
	t.Run("not one whose content was changed", func(t *testing.T) {
		restore(t, func(older, newer []snapshotPart) []snapshotPart {
			newer[1].Data[0]++
			return append(older, newer...)
		}, 1, 1)
	})
	t.Run("not one with parts that make no sense", func(t *testing.T) {
		restore(t, func(older, newer []snapshotPart) []snapshotPart {
			newer[0].Index, newer[1].Index, newer[2].Index = -1, 1<<40, 3
			return append(older, newer...)
		}, 1, 0)
	})
	t.Run("none when no one is whole", func(t *testing.T) {
		restore(t, func(older, newer []snapshotPart) []snapshotPart { return append(older[1:], newer[:2]...) }, 0, 0)
	})
}

// TestSnapshotAnswersLost writes a snapshot of several parts.
func TestSnapshotAnswersLost(t *testing.T) {
	for name, fault := range map[string]standinlog.Fault{
		"all":          {Mode: standinlog.LoseAnswers},
		"of two":       {Mode: standinlog.LoseAnswers, Only: "append", Count: 2},
		"some refused": {Mode: standinlog.Down, Only: "append", Count: 2},
	} {
		t.Run(name, func(t *testing.T) {
			log := newLog(t)
			r := newRig(t, log, "h1")
			r.run(r.reader.run, r.writer.run)
			for _, file := range []string{"1.yaml", "2.yaml", "3.yaml", "4.yaml", "5.yaml"} {
				got := receive(t, submitting(within(t), r.writer, put(file, "#"+strings.Repeat("x", 60<<10)+"\n")))
				assertApplied(t, got)
			}
			r.snapshots.submit = func(ctx context.Context, ops []record.Op) (Written, error) {
				written, err := r.writer.Submit(ctx, ops)
				log.service.SetFault(fault)
				return written, err
			}
			assertNoError(t, r.snapshots.write(within(t)))
			if got := log.next(SnapshotStream); got < 2 {
				t.Fatalf("parts: got %d, want at least 2", got)
			}
			late := newRig(t, log, "h2")
			assertNoError(t, late.snapshots.restore(within(t)))
			assertEqual(t, "next", late.host.Next(), r.host.Next())
			assertEqual(t, "refused snapshots", late.refusals(), 0)
		})
	}
}

func TestReturnAfterRetention(t *testing.T) {
	// stopped is a host that has the first two records of a log that keeps
	// only later ones.
	stopped := func(t *testing.T) (*logRig, *rig) {
		t.Helper()
		log := newLog(t)
		r := newRig(t, log, "h1")
		appendJoins(t, r, 0, 2)
		assertNoError(t, r.reader.read(within(t)))
		assertEqual(t, "ready before the stop", r.host.Ready(), true)
		appendJoins(t, r, 2, 5)
		log.trim(t, Stream, 4)
		return log, r
	}
	t.Run("serves nothing and appends no snapshot of its old state", func(t *testing.T) {
		log, r := stopped(t)
		r.run(r.reader.run, r.writer.run)
		eventually(t, "not ready", func() bool { return !r.host.Ready() })
		ctx, cancel := context.WithCancel(within(t))
		wrote := make(chan error, 1)
		go func() { wrote <- r.snapshots.write(ctx) }()
		eventually(t, "the checkpoint is sent", func() bool { return log.next(Stream) > 5 })
		cancel()
		if err := <-wrote; err == nil {
			t.Fatal("write: got no error, want one")
		}
		assertEqual(t, "snapshot records", log.next(SnapshotStream), 0)
		assertEqual(t, "ready", r.host.Ready(), false)
	})
	t.Run("with a newer snapshot it goes on from there", func(t *testing.T) {
		log, r := stopped(t)
		other := newRig(t, newLog(t), "other")
		data := appendJoins(t, other, 0, 5)
		assertNoError(t, other.reader.read(within(t)))
		image, digest, err := other.host.Snapshot()
		assertNoError(t, err)
		r.appendParts(inThree(host.Snapshot{Next: uint64(len(data)), Digest: digest, Data: image})...)
		r.run(r.reader.run)
		eventually(t, "ready at the end", func() bool { return r.host.Ready() && r.host.Next() == log.next(Stream) })
		assertSameState(t, r, other)
	})
	t.Run("paused between checkpoint and snapshot, it appends nothing", func(t *testing.T) {
		log := newLog(t)
		r := newRig(t, log, "h1")
		r.run(r.reader.run, r.writer.run)
		r.snapshots.interval = 100 * time.Millisecond
		r.snapshots.submit = func(_ context.Context, ops []record.Op) (Written, error) {
			defer time.Sleep(2 * r.snapshots.interval)
			return r.writer.Submit(within(t), ops)
		}
		if err := r.snapshots.write(within(t)); err == nil {
			t.Fatal("write: got no error, want one")
		}
		assertEqual(t, "snapshot records", log.next(SnapshotStream), 0)
	})
}
