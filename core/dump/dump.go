// Package dump is the state of a host on the users' platform as it shows it to
// the person on call.
package dump

import (
	"pineturn/core/placement"
	"pineturn/core/routing"
)

// State is what a process believes and does.
type State struct {
	Host     string  `json:"host"`
	Process  string  `json:"process"`
	UptimeS  float64 `json:"uptime_s"`
	Ready    bool    `json:"ready"`
	Stopping bool    `json:"stopping"`
	Leading  bool    `json:"leading"`
	// AgesS are the ages of the beliefs in seconds.
	AgesS    map[string]float64 `json:"ages_s"`
	Version  int64              `json:"config_version"`
	Routes   []routing.Route    `json:"routes"`
	Targets  []placement.State  `json:"targets"`
	Leader   string             `json:"leader"`
	Epoch    int64              `json:"epoch"`
	Keys     map[string][]Range `json:"keys"`
	Requests map[string]int     `json:"requests_in_flight"`
}

// Range is a range of keys, its owner, and the targets that may still have it.
type Range struct {
	First  uint16   `json:"first"`
	Last   uint16   `json:"last"`
	Owner  string   `json:"owner"`
	Former []string `json:"former,omitempty"`
}

// Find returns the range of a service that a key lies in.
func (s *State) Find(service string, key uint16) (Range, bool) {
	for _, r := range s.Keys[service] {
		if key >= r.First && key <= r.Last {
			return r, true
		}
	}
	return Range{}, false
}
