// Package routing defines the operator's configuration on the platform and finds the
// route and the service of a request by its host name and path. It knows no targets and
// no owners of keys. Package route has the route from a key to its leaseholder and
// target under the project's own interface.
package routing

import (
	"slices"
	"strings"
	"sync/atomic"
	"time"
)

// Part is a service that receives a share of a route's requests.
type Part struct {
	Service string
	Weight  float64
}

// Route is a rule for the requests to a host name and a path prefix.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Idempotent routes carry requests that may run more than once.
	Idempotent bool
	// Timeout is the longest time that a caller waits for a response.
	Timeout time.Duration
	// Objective is the latency objective: the response time that the operator
	// aims for. Only a response within this time has its full value.
	Objective time.Duration
	// Rank is the priority of the route; zero is the highest. The state dump
	// writes the field under its Go name.
	Rank int
	// MaxAttempts is the highest number of targets to which a request is sent.
	MaxAttempts int
	// Regions are the regions to which requests may go, with their bodies; nil for any.
	Regions []string
	Parts   []Part
}

// AllowsRegion reports whether requests may go to a region.
func (r *Route) AllowsRegion(region string) bool {
	return r.Regions == nil || slices.Contains(r.Regions, region)
}

// Service is a set of targets that serve the same requests.
type Service struct {
	Name string
	// MaxConnections is the number of connections that one target accepts from
	// all hosts together.
	MaxConnections int
	// Keyed services partition their keys among their targets.
	Keyed bool
	// WarmUp is how long requests for a key are slow at a new owner that received
	// the key without a handover.
	WarmUp time.Duration
	// ColdTime is how long a target is cold after its start. Until then it bears ColdRate
	// requests a second from all hosts together. Both are zero if there is no such limit.
	ColdTime time.Duration
	ColdRate float64
}

// Limits are the limits on callers' requests and connections.
type Limits struct {
	// MaxHeaderBytes is the maximum size of a request's header, in bytes.
	MaxHeaderBytes int
	// MaxBodyBytes is the maximum size of a request's body, in bytes.
	MaxBodyBytes int64
	// HeaderTimeout is the longest time for which a request's header is read.
	HeaderTimeout time.Duration
	// IdleTimeout is the time after which a connection without requests is closed.
	IdleTimeout time.Duration
}

// Config is one version of the operator's configuration.
type Config struct {
	Version  int64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
}

// Table is the routing table of one version of the configuration.
type Table struct {
	config            *Config
	entriesByHostName map[string][]*routeEntry
}

// routeEntry is a route with the state that distributes its requests among its
// parts.
type routeEntry struct {
	route       *Route
	requests    atomic.Uint64
	totalWeight float64
}

// NewTable returns the routing table of a configuration.
func NewTable(config *Config) *Table {
	t := &Table{config: config, entriesByHostName: make(map[string][]*routeEntry)}
	for i := range config.Routes {
		r := &config.Routes[i]
		e := &routeEntry{route: r}
		for _, part := range r.Parts {
			e.totalWeight += part.Weight
		}
		host := strings.ToLower(r.Host)
		t.entriesByHostName[host] = append(t.entriesByHostName[host], e)
	}
	return t
}

// Config returns the configuration from which the table was built.
func (t *Table) Config() *Config { return t.config }

// Match is the route of a request and the service that serves it.
type Match struct {
	Route   *Route
	Service Service
}

// Find returns the route of a host name whose prefix is the longest one that
// matches path, and a service that is selected by the route's weights. It reports
// false if no route matches.
func (t *Table) Find(host, path string) (Match, bool) {
	e := t.entry(host, path)
	if e == nil {
		return Match{}, false
	}
	return t.match(e, e.nextService()), true
}

// Route returns the route of a host name and path as Find does, without counting a request for
// the weights of its parts.
func (t *Table) Route(host, path string) (*Route, bool) {
	e := t.entry(host, path)
	if e == nil {
		return nil, false
	}
	return e.route, true
}

// FindPart returns the same route as Find, with the given service if it is one of the
// route's. Another host has selected it by the weights.
func (t *Table) FindPart(host, path, service string) (Match, bool) {
	e := t.entry(host, path)
	if e == nil {
		return Match{}, false
	}
	if slices.ContainsFunc(e.route.Parts, func(p Part) bool { return p.Service == service }) {
		return t.match(e, service), true
	}
	return t.match(e, e.nextService()), true
}

// entry returns the route of a host name with the longest prefix that matches path, or nil.
func (t *Table) entry(host, path string) *routeEntry {
	var best *routeEntry
	for _, e := range t.entriesByHostName[hostName(host)] {
		if strings.HasPrefix(path, e.route.Prefix) && (best == nil || len(e.route.Prefix) > len(best.route.Prefix)) {
			best = e
		}
	}
	return best
}

func (t *Table) match(e *routeEntry, service string) Match {
	s, ok := t.config.Services[service]
	if !ok {
		s = Service{Name: service}
	}
	return Match{Route: e.route, Service: s}
}

// hostName returns the host name of a Host header in lower case, without the port.
func hostName(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// goldenRatioFraction is the fractional part of the golden ratio. The fractional
// parts of its multiples are evenly spread over the unit interval, so that short
// sequences of requests follow the weights as well.
const goldenRatioFraction = 0.6180339887498949

// nextService returns the service that receives the next request.
func (e *routeEntry) nextService() string {
	parts := e.route.Parts
	if len(parts) == 0 {
		return ""
	}
	if len(parts) == 1 {
		return parts[0].Service
	}
	position := float64(e.requests.Add(1)) * goldenRatioFraction
	offset := (position - float64(uint64(position))) * e.totalWeight
	for _, part := range parts {
		if offset < part.Weight {
			return part.Service
		}
		offset -= part.Weight
	}
	return parts[len(parts)-1].Service
}
