package once

import (
	"pineturn/core/message"
	"pineturn/core/record"
)

// Copies lists what another host must be asked to remember so that every id
// here is known to a second one. With all set it lists all ids, as for a host
// that stops; otherwise those whose other host is known and not among the
// members any more.
func (m *Memory) Copies(members []record.Member, all bool) []message.Witness {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.expire()
	present := make(map[record.Incarnation]bool, len(members)+1)
	present[record.Incarnation{}] = true
	for _, member := range members {
		present[member.Incarnation] = true
	}
	now := m.clock.Now()
	var asks []message.Witness
	for _, known := range m.expiry {
		if !all && present[known.copy] {
			continue
		}
		asks = append(asks, message.Witness{
			Target:  record.Target{Service: known.name.service},
			Request: known.name.id,
			Window:  known.until.Sub(now),
			Hash:    known.hash,
		})
	}
	return asks
}

// Copied notes that another host now remembers an id of Copies.
func (m *Memory) Copied(ask message.Witness, other record.Incarnation) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if known := m.ids[name{ask.Target.Service, ask.Request}]; known != nil {
		known.copy = other
	}
}
