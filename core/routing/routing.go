// Package routing holds the operator's configuration in force and finds the
// route and the service of a request.
package routing

import (
	"strings"
	"sync/atomic"
	"time"
)

// Part is a service that takes a share of a route's requests.
type Part struct {
	Service string
	Weight  float64
}

// Route says where requests of a host name and a path prefix go.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Idempotent requests may run more than once.
	Idempotent bool
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// Objective is the time within which an answer has its full worth.
	Objective time.Duration
	// Rank orders routes; zero goes first.
	Rank int
	// MaxAttempts is the largest number of targets that a request is sent to.
	MaxAttempts int
	Parts       []Part
}

// Service is a set of targets that run the same requests.
type Service struct {
	Name string
	// MaxConnections is what one target accepts from all hosts together.
	MaxConnections int
	// Keyed services divide their keys among their targets.
	Keyed bool
	// WarmUp is how long a key is slow at a new owner without a handover.
	WarmUp time.Duration
}

// Limits bound what a caller may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Config is one version of the operator's configuration.
type Config struct {
	Version  int64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
}

// Table finds routes in one version of the configuration.
type Table struct {
	config *Config
	hosts  map[string][]*entry
}

// entry is a route and the share that each of its parts is owed.
type entry struct {
	route *Route
	turns atomic.Uint64
	total float64
}

// NewTable returns the table of a configuration.
func NewTable(config *Config) *Table {
	t := &Table{config: config, hosts: make(map[string][]*entry)}
	for i := range config.Routes {
		r := &config.Routes[i]
		e := &entry{route: r}
		for _, part := range r.Parts {
			e.total += part.Weight
		}
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], e)
	}
	return t
}

// Config returns the configuration that the table was made of.
func (t *Table) Config() *Config { return t.config }

// Match is the route of a request and the service that takes it.
type Match struct {
	Route   *Route
	Service Service
}

// Find returns the route with the longest prefix of a path at a host name,
// and the next service by the route's weights.
func (t *Table) Find(host, path string) (Match, bool) {
	var best *entry
	for _, e := range t.hosts[hostName(host)] {
		if strings.HasPrefix(path, e.route.Prefix) && (best == nil || len(e.route.Prefix) > len(best.route.Prefix)) {
			best = e
		}
	}
	if best == nil {
		return Match{}, false
	}
	name := best.next()
	service, ok := t.config.Services[name]
	if !ok {
		service = Service{Name: name}
	}
	return Match{Route: best.route, Service: service}, true
}

// hostName strips a port and folds the case of a Host header.
func hostName(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// golden is the fractional part of the golden ratio. Its multiples spread
// evenly over the unit interval, so that short runs keep to the weights too.
const golden = 0.6180339887498949

// next returns the service whose turn it is.
func (e *entry) next() string {
	parts := e.route.Parts
	if len(parts) == 0 {
		return ""
	}
	if len(parts) == 1 {
		return parts[0].Service
	}
	turn := float64(e.turns.Add(1)) * golden
	at := (turn - float64(uint64(turn))) * e.total
	for _, part := range parts {
		if at < part.Weight {
			return part.Service
		}
		at -= part.Weight
	}
	return parts[len(parts)-1].Service
}
