package soak

import (
	"time"

	"pineturn/io/standin/keyholder"
)

const (
	// leavingKnown is the time from the first response by which a target says that it
	// leaves until no host sends it requests any more, but for sendsPerHost of each one that
	// has not heard of it yet.
	leavingKnown = 3 * time.Second
	// restTime is the rest that targets ask for. From restGrace after that, each host may
	// send sendsPerHost requests within it.
	restTime     = 2 * time.Second
	restGrace    = 500 * time.Millisecond
	sendsPerHost = 2
)

// checkDepartures checks the arrivals at the targets that have said that they leave. The caller
// holds mu, and has sorted the arrivals.
func (c *Checker) checkDepartures() {
	for target, events := range c.arrivalsWhile(func(e keyholder.Event) bool { return e.Leaving }) {
		known := events[0].At.Add(leavingKnown)
		c.counts["leaving"]++
		if n := countArrivals(events, known, events[len(events)-1].At.Add(1)); n > c.sendsOfAllHosts() && !c.hostsDisturbed(events[0].At, known) {
			c.addViolation("target %s: %d requests later than %v after it said that it leaves, at most %d allowed", target, n, leavingKnown, c.sendsOfAllHosts())
		}
	}
}

// checkRests checks the arrivals at the targets that have asked for rests. Each host is asked
// anew by the response to its first request after a rest.
func (c *Checker) checkRests() {
	for target, events := range c.arrivalsWhile(func(e keyholder.Event) bool { return e.Resting }) {
		c.counts["resting"]++
		for _, first := range events {
			from := first.At
			if from.Before(events[0].At.Add(restGrace)) {
				continue
			}
			n, allowed := countArrivals(events, from, from.Add(restTime)), 2*c.sendsOfAllHosts()
			if n > allowed && !c.hostsDisturbed(from.Add(-restTime), from.Add(restTime)) {
				c.addViolation("target %s that wants no requests for %v: %d requests in that time, at most %d allowed", target, restTime, n, allowed)
				break
			}
		}
	}
}

// sendsOfAllHosts returns the number of requests that all hosts may send together.
func (c *Checker) sendsOfAllHosts() int { return sendsPerHost * c.hosts }

// arrivalsWhile returns the arrivals that meet a condition, by target.
func (c *Checker) arrivalsWhile(condition func(keyholder.Event) bool) map[string][]keyholder.Event {
	found := make(map[string][]keyholder.Event)
	for _, e := range c.arrivals {
		if condition(e) {
			found[e.Target] = append(found[e.Target], e)
		}
	}
	return found
}

// countArrivals returns the number of events in [from, to).
func countArrivals(events []keyholder.Event, from, to time.Time) int {
	n := 0
	for _, e := range events {
		if !e.At.Before(from) && e.At.Before(to) {
			n++
		}
	}
	return n
}
