package daemon

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"pineturn/core/host"
	"pineturn/core/member"
	"pineturn/core/message"
	"pineturn/core/record"
	"pineturn/io/peer"
)

// callFunc sends a control call to another host and returns the reply.
type callFunc func(ctx context.Context, to record.Member, call *message.Call) (*message.Reply, error)

// heartbeater sends heartbeats to other hosts, and fetches records that other
// hosts have folded before this one.
type heartbeater struct {
	host     *host.Host
	call     callFunc
	now      nowFunc
	metrics  *metrics
	wake     chan struct{}
	onFolded func(list []host.FoldedBatch)

	// mu guards inFlight and catchingUp. inFlight is the set of incarnations with a
	// heartbeat in flight.
	mu         sync.Mutex
	inFlight   map[record.Incarnation]bool
	catchingUp bool
	calls      sync.WaitGroup
}

// run sends heartbeats until ctx is done.
func (h *heartbeater) run(ctx context.Context) {
	defer h.calls.Wait()
	runEvery(ctx, member.DefaultInterval, h.wake, func(ctx context.Context) {
		for _, to := range h.host.HeartbeatPeers() {
			if h.begin(to.Incarnation) {
				h.calls.Go(func() { h.sendHeartbeat(ctx, to) })
			}
		}
	})
}

// begin marks a heartbeat to an incarnation as in flight. It returns false if one
// is already in flight.
func (h *heartbeater) begin(id record.Incarnation) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.inFlight[id] {
		return false
	}
	h.inFlight[id] = true
	return true
}

func (h *heartbeater) end(id record.Incarnation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.inFlight, id)
}

func (h *heartbeater) sendHeartbeat(ctx context.Context, to record.Member) {
	defer h.end(to.Incarnation)
	timed, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	sent := h.now()
	reply, err := h.call(timed, to, &message.Call{Ping: &message.Ping{Next: h.host.Next()}})
	if err != nil || reply.Ping == nil {
		h.metrics.heartbeats.WithLabelValues("failed").Add(1)
		h.handleReplaced(to.Incarnation, err)
		return
	}
	h.metrics.heartbeats.WithLabelValues("answered").Add(1)
	if h.host.OnPong(*reply.Ping, sent, h.now()) && reply.Ping.Ready {
		h.catchUp(ctx, to)
	}
}

// catchUpIfBehind fetches records from a host that has sent a heartbeat with an
// offset next beyond the state of this host.
func (h *heartbeater) catchUpIfBehind(from record.Member, next uint64) {
	if next > h.host.Next() && h.host.Ready() {
		h.calls.Go(func() { h.catchUp(context.Background(), from) })
	}
}

// handleReplaced records that an incarnation was replaced, if err shows that a
// later incarnation of the same host replied at its address.
func (h *heartbeater) handleReplaced(id record.Incarnation, err error) {
	var other *peer.IncarnationMismatchError
	if errors.As(err, &other) && other.Got.Host == id.Host && other.Got.Run > id.Run {
		h.host.OnReplaced(id, h.now())
	}
}

// catchUp fetches records that another host has folded and this one has not. It
// does nothing while another call of catchUp is in progress.
func (h *heartbeater) catchUp(ctx context.Context, from record.Member) {
	h.mu.Lock()
	busy := h.catchingUp
	h.catchingUp = true
	h.mu.Unlock()
	if busy {
		return
	}
	defer func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.catchingUp = false
	}()
	if err := h.fetch(ctx, from); err != nil {
		klog.V(1).InfoS("Failed to catch up with another host", "from", from.Incarnation.String(), "err", err)
	}
}

// fetch fetches records or a snapshot from another host and folds or restores
// them.
func (h *heartbeater) fetch(ctx context.Context, from record.Member) error {
	ctx, cancel := context.WithTimeout(ctx, catchupTimeout)
	defer cancel()
	h.metrics.catchups.Add(1)
	reply, err := h.call(ctx, from, &message.Call{Catchup: &message.Catchup{From: h.host.Next()}})
	if err != nil {
		return errors.Wrap(err, "fetch records")
	}
	if reply.Catchup == nil {
		return errors.New("fetch records: unexpected type of reply")
	}
	if len(reply.Catchup.Snapshot) > 0 {
		return errors.Wrap(h.host.Restore(reply.Catchup.Snapshot, reply.Catchup.Digest, h.now()), "restore fetched snapshot")
	}
	list, err := h.host.Fold(reply.Catchup.Records, h.now())
	h.onFolded(list)
	return errors.Wrap(err, "fold fetched records")
}
