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

// submitAsync calls Submit in the background and returns a channel that receives
// what Submit returns.
func submitAsync(ctx context.Context, w *writer, ops ...record.Op) <-chan submitReturn {
	out := make(chan submitReturn, 1)
	go func() {
		written, err := w.Submit(ctx, ops)
		out <- submitReturn{written, err}
	}()
	return out
}

type submitReturn struct {
	SubmitResult
	err error
}

func receive(t *testing.T, from <-chan submitReturn) submitReturn {
	t.Helper()
	select {
	case got := <-from:
		return got
	case <-testContext(t).Done():
		t.Fatalf("Submit did not return within %v", testTimeout)
		return submitReturn{}
	}
}

func assertApplied(t *testing.T, got submitReturn) {
	t.Helper()
	assertNoError(t, got.err)
	for _, result := range got.Results {
		assertNoError(t, result.Err)
	}
}

func assertUnknownOutcome(t *testing.T, got submitReturn) {
	t.Helper()
	if !errors.Is(got.err, errUnknownOutcome) {
		t.Fatalf("got %v, want %v", got.err, errUnknownOutcome)
	}
}

func assertNothingWritten(t *testing.T, got submitReturn) {
	t.Helper()
	if got.err == nil || errors.Is(got.err, errUnknownOutcome) || !strings.Contains(got.err.Error(), "nothing was written") {
		t.Fatalf("got %v, want an error with the text: nothing was written", got.err)
	}
}

// TestAppendRetry guards against operations that are lost or take effect twice when
// the response to an append is lost, late or an error.
func TestAppendRetry(t *testing.T) {
	for name, fault := range map[string]standinlog.Fault{
		"response lost after the append":   {Mode: standinlog.LoseResponses, Count: 1, Only: "append"},
		"no response and nothing appended": {Mode: standinlog.Hang, Count: 1, Only: "append"},
		"append refused":                   {Mode: standinlog.Down, Count: 1, Only: "append"},
		"response late":                    {Mode: standinlog.Slow, DelayMs: 2000},
	} {
		t.Run(name, func(t *testing.T) {
			log := newTestLog(t)
			r := newFixture(t, log, "h1")
			log.service.SetFault(fault)
			r.run(r.writer.run, r.reader.run)
			assertApplied(t, receive(t, submitAsync(testContext(t), r.writer, join("h1", 0))))
			assertEqual(t, "membership epoch", r.epoch(), 1)
		})
	}
	t.Run("a batch that was appended twice takes effect once", func(t *testing.T) {
		log := newTestLog(t)
		r := newFixture(t, log, "h1")
		r.run(r.writer.run)
		got := submitAsync(testContext(t), r.writer, join("h1", 0))
		eventually(t, "two copies on the log", func() bool { return log.next(ChangeStream) >= 2 })
		r.run(r.reader.run)
		assertApplied(t, receive(t, got))
		eventually(t, "all copies folded", func() bool { return r.host.Next() == log.next(ChangeStream) })
		assertEqual(t, "membership epoch", r.epoch(), 1)
		for _, item := range r.records()[1:] {
			if !errors.Is(item.Results[0].Err, fold.ErrDuplicate) {
				t.Fatalf("copy at %d: got %v, want %v", item.Offset, item.Results[0].Err, fold.ErrDuplicate)
			}
		}
	})
	t.Run("the outcome is unknown if the first copy is covered by a snapshot", func(t *testing.T) {
		r := newFixture(t, newTestLog(t), "h1")
		r.run(r.writer.run)
		got := submitAsync(testContext(t), r.writer, join("h1", 0))
		eventually(t, "the batch is appended", func() bool { return r.writer.pendingBatch(1) })
		id := record.ID{Writer: r.host.Self().Incarnation, Seq: 1}
		r.writer.OnFolded([]host.FoldedBatch{{Batch: record.Batch{ID: id}, Results: []fold.Result{{Err: fold.ErrDuplicate}}}})
		assertUnknownOutcome(t, receive(t, got))
	})
}

// pendingBatch reports whether a batch has not been read back yet.
func (w *writer) pendingBatch(seq uint64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, ok := w.pending[seq]
	return ok
}

