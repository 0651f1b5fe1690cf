// Package host holds the decisions of one host: the folded state, what it
// knows of the other hosts, the targets it is the leaseholder of, and its
// planner. It does no I/O; package io/daemon, the property tests and the
// benchmarks drive the same code.
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

// maxRecent is how many records are kept for hosts that can't read the log.
const maxRecent = 4096

// Options set the times of a host.
type Options struct {
	Lease     lease.Options
	Suspicion time.Duration
}

// Host is the decision state of one host. It is safe for concurrent use.
//
// Lock order: mu, then the lock inside leases. The state is read under mu
// held for reading and replaced under mu held for writing; tracker and
// planner are used under mu held for writing.
type Host struct {
	mu      sync.RWMutex
	self    record.Member
	state   *fold.State
	ready   bool
	tracker *member.Tracker
	planner *plan.Planner
	leases  *lease.Table
	recent  []message.Record
	changed chan struct{}
	leaving bool
	joinAt  time.Time
	image   *Snapshot
	// logAt is when the latest read that the log answered was sent, and
	// logAnswered when its answer came. promises are what this host has
	// promised to deputies, candidacies what it asks for as a deputy itself.
	logAt       time.Time
	logAnswered time.Time
	promises    map[record.Target]message.Promise
	candidacies map[record.Target]*candidacy
}

// New returns the decisions of the host self, which knows nothing yet.
func New(self record.Member, options Options, now time.Time) *Host {
	if options.Suspicion == 0 {
		options.Suspicion = member.DefaultSuspicion
	}
	return &Host{
		self: self, state: fold.New(),
		tracker: member.New(self.Incarnation, options.Suspicion, now),
		planner: plan.New(self.Incarnation),
		leases:  lease.New(self.Incarnation, options.Lease),
		changed: make(chan struct{}), logAt: now, logAnswered: now,
		promises: map[record.Target]message.Promise{}, candidacies: map[record.Target]*candidacy{},
	}
}

// Self is this host as the membership lists it.
func (h *Host) Self() record.Member { return h.self }

// Leases are the targets that this host is the leaseholder of.
func (h *Host) Leases() *lease.Table { return h.leases }

// Next is the offset of the first record that this host has not folded.
func (h *Host) Next() uint64 {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.state.Next()
}

// ViewState calls look with the folded state, which it must not keep or change.
func (h *Host) ViewState(look func(state *fold.State)) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	look(h.state)
}

// ViewTracker calls look with the folded state and the member tracker.
func (h *Host) ViewTracker(look func(state *fold.State, tracker *member.Tracker)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	look(h.state, h.tracker)
}

// Changed returns a channel that is closed at the next change of the state.
func (h *Host) Changed() <-chan struct{} {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.changed
}

// Ready reports whether the host knows a state that it may serve by.
func (h *Host) Ready() bool {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.known()
}

// StartLeaving makes the host hand over what it leads; it can't be undone.
func (h *Host) StartLeaving() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leaving = true
}

// Leaving reports that the host hands over what it leads.
func (h *Host) Leaving() bool {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.leaving
}

// FoldedBatch is one batch that Fold took in.
type FoldedBatch struct {
	Offset  uint64
	Batch   record.Batch
	Results []fold.Result
	// Err tells that the record could not be decoded; it is void.
	Err error
}

// Fold takes in consecutive records. Records before the next one are passed
// over; a gap is an error, and nothing behind it is taken in.
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
			h.advanced(len(list), now)
			return list, errors.Wrap(err, "fold records")
		}
		list = append(list, FoldedBatch{Offset: rec.Offset, Batch: batch, Results: results, Err: err})
		h.remember(rec)
		h.keepImage(batch)
	}
	h.advanced(len(list), now)
	return list, nil
}

func (h *Host) remember(rec message.Record) {
	h.recent = append(h.recent, rec)
	if len(h.recent) > maxRecent {
		h.recent = append([]message.Record(nil), h.recent[maxRecent/2:]...)
	}
}

// advanced brings everything in line after count records were folded.
func (h *Host) advanced(count int, now time.Time) {
	if count == 0 {
		return
	}
	h.tracker.Sync(h.state.Members(), now)
	h.markReplaced(now)
	h.leases.Sync(h.state, now)
	close(h.changed)
	h.changed = make(chan struct{})
}

// markReplaced notes that earlier runs of this very host are over.
func (h *Host) markReplaced(now time.Time) {
	members := h.state.Members()
	for _, list := range [][]record.Member{members.Current(), members.Previous()} {
		for _, one := range list {
			id := one.Incarnation
			if id.Host == h.self.Incarnation.Host && id.Run < h.self.Incarnation.Run {
				h.tracker.MarkReplaced(id, now)
			}
		}
	}
}

// Restore replaces the state by a snapshot, unless the host knows a newer
// one already.
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
	h.advanced(1, now)
	return nil
}

// Snapshot returns the encoded state and its digest.
func (h *Host) Snapshot() ([]byte, uint64, error) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.state.Encode()
}

// OnLogRead records that a read of the log, sent at sent, found its end at next.
// It confirms this host only for targets without deputies: those may lead
// without the log.
func (h *Host) OnLogRead(next uint64, sent, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if sent.After(h.logAt) {
		h.logAt = sent
	}
	h.logAnswered = now
	if next != h.state.Next() {
		return
	}
	h.ready = true
	for _, place := range h.leases.HeldTargets() {
		if !place.Deputies {
			h.leases.RecordFreshness(place.Target, sent)
		}
	}
}

// OnLogTrimmed records that the log no longer keeps the next record, so that
// the state must not be served by until a newer one is restored.
func (h *Host) OnLogTrimmed() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ready = false
}

// known reports whether there is a state to serve by.
func (h *Host) known() bool { return h.ready && !h.state.Diverged() }

// Snapshot is an encoded state.
type Snapshot struct {
	// Next is the offset of the first record that the state lacks.
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

// TakeCheckpointSnapshot returns, once, the state at this host's own latest checkpoint.
func (h *Host) TakeCheckpointSnapshot() (Snapshot, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	image := h.image
	h.image = nil
	if image == nil {
		return Snapshot{}, false
	}
	return *image, true
}

// keepImage encodes the state if the batch folded last is this host's own
// checkpoint.
func (h *Host) keepImage(batch record.Batch) {
	if batch.ID.Writer != h.self.Incarnation || len(batch.Ops) == 0 || batch.Ops[len(batch.Ops)-1].Checkpoint == nil {
		return
	}
	data, digest, err := h.state.Encode()
	if err == nil {
		h.image = &Snapshot{Next: h.state.Next(), Digest: digest, Data: data}
	}
}
