package platformstore

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// Topics of the operator and of targets, and the key of the configuration.
const (
	topicConfig  = "keyed.op"
	topicTargets = "keyed.servers"
	keyConfig    = "config"
)

// Route is a route of a configuration; requests whose path begins with its name
// take it.
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
	// Keyed services are divided by key.
	Keyed bool
}

// Config is a version of the operator's configuration, for one name of a host.
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
		services = append(services, service)
	}
	return json.Marshal(map[string]any{
		"version": c.Version, "routes": routes, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_s": 3, "idle_timeout_s": 15},
	})
}

// Configure publishes a configuration as the operator would.
func (s *Store) Configure(c Config) error {
	data, err := c.encode()
	if err != nil {
		return errors.Wrapf(err, "encode version %d", c.Version)
	}
	s.Put(topicConfig, keyConfig, data)
	return nil
}

// PutTarget writes a target's entry as the target would; an empty one removes
// it.
func (s *Store) PutTarget(id string, entry []byte) { s.Put(topicTargets, id, entry) }

// ExpireAll deletes the history of all topics; the newest records stay.
func (s *Store) ExpireAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.topics {
		t.first, t.records = t.end(), nil
	}
	s.wake()
}

// HostSettings is what the settings file of a host says.
type HostSettings struct {
	Name          string
	IP            string
	Port          int
	CallerAddress string
	ReadyAddress  string
	StoreAddress  string
	// RetryBudgetExtra is the number of sends that may be repeated beyond a fifth.
	RetryBudgetExtra int
}

// Encode returns the host's settings file.
func (h HostSettings) Encode() []byte {
	return fmt.Appendf(nil, "node = %q\nzone = \"a\"\nip = %q\ninternal_ports = [%d, %d]\n"+
		"[listen]\nfront = %q\nready = %q\n[platform]\naddress = %q\n[bounds]\nretry_budget_ratio = 0.2\nretry_budget_extra = %d\n",
		h.Name, h.IP, h.Port, h.Port, h.CallerAddress, h.ReadyAddress, h.StoreAddress, h.RetryBudgetExtra)
}
