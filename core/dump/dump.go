// Package dump defines the state dump that a host on the users' platform serves
// to operators.
package dump

import (
	"pineturn/core/peers"
	"pineturn/core/placement"
	"pineturn/core/poison"
	"pineturn/core/routing"
)

// State is the state of a host and its view of the cluster.
type State struct {
	Host string `json:"host"`
	// Incarnation is the incarnation of the host's process.
	Incarnation string  `json:"process"`
	UptimeS     float64 `json:"uptime_s"`
	Ready       bool    `json:"ready"`
	Stopping    bool    `json:"stopping"`
	// Leading is set if this host is the leader.
	Leading bool `json:"leading"`
	// AgesS holds the time in seconds since the host last confirmed that its
	// configuration, owners and targets were current.
	AgesS map[string]float64 `json:"ages_s"`
	// Version is the version of the host's current configuration.
	Version int64 `json:"config_version"`
	// Routes lists the routes of that configuration.
	Routes []routing.Route `json:"routes"`
	// Services and Limits are those of that configuration.
	Services map[string]routing.Service `json:"services,omitempty"`
	Limits   routing.Limits             `json:"limits"`
	// Targets lists the host's state for each target.
	Targets []placement.State `json:"targets"`
	// Leader is the leader according to the host's current assignment.
	Leader string `json:"leader"`
	// Epoch is the epoch of that assignment.
	Epoch int64 `json:"epoch"`
	// Keys holds the key ranges of each service.
	Keys map[string][]Range `json:"keys"`
	// Requests holds the number of requests in flight for each service.
	Requests map[string]int `json:"requests_in_flight"`
	// Blocked lists the requests that are refused because they end targets.
	Blocked []poison.Block `json:"blocked_requests"`
	// DrainedDomains lists the failure domains that the operator drains.
	DrainedDomains []DrainedDomain `json:"drained_domains,omitempty"`
	// OwnerQueue is set while keyed requests are relayed to the hosts that hold the queues of
	// their owners.
	OwnerQueue bool `json:"owner_queue"`
	// Peers lists the other hosts that the host knows.
	Peers []peers.Host `json:"peers"`
}

// DrainedDomain is a failure domain that the operator drains.
type DrainedDomain struct {
	Domain string `json:"domain"`
	// SinceS is the time in seconds since the host learned of the request, Offset and Era are
	// those of the request's newest record in the store.
	SinceS float64 `json:"since_s"`
	Offset int64   `json:"offset"`
	Era    int64   `json:"era,omitempty"`
	// OwnersForS is the time in seconds for which the host still sends requests to the owners
	// of keys in the domain, 0 if it sends none.
	OwnersForS float64 `json:"owners_for_s"`
}

// Range is a range of keys with its owner.
type Range struct {
	// First is the first key of the range.
	First uint16 `json:"first"`
	// Last is the last key of the range.
	Last  uint16 `json:"last"`
	Owner string `json:"owner"`
	// Former lists the former owners, which may still hold the range.
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
