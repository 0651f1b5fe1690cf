package soak

import (
	"context"
	"fmt"
	"slices"
	"time"

	"pineturn/core/clock"
	"pineturn/io/standin/keyholder"
)

// domainDrainBound is the time after the request to drain a failure domain within which requests
// may still be sent to its targets: what hosts assume without a setting.
const domainDrainBound = 5 * time.Second

// domains are the failure domains of targets.
var domains = []string{"a", "b"}

// domainOf returns the failure domain of a target, by its id or an incarnation of it.
func domainOf(target string) string {
	var number int
	if _, err := fmt.Sscanf(target, "t%d", &number); err != nil {
		return domains[0]
	}
	return domains[number%len(domains)]
}

// domainDrain is a failure domain that is drained from a time until another, zero while it is.
type domainDrain struct {
	domain   string
	from, to time.Time
}

// drainDomain drains a failure domain for the length of the step after the bound.
func (s *system) drainDomain(ctx context.Context, step Step) error {
	domain := domains[step.Index%len(domains)]
	s.store.Drain(domain)
	s.checker.DomainDrained(domain, time.Now())
	clock.Sleep(ctx, domainDrainBound+step.Length)
	s.checker.DomainTakenBack(domain, time.Now())
	s.store.EndDrain(domain)
	return nil
}

// DomainDrained records the time at which the store accepted the request to drain a domain.
func (c *Checker) DomainDrained(domain string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.domainDrains = append(c.domainDrains, domainDrain{domain: domain, from: at})
}

// DomainTakenBack records a time before the request to drain a domain was removed.
func (c *Checker) DomainTakenBack(domain string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, d := range c.domainDrains {
		if d.domain == domain && d.to.IsZero() {
			c.domainDrains[i].to = at
		}
	}
}

// hostsInTouch reports whether no fault of hosts, their links or the store was in progress at a
// time, nor within quietPeriod before. An expired log is none here.
func (c *Checker) hostsInTouch(at time.Time) bool {
	return !slices.ContainsFunc(c.windows, func(w Window) bool {
		harmless := w.Target != "" || w.Kind.Planned() || w.Kind == ServiceLose || w.Kind == StoreExpire
		return !harmless && w.From.Before(at) && w.To.After(at.Add(-quietPeriod))
	})
}

// checkDomainDrains checks a run against the drained domains. Hosts that were out of
// touch shortly before need not know of them. The caller holds mu.
func (c *Checker) checkDomainDrains(run keyholder.Run) {
	for _, d := range c.domainDrains {
		late := run.At.Sub(d.from)
		if domainOf(run.Target) != d.domain || late <= domainDrainBound || !d.to.IsZero() && run.At.After(d.to) {
			continue
		}
		c.counts["runs in drained domains"]++
		if c.hostsInTouch(run.At) {
			c.addViolation("request %s reached target %s %v after the start of the drain of domain %s", run.ID, run.Target, late, d.domain)
		}
	}
}
