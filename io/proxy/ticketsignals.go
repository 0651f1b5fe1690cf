package proxy

import "pineturn/core/ownerqueue"

// ticketSignals holds a channel for each ticket that waits. It is closed when that changes. Calls
// don't overlap.
type ticketSignals map[*ownerqueue.Ticket]chan struct{}

// add returns the channel of a new ticket, which is closed at once if the ticket is refused.
func (s ticketSignals) add(t *ownerqueue.Ticket) <-chan struct{} {
	ready := make(chan struct{})
	s[t] = ready
	if _, refused := t.Refused(); refused {
		s.notify(t)
	}
	return ready
}

func (s ticketSignals) notify(t *ownerqueue.Ticket) {
	if ready := s[t]; ready != nil {
		close(ready)
		delete(s, t)
	}
}

// remove forgets a ticket that has ended.
func (s ticketSignals) remove(t *ownerqueue.Ticket) { delete(s, t) }
