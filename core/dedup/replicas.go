package dedup

import (
	"pineturn/core/message"
	"pineturn/core/record"
)

// WitnessMessages returns the messages that replicate ids to another host, so that two
// hosts remember each id. With all set it returns one for each id, for a host that
// stops. Otherwise it returns those for ids whose replica is on a host that is no
// longer a member; ids without a recorded replica are left out.
func (t *Table) WitnessMessages(members []record.Member, all bool) []message.Witness {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.expire()
	present := make(map[record.Incarnation]bool, len(members)+1)
	present[record.Incarnation{}] = true
	for _, member := range members {
		present[member.Incarnation] = true
	}
	now := t.clock.Now()
	var messages []message.Witness
	for _, e := range t.expiry {
		if !all && present[e.replica] {
			continue
		}
		messages = append(messages, t.witnessMessage(e, e.expires.Sub(now)))
	}
	return messages
}

// AddWitness records that a message of WitnessMessages is about to be sent to another
// host, and returns the sequence number of the message. It returns false if the id
// was released since.
func (t *Table) AddWitness(witness message.Witness, host record.Incarnation) (uint64, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	e := t.sameUse(witness)
	if e == nil {
		return 0, false
	}
	return t.addWitness(e, host), true
}

// sameUse returns the entry for which the message was made, or nil if the id was
// released since. The id may be in use again.
func (t *Table) sameUse(witness message.Witness) *entry {
	e := t.ids[scopedID{witness.Target.Service, witness.Request}]
	if e == nil || e.useNumber > witness.Sequence {
		return nil
	}
	return e
}

// SetReplica records that another host has received a message of WitnessMessages. It
// returns false if the id was released since. The calling code then revokes the
// message.
func (t *Table) SetReplica(witness message.Witness, host record.Incarnation) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	e := t.sameUse(witness)
	if e != nil {
		e.replica = host
	}
	return e != nil
}