// TestBatching guards against submissions of one batch that get each other's results, and
// against batches in which file changes or checkpoints are combined with other operations.
func TestBatching(t *testing.T) {
	t.Run("queued submissions share a record and get separate results", func(t *testing.T) {
		log := newTestLog(t)
		r := newFixture(t, log, "h1")
		first := submitAsync(testContext(t), r.writer, join("h1", 0))
		eventually(t, "one submission is queued", func() bool { return len(r.writer.queue) == 1 })
		second := submitAsync(testContext(t), r.writer, join("h2", 1), join("h3", 1))
		eventually(t, "both submissions are queued", func() bool { return len(r.writer.queue) == 2 })
		r.run(r.writer.run, r.reader.run)
		assertApplied(t, receive(t, first))
		got := receive(t, second)
		assertNoError(t, got.err)
		assertEqual(t, "results", len(got.Results), 2)
		assertNoError(t, got.Results[0].Err)
		if !errors.Is(got.Results[1].Err, fold.ErrStale) {
			t.Fatalf("second result: got %v, want %v", got.Results[1].Err, fold.ErrStale)
		}
		assertEqual(t, "operations of the record", len(r.records()[0].Batch.Ops), 3)
	})
	t.Run("submissions that are too large together are written one after the other", func(t *testing.T) {
		r := newFixture(t, newTestLog(t), "h1")
		var results []<-chan submitReturn
		for i, name := range []string{"h1", "h2", "h3"} {
			results = append(results, submitAsync(testContext(t), r.writer, join(name+strings.Repeat("x", record.MaxSize*2/5), uint64(i))))
			eventually(t, "the submission is queued", func() bool { return len(r.writer.queue) == i+1 })
		}
		r.run(r.writer.run, r.reader.run)
		for _, got := range results {
			assertApplied(t, receive(t, got))
		}
		assertEqual(t, "records", len(r.records()), 2)
	})
	t.Run("a batch has no more operations than its limit", func(t *testing.T) {
		w := newFixture(t, newTestLog(t), "h1").writer
		more := submission{ops: make([]record.Op, maxBatchOps), ctx: testContext(t)}
		w.queue <- more
		first := submission{ops: make([]record.Op, 1), ctx: testContext(t)}
		assertEqual(t, "submissions of the batch", len(w.collect(first)), 1)
		assertEqual(t, "operations left for the next one", len(w.deferred.ops), maxBatchOps)
	})
	t.Run("file changes and checkpoints are not batched with others", func(t *testing.T) {
		log := newTestLog(t)
		r := newFixture(t, log, "h1")
		var results []<-chan submitReturn
		for i, op := range []record.Op{
			join("h1", 0), join("h2", 1), put("10-a.yaml", "{}"), put("20-b.yaml", "{}"),
			{Checkpoint: &record.Checkpoint{}}, join("h3", 2),
		} {
			results = append(results, submitAsync(testContext(t), r.writer, op))
			eventually(t, "the submission is queued", func() bool { return len(r.writer.queue) == i+1 })
		}
		r.run(r.writer.run, r.reader.run)
		for _, got := range results {
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

// TestSubmitCanceled guards against a wrong outcome of a submission that is canceled or too
// large: unknown if it may have been appended, otherwise an error that says that nothing
// was written.
func TestSubmitCanceled(t *testing.T) {
	t.Run("after an append the outcome is unknown", func(t *testing.T) {
		log := newTestLog(t)
		log.service.SetFault(standinlog.Fault{Mode: standinlog.Down})
		r := newFixture(t, log, "h1")
		r.run(r.writer.run, r.reader.run)
		ctx, cancel := context.WithCancel(testContext(t))
		got := submitAsync(ctx, r.writer, join("h1", 0))
		eventually(t, "the batch is appended", func() bool { return r.writer.pendingBatch(1) })
		cancel()
		assertUnknownOutcome(t, receive(t, got))
		log.service.SetFault(standinlog.Fault{Mode: standinlog.Up})
		assertApplied(t, receive(t, submitAsync(testContext(t), r.writer, put("10-a.yaml", "{}"))))
	})
	t.Run("nothing is written while the queue is full", func(t *testing.T) {
		r := newFixture(t, newTestLog(t), "h1")
		for range cap(r.writer.queue) {
			r.writer.queue <- submission{}
		}
		ctx, cancel := context.WithCancel(testContext(t))
		cancel()
		assertNothingWritten(t, receive(t, submitAsync(ctx, r.writer, join("h1", 0))))
	})
	t.Run("nothing is written if the batch is too large", func(t *testing.T) {
		log := newTestLog(t)
		r := newFixture(t, log, "h1")
		r.run(r.writer.run, r.reader.run)
		large := put("10-a.yaml", strings.Repeat("#", record.MaxSize))
		assertNothingWritten(t, receive(t, submitAsync(testContext(t), r.writer, large)))
		assertEqual(t, "records", log.next(ChangeStream), 0)
	})
}
