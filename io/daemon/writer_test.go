package daemon

import (
	"context"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"pineturn/core/fold"
	"pineturn/core/host"
	"pineturn/core/record"
	standinlog "pineturn/io/standin/log"
)

// submitting starts a Submit and returns where its end is told.
func submitting(ctx context.Context, w *writer, ops ...record.Op) <-chan verdict {
	out := make(chan verdict, 1)
	go func() {
		written, err := w.Submit(ctx, ops)
		out <- verdict{written, err}
	}()
	return out
}

type verdict struct {
	Written
	err error
}

func receive(t *testing.T, from <-chan verdict) verdict {
	t.Helper()
	select {
	case got := <-from:
		return got
	case <-within(t).Done():
		t.Fatalf("no verdict within %v", limit)
		return verdict{}
	}
}

func assertApplied(t *testing.T, got verdict) {
	t.Helper()
	assertNoError(t, got.err)
	for _, result := range got.Results {
		assertNoError(t, result.Err)
	}
}

func assertUnresolved(t *testing.T, got verdict) {
	t.Helper()
	if !errors.Is(got.err, errUnresolved) {
		t.Fatalf("got %v, want %v", got.err, errUnresolved)
	}
}

func assertNothingWritten(t *testing.T, got verdict) {
	t.Helper()
	if got.err == nil || errors.Is(got.err, errUnresolved) || !strings.Contains(got.err.Error(), "nothing was written") {
		t.Fatalf("got %v, want an error that says that nothing was written", got.err)
	}
}

func TestLostAnswers(t *testing.T) {
	for name, fault := range map[string]standinlog.Fault{
		"lost after the append took effect": {Mode: standinlog.LoseAnswers, Count: 1, Only: "append"},
		"never given, nothing appended":     {Mode: standinlog.Hang, Count: 1, Only: "append"},
		"refused":                           {Mode: standinlog.Down, Count: 1, Only: "append"},
		"late":                              {Mode: standinlog.Slow, DelayMs: 2000},
	} {
		t.Run(name, func(t *testing.T) {
			log := newLog(t)
			r := newRig(t, log, "h1")
			log.service.SetFault(fault)
			r.run(r.writer.run, r.reader.run)
			assertApplied(t, receive(t, submitting(within(t), r.writer, join("h1", 0))))
			assertEqual(t, "membership epoch", r.epoch(), 1)
		})
	}
	t.Run("sent again because it is not read back, it takes effect once", func(t *testing.T) {
		log := newLog(t)
		r := newRig(t, log, "h1")
		r.run(r.writer.run)
		got := submitting(within(t), r.writer, join("h1", 0))
		eventually(t, "two copies on the log", func() bool { return log.next(Stream) >= 2 })
		r.run(r.reader.run)
		assertApplied(t, receive(t, got))
		eventually(t, "all copies folded", func() bool { return r.host.Next() == log.next(Stream) })
		assertEqual(t, "membership epoch", r.epoch(), 1)
		for _, item := range r.records()[1:] {
			if !errors.Is(item.Results[0].Err, fold.ErrDuplicate) {
				t.Fatalf("copy at %d: got %v, want %v", item.Offset, item.Results[0].Err, fold.ErrDuplicate)
			}
		}
	})
	t.Run("of one whose first copy was passed over by a snapshot the fate is not known", func(t *testing.T) {
		r := newRig(t, newLog(t), "h1")
		r.run(r.writer.run)
		got := submitting(within(t), r.writer, join("h1", 0))
		eventually(t, "the batch is sent", func() bool { return r.writer.waits(1) })
		id := record.ID{Writer: r.host.Self().Incarnation, Seq: 1}
		r.writer.Folded([]host.FoldedBatch{{Batch: record.Batch{ID: id}, Results: []fold.Result{{Err: fold.ErrDuplicate}}}})
		assertUnresolved(t, receive(t, got))
	})
}

// waits reports whether a batch waits to be read back.
func (w *writer) waits(seq uint64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, ok := w.resolved[seq]
	return ok
}

func TestBatches(t *testing.T) {
	t.Run("waiting submissions share a record, each has its own verdict", func(t *testing.T) {
		log := newLog(t)
		r := newRig(t, log, "h1")
		first := submitting(within(t), r.writer, join("h1", 0))
		eventually(t, "one waits", func() bool { return len(r.writer.queue) == 1 })
		second := submitting(within(t), r.writer, join("h2", 1), join("h3", 1))
		eventually(t, "both wait", func() bool { return len(r.writer.queue) == 2 })
		r.run(r.writer.run, r.reader.run)
		assertApplied(t, receive(t, first))
		got := receive(t, second)
		assertNoError(t, got.err)
		assertEqual(t, "verdicts", len(got.Results), 2)
		assertNoError(t, got.Results[0].Err)
		if !errors.Is(got.Results[1].Err, fold.ErrStale) {
			t.Fatalf("second verdict: got %v, want %v", got.Results[1].Err, fold.ErrStale)
		}
		assertEqual(t, "operations of the record", len(r.records()[0].Batch.Ops), 3)
	})
	t.Run("files and checkpoints have records of their own", func(t *testing.T) {
		log := newLog(t)
		r := newRig(t, log, "h1")
		var verdicts []<-chan verdict
		for i, op := range []record.Op{
			join("h1", 0), join("h2", 1), put("10-a.yaml", "{}"), put("20-b.yaml", "{}"),
			{Checkpoint: &record.Checkpoint{}}, join("h3", 2),
		} {
			verdicts = append(verdicts, submitting(within(t), r.writer, op))
			eventually(t, "it waits", func() bool { return len(r.writer.queue) == i+1 })
		}
		r.run(r.writer.run, r.reader.run)
		for _, got := range verdicts {
			assertApplied(t, receive(t, got))
		}
		for _, item := range r.records() {
			ops := item.Batch.Ops
			for _, op := range ops {
				if (op.Files != nil || op.Checkpoint != nil) && len(ops) != 1 {
					t.Fatalf("record %d: got %d operations, want 1", item.Offset, len(ops))
				}
			}
		}
	})
}

func TestGivenUp(t *testing.T) {
	t.Run("after an append, the change may still take effect", func(t *testing.T) {
		log := newLog(t)
		log.service.SetFault(standinlog.Fault{Mode: standinlog.Down})
		r := newRig(t, log, "h1")
		r.run(r.writer.run, r.reader.run)
		ctx, cancel := context.WithCancel(within(t))
		got := submitting(ctx, r.writer, join("h1", 0))
		eventually(t, "the batch is sent", func() bool { return r.writer.waits(1) })
		cancel()
		assertUnresolved(t, receive(t, got))
		log.service.SetFault(standinlog.Fault{Mode: standinlog.Up})
		assertApplied(t, receive(t, submitting(within(t), r.writer, put("10-a.yaml", "{}"))))
	})
	t.Run("while it waits to be queued, nothing was written", func(t *testing.T) {
		r := newRig(t, newLog(t), "h1")
		for range cap(r.writer.queue) {
			r.writer.queue <- submission{}
		}
		ctx, cancel := context.WithCancel(within(t))
		cancel()
		assertNothingWritten(t, receive(t, submitting(ctx, r.writer, join("h1", 0))))
	})
	t.Run("of a batch that is too large, nothing was written", func(t *testing.T) {
		log := newLog(t)
		r := newRig(t, log, "h1")
		r.run(r.writer.run, r.reader.run)
		large := put("10-a.yaml", strings.Repeat("#", record.MaxSize))
		assertNothingWritten(t, receive(t, submitting(within(t), r.writer, large)))
		assertEqual(t, "records", log.next(Stream), 0)
	})
}
