package host

import (
	"time"

	"pineturn/core/message"
	"pineturn/core/record"
)

// HeartbeatPeers returns the members to send heartbeats to: the other hosts of
// the current and the previous membership, without replaced incarnations.
func (h *Host) HeartbeatPeers() []record.Member {
	h.mu.Lock()
	defer h.mu.Unlock()
	members := h.state.Members()
	var others []record.Member
	seen := map[record.Incarnation]bool{h.self.Incarnation: true}
	for _, list := range [][]record.Member{members.Current(), members.Previous()} {
		for _, member := range list {
			_, replaced := h.tracker.ReplacedAt(member.Incarnation)
			if !seen[member.Incarnation] && !replaced {
				others = append(others, member)
			}
			seen[member.Incarnation] = true
		}
	}
	return others
}

// OnPing returns the reply to a heartbeat. Ready is set only
// if the host has a usable state and is a member in that state. Only a pong with
// Ready set counts as a confirmation.
func (h *Host) OnPing(now time.Time) message.Pong {
	h.mu.Lock()
	defer h.mu.Unlock()
	members := h.state.Members()
	h.tracker.UpdateSettled(members, h.state.Next())
	return message.Pong{
		From: h.self.Incarnation, Next: h.state.Next(), Leaving: h.leaving,
		Ready:         h.stateUsable() && members.Has(h.self.Incarnation),
		ConfigVersion: h.state.Config().Version(),
		Suspects:      h.tracker.Suspects(members, now),
		Promises:      h.currentPromises(),
		Settled:       h.tracker.SettledEpoch(),
		LogStalled:    h.logStalled(now),
	}
}

// OnPong records the reply to a heartbeat that was sent at sentAt. It reports
// whether the replying host has folded records that this host has not.
func (h *Host) OnPong(pong message.Pong, sentAt, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tracker.RecordPong(pong, sentAt, now)
	h.tracker.UpdateSettled(h.state.Members(), h.state.Next())
	h.recordFreshness(now)
	return pong.Next > h.state.Next()
}

// recordFreshness records the latest confirmation by a majority of the members
// as the proof of freshness of the held targets. While no member has made a
// promise, one confirmation applies to all targets; otherwise each target is
// confirmed only by members without a promise above its level.
func (h *Host) recordFreshness(now time.Time) {
	if !h.stateUsable() {
		return
	}
	if len(h.promises) == 0 && !h.tracker.AnyPromise() {
		if at, ok := h.tracker.ConfirmedAt(h.state.Members(), h.state.Next(), now, nil); ok {
			h.leases.RecordFreshnessAll(at)
		}
		return
	}
	for _, held := range h.leases.HeldTargets() {
		filter := h.notPromisedAbove(held.Target, held.Term, held.Level)
		if at, ok := h.tracker.ConfirmedAt(h.state.Members(), h.state.Next(), now, filter); ok {
			h.leases.RecordFreshness(held.Target, at)
		}
	}
}

// OnReplaced records that a later incarnation of the host replies at the
// address of id.
func (h *Host) OnReplaced(id record.Incarnation, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tracker.MarkReplaced(id, now)
}

// OnHostList records which hosts the platform lists as live.
func (h *Host) OnHostList(hosts map[string]bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tracker.SetListed(hosts)
}

// MarkReady marks the state as usable after it was copied from a ready peer.
func (h *Host) MarkReady() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ready = true
}

// OnCatchup returns up to maxCatchupRecords records starting at the offset
// from, or a snapshot if they are no longer kept in memory. The reply is empty
// if this host has no usable state or has not folded the record at from.
func (h *Host) OnCatchup(from uint64) (message.CatchupReply, error) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	if !h.stateUsable() || from >= h.state.Next() {
		return message.CatchupReply{}, nil
	}
	if len(h.recent) > 0 && h.recent[0].Offset <= from {
		list := h.recent[from-h.recent[0].Offset:]
		return message.CatchupReply{Records: list[:min(len(list), maxCatchupRecords)]}, nil
	}
	data, digest, err := h.state.Encode()
	return message.CatchupReply{Snapshot: data, Digest: digest}, err
}

// maxCatchupRecords is the maximum number of records in one CatchupReply.
const maxCatchupRecords = 256
