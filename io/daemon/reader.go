package daemon

import (
	"context"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

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
	folded  func(list []host.Folded)
	restore func(ctx context.Context) error
	up      atomic.Bool
}

// Up reports whether the latest read of the log got an answer.
func (r *reader) Up() bool { return r.up.Load() }

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
	sent := r.now()
	page, err := r.log.Read(ctx, Stream, r.host.Next(), readLimit, readWait)
	if err != nil {
		return errors.Wrap(err, "read the log")
	}
	if page.Next < r.host.Next() {
		return errors.Newf("log ends at %d, before the known record %d", page.Next, r.host.Next())
	}
	list, err := r.host.Fold(messages(page.Records), r.now())
	r.folded(list)
	if err != nil {
		return errors.Wrap(err, "fold the log")
	}
	r.host.LogRead(page.Next, sent)
	r.counts.logReads.Add(1)
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
		r.host.LogTrimmed()
		klog.ErrorS(err, "The log no longer keeps the next record; restoring a snapshot", "next", r.host.Next())
		if err := r.restore(ctx); err != nil {
			klog.ErrorS(err, "No snapshot could be restored")
		}
	} else {
		r.setUp(false)
		r.log.Reset()
	}
	pause(ctx, readPause)
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
