// Package config parses, merges and validates the configuration, which
// operators write as a folder of small YAML files. Its functions are pure.
package config

import (
	"path"
	"strings"
	"time"

	"pineturn/core/record"
)

// Config is a valid configuration. It is immutable.
type Config struct {
	version  uint64
	services []*Service
	byName   map[string]*Service
}

// Version returns the log offset of the change that produced this
// configuration.
func (c *Config) Version() uint64 { return c.version }

// Services returns the services in the order of their names.
func (c *Config) Services() []*Service { return c.services }

// Service returns the service with the given name.
func (c *Config) Service(name string) (*Service, bool) {
	service, ok := c.byName[name]
	return service, ok
}

// Target returns the target with the given id.
func (c *Config) Target(id record.Target) (*Target, bool) {
	service, ok := c.byName[id.Service]
	if !ok {
		return nil, false
	}
	return service.Target(id.Name)
}

// Service is a set of keys, the targets that may own them, and the limits of
// requests for them.
type Service struct {
	name        string
	position    position
	groups      []*Group
	targets     []*Target
	timeout     time.Duration
	maxTimeout  time.Duration
	maxBody     int64
	queue       int
	longRunning bool
	weights     Weights
	maxMoves    int
	once        []OnceRule
	onceWindow  time.Duration
}

// Name returns the name of the service.
func (s *Service) Name() string { return s.name }

// Groups returns the key groups in the order in which they are matched. The
// last group matches every key.
func (s *Service) Groups() []*Group { return s.groups }

// Group returns the first group that matches key.
func (s *Service) Group(key string) *Group {
	for _, group := range s.groups {
		if group.Matches(key) {
			return group
		}
	}
	return s.groups[len(s.groups)-1]
}

// GroupNamed returns the group with the given name.
func (s *Service) GroupNamed(name string) (*Group, bool) {
	for _, group := range s.groups {
		if group.name == name {
			return group, true
		}
	}
	return nil, false
}

// Targets returns the targets in the order of their names.
func (s *Service) Targets() []*Target { return s.targets }

// Target returns the target with the given name.
func (s *Service) Target(name string) (*Target, bool) {
	for _, target := range s.targets {
		if target.id.Name == name {
			return target, true
		}
	}
	return nil, false
}

// Timeout returns the timeout of a request whose caller sets none.
func (s *Service) Timeout() time.Duration { return s.timeout }

// MaxTimeout returns the largest timeout that a caller may set.
func (s *Service) MaxTimeout() time.Duration { return s.maxTimeout }

// MaxBody returns the maximum size of a request body in bytes.
func (s *Service) MaxBody() int64 { return s.maxBody }

// Queue returns the maximum number of requests that wait for one target.
func (s *Service) Queue() int { return s.queue }

// LongRunning reports whether the targets abort a request on their own when
// their grant of its shard expires. The deadline of a request may then be later
// than the expiry of the grant.
func (s *Service) LongRunning() bool { return s.longRunning }

// Weights returns the weights of the costs that the assignment of shards
// minimizes.
func (s *Service) Weights() Weights { return s.weights }

// MaxMoves returns the maximum number of concurrent shard moves that are made
// for a better assignment rather than to replace a lost owner.
func (s *Service) MaxMoves() int { return s.maxMoves }

// OnceWindow returns the retention of the ids of requests that must not be
// repeated.
func (s *Service) OnceWindow() time.Duration { return s.onceWindow }

// Once reports whether a request must not be repeated.
func (s *Service) Once(method, requestPath string) bool {
	for _, rule := range s.once {
		if rule.matches(method, requestPath) {
			return true
		}
	}
	return false
}

// OnceRule selects requests that must not be repeated, by method and by a
// path.Match pattern. An empty field matches all requests. A star that is the
// pattern's only special character and its last character matches the rest of
// the path, slashes included, so that in doubt a request is not repeated.
type OnceRule struct {
	method  string
	pattern string
}

func (r OnceRule) matches(method, requestPath string) bool {
	if r.method != "" && r.method != method {
		return false
	}
	if r.pattern == "" {
		return true
	}
	if prefix, hasStar := strings.CutSuffix(r.pattern, "*"); hasStar && !strings.ContainsAny(prefix, "*?[\\") {
		return strings.HasPrefix(requestPath, prefix)
	}
	ok, err := path.Match(r.pattern, requestPath)
	return err == nil && ok
}

// Weights are the relative weights of the costs that the assignment of shards
// minimizes.
type Weights struct {
	unavailable float64
	churn       float64
	imbalance   float64
}

// Unavailable returns the weight of the time in which a key has no owner that
// can serve it.
func (w Weights) Unavailable() float64 { return w.unavailable }

// Churn returns the weight of the number of keys that change owner.
func (w Weights) Churn() float64 { return w.churn }

// Imbalance returns the weight of the load imbalance between targets.
func (w Weights) Imbalance() float64 { return w.imbalance }

// Group is a subset of a service's keys with its own set of eligible targets.
type Group struct {
	name     string
	position position
	// keysPosition and shardsPosition are the source positions of the fields
	// keys and shards.
	keysPosition   position
	shardsPosition position
	keys           string
	shards         int
	order          int
	targets        []*Target
}

// Name returns the name of the group, which is unique within its service.
func (g *Group) Name() string { return g.name }

// Matches reports whether key matches the group's path.Match pattern.
func (g *Group) Matches(key string) bool {
	if g.keys == "*" {
		return true
	}
	ok, err := path.Match(g.keys, key)
	return err == nil && ok
}

// Keys returns the path.Match pattern of the group's keys.
func (g *Group) Keys() string { return g.keys }

// Shards returns the number of range shards that the group's keys are hashed
// into.
func (g *Group) Shards() int { return g.shards }

// Targets returns the targets that may own the group's keys, in the order of
// their names.
func (g *Group) Targets() []*Target { return g.targets }

// Eligible reports whether the target with the given name may own the group's
// keys.
func (g *Group) Eligible(name string) bool {
	for _, target := range g.targets {
		if target.id.Name == name {
			return true
		}
	}
	return false
}

// Target is a server that may own keys.
type Target struct {
	id          record.Target
	address     string
	domain      string
	labels      map[string]string
	slots       int
	connections int
	checked     bool
	drain       bool
}

// ID returns the names of the target and its service.
func (t *Target) ID() record.Target { return t.id }

// Address returns the IP:port that the target listens on.
func (t *Target) Address() string { return t.address }

// Domain returns the failure domain of the target.
func (t *Target) Domain() string { return t.domain }

// Label returns the value of a label, or an empty string if it is not set.
// Groups select targets by label.
func (t *Target) Label(name string) string { return t.labels[name] }

// Slots returns the number of requests that the target runs concurrently.
func (t *Target) Slots() int { return t.slots }

// Connections returns the number of connections that the target accepts.
func (t *Target) Connections() int { return t.connections }

// Checked reports whether the target rejects orders with an old fencing token.
func (t *Target) Checked() bool { return t.checked }

// Drain reports whether the configuration drains the target.
func (t *Target) Drain() bool { return t.drain }

// Fault is a validation error in a configuration file. Line is the line from 1,
// or 0 if the fault concerns the whole file. Field is the path of the field, or
// empty if the fault concerns no field.
type Fault struct {
	File  string `cbor:"1,keyasint" json:"file"`
	Line  int    `cbor:"2,keyasint" json:"line"`
	Field string `cbor:"3,keyasint" json:"field"`
	Text  string `cbor:"4,keyasint" json:"text"`
}
