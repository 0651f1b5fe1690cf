package daemon

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"pineturn/core/fold"
	"pineturn/core/host"
	"pineturn/core/record"
	"pineturn/io/logservice"
)

// errUnknownOutcome is returned if it is unknown whether a batch takes effect.
var errUnknownOutcome = errors.New("the log has not confirmed the change; it may still take effect")

// SubmitResult is the offset of the record that holds a submission, and the
// results of its operations.
type SubmitResult struct {
	Offset  uint64
	Results []fold.Result
}

// duplicate reports whether only a later copy of the batch was folded by this
// host. The first copy is then covered by a restored snapshot, and the results of
// its operations are not available.
func (w SubmitResult) duplicate() bool {
	for _, result := range w.Results {
		if errors.Is(result.Err, fold.ErrDuplicate) {
			return true
		}
	}
	return false
}

// submission is a call of Submit whose operations have not been read back from
// the log yet.
type submission struct {
	ops []record.Op
	// size is the size of a batch of these operations alone, in bytes.
	size   int
	ctx    context.Context
	result chan SubmitResult
}

// writer appends batches to the log, one at a time. A batch is complete once it
// is read back from the log. If the response to an append is lost, the batch is
// appended again with the same id; the fold applies it only once.
type writer struct {
	log     *logservice.Client
	self    record.Incarnation
	metrics *metrics
	queue   chan submission
	// deferred is a submission that was taken from the queue but did not go into
	// the last batch. It is accessed only by run.
	deferred *submission

	// appendCalls counts the appends in flight.
	appendCalls sync.WaitGroup

	// mu guards seq and pending. pending maps the sequence number of a batch to
	// the channel that receives the batch once it is folded.
	mu      sync.Mutex
	seq     uint64
	pending map[uint64]chan host.FoldedBatch
}

func newWriter(log *logservice.Client, self record.Incarnation, m *metrics) *writer {
	return &writer{
		log: log, self: self, metrics: m,
		queue: make(chan submission, maxQueuedSubmissions), pending: map[uint64]chan host.FoldedBatch{},
	}
}

// Submit appends operations and returns their results once they are read back
// from the log. If the error is errUnknownOutcome, the operations may still take
// effect.
func (w *writer) Submit(ctx context.Context, ops []record.Op) (SubmitResult, error) {
	data, err := record.Encode(w.batch(math.MaxUint64, ops))
	if err != nil {
		return SubmitResult{}, errors.Wrap(err, "nothing was written")
	}
	item := submission{ops: ops, size: len(data), ctx: ctx, result: make(chan SubmitResult, 1)}
	select {
	case w.queue <- item:
	case <-ctx.Done():
		return SubmitResult{}, errors.Wrap(ctx.Err(), "queue the change; nothing was written")
	}
	select {
	case written := <-item.result:
		if written.duplicate() {
			return SubmitResult{}, errUnknownOutcome
		}
		return written, nil
	case <-ctx.Done():
		return SubmitResult{}, errUnknownOutcome
	}
}

// batch returns a batch of this host.
func (w *writer) batch(seq uint64, ops []record.Op) record.Batch {
	return record.Batch{Version: record.Version, ID: record.ID{Writer: w.self, Seq: seq}, Ops: ops}
}

// OnFolded passes folded batches of this host to the calls that wait for them.
func (w *writer) OnFolded(records []host.FoldedBatch) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, item := range records {
		if item.Err != nil || item.Batch.ID.Writer != w.self {
			continue
		}
		if waiter, ok := w.pending[item.Batch.ID.Seq]; ok {
			delete(w.pending, item.Batch.ID.Seq)
			waiter <- item
		}
	}
}

// run appends submissions until ctx is done.
func (w *writer) run(ctx context.Context) {
	defer w.appendCalls.Wait()
	for {
		if w.deferred != nil {
			first := *w.deferred
			w.deferred = nil
			w.write(ctx, w.collect(first))
			continue
		}
		select {
		case <-ctx.Done():
			return
		case first := <-w.queue:
			w.write(ctx, w.collect(first))
		}
	}
}

