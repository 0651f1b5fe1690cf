package fold

import (
	"sort"

	"pineturn/core/record"
)

// Membership is the set of hosts whose confirmations count towards a majority.
// Except for a reset, it changes by one member at a time. The previous set is
// kept because the last change is settled only after a majority of the previous
// set has folded it.
type Membership struct {
	epoch        uint64
	changeOffset uint64
	current      []record.Member
	previous     []record.Member
}

// Epoch returns the number of changes so far.
func (m *Membership) Epoch() uint64 { return m.epoch }

// ChangeOffset returns the offset of the record of the last change.
func (m *Membership) ChangeOffset() uint64 { return m.changeOffset }

// Current returns the members, sorted by host and run. The list must not be
// modified.
func (m *Membership) Current() []record.Member { return m.current }

// Previous returns the members before the last change. It is empty if that
// change was a reset.
func (m *Membership) Previous() []record.Member { return m.previous }

// Has reports whether the incarnation is a member.
func (m *Membership) Has(id record.Incarnation) bool {
	_, ok := m.Find(id)
	return ok
}

// Find returns the member with the given incarnation, and whether there is one.
func (m *Membership) Find(id record.Incarnation) (record.Member, bool) {
	for _, member := range m.current {
		if member.Incarnation == id {
			return member, true
		}
	}
	return record.Member{}, false
}

func (m *Membership) replace(offset uint64, members, previous []record.Member) Result {
	sort.Slice(members, func(i, j int) bool {
		left, right := members[i].Incarnation, members[j].Incarnation
		if left.Host != right.Host {
			return left.Host < right.Host
		}
		return left.Run < right.Run
	})
	m.epoch++
	m.changeOffset = offset
	m.previous = previous
	m.current = members
	return Result{}
}

func (m *Membership) join(offset uint64, op *record.Join) Result {
	if op.Expect != m.epoch {
		return stale(m.epoch)
	}
	if m.Has(op.Member.Incarnation) {
		return invalid("%s is already a member", op.Member.Incarnation)
	}
	members := append(append([]record.Member(nil), m.current...), op.Member)
	return m.replace(offset, members, m.current)
}

func (m *Membership) leave(offset uint64, op *record.Leave) Result {
	if op.Expect != m.epoch {
		return stale(m.epoch)
	}
	if !m.Has(op.Incarnation) {
		return invalid("%s is not a member", op.Incarnation)
	}
	var members []record.Member
	for _, member := range m.current {
		if member.Incarnation != op.Incarnation {
			members = append(members, member)
		}
	}
	return m.replace(offset, members, m.current)
}

func (m *Membership) reset(offset uint64, op *record.Reset) Result {
	if op.Expect != m.epoch {
		return stale(m.epoch)
	}
	return m.replace(offset, []record.Member{op.Member}, nil)
}
