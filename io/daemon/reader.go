package daemon

import (
	"context"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"pineturn/core/clock"
	"pineturn/core/host"
	"pineturn/core/message"
	"pineturn/core/record"
	"pineturn/io/logservice"
)

// reader follows the log and folds its records.
type reader struct {
	host    *host.Host
	log     *logservice.Client
	now     nowFunc
	counts  *metrics
	folded  func(list []host.FoldedBatch)
	restore func(ctx context.Context) error
	up      atomic.Bool
	floor   atomic.Uint64
	behind  bool
}

// Up reports whether the latest read of the log got an answer.
func (r *reader) Up() bool { return r.up.Load() }

// Floor is the offset of the first record that the log still kept when it
// refused a read; a state before it can't be continued by the log.
func (r *reader) Floor() uint64 { return r.floor.Load() }

// run reads until ctx ends.
func (r *reader) run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := r.read(ctx); err != nil && ctx.Err() == nil {
			r.failed(ctx, err)
		}
	}
}

// read folds what one read of the log returns.
func (r *reader) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	sent, known := r.now(), r.host.Next()
	page, err := r.log.Read(ctx, Stream, known, readLimit, readWait)
	if err != nil {
		return errors.Wrap(err, "read the log")
	}
	if page.Next < known {
		return errors.Newf("log ends at %d, before the known record %d", page.Next, known)
	}
	list, err := r.host.Fold(messages(page.Records), r.now())
	r.folded(list)
	if err != nil {
		return errors.Wrap(err, "fold the log")
	}
	r.host.OnLogRead(page.Next, sent, r.now())
	r.counts.logReads.Add(1)
	r.behind = false
	r.setUp(true)
	return nil
}

func messages(records []logservice.Record) []message.Record {
	list := make([]message.Record, len(records))
	for i, rec := range records {
		list[i] = message.Record{Offset: rec.Offset, Data: rec.Data}
	}
	return list
}

// failed deals with a failed read: a state behind the retention is replaced
// by a snapshot, after anything else the read is tried again.
func (r *reader) failed(ctx context.Context, err error) {
	r.counts.logFailures.Add(1)
	var trimmed *logservice.Trimmed
	if errors.As(err, &trimmed) {
		r.floor.Store(trimmed.Earliest)
		r.host.OnLogTrimmed()
		r.fallBehind(ctx, err)
	} else {
		r.setUp(false)
		r.log.Reset()
	}
	clock.Sleep(ctx, readPause)
}

// fallBehind restores a snapshot. It logs the first attempt only, as each
// later one fails for the same reason.
func (r *reader) fallBehind(ctx context.Context, cause error) {
	err := r.restore(ctx)
	if !r.behind {
		klog.ErrorS(cause, "The log no longer keeps the next record; restoring a snapshot", "next", r.host.Next())
		if err != nil {
			klog.ErrorS(err, "No snapshot could be restored; trying again")
		}
	}
	r.behind = true
}

func (r *reader) setUp(up bool) {
	if r.up.Swap(up) == up {
		return
	}
	r.counts.logUp.Set(boolValue(up))
	klog.InfoS("Log service changed state", "up", up)
}

func boolValue(on bool) float64 {
	if on {
		return 1
	}
	return 0
}

// opName is the kind of an operation, as metrics and logs name it.
func opName(op record.Op) string {
	switch {
	case op.Files != nil:
		return "files"
	case op.Join != nil:
		return "join"
	case op.Leave != nil:
		return "leave"
	case op.Assign != nil:
		return "assign"
	case op.Settle != nil:
		return "settle"
	case op.Lead != nil:
		return "lead"
	case op.Split != nil:
		return "split"
	case op.Merge != nil:
		return "merge"
	case op.Drain != nil:
		return "drain"
	case op.Reset != nil:
		return "reset"
	case op.Checkpoint != nil:
		return "checkpoint"
	}
	return "unknown"
}
