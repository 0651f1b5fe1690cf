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

// reader reads the log continuously and folds its records.
type reader struct {
	host     *host.Host
	log      *logservice.Client
	now      nowFunc
	metrics  *metrics
	onFolded func(list []host.FoldedBatch)
	restore  func(ctx context.Context) error
	// up is set by a successful read of the log and cleared by a failed one. A read
	// refused because of the retention leaves it unchanged.
	up       atomic.Bool
	earliest atomic.Uint64
	// restoreLogged is set once a restore has been logged, until a read succeeds.
	restoreLogged bool
}

// Up reports whether the log service is reachable, according to the latest read.
func (r *reader) Up() bool { return r.up.Load() }

// EarliestOffset returns the offset of the earliest record in the log, as
// returned with the latest read refused because of the retention, or 0. A state
// that ends before this offset cannot be continued from the log.
func (r *reader) EarliestOffset() uint64 { return r.earliest.Load() }

// run reads the log until ctx is done.
func (r *reader) run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := r.read(ctx); err != nil && ctx.Err() == nil {
			r.handleReadError(ctx, err)
		}
	}
}

// read reads the log once and folds the records.
func (r *reader) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	sent, next := r.now(), r.host.Next()
	page, err := r.log.Read(ctx, ChangeStream, next, readLimit, readWait)
	if err != nil {
		return errors.Wrap(err, "read the log")
	}
	if page.Next < next {
		return errors.Newf("log ends at offset %d, before the next expected offset %d", page.Next, next)
	}
	folded, err := r.host.Fold(messages(page.Records), r.now())
	r.onFolded(folded)
	if err != nil {
		return errors.Wrap(err, "fold the log")
	}
	r.host.OnLogRead(page.Next, sent, r.now())
	r.metrics.logReads.Add(1)
	r.restoreLogged = false
	r.setLogUp(true)
	return nil
}

func messages(records []logservice.Record) []message.Record {
	list := make([]message.Record, len(records))
	for i, rec := range records {
		list[i] = message.Record{Offset: rec.Offset, Data: rec.Data}
	}
	return list
}

// handleReadError handles a failed read. If the state is behind the retention of
// the log, a snapshot is restored; after any other error the read is retried.
func (r *reader) handleReadError(ctx context.Context, err error) {
	r.metrics.logFailures.Add(1)
	var trimmed *logservice.TrimmedError
	if errors.As(err, &trimmed) {
		r.earliest.Store(trimmed.Earliest)
		r.host.OnLogTrimmed()
		r.restoreSnapshot(ctx, err)
	} else {
		r.setLogUp(false)
		r.log.CloseIdleConnections()
	}
	clock.Sleep(ctx, readPause)
}

// restoreSnapshot restores a snapshot. Only the first attempt is logged, because
// later attempts fail for the same reason.
func (r *reader) restoreSnapshot(ctx context.Context, cause error) {
	err := r.restore(ctx)
	if !r.restoreLogged {
		klog.ErrorS(cause, "Next record is past the retention of the log; restoring a snapshot", "next", r.host.Next())
		if err != nil {
			klog.ErrorS(err, "Failed to restore a snapshot; retrying")
		}
	}
	r.restoreLogged = true
}

func (r *reader) setLogUp(up bool) {
	if r.up.Swap(up) == up {
		return
	}
	r.metrics.logUp.Set(boolValue(up))
	klog.InfoS("Availability of the log service changed", "up", up)
}

func boolValue(on bool) float64 {
	if on {
		return 1
	}
	return 0
}

// opName returns the name of the kind of an operation in metrics.
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