// needsOwnBatch reports whether a submission must not share a batch. This holds
// for file changes, which have a single author and version per batch, and for
// checkpoints, because the state is encoded right after the checkpoint.
func needsOwnBatch(item submission) bool {
	for _, op := range item.ops {
		if op.Files != nil || op.Checkpoint != nil {
			return true
		}
	}
	return false
}

// collect returns first and the queued submissions that go into the same batch.
func (w *writer) collect(first submission) []submission {
	submissions := []submission{first}
	count, size := len(first.ops), first.size
	for count < maxBatchOps && !needsOwnBatch(first) {
		select {
		case item := <-w.queue:
			count, size = count+len(item.ops), size+item.size
			if count > maxBatchOps || size > record.MaxSize || needsOwnBatch(item) {
				w.deferred = &item
				return uncanceled(submissions)
			}
			submissions = append(submissions, item)
		default:
			return uncanceled(submissions)
		}
	}
	return uncanceled(submissions)
}

// uncanceled returns the submissions whose context is not done.
func uncanceled(submissions []submission) []submission {
	var waiting []submission
	for _, item := range submissions {
		if item.ctx.Err() == nil {
			waiting = append(waiting, item)
		}
	}
	return waiting
}

// write appends one batch, repeatedly if necessary, until it is read back or all
// its submissions are canceled.
func (w *writer) write(ctx context.Context, submissions []submission) {
	seq, folded := w.register()
	defer w.unregister(seq)
	var ops []record.Op
	for _, item := range submissions {
		ops = append(ops, item.ops...)
	}
	if len(ops) == 0 {
		return
	}
	data, err := record.Encode(w.batch(seq, ops))
	if err != nil {
		w.metrics.appendFailures.Add(1)
		klog.ErrorS(err, "Failed to encode a batch")
		return
	}
	for ctx.Err() == nil && len(uncanceled(submissions)) > 0 {
		if item, ok := awaitFolded(ctx, folded, w.startAppend(ctx, data)); ok {
			deliver(submissions, item)
			return
		}
	}
}

func (w *writer) register() (uint64, chan host.FoldedBatch) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seq++
	folded := make(chan host.FoldedBatch, 1)
	w.pending[w.seq] = folded
	return w.seq, folded
}

func (w *writer) unregister(seq uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.pending, seq)
}

// startAppend appends in the background and returns a channel that is closed when
// the append has succeeded or failed. The batch may be read back before a slow
// log responds; the caller then need not wait for the response.
func (w *writer) startAppend(ctx context.Context, data []byte) <-chan struct{} {
	done := make(chan struct{})
	w.appendCalls.Go(func() {
		defer close(done)
		w.append(ctx, data)
	})
	return done
}

func (w *writer) append(ctx context.Context, data []byte) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	w.metrics.appends.Add(1)
	w.metrics.appendBytes.Add(float64(len(data)))
	if _, err := w.log.Append(ctx, ChangeStream, data); err != nil {
		w.metrics.appendFailures.Add(1)
	}
}

// awaitFolded waits for a batch to be read back. It returns false when the batch
// has to be appended again: appendRetryDelay after the append has ended, or
// appendHedgeDelay after it was started.
func awaitFolded(ctx context.Context, folded <-chan host.FoldedBatch, done <-chan struct{}) (host.FoldedBatch, bool) {
	timer := time.NewTimer(appendHedgeDelay)
	defer timer.Stop()
	for {
		select {
		case item := <-folded:
			return item, true
		case <-done:
			done = nil
			timer.Reset(appendRetryDelay)
		case <-timer.C:
			return host.FoldedBatch{}, false
		case <-ctx.Done():
			return host.FoldedBatch{}, false
		}
	}
}

// deliver sends each submission the results of its own operations.
func deliver(submissions []submission, item host.FoldedBatch) {
	at := 0
	for _, sub := range submissions {
		end := at + len(sub.ops)
		if end > len(item.Results) {
			return
		}
		sub.result <- SubmitResult{Offset: item.Offset, Results: item.Results[at:end]}
		at = end
	}
}
