package admission

import (
	"slices"
	"time"
)

// push appends a ticket to its key's lane; a new lane takes the last turn.
func (q *Queue) push(ticket *Ticket) {
	own, ok := q.lanes[ticket.key]
	if !ok {
		own = &lane{key: ticket.key}
		q.lanes[ticket.key] = own
		q.turn = append(q.turn, own)
	}
	own.tickets = append(own.tickets, ticket)
	q.waiting++
}

// pop takes the oldest ticket of the key whose turn it is.
func (q *Queue) pop() *Ticket {
	next := q.turn[0]
	q.turn = q.turn[1:]
	ticket := next.tickets[0]
	next.tickets = next.tickets[1:]
	q.waiting--
	if len(next.tickets) == 0 {
		delete(q.lanes, next.key)
	} else {
		q.turn = append(q.turn, next)
	}
	return ticket
}

// displace takes out the newest ticket of the key with the most waiting
// requests, when it has more than key would have and the ticket has not waited
// for long, and returns it.
func (q *Queue) displace(now time.Time, key string) *Ticket {
	var longest *lane
	for _, candidate := range q.turn {
		if longest == nil || len(candidate.tickets) > len(longest.tickets) {
			longest = candidate
		}
	}
	own := 0
	if lane, ok := q.lanes[key]; ok {
		own = len(lane.tickets)
	}
	if longest == nil || len(longest.tickets) <= own+1 {
		return nil
	}
	victim := longest.tickets[len(longest.tickets)-1]
	if now.Sub(victim.arrived) > youth {
		return nil
	}
	q.remove(victim)
	return victim
}

func (q *Queue) remove(ticket *Ticket) {
	own := q.lanes[ticket.key]
	own.tickets = slices.DeleteFunc(own.tickets, func(other *Ticket) bool { return other == ticket })
	q.waiting--
	if len(own.tickets) > 0 {
		return
	}
	delete(q.lanes, ticket.key)
	q.turn = slices.DeleteFunc(q.turn, func(other *lane) bool { return other == own })
}
