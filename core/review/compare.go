package review

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"pineturn/core/routing"
)

// Compare returns what a configuration changes against the one in force, as callers and targets
// notice it.
func Compare(old, new *routing.Config) []string {
	c := &comparison{old: routing.NewTable(old), new: routing.NewTable(new)}
	if new.Version <= old.Version {
		c.add("version %d is not above version %d in force: hosts keep that one", new.Version, old.Version)
	}
	c.compareMatches()
	c.compareServices()
	c.compareLimits()
	return c.changes
}

// comparison is one comparison of two configurations.
type comparison struct {
	old, new *routing.Table
	changes  []string
}

func (c *comparison) add(format string, args ...any) {
	c.changes = append(c.changes, fmt.Sprintf(format, args...))
}

// prefix is a host name and a path prefix of either configuration.
type prefix struct{ host, path string }

func (p prefix) String() string { return p.host + p.path }

// compareMatches compares what becomes of requests to each host name and prefix, whatever the
// routes are called.
func (c *comparison) compareMatches() {
	all := make(map[prefix]bool)
	for _, table := range []*routing.Table{c.old, c.new} {
		for _, r := range table.Config().Routes {
			all[prefix{strings.ToLower(r.Host), r.Prefix}] = true
		}
	}
	sorted := slices.SortedFunc(maps.Keys(all), func(a, b prefix) int { return strings.Compare(a.String(), b.String()) })
	for _, p := range sorted {
		before, was := c.old.Find(p.host, p.path)
		after, is := c.new.Find(p.host, p.path)
		switch {
		case !was && is:
			c.add("%s: requests are served by %s; before, they had no route", p, parts(after.Route))
		case was && !is:
			c.add("%s: requests have no route any more and get status 404; before, %s served them", p, parts(before.Route))
		case was && is:
			c.compareRoutes(p, before.Route, after.Route)
		}
	}
}

// compareRoutes compares the routes that serve the same requests.
func (c *comparison) compareRoutes(p prefix, old, new *routing.Route) {
	if before, after := parts(old), parts(new); before != after {
		c.add("%s: requests go to %s instead of %s", p, after, before)
	}
	if old.Idempotent != new.Idempotent {
		c.add("%s: requests may run %s", p, map[bool]string{true: "more than once", false: "once at most; before, more than once"}[new.Idempotent])
	}
	if old.Timeout != new.Timeout {
		c.add("%s: requests are ended after %v instead of %v", p, new.Timeout, old.Timeout)
	}
	if old.Objective != new.Objective {
		c.add("%s: the latency objective is %v instead of %v", p, new.Objective, old.Objective)
	}
	if old.MaxAttempts != new.MaxAttempts {
		c.add("%s: a request is sent to %d targets at most instead of %d", p, new.MaxAttempts, old.MaxAttempts)
	}
	if old.Rank != new.Rank {
		c.add("%s: priority %d instead of %d; 0 is the highest", p, new.Rank, old.Rank)
	}
	if !slices.Equal(old.Regions, new.Regions) {
		c.add("%s: requests may go to %s instead of %s", p, regions(new), regions(old))
	}
}

// parts describes the services of a route with their shares.
func parts(r *routing.Route) string {
	total := 0.0
	for _, part := range r.Parts {
		total += part.Weight
	}
	var all []string
	for _, part := range r.Parts {
		if len(r.Parts) == 1 || total <= 0 {
			all = append(all, part.Service)
			continue
		}
		all = append(all, fmt.Sprintf("%s (%.3g%%)", part.Service, 100*part.Weight/total))
	}
	return strings.Join(all, ", ")
}

func regions(r *routing.Route) string {
	if r.Regions == nil {
		return "any region"
	}
	return "regions " + strings.Join(r.Regions, ", ")
}

func (c *comparison) compareServices() {
	before, after := c.old.Config().Services, c.new.Config().Services
	for _, name := range slices.Sorted(maps.Keys(after)) {
		old, known := before[name]
		s := after[name]
		switch {
		case !known:
			c.add("service %s is new", name)
			continue
		case old.Keyed != s.Keyed:
			c.add("service %s: %s", name, map[bool]string{true: "each key has one owner from now on", false: "keys have no owners any more"}[s.Keyed])
		}
		if old.MaxConnections != s.MaxConnections {
			c.add("service %s: %d connections to each target instead of %d", name, s.MaxConnections, old.MaxConnections)
		}
		if old.ColdTime != s.ColdTime || old.ColdRate != s.ColdRate {
			c.add("service %s: cold targets bear %v requests a second for %v instead of %v for %v", name, s.ColdRate, s.ColdTime, old.ColdRate, old.ColdTime)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(before)) {
		if _, ok := after[name]; !ok {
			c.add("service %s is gone", name)
		}
	}
}

func (c *comparison) compareLimits() {
	old, new := c.old.Config().Limits, c.new.Config().Limits
	for _, x := range []struct {
		name          string
		before, after any
	}{
		{"requests have headers", old.MaxHeaderBytes, new.MaxHeaderBytes}, {"requests have bodies", old.MaxBodyBytes, new.MaxBodyBytes},
		{"headers arrive within", old.HeaderTimeout, new.HeaderTimeout}, {"connections stay idle for", old.IdleTimeout, new.IdleTimeout},
	} {
		if x.before != x.after {
			c.add("%s %v at most instead of %v", x.name, x.after, x.before)
		}
	}
}
