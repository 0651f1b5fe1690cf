package host

import (
	"time"

	"pineturn/core/message"
	"pineturn/core/record"
)

// HeartbeatPeers lists the members that heartbeats are to be sent to.
func (h *Host) HeartbeatPeers() []record.Member {
	h.mu.Lock()
	defer h.mu.Unlock()
	members := h.state.Members()
	var others []record.Member
	seen := map[record.Incarnation]bool{h.self.Incarnation: true}
	for _, list := range [][]record.Member{members.Current(), members.Previous()} {
		for _, one := range list {
			_, gone := h.tracker.ReplacedAt(one.Incarnation)
			if !seen[one.Incarnation] && !gone {
				others = append(others, one)
			}
			seen[one.Incarnation] = true
		}
	}
	return others
}

// OnPing answers a heartbeat. A host that does not know its own membership
// yet, or serves by no state, is not ready and confirms nothing.
func (h *Host) OnPing(now time.Time) message.Pong {
	h.mu.Lock()
	defer h.mu.Unlock()
	members := h.state.Members()
	h.tracker.UpdateSettled(members, h.state.Next())
	return message.Pong{
		From: h.self.Incarnation, Next: h.state.Next(), Leaving: h.leaving,
		Ready:         h.known() && members.Has(h.self.Incarnation),
		ConfigVersion: h.state.Config().Version(),
		Suspects:      h.tracker.Suspects(members, now),
		Promises:      h.listPromises(),
		Settled:       h.tracker.SettledEpoch(),
		LogDown:       h.logSilent(now),
	}
}

// OnPong takes in the answer to a heartbeat that was sent at asked. It
// reports whether the answering host knows records that this one does not.
func (h *Host) OnPong(pong message.Pong, asked, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tracker.RecordPong(pong, asked, now)
	h.tracker.UpdateSettled(h.state.Members(), h.state.Next())
	h.confirm(now)
	return pong.Next > h.state.Next()
}

// confirm takes the word of a majority as a proof of freshness. While nobody
// has made a promise, one answer holds for every target.
func (h *Host) confirm(now time.Time) {
	if !h.known() {
		return
	}
	if len(h.promises) == 0 && !h.tracker.AnyPromise() {
		if at, ok := h.tracker.ConfirmedAt(h.state.Members(), h.state.Next(), now, nil); ok {
			h.leases.RecordFreshnessAll(at)
		}
		return
	}
	for _, place := range h.leases.HeldTargets() {
		filter := h.unpromised(place.Target, place.Term, place.Level)
		if at, ok := h.tracker.ConfirmedAt(h.state.Members(), h.state.Next(), now, filter); ok {
			h.leases.RecordFreshness(place.Target, at)
		}
	}
}

// OnReplaced takes in that a later run of the host answers at its address.
func (h *Host) OnReplaced(id record.Incarnation, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tracker.MarkReplaced(id, now)
}

// OnHostList takes in which hosts the platform lists as live.
func (h *Host) OnHostList(hosts map[string]bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tracker.SetListed(hosts)
}

// MarkReady marks a state that was taken from a ready peer as fit to serve by.
func (h *Host) MarkReady() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ready = true
}

// OnCatchup answers with the records from an offset on, or with a snapshot
// when they are no longer kept.
func (h *Host) OnCatchup(from uint64) (message.CatchupReply, error) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	if !h.known() || from >= h.state.Next() {
		return message.CatchupReply{}, nil
	}
	if len(h.recent) > 0 && h.recent[0].Offset <= from {
		list := h.recent[from-h.recent[0].Offset:]
		return message.CatchupReply{Records: list[:min(len(list), maxCatchup)]}, nil
	}
	data, digest, err := h.state.Encode()
	return message.CatchupReply{Snapshot: data, Digest: digest}, err
}

// maxCatchup bounds the records of one answer.
const maxCatchup = 256
