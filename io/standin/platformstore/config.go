package platformstore

import (
	"cmp"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// Topics that the operator and the targets write to, and the configuration's key
// in the operator's topic.
const (
	configTopic  = "keyed.op"
	targetsTopic = "keyed.servers"
	configKey    = "config"
	drainPrefix  = "evacuate/"
)

// Route is a route of a configuration. It matches requests whose path begins
// with /Name/.
type Route struct {
	Name    string
	Service string
	// Idempotent requests may run more than once.
	Idempotent bool
	Timeout    time.Duration
}

// Service is a service of a configuration.
type Service struct {
	Name string
	// Keyed services are sharded by key.
	Keyed bool
	// ColdTime is how long targets are cold after a start, ColdRate the requests a second
	// that they bear until then; 0 for no bound.
	ColdTime time.Duration
	ColdRate float64
}

// Config is a version of the operator's configuration. HostName is the HTTP host
// that its routes match.
type Config struct {
	Version  int
	HostName string
	Routes   []Route
	Services []Service
}

func (c Config) encode() ([]byte, error) {
	routes := make([]any, 0, len(c.Routes))
	for _, r := range c.Routes {
		kind := "unsafe"
		if r.Idempotent {
			kind = "safe"
		}
		routes = append(routes, map[string]any{
			"name": r.Name, "host": c.HostName, "path_prefix": "/" + r.Name + "/", "kind": kind, "service": r.Service,
			"timeout_s": r.Timeout.Seconds(), "target_latency_s": 0.5, "max_attempts": 2,
		})
	}
	services := make([]any, 0, len(c.Services))
	for _, s := range c.Services {
		service := map[string]any{"name": s.Name}
		if s.Keyed {
			service["sharding"] = true
		}
		if s.ColdRate > 0 {
			service["warmup_s"], service["warmup_per_s"] = s.ColdTime.Seconds(), s.ColdRate
		}
		services = append(services, service)
	}
	return json.Marshal(map[string]any{
		"version": c.Version, "routes": routes, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_s": 3, "idle_timeout_s": 15},
	})
}

// Configure publishes a configuration as the operator does.
func (s *Store) Configure(c Config) error {
	data, err := c.encode()
	if err != nil {
		return errors.Wrapf(err, "encode version %d", c.Version)
	}
	s.Put(configTopic, configKey, data)
	return nil
}

// PutTarget writes a target's entry as the target does. An empty entry removes
// the target.
func (s *Store) PutTarget(id string, entry []byte) { s.Put(targetsTopic, id, entry) }

// Drain requests that a failure domain be drained, as the operator does.
func (s *Store) Drain(domain string) { s.Put(configTopic, drainPrefix+domain, []byte("{}")) }

// EndDrain removes the request to drain a failure domain.
func (s *Store) EndDrain(domain string) { s.Put(configTopic, drainPrefix+domain, nil) }

// ExpireAll deletes the records of all topics, as retention does. The newest
// record of each key remains readable.
func (s *Store) ExpireAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.topics {
		t.first, t.records = t.end(), nil
	}
	s.notifyReaders()
}

// HostSettings are the settings of a host.
type HostSettings struct {
	Name string
	// Domain is the host's failure domain; empty for "a".
	Domain string
	IP     string
	// Port is the host's only port for other hosts.
	Port int
	// CallerAddress, ReadyAddress and StoreAddress are host:port addresses: that
	// callers connect to, that of the readiness probe, and the store's.
	CallerAddress string
	ReadyAddress  string
	StoreAddress  string
	// RetryBudgetExtra is the number of retries allowed beyond 20 % of the
	// requests.
	RetryBudgetExtra int
	// ColdOverage and ColdSlack bound the requests for cold targets.
	ColdOverage, ColdSlack float64
}

// Encode returns the settings file in TOML.
func (h HostSettings) Encode() []byte {
	return fmt.Appendf(nil, "node = %q\nzone = %q\nip = %q\ninternal_ports = [%d, %d]\nheartbeat_s = 0.87\n"+
		"[listen]\nfront = %q\nready = %q\n[platform]\naddress = %q\n[bounds]\nretry_budget_ratio = 0.2\nretry_budget_extra = %d\n"+
		"warmup_overage = %v\nwarmup_slack = %v\n",
		h.Name, cmp.Or(h.Domain, "a"), h.IP, h.Port, h.Port, h.CallerAddress, h.ReadyAddress, h.StoreAddress, h.RetryBudgetExtra,
		cmp.Or(h.ColdOverage, 1), h.ColdSlack)
}
