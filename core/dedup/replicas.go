package dedup

import (
	"pineturn/core/message"
	"pineturn/core/record"
)

// WitnessRequests returns the messages that replicate ids to another host, so that two
// hosts remember each id. With all set it returns one for each id, for a host that
// stops. Otherwise it returns those for ids whose replica is on a host that is no
// longer a member.
func (t *Table) WitnessRequests(members []record.Member, all bool) []message.Witness {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.expire()
	present := make(map[record.Incarnation]bool, len(members)+1)
	present[record.Incarnation{}] = true
	for _, member := range members {
		present[member.Incarnation] = true
	}
	now := t.clock.Now()
	var requests []message.Witness
	for _, e := range t.expiry {
		if !all && present[e.replica] {
			continue
		}
		requests = append(requests, t.witnessRequest(e, e.expires.Sub(now)))
	}
	return requests
}

// AddWitness records that a message of WitnessRequests is about to be sent to another
// host, and returns the sequence number of the message. It returns false if the id
// was released since.
func (t *Table) AddWitness(request message.Witness, host record.Incarnation) (uint64, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	e := t.sameUse(request)
	if e == nil {
		return 0, false
	}
	return t.addWitness(e, host), true
}

// sameUse returns the entry for which the message was made, or nil if the id was
// released since. The id may be in use again.
func (t *Table) sameUse(request message.Witness) *entry {
	e := t.ids[scopedID{request.Target.Service, request.Request}]
	if e == nil || e.use > request.Sequence {
		return nil
	}
	return e
}

// SetReplica records that another host has received a message of WitnessRequests. It
// returns false if the id was released since. The caller then revokes the message.
func (t *Table) SetReplica(request message.Witness, host record.Incarnation) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	e := t.sameUse(request)
	if e != nil {
		e.replica = host
	}
	return e != nil
}
