// Package host implements the decisions of one host: the folded state, the
// tracker of the other members, the leases of the targets that the host is the
// leaseholder of, and the planner. It does no I/O; package io/daemon, the
// property tests and the benchmarks run the same code.
package host

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"pineturn/core/fold"
	"pineturn/core/lease"
	"pineturn/core/member"
	"pineturn/core/message"
	"pineturn/core/plan"
	"pineturn/core/record"
)

// maxRecentRecords is the maximum number of records kept in memory for hosts
// that cannot read the log.
const maxRecentRecords = 4096

// Options are the durations of a Host. Zero values are replaced by the
// defaults of packages lease and member.
type Options struct {
	Lease     lease.Options
	Suspicion time.Duration
}

// Host is the decision state of one host. It is safe for concurrent use.
//
// Lock order: mu, then the lock inside leases. The state is read under mu held
// for reading and replaced under mu held for writing; tracker and planner are
// used under mu held for writing.
type Host struct {
	mu    sync.RWMutex
	self  record.Member
	state *fold.State
	// ready is set once the state was folded up to the end of the log or was copied
	// from a ready peer. It is cleared when the log no longer holds the next record.
	ready          bool
	tracker        *member.Tracker
	planner        *plan.Planner
	leases         *lease.Table
	recent         []message.Record
	changed        chan struct{}
	leaving        bool
	joinProposedAt time.Time
	snapshot       *Snapshot
	// logReadSentAt is when the latest read of the log with a response was sent.
	logReadSentAt time.Time
	// logResponseAt is when the latest response of the log was received.
	logResponseAt time.Time
	// promises holds the promises that this host has made to deputies, itself
	// included.
	promises map[record.Target]message.Promise
	// candidacies holds the attempts of this host to take over targets as a
	// deputy.
	candidacies map[record.Target]*candidacy
}

// New returns the decision state of the host self before the first record.
func New(self record.Member, options Options, now time.Time) *Host {
	if options.Suspicion == 0 {
		options.Suspicion = member.DefaultSuspicion
	}
	return &Host{
		self: self, state: fold.New(),
		tracker: member.New(self.Incarnation, options.Suspicion, now),
		planner: plan.New(self.Incarnation),
		leases:  lease.New(self.Incarnation, options.Lease),
		changed: make(chan struct{}), logReadSentAt: now, logResponseAt: now,
		promises: map[record.Target]message.Promise{}, candidacies: map[record.Target]*candidacy{},
	}
}

// Self returns this host as it is listed in the membership.
func (h *Host) Self() record.Member { return h.self }

// Leases returns the table of the targets that this host is the leaseholder
// of.
func (h *Host) Leases() *lease.Table { return h.leases }

// Next returns the first offset that this host has not folded.
func (h *Host) Next() uint64 {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.state.Next()
}

// ViewState calls view with the folded state. The function must not change or
// retain the state.
func (h *Host) ViewState(view func(state *fold.State)) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	view(h.state)
}

// ViewTracker calls view with the folded state and the member tracker.
func (h *Host) ViewTracker(view func(state *fold.State, tracker *member.Tracker)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	view(h.state, h.tracker)
}

// Changed returns a channel that is closed at the next change of the state.
func (h *Host) Changed() <-chan struct{} {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.changed
}

// Ready reports whether the host has a usable state.
func (h *Host) Ready() bool {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.stateUsable()
}

// StartLeaving starts handing over the targets that this host is the
// leaseholder of. It cannot be undone.
func (h *Host) StartLeaving() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leaving = true
}

// Leaving reports whether this host is handing over its targets before it
// stops.
func (h *Host) Leaving() bool {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.leaving
}

// FoldedBatch is the result of folding one record.
type FoldedBatch struct {
	Offset  uint64
	Batch   record.Batch
	Results []fold.Result
	// Err is set if the record could not be decoded and is therefore void.
	Err error
}

// Fold folds consecutive records. Records that were folded before are skipped.
// At a gap, it returns the results up to the gap and an error that wraps
// fold.ErrGap.
func (h *Host) Fold(records []message.Record, now time.Time) ([]FoldedBatch, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var list []FoldedBatch
	for _, rec := range records {
		if rec.Offset < h.state.Next() {
			continue
		}
		batch, results, err := h.state.Apply(rec.Offset, rec.Data)
		if errors.Is(err, fold.ErrGap) {
			h.syncAfterFold(len(list), now)
			return list, errors.Wrap(err, "fold records")
		}
		list = append(list, FoldedBatch{Offset: rec.Offset, Batch: batch, Results: results, Err: err})
		h.keepRecent(rec)
		h.captureSnapshot(batch)
	}
	h.syncAfterFold(len(list), now)
	return list, nil
}

