package review

import (
	"maps"
	"slices"
	"strings"

	"pineturn/core/routing"
)

// checkRoute checks one route on its own.
func (r *review) checkRoute(i int) {
	x := &r.config.Routes[i]
	r.checkMatch(i, x)
	r.checkParts(i, x)
	r.checkTimes(i, x)
	r.checkRegions(i, x)
}

// checkMatch checks whether a request can match a route at all. Hosts compare the host name without
// a port, and the path without its query.
func (r *review) checkMatch(i int, x *routing.Route) {
	switch {
	case x.Host == "":
		r.add(Error, route(i, Host), "has no host name, so no request matches")
	case strings.ContainsAny(x.Host, " \t/"):
		r.add(Error, route(i, Host), "host name %q is none, so no request matches", x.Host)
	case strings.Contains(x.Host, ":") && !strings.HasSuffix(x.Host, "]"):
		r.add(Error, route(i, Host), "host name %q has a port, which is left out when requests are matched, so none matches", x.Host)
	}
	switch {
	case !strings.HasPrefix(x.Prefix, "/"):
		r.add(Error, route(i, Prefix), "path prefix %q does not begin with a slash, so no request matches", x.Prefix)
	case !strings.HasSuffix(x.Prefix, "/"):
		r.add(Error, route(i, Prefix), "path prefix %q does not end with a slash", x.Prefix)
	case strings.ContainsAny(x.Prefix, "?# "):
		r.add(Error, route(i, Prefix), "path prefix %q has a character that no path has, so no request matches", x.Prefix)
	}
}

// checkParts checks to which services requests are sent.
func (r *review) checkParts(i int, x *routing.Route) {
	total, seen := 0.0, make(map[string]bool)
	field := ServiceName
	if len(x.Parts) > 1 {
		field = Parts
	}
	for _, part := range x.Parts {
		switch {
		case part.Service == "":
			r.add(Error, route(i, field), "names no service")
		case !slices.Contains(r.services, part.Service):
			r.add(Error, route(i, field), "service %q does not exist", part.Service)
		case seen[part.Service]:
			r.add(Warning, route(i, field), "service %q is named twice, its weights add up", part.Service)
		case part.Weight == 0 && len(x.Parts) > 1:
			r.add(Warning, route(i, field), "service %q has weight 0 and gets no request", part.Service)
		}
		if part.Weight < 0 {
			r.add(Error, route(i, field), "service %q has weight %v, want 0 or more", part.Service, part.Weight)
		}
		seen[part.Service] = true
		total += max(part.Weight, 0)
	}
	if total == 0 {
		r.add(Error, route(i, field), "no service has a weight above 0, so no request can be sent")
	}
	r.checkAttempts(i, x)
}

// checkAttempts checks whether there are enough targets for the attempts of a route.
func (r *review) checkAttempts(i int, x *routing.Route) {
	if x.MaxAttempts < 1 {
		r.add(Error, route(i, MaxAttempts), "%d attempts, so no request may be sent", x.MaxAttempts)
	}
	for _, part := range x.Parts {
		targets, known := r.deployment.Targets[part.Service]
		keyed := r.config.Services[part.Service].Keyed
		if known && targets < x.MaxAttempts && !keyed {
			r.add(Warning, route(i, MaxAttempts), "%d attempts, but service %q has %d targets now", x.MaxAttempts, part.Service, targets)
		}
	}
}

func (r *review) checkTimes(i int, x *routing.Route) {
	stop := r.deployment.Bounds.StopTimeout
	switch {
	case x.Timeout <= 0:
		r.add(Error, route(i, Timeout), "timeout is %v, want more than 0", x.Timeout)
	case x.Objective > x.Timeout:
		r.add(Warning, route(i, Objective), "latency objective %v is above the timeout %v: requests are ended before they are late", x.Objective, x.Timeout)
	case stop > 0 && x.Timeout > stop:
		r.add(Warning, route(i, Timeout), "timeout %v is above the %v in which a host must stop: a planned stop ends such requests", x.Timeout, stop)
	}
	if x.Rank < 0 {
		r.add(Warning, route(i, Rank), "priority %d is above the highest, 0", x.Rank)
	}
}

// checkRegions checks whether some failure domain is in a region that a route allows.
func (r *review) checkRegions(i int, x *routing.Route) {
	known := slices.Collect(maps.Values(r.deployment.Regions))
	if x.Regions == nil || len(known) == 0 {
		return
	}
	allowed := 0
	for _, region := range x.Regions {
		if slices.Contains(known, region) {
			allowed++
		} else {
			r.add(Warning, route(i, Regions), "no failure domain is in region %q", region)
		}
	}
	if allowed == 0 {
		r.add(Error, route(i, Regions), "no failure domain is in a region that it allows, so each request is refused")
	}
}

// checkHidden finds routes that another one hides: of several with the same host name and prefix,
// the first is used.
func (r *review) checkHidden() {
	type match struct{ host, prefix string }
	first, names := make(map[match]int), make(map[string]int)
	for i, x := range r.config.Routes {
		m := match{strings.ToLower(x.Host), x.Prefix}
		if hiding, ok := first[m]; ok {
			r.add(Warning, route(i, None), "never matches: route %q has the same host name and path prefix and comes first", r.config.Routes[hiding].Name)
		} else {
			first[m] = i
		}
		if other, ok := names[x.Name]; ok {
			r.add(Warning, route(i, Name), "has the name of route %d too, %q", other+1, x.Name)
		} else {
			names[x.Name] = i
		}
	}
}
