package dedup

import (
	"pineturn/core/message"
	"pineturn/core/outcome"
	"pineturn/core/record"
	"pineturn/core/shard"
)

// Len returns the number of remembered ids.
func (t *Table) Len() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.expire()
	return len(t.expiry)
}

// Ready reports whether Collect has succeeded for a shard in its epoch and under its
// leaseholder's fencing token, so that Begin accepts requests of the shard.
func (t *Table) Ready(id shard.ID, epoch, token uint64) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.isReady(id, epoch, token)
}

func (t *Table) isReady(id shard.ID, epoch, token uint64) bool {
	collected, ok := t.ready[id]
	return ok && collected == ownership{epoch: epoch, token: token}
}

// RememberedIDs returns the ids that match the query of a leaseholder, without those
// that were only forwarded to that leaseholder itself.
func (t *Table) RememberedIDs(leaseholder record.Incarnation, query message.IDQuery) message.IDReply {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.expire()
	now := t.clock.Now()
	var reply message.IDReply
	for _, e := range t.expiry {
		if !e.matches(query) || e.onlyForwardedTo(leaseholder) {
			continue
		}
		reply.Requests = append(reply.Requests, message.RememberedID{
			Request: e.id.id, Hash: e.keyHash, Left: e.expires.Sub(now),
		})
	}
	return reply
}

// Lookup returns the stored response of an earlier attempt, or the error for an attempt
// that this host is sending or that may have run. It returns nil, nil if the id is
// unused or if only other hosts have sent it.
func (t *Table) Lookup(req Request) (*Response, *outcome.Error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.expire()
	e := t.ids[req.scopedID()]
	if e == nil || (e.response == nil && !e.sending && !e.mayHaveRun) {
		return nil, nil
	}
	return e.duplicate(req.Digest)
}

// OnlyCollected reports whether an id is remembered only because another host
// remembered it at the last Collect. The request may since have ended as not run; a
// new Collect shows whether it did.
func (t *Table) OnlyCollected(service, id string) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	e := t.ids[scopedID{service, id}]
	return e != nil && len(e.collectedFrom) > 0 && !e.mayHaveRun && !e.sending
}

// matches reports whether the id is one of those that the query asks for.
func (e *entry) matches(query message.IDQuery) bool {
	return e.id.service == query.Service && e.keyHash >= query.Low && e.keyHash <= query.High
}

// onlyForwardedTo reports whether the id is remembered only because this host
// forwarded it to leaseholder.
func (e *entry) onlyForwardedTo(leaseholder record.Incarnation) bool {
	return !e.severalLeaseholders && !e.sentHere && len(e.witnessFor) == 0 && len(e.collectedFrom) == 0 && e.leaseholder == leaseholder
}
