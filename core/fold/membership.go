package fold

import (
	"sort"

	"pineturn/core/record"
)

// Membership is the set of hosts whose confirmations count. It changes by
// one member at a time; the set before the last change is kept, because that
// change counts only when a majority of the set before has seen it.
type Membership struct {
	epoch   uint64
	changed uint64
	current []record.Member
	before  []record.Member
}

// Epoch counts the changes.
func (m *Membership) Epoch() uint64 { return m.epoch }

// ChangeOffset is the offset of the last change.
func (m *Membership) ChangeOffset() uint64 { return m.changed }

// Current lists the members by host and run. The list must not be changed.
func (m *Membership) Current() []record.Member { return m.current }

// Previous lists the members before the last change; empty when that change
// started the membership anew.
func (m *Membership) Previous() []record.Member { return m.before }

// Has reports whether an incarnation is a member.
func (m *Membership) Has(id record.Incarnation) bool {
	_, ok := m.Find(id)
	return ok
}

// Find returns the member of an incarnation.
func (m *Membership) Find(id record.Incarnation) (record.Member, bool) {
	for _, member := range m.current {
		if member.Incarnation == id {
			return member, true
		}
	}
	return record.Member{}, false
}

func (m *Membership) change(offset uint64, members, before []record.Member) Result {
	sort.Slice(members, func(i, j int) bool {
		left, right := members[i].Incarnation, members[j].Incarnation
		if left.Host != right.Host {
			return left.Host < right.Host
		}
		return left.Run < right.Run
	})
	m.epoch++
	m.changed = offset
	m.before = before
	m.current = members
	return Result{}
}

func (m *Membership) join(offset uint64, op *record.Join) Result {
	if op.Expect != m.epoch {
		return stale(m.epoch)
	}
	if m.Has(op.Member.Incarnation) {
		return invalid("%s is a member already", op.Member.Incarnation)
	}
	members := append(append([]record.Member(nil), m.current...), op.Member)
	return m.change(offset, members, m.current)
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
	return m.change(offset, members, m.current)
}

func (m *Membership) reset(offset uint64, op *record.Reset) Result {
	if op.Expect != m.epoch {
		return stale(m.epoch)
	}
	return m.change(offset, []record.Member{op.Member}, nil)
}
