// Package placement keeps the state of each service's targets as seen by one
// host and selects the target to which a request is sent.
package placement

import "time"

// Entry is the information that a target publishes in the platform's store.
type Entry struct {
	ID      string
	Service string
	// Version is the version of the target's software.
	Version string
	// Address is the IP:port on which the target serves requests.
	Address string
	// Domain is the target's failure domain.
	Domain string
	// Slots is the number of requests that the target runs concurrently.
	Slots int
	// Draining targets receive no requests, except for keys that they still own
	// and only for ownerDrainPeriod.
	Draining bool
	// Born is the start time of the target's incarnation, in Unix
	// milliseconds. It is zero if the platform assigns a new ID at each start.
	Born int64
	// Sequence is the number of the entry within the target's incarnation.
	Sequence int64
	// WarmUp is the remaining time, from the publication of the entry, during
	// which the target is slow after its start.
	WarmUp time.Duration
}

// replaces reports whether e supersedes old, an entry with the same ID: e is
// from a later incarnation, or from the same one with an equal or higher
// sequence number.
func (e *Entry) replaces(old *Entry) bool {
	if e.Born != old.Born {
		return e.Born > old.Born
	}
	return e.Sequence >= old.Sequence
}
