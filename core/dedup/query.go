package dedup

import (
	"pineturn/core/message"
	"pineturn/core/outcome"
	"pineturn/core/record"
	"pineturn/core/shard"
)

// Len returns how many ids are remembered.
func (m *Table) Len() int {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.expire()
	return len(m.expiry)
}

// Ready reports whether the ids of all other hosts were collected for a
// shard in its epoch, under a leaseholder's term.
func (m *Table) Ready(id shard.ID, epoch, term uint64) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.isReady(id, epoch, term)
}

func (m *Table) isReady(id shard.ID, epoch, term uint64) bool {
	known, ok := m.ready[id]
	return ok && known == tenure{epoch: epoch, term: term}
}

// RememberedIDs answers a leaseholder that asks for the ids remembered here. Those
// that were only ever forwarded to the asker itself are left out.
func (m *Table) RememberedIDs(asker record.Incarnation, ask message.IDQuery) message.IDReply {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.expire()
	now := m.clock.Now()
	var recalled message.IDReply
	for _, known := range m.expiry {
		if !known.within(ask) || known.onlyTo(asker) {
			continue
		}
		recalled.Requests = append(recalled.Requests, message.RememberedID{
			Request: known.name.id, Hash: known.hash, Left: known.until.Sub(now),
		})
	}
	return recalled
}

// Seen returns the kept answer of an earlier attempt, or the error for one
// that this host itself handles or may have run. It returns nothing for an id
// that is free or that only other hosts know of.
func (m *Table) Seen(req Request) (*Answer, *outcome.Error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.expire()
	known := m.ids[req.name()]
	if known == nil || (known.answer == nil && !known.sending && !known.kept) {
		return nil, nil
	}
	return known.duplicate(req.Digest)
}

// Collected reports that an id is known only because another host remembered
// it when this one took its shard over. The other host may have learned since
// that the request was not run; a new Collect tells.
func (m *Table) Collected(service, id string) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	known := m.ids[name{service, id}]
	return known != nil && len(known.sources) > 0 && !known.kept && !known.sending
}

func (e *entry) within(ask message.IDQuery) bool {
	return e.name.service == ask.Service && e.hash >= ask.Low && e.hash <= ask.High
}

// onlyTo reports whether the id is known here only from forwards to holder.
func (e *entry) onlyTo(holder record.Incarnation) bool {
	return !e.mixed && !e.begun && len(e.askers) == 0 && len(e.sources) == 0 && e.holder == holder
}
