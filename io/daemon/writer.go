package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"pineturn/core/fold"
	"pineturn/core/host"
	"pineturn/core/record"
	"pineturn/io/logservice"
)

// errUnresolved means that it is not known whether a batch takes effect.
var errUnresolved = errors.New("the log has not confirmed the change; it may still take effect")

// Written is where a submission stands in the log, and its verdicts.
type Written struct {
	Offset  uint64
	Results []fold.Result
}

// repeated reports that only a later copy of the batch was folded here: the
// first one is part of a snapshot that was restored, and so are its verdicts.
func (w Written) repeated() bool {
	for _, result := range w.Results {
		if errors.Is(result.Err, fold.ErrDuplicate) {
			return true
		}
	}
	return false
}

// submission waits for its operations to be read back from the log.
type submission struct {
	ops    []record.Op
	ctx    context.Context
	answer chan Written
}

// writer appends batches, one at a time, and resolves each by reading it
// back: an append whose answer was lost is sent again under the same id, and
// the fold takes it once.
type writer struct {
	log    *logservice.Client
	self   record.Incarnation
	counts *metrics
	queue  chan submission
	// held is a submission that did not fit into the last batch; only run
	// uses it.
	held *submission

	// attempts are the appends under way.
	attempts sync.WaitGroup

	mu       sync.Mutex
	seq      uint64
	resolved map[uint64]chan host.FoldedBatch
}

func newWriter(log *logservice.Client, self record.Incarnation, counts *metrics) *writer {
	return &writer{
		log: log, self: self, counts: counts,
		queue: make(chan submission, maxPending), resolved: map[uint64]chan host.FoldedBatch{},
	}
}

// Submit appends operations and returns their verdicts once they are read
// back. With errUnresolved they may take effect later.
func (w *writer) Submit(ctx context.Context, ops []record.Op) (Written, error) {
	if _, err := record.Encode(record.Batch{Version: record.Version, Ops: ops}); err != nil {
		return Written{}, errors.Wrap(err, "nothing was written")
	}
	item := submission{ops: ops, ctx: ctx, answer: make(chan Written, 1)}
	select {
	case w.queue <- item:
	case <-ctx.Done():
		return Written{}, errors.Wrap(ctx.Err(), "queue the change; nothing was written")
	}
	select {
	case written := <-item.answer:
		if written.repeated() {
			return Written{}, errUnresolved
		}
		return written, nil
	case <-ctx.Done():
		return Written{}, errUnresolved
	}
}

// Folded resolves batches of this host that the reader has folded.
func (w *writer) Folded(list []host.FoldedBatch) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, item := range list {
		if item.Err != nil || item.Batch.ID.Writer != w.self {
			continue
		}
		if found, ok := w.resolved[item.Batch.ID.Seq]; ok {
			delete(w.resolved, item.Batch.ID.Seq)
			found <- item
		}
	}
}

// run appends what is submitted until ctx ends.
func (w *writer) run(ctx context.Context) {
	defer w.attempts.Wait()
	for {
		if w.held != nil {
			first := *w.held
			w.held = nil
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

// alone reports whether a submission makes a batch of its own: changes of
// files, which have one author and version, and checkpoints, whose state is
// encoded right after them.
func alone(item submission) bool {
	for _, op := range item.ops {
		if op.Files != nil || op.Checkpoint != nil {
			return true
		}
	}
	return false
}

// collect joins waiting submissions into one batch.
func (w *writer) collect(first submission) []submission {
	list := []submission{first}
	count := len(first.ops)
	for count < maxOps && !alone(first) {
		select {
		case item := <-w.queue:
			if alone(item) {
				w.held = &item
				return live(list)
			}
			list = append(list, item)
			count += len(item.ops)
		default:
			return live(list)
		}
	}
	return live(list)
}

// live leaves out the submissions that nobody waits for any more.
func live(list []submission) []submission {
	var rest []submission
	for _, item := range list {
		if item.ctx.Err() == nil {
			rest = append(rest, item)
		}
	}
	return rest
}

// write pursues one batch until it is read back or nobody waits for it.
func (w *writer) write(ctx context.Context, list []submission) {
	seq, found := w.expect()
	defer w.forget(seq)
	batch := record.Batch{Version: record.Version, ID: record.ID{Writer: w.self, Seq: seq}}
	for _, item := range list {
		batch.Ops = append(batch.Ops, item.ops...)
	}
	if len(batch.Ops) == 0 {
		return
	}
	data, err := record.Encode(batch)
	if err != nil {
		w.counts.appendFailures.Add(1)
		klog.ErrorS(err, "A batch could not be encoded")
		return
	}
	for ctx.Err() == nil && len(live(list)) > 0 {
		if item, ok := await(ctx, found, w.attempt(ctx, data)); ok {
			deliver(list, item)
			return
		}
	}
}

func (w *writer) expect() (uint64, chan host.FoldedBatch) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seq++
	found := make(chan host.FoldedBatch, 1)
	w.resolved[w.seq] = found
	return w.seq, found
}

func (w *writer) forget(seq uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.resolved, seq)
}

// attempt appends in the background, and returns a channel that is closed when
// the log has answered or failed. A slow log's answer is not waited for when
// the batch is read back before.
func (w *writer) attempt(ctx context.Context, data []byte) <-chan struct{} {
	ended := make(chan struct{})
	w.attempts.Go(func() {
		defer close(ended)
		w.append(ctx, data)
	})
	return ended
}

func (w *writer) append(ctx context.Context, data []byte) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	w.counts.appends.Add(1)
	w.counts.appendBytes.Add(float64(len(data)))
	if _, err := w.log.Append(ctx, Stream, data); err != nil {
		w.counts.appendFailures.Add(1)
	}
}

// await waits for a batch to be read back, until it is time to send it again:
// a while after an attempt has ended, or when one takes long.
func await(ctx context.Context, found <-chan host.FoldedBatch, ended <-chan struct{}) (host.FoldedBatch, bool) {
	timer := time.NewTimer(appendPatience)
	defer timer.Stop()
	for {
		select {
		case item := <-found:
			return item, true
		case <-ended:
			ended = nil
			timer.Reset(appendSettle)
		case <-timer.C:
			return host.FoldedBatch{}, false
		case <-ctx.Done():
			return host.FoldedBatch{}, false
		}
	}
}

// deliver hands each submission the verdicts on its own operations.
func deliver(list []submission, item host.FoldedBatch) {
	at := 0
	for _, sub := range list {
		end := at + len(sub.ops)
		if end > len(item.Results) {
			return
		}
		sub.answer <- Written{Offset: item.Offset, Results: item.Results[at:end]}
		at = end
	}
}
