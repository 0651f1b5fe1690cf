package dedup

import (
	"pineturn/core/message"
	"pineturn/core/record"
)

// Copies lists what another host must be asked to remember so that every id
// here is known to a second one. With all set it lists all ids, as for a host
// that stops; otherwise those whose other host is known and not among the
// members any more.
func (m *Table) Copies(members []record.Member, all bool) []message.Witness {
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
		asks = append(asks, m.ask(known, known.until.Sub(now)))
	}
	return asks
}

// Asking notes that another host is asked to remember an id of Copies, and
// returns the number of the ask, or false when that use of the id is over.
func (m *Table) Asking(ask message.Witness, other record.Incarnation) (uint64, bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	known := m.stillIn(ask)
	if known == nil {
		return 0, false
	}
	return m.asking(known, other), true
}

// stillIn returns the id of an ask, unless it was freed since.
func (m *Table) stillIn(ask message.Witness) *entry {
	known := m.ids[name{ask.Target.Service, ask.Request}]
	if known == nil || known.number > ask.Sequence {
		return nil
	}
	return known
}

// Copied notes that another host now remembers an id of Copies. It returns
// false when that use of the id is over, so that the other host is to be told.
func (m *Table) Copied(ask message.Witness, other record.Incarnation) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	known := m.stillIn(ask)
	if known != nil {
		known.copy = other
	}
	return known != nil
}
