// Package ratelimit keeps all hosts together within the limits of requests a second that
// targets name. The leader divides each limit among the hosts by their demand (Divider), and
// each host keeps to its part (Pacer). A host without a part falls back to a small equal one.
// It does no I/O.
package ratelimit

import "time"

const (
	// shareTime is how long a part holds after the leader has dealt it.
	shareTime = 2 * time.Second
	// endMemory is how long the end of a limit is told to other hosts.
	endMemory = 10 * time.Second
)

// Limit is the number of requests a second that a target takes from all hosts together.
type Limit struct {
	// Named reports whether there is a limit.
	Named bool `cbor:"1,keyasint,omitempty" json:"named"`
	// PerSecond is the limit, 0 or more.
	PerSecond float64 `cbor:"2,keyasint,omitempty" json:"per_second"`
	// Burst is the number of requests that all hosts together may save up at most; zero for
	// the default. Older hosts don't know it and use the default.
	Burst float64 `cbor:"3,keyasint,omitempty" json:"burst,omitempty"`
}

// Observation is what a host knows of the limit of a target, as reported to the leader.
type Observation struct {
	Target string `cbor:"1,keyasint"`
	Limit  Limit  `cbor:"2,keyasint"`
	// Age is the time since the target said so, at most.
	Age time.Duration `cbor:"3,keyasint,omitempty"`
	// Demand is the number of requests a second that the host would send to the target.
	Demand float64 `cbor:"4,keyasint,omitempty"`
	// Held is the part of the limit that the host keeps to, in requests a second.
	Held float64 `cbor:"5,keyasint,omitempty"`
}

// Update is what the leader tells a host of the limits of targets at one time.
type Update struct {
	// Shares are those that are new, or differ from the last one of the same target on the
	// link.
	Shares []Share
	// Continues reports that all other shares on the link still hold. Otherwise only those
	// of this update do.
	Continues bool
}

// Share is what the leader tells a host of the limit of a target.
type Share struct {
	Target string `cbor:"1,keyasint"`
	Limit  Limit  `cbor:"2,keyasint"`
	// Age is the time since the target said so, at most.
	Age time.Duration `cbor:"3,keyasint,omitempty"`
	// Dealt reports that PerSecond is the host's part of the limit from now on. A leader
	// that has just taken over deals nothing until the parts of the one before it have
	// ended.
	Dealt     bool    `cbor:"4,keyasint,omitempty"`
	PerSecond float64 `cbor:"5,keyasint,omitempty"`
	// Burst is the number of requests for which an unused part is kept.
	Burst float64 `cbor:"6,keyasint,omitempty"`
}
