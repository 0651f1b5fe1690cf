// Package placement keeps what is known of the targets of each service and
// chooses the target that a request is sent to.
package placement

import "time"

// Entry is what a target says of itself in the platform's store.
type Entry struct {
	ID      string
	Service string
	// Address is the IP:port that it serves at.
	Address string
	// Domain is its failure domain.
	Domain string
	// Slots is the number of requests that it runs at a time.
	Slots int
	// Draining targets take no new requests.
	Draining bool
	// Born is the Unix millisecond at which this life of the target began.
	Born int64
	// Sequence counts what the target has said in this life.
	Sequence int64
	// WarmUp is how much longer the target is slow after its start.
	WarmUp time.Duration
}

// replaces reports whether an entry is newer than another one of the same id:
// of a later life, or later in the same one.
func (e *Entry) replaces(old *Entry) bool {
	if e.Born != old.Born {
		return e.Born > old.Born
	}
	return e.Sequence >= old.Sequence
}
