// Package concurrency learns how many requests each target takes well: the number in progress
// up to which it stays fast, and how long it takes for one. It does no I/O.
//
// It answers the load pattern of a service whose targets differ in speed, of which some slow
// down long before they are full, and others change while they are in use.
package concurrency

import "time"

// Estimate is what is known of a target at one time.
type Estimate struct {
	// Limit is the number of requests in progress at the target, running and waiting, up to
	// which a further one does not make it slower than its speed and its slots explain.
	Limit float64
	// ProcessingTime is how long the target takes for a request that does not wait.
	ProcessingTime time.Duration
	// Known reports that the estimate comes from enough responses. Otherwise it is what the
	// slots of the target and the mean of its service say.
	Known bool
}

// Sample is a response of a target.
type Sample struct {
	// InProgress is the number of requests at the target when the request was sent,
	// itself included.
	InProgress float64
	// Took is the time to the response.
	Took time.Duration
	// Slowdown is how many times as long as usual work took on the target's machine, as it
	// says, 0 if unknown.
	Slowdown float64
	// Refused reports that the target refused the request because it was full.
	Refused bool
}
