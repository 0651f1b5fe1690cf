// Package config holds the operators' configuration: the merged view of a
// folder of small YAML files, and the pure functions that read, merge and
// check them.
package config

import (
	"path"
	"strings"
	"time"

	"pineturn/core/record"
)

// Config is one accepted configuration. It does not change after Merge.
type Config struct {
	version  uint64
	services []*Service
	byName   map[string]*Service
}

// Version is the log offset of the change that made this configuration.
func (c *Config) Version() uint64 { return c.version }

// Services lists the services by name.
func (c *Config) Services() []*Service { return c.services }

// Service finds a service by name.
func (c *Config) Service(name string) (*Service, bool) {
	service, ok := c.byName[name]
	return service, ok
}

// Target finds a target of any service.
func (c *Config) Target(id record.Target) (*Target, bool) {
	service, ok := c.byName[id.Service]
	if !ok {
		return nil, false
	}
	return service.Target(id.Name)
}

// Service is a set of keys, the targets that may own them, and the limits of
// its requests.
type Service struct {
	name        string
	place       place
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

// Name returns the service's name.
func (s *Service) Name() string { return s.name }

// Groups lists the key groups in the order in which they are matched; the
// last one matches every key.
func (s *Service) Groups() []*Group { return s.groups }

// Group returns the group that holds key.
func (s *Service) Group(key string) *Group {
	for _, group := range s.groups {
		if group.Matches(key) {
			return group
		}
	}
	return s.groups[len(s.groups)-1]
}

// GroupNamed finds a group by name.
func (s *Service) GroupNamed(name string) (*Group, bool) {
	for _, group := range s.groups {
		if group.name == name {
			return group, true
		}
	}
	return nil, false
}

// Targets lists the targets by name.
func (s *Service) Targets() []*Target { return s.targets }

// Target finds a target by name.
func (s *Service) Target(name string) (*Target, bool) {
	for _, target := range s.targets {
		if target.id.Name == name {
			return target, true
		}
	}
	return nil, false
}

// Timeout is how long a request may take when its caller sets no limit.
func (s *Service) Timeout() time.Duration { return s.timeout }

// MaxTimeout bounds the limit that a caller may set.
func (s *Service) MaxTimeout() time.Duration { return s.maxTimeout }

// MaxBody is the largest request body, in bytes.
func (s *Service) MaxBody() int64 { return s.maxBody }

// Queue is how many requests may wait for one target.
func (s *Service) Queue() int { return s.queue }

// LongRunning reports that the targets end a request by themselves when
// their grant of its shard lapses, so that its deadline may exceed the grant.
func (s *Service) LongRunning() bool { return s.longRunning }

// Weights returns what the assignment of shards minimises.
func (s *Service) Weights() Weights { return s.weights }

// MaxMoves is how many shards may change owner at once by choice.
func (s *Service) MaxMoves() int { return s.maxMoves }

// OnceWindow is how long the id of a request that must not be repeated is
// remembered.
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

// OnceRule marks requests that must not be repeated by method and by a
// path.Match pattern; an empty field matches all. A star at the pattern's end
// matches the rest of the path, slashes included, so that the rule errs on the
// side of not repeating.
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
	if prefix, open := strings.CutSuffix(r.pattern, "*"); open && !strings.ContainsAny(prefix, "*?[\\") {
		return strings.HasPrefix(requestPath, prefix)
	}
	ok, err := path.Match(r.pattern, requestPath)
	return err == nil && ok
}

// Weights rank what the assignment of shards minimises; a larger one counts
// more.
type Weights struct {
	unavailable float64
	churn       float64
	imbalance   float64
}

// Unavailable weighs the time a key has no owner that can serve it.
func (w Weights) Unavailable() float64 { return w.unavailable }

// Churn weighs the number of keys that change owner.
func (w Weights) Churn() float64 { return w.churn }

// Imbalance weighs how unevenly load falls across targets.
func (w Weights) Imbalance() float64 { return w.imbalance }

// Group is a part of a service's keys that the same targets may own.
type Group struct {
	name  string
	place place
	// keysAt and shardsAt are where keys and shards are written.
	keysAt   place
	shardsAt place
	keys     string
	shards   int
	order    int
	targets  []*Target
}

// Name returns the group's name, unique within its service.
func (g *Group) Name() string { return g.name }

// Matches reports whether the group holds key, by its path.Match pattern.
func (g *Group) Matches(key string) bool {
	if g.keys == "*" {
		return true
	}
	ok, err := path.Match(g.keys, key)
	return err == nil && ok
}

// Keys returns the path.Match pattern of the group's keys.
func (g *Group) Keys() string { return g.keys }

// Shards is the number of range shards that the group's keys are hashed into.
func (g *Group) Shards() int { return g.shards }

// Targets lists the targets that may own the group's keys, by name.
func (g *Group) Targets() []*Target { return g.targets }

// Eligible reports whether a target may own the group's keys.
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

// ID returns service and name.
func (t *Target) ID() record.Target { return t.id }

// Address is the host:port that the target listens on.
func (t *Target) Address() string { return t.address }

// Domain is the failure domain that the target runs in.
func (t *Target) Domain() string { return t.domain }

// Label returns the value of a label that rules select by.
func (t *Target) Label(name string) string { return t.labels[name] }

// Slots is how many requests the target runs at once.
func (t *Target) Slots() int { return t.slots }

// Connections is how many connections the target accepts.
func (t *Target) Connections() int { return t.connections }

// Checked reports that the target refuses orders with an old fencing token.
func (t *Target) Checked() bool { return t.checked }

// Drain reports that the configuration takes the target out of use.
func (t *Target) Drain() bool { return t.drain }

// Fault is one thing wrong with a file.
type Fault struct {
	File  string `cbor:"1,keyasint" json:"file"`
	Line  int    `cbor:"2,keyasint" json:"line"`
	Field string `cbor:"3,keyasint" json:"field"`
	Text  string `cbor:"4,keyasint" json:"text"`
}
