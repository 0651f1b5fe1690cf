// Package peer carries messages between hosts: one CBOR frame a binary
// WebSocket message, at Path. A Client opens few connections to each host,
// one for control questions and some for callers' requests; a Server answers
// them. Both ends are told what became of everything that was in flight when
// a connection breaks or goes silent.
package peer

import (
	"crypto/tls"
	"time"

	"pineturn/core/record"
)

// Path is the HTTP path at which a host accepts other hosts.
const Path = "/peer"

// Plane says what a connection is for, so that bulk requests never delay
// control questions.
type Plane uint8

// The planes.
const (
	Control Plane = iota + 1
	Requests
)

// String returns the plane as it stands in metric labels.
func (p Plane) String() string {
	switch p {
	case Control:
		return "control"
	case Requests:
		return "request"
	}
	return "invalid"
}

// Auth proves to the other host that this one holds the shared key, and
// checks who the other one is. Prove and Verify are both nil when hosts use no
// shared key.
type Auth struct {
	// Prove returns a proof over a fresh transcript.
	Prove func(transcript []byte) []byte
	// Verify reports whether proof is one over transcript.
	Verify func(transcript, proof []byte) bool
	// CheckHost, if set, returns an error when the other side's certificate
	// is not that of the host that it says it is. State is nil without TLS.
	CheckHost func(state *tls.ConnectionState, host string) error
}

// enabled reports whether a shared key is in use.
func (a Auth) enabled() bool { return a.Prove != nil && a.Verify != nil }

// endpoint is where a connection leads: one incarnation at one address.
type endpoint struct {
	address string
	want    record.Incarnation
}

// endpointOf returns the endpoint of a member.
func endpointOf(member record.Member) endpoint {
	return endpoint{address: member.Address, want: member.Incarnation}
}

// accepts reports whether an incarnation is the wanted one. An empty host or
// a Run of 0 stands for any.
func (e endpoint) accepts(got record.Incarnation) bool {
	if e.want.Host != "" && e.want.Host != got.Host {
		return false
	}
	return e.want.Run == 0 || e.want.Run == got.Run
}

// quietStep bounds how much of one keepalive step counts as silence, so that
// a pause of this process is not taken for silence of the other host.
func quietStep(elapsed, interval time.Duration) time.Duration {
	return min(elapsed, 2*interval)
}
