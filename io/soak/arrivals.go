package soak

import (
	"slices"
	"time"

	"pineturn/io/standin/keyholder"
)

const (
	// retryWindow, retryRatio and retryExtra are the operator's limit of retries: in any
	// window, a share of the requests of a service and an extra.
	retryWindow = 10 * time.Second
	retryRatio  = 0.2
	retryExtra  = 50
	// targetLimit is the limit of requests a second that targets name.
	targetLimit = "3"
	// limitWindow is the span in which the requests of a target with a limit are counted,
	// from limitKnown after it has named it: limitFactor times the limit and limitSlack
	// more are allowed.
	limitWindow = 4 * time.Second
	limitKnown  = 3 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// service returns the service of the route of a request.
func (response Response) service() string {
	switch response.Route {
	case "payout":
		return onceService
	case "records":
		return keyedService
	}
	return plainService
}

// countIn returns the number of the sorted times in [from, to).
func countIn(times []time.Time, from, to time.Time) int {
	first, _ := slices.BinarySearchFunc(times, from, time.Time.Compare)
	end, _ := slices.BinarySearchFunc(times, to, time.Time.Compare)
	return end - first
}

// checkRetries checks the arrivals at the targets beyond the first of each request, in all
// windows. The caller holds mu.
func (c *Checker) checkRetries() {
	requests, retries := make(map[string][]time.Time), make(map[string][]time.Time)
	for _, response := range c.responses {
		requests[response.service()] = append(requests[response.service()], response.Sent)
	}
	slices.SortStableFunc(c.arrivals, func(a, b keyholder.Event) int { return a.At.Compare(b.At) })
	arrived := make(map[string]bool)
	for _, e := range c.arrivals {
		response, known := c.responses[e.ID]
		if known && arrived[e.ID] {
			retries[response.service()] = append(retries[response.service()], e.At)
		}
		arrived[e.ID] = true
	}
	for service, times := range retries {
		c.counts["retries"] += len(times)
		slices.SortFunc(requests[service], time.Time.Compare)
		c.checkRetriesOf(service, requests[service], times)
	}
}

func (c *Checker) checkRetriesOf(service string, requests, retries []time.Time) {
	for _, from := range retries {
		most := 0
		for _, start := range []time.Time{from, from.Add(-retryWindow / 2), from.Add(-retryWindow)} {
			most = max(most, countIn(requests, start, start.Add(retryWindow)))
		}
		n, allowed := countIn(retries, from, from.Add(retryWindow)), retryRatio*float64(most)+retryExtra
		if float64(n) > allowed {
			c.addViolation("service %s: %d retries in %v for %d requests, at most %.0f allowed", service, n, retryWindow, most, allowed)
			return
		}
	}
}

// checkLimits checks the arrivals at the targets that have named a limit. The caller holds mu,
// and has sorted the arrivals.
func (c *Checker) checkLimits() {
	limited := make(map[string][]keyholder.Event)
	for _, e := range c.arrivals {
		if e.Limit == 0 {
			c.checkLimit(limited[e.Target])
			delete(limited, e.Target)
			continue
		}
		limited[e.Target] = append(limited[e.Target], e)
	}
	for _, events := range limited {
		c.checkLimit(events)
	}
}

// checkLimit checks the arrivals at a target while it named a limit. Hosts that start again
// or are paused don't know of it for a moment.
func (c *Checker) checkLimit(events []keyholder.Event) {
	for i, first := range events {
		if first.At.Before(events[0].At.Add(limitKnown)) {
			continue
		}
		c.counts["limited"]++
		n := 0
		for _, e := range events[i:] {
			if e.At.Before(first.At.Add(limitWindow)) {
				n++
			}
		}
		allowed := limitFactor*first.Limit*limitWindow.Seconds() + limitSlack
		if float64(n) > allowed && !c.hostsDisturbed(first.At.Add(-quietPeriod), first.At.Add(limitWindow)) {
			c.addViolation("target %s with a limit of %v a second: %d requests in %v, at most %.0f allowed", first.Target, first.Limit, n, limitWindow, allowed)
			return
		}
	}
}

// hostsDisturbed reports whether a host was restarted, killed or paused in a time.
func (c *Checker) hostsDisturbed(from, to time.Time) bool {
	kinds := []Kind{HostStop, HostKill, HostPause, AllHostsKill}
	return slices.ContainsFunc(c.windows, func(w Window) bool {
		return slices.Contains(kinds, w.Kind) && w.From.Before(to) && w.To.After(from)
	})
}
