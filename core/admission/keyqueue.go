package admission

import (
	"slices"
	"time"
)

// push appends a ticket to the queue of its key. A key without waiting requests gets
// the last turn.
func (q *Queue) push(ticket *Ticket) {
	own, ok := q.keyQueues[ticket.key]
	if !ok {
		own = &keyQueue{key: ticket.key}
		q.keyQueues[ticket.key] = own
		q.turns = append(q.turns, own)
	}
	own.tickets = append(own.tickets, ticket)
	q.waiting++
}

// pop removes and returns the oldest ticket of the key whose turn is next.
func (q *Queue) pop() *Ticket {
	next := q.turns[0]
	q.turns = q.turns[1:]
	ticket := next.tickets[0]
	next.tickets = next.tickets[1:]
	q.waiting--
	if len(next.tickets) == 0 {
		delete(q.keyQueues, next.key)
	} else {
		q.turns = append(q.turns, next)
	}
	return ticket
}

// displace removes and returns the newest ticket of the key with the most waiting
// requests. It returns nil if that key does not have more waiting requests than key
// would have, or if the ticket has waited longer than maxDisplaceAge.
func (q *Queue) displace(now time.Time, key string) *Ticket {
	var longest *keyQueue
	for _, candidate := range q.turns {
		if longest == nil || len(candidate.tickets) > len(longest.tickets) {
			longest = candidate
		}
	}
	own := 0
	if existing, ok := q.keyQueues[key]; ok {
		own = len(existing.tickets)
	}
	if longest == nil || len(longest.tickets) <= own+1 {
		return nil
	}
	displacedTicket := longest.tickets[len(longest.tickets)-1]
	if now.Sub(displacedTicket.arrived) > maxDisplaceAge {
		return nil
	}
	q.remove(displacedTicket)
	return displacedTicket
}

func (q *Queue) remove(ticket *Ticket) {
	own := q.keyQueues[ticket.key]
	own.tickets = slices.DeleteFunc(own.tickets, func(other *Ticket) bool { return other == ticket })
	q.waiting--
	if len(own.tickets) > 0 {
		return
	}
	delete(q.keyQueues, ticket.key)
	q.turns = slices.DeleteFunc(q.turns, func(other *keyQueue) bool { return other == own })
}
