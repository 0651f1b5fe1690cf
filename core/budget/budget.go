// Package budget limits the retries of one host. The limit depends only on the
// host's own requests and the number of hosts, so that all hosts together stay
// within the operator's limit without coordination. Package io/proxy uses it.
// Package retry limits the retries of package dispatch by fixed rates instead.
package budget

import (
	"sync"
	"time"

	"pineturn/core/hostcount"
)

const (
	// safetyFactor is the fraction of the limit that is used.
	safetyFactor = 0.94
	// earlierWeight is the weight of requests from before a burst of retries. It is
	// low because their callers may since have gone to other hosts, which count on
	// them as well.
	earlierWeight = 0.2
)

// Budget counts the requests and retries of each service in a sliding window. It
// is safe for concurrent use.
type Budget struct {
	// Observe is called with the result of each Spend. It is set before use.
	Observe func(service string, allowed bool)

	mu    sync.Mutex
	ratio float64
	extra float64
	hosts *hostcount.Counter
	// extraFrom is the time from which this host has a part of the extra.
	extraFrom time.Time
	window    time.Duration
	services  map[string]*counts
}

// New returns a budget whose limit in each window is ratio times the requests of
// a service plus this host's equal share of extra, a number of retries that all hosts
// share.
func New(ratio, extra float64, window time.Duration, hosts *hostcount.Counter) *Budget {
	return &Budget{
		Observe: func(string, bool) {}, ratio: ratio, extra: extra, hosts: hosts, window: window, services: make(map[string]*counts),
	}
}

// MarkRestarted records that the process started at a time and may follow another one, which
// may have spent its part of the extra. This one has none for a window.
func (b *Budget) MarkRestarted(at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.extraFrom = at.Add(b.window + maxSendDelay)
}

// countsAt returns the counters of a service at a time. The caller holds mu.
func (b *Budget) countsAt(service string, now time.Time) *counts {
	c := b.services[service]
	if c == nil {
		c = newCounts(b.window)
		b.services[service] = c
	}
	c.advance(now)
	return c
}

// RecordRequest counts a caller's request to a service.
func (b *Budget) RecordRequest(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.countsAt(service, now).addRequest()
}

// Spend reports whether one more retry is within the budget and, if so, counts it.
func (b *Budget) Spend(service string, now time.Time) bool {
	allowed := b.spend(service, now)
	b.Observe(service, allowed)
	return allowed
}

func (b *Budget) spend(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.countsAt(service, now)
	if !b.allows(c, now) {
		return false
	}
	c.addRetry()
	return true
}

// Renew counts a retry that was counted at an earlier time now instead, when it is sent.
// It reports whether that is within the budget; if not, the retry no longer counts.
func (b *Budget) Renew(service string, counted, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.countsAt(service, now)
	c.removeRetry(counted)
	if !b.allows(c, now) {
		return false
	}
	c.addRetry()
	return true
}

// Return removes a retry that was counted at a time and will not be sent.
func (b *Budget) Return(service string, counted, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.countsAt(service, now).removeRetry(counted)
}

// allows reports whether one more retry keeps each window that ends now, or later, within
// the limit. A window counts the requests since its begin in full, and those before it with
// earlierWeight.
func (b *Budget) allows(c *counts, now time.Time) bool {
	share := b.share(now)
	retries, since, all := 1, 0, c.requestsInWindow()
	for age := range c.retries {
		retries += c.retriesAt(age)
		since += c.requestsAt(age - c.delay)
		weighted := float64(since) + earlierWeight*float64(all-since)
		if float64(retries) > safetyFactor*(b.ratio*weighted+share) {
			return false
		}
	}
	return true
}

// share returns this host's part of the extra.
func (b *Budget) share(now time.Time) float64 {
	if now.Before(b.extraFrom) {
		return 0
	}
	return b.extra / float64(b.hosts.Hosts())
}