func (h *Host) keepRecent(rec message.Record) {
	h.recent = append(h.recent, rec)
	if len(h.recent) > maxRecentRecords {
		h.recent = append([]message.Record(nil), h.recent[maxRecentRecords/2:]...)
	}
}

// syncAfterFold updates the tracker and the leases after count records were
// folded, and signals the change.
func (h *Host) syncAfterFold(count int, now time.Time) {
	if count == 0 {
		return
	}
	h.tracker.Sync(h.state.Members(), now)
	h.markEarlierRunsReplaced(now)
	h.leases.Sync(h.state, now)
	close(h.changed)
	h.changed = make(chan struct{})
}

// markEarlierRunsReplaced marks earlier incarnations of this host as replaced:
// their processes have ended.
func (h *Host) markEarlierRunsReplaced(now time.Time) {
	members := h.state.Members()
	for _, list := range [][]record.Member{members.Current(), members.Previous()} {
		for _, other := range list {
			id := other.Incarnation
			if id.Host == h.self.Incarnation.Host && id.Run < h.self.Incarnation.Run {
				h.tracker.MarkReplaced(id, now)
			}
		}
	}
}

// Restore replaces the state by the snapshot in data, unless this host has
// folded at least as many records.
func (h *Host) Restore(data []byte, digest uint64, now time.Time) error {
	state, err := fold.Restore(data, digest)
	if err != nil {
		return errors.Wrap(err, "restore")
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if state.Next() <= h.state.Next() {
		return nil
	}
	h.state = state
	h.recent = nil
	h.syncAfterFold(1, now)
	return nil
}

// Snapshot returns the encoded state and its digest.
func (h *Host) Snapshot() ([]byte, uint64, error) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.state.Encode()
}

// OnLogRead records that a read of the log, sent at sent and completed at now,
// found the end of the log at next. The state is usable once it is folded up
// to next. The read is a proof of freshness only for targets without deputies,
// because a deputy can take over without a record on the log.
func (h *Host) OnLogRead(next uint64, sent, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if sent.After(h.logReadSentAt) {
		h.logReadSentAt = sent
	}
	h.logResponseAt = now
	if next != h.state.Next() {
		return
	}
	h.ready = true
	for _, held := range h.leases.HeldTargets() {
		if !held.Deputies {
			h.leases.RecordFreshness(held.Target, sent)
		}
	}
}

// OnLogTrimmed records that the log no longer holds the next record. The state
// is not usable until a newer one is restored.
func (h *Host) OnLogTrimmed() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ready = false
}

// stateUsable reports whether the host may serve from its state: it is ready
// and has not diverged from the state of other hosts.
func (h *Host) stateUsable() bool { return h.ready && !h.state.Diverged() }

// Snapshot is the encoded state at a checkpoint.
type Snapshot struct {
	// Next is the first offset that is not folded into the state.
	Next   uint64
	Digest uint64
	Data   []byte
}

// CheckpointOp returns the operation that announces a snapshot.
func (h *Host) CheckpointOp() record.Op {
	h.mu.RLock()
	defer h.mu.RUnlock()
	op := &record.Checkpoint{}
	if list := h.state.Checkpoints(); len(list) > 0 {
		last := list[len(list)-1]
		op.BeforeNext, op.BeforeDigest = last.Next, last.Digest
	}
	return record.Op{Checkpoint: op}
}

// TakeCheckpointSnapshot returns the state at the latest checkpoint written by
// this host. Each snapshot is returned once; without a new one, the result is
// false.
func (h *Host) TakeCheckpointSnapshot() (Snapshot, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	snapshot := h.snapshot
	h.snapshot = nil
	if snapshot == nil {
		return Snapshot{}, false
	}
	return *snapshot, true
}

// captureSnapshot encodes the state if the batch, which was folded last, ends
// with a checkpoint written by this host.
func (h *Host) captureSnapshot(batch record.Batch) {
	if batch.ID.Writer != h.self.Incarnation || len(batch.Ops) == 0 || batch.Ops[len(batch.Ops)-1].Checkpoint == nil {
		return
	}
	data, digest, err := h.state.Encode()
	if err == nil {
		h.snapshot = &Snapshot{Next: h.state.Next(), Digest: digest, Data: data}
	}
}
