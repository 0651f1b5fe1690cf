// Package dump defines the state dump that a host on the users' platform serves
// to operators.
package dump

import (
	"pineturn/core/placement"
	"pineturn/core/routing"
)

// State is the state of a host and its view of the cluster. Routes and Targets
// are those of the host's current configuration and target entries. Leader and
// Epoch are those of its current assignment. Version is the version of the
// configuration.
type State struct {
	Host        string  `json:"host"`
	Incarnation string  `json:"process"`
	UptimeS     float64 `json:"uptime_s"`
	Ready       bool    `json:"ready"`
	Stopping    bool    `json:"stopping"`
	Leading     bool    `json:"leading"`
	// AgesS holds the time in seconds since the host last confirmed that its
	// configuration, owners and targets were current.
	AgesS   map[string]float64 `json:"ages_s"`
	Version int64              `json:"config_version"`
	Routes  []routing.Route    `json:"routes"`
	Targets []placement.State  `json:"targets"`
	Leader  string             `json:"leader"`
	Epoch   int64              `json:"epoch"`
	// Keys holds the key ranges of each service.
	Keys map[string][]Range `json:"keys"`
	// Requests holds the number of requests in flight for each service.
	Requests map[string]int `json:"requests_in_flight"`
}

// Range is a range of keys with its owner. Former lists the former owners, which
// may still hold the range. First and Last are inclusive.
type Range struct {
	First  uint16   `json:"first"`
	Last   uint16   `json:"last"`
	Owner  string   `json:"owner"`
	Former []string `json:"former,omitempty"`
}

// Find returns the range of a service that contains a key.
func (s *State) Find(service string, key uint16) (Range, bool) {
	for _, r := range s.Keys[service] {
		if key >= r.First && key <= r.Last {
			return r, true
		}
	}
	return Range{}, false
}
