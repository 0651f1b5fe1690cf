// Package peer implements the message protocol between hosts. Each binary
// WebSocket message at Path is one CBOR frame. A Client opens a few connections
// to each host, one for control calls and the others for callers' requests. A
// Server handles them. If a connection breaks or becomes silent, the Client
// reports an outcome for everything that was in flight on it, and the Server
// ends the contexts of the handlers.
package peer

import (
	"crypto/tls"
	"time"

	"pineturn/core/record"
)

// Path is the HTTP path at which a Server accepts connections.
const Path = "/peer"

// Plane is the purpose of a connection. The planes have separate connections,
// so that large requests never delay control calls.
type Plane uint8

// The planes.
const (
	Control Plane = iota + 1
	Requests
)

// String returns the value of the plane label in metrics.
func (p Plane) String() string {
	switch p {
	case Control:
		return "control"
	case Requests:
		return "request"
	}
	return "invalid"
}

// Auth authenticates hosts. It proves possession of the shared key to the other
// host, and verifies the other host's proof and certificate. Prove and Verify
// are both nil if no shared key is configured.
type Auth struct {
	// Prove returns a proof for a transcript, which is different for each
	// connection.
	Prove func(transcript []byte) []byte
	// Verify reports whether proof is valid for transcript.
	Verify func(transcript, proof []byte) bool
	// CheckHost, if set, returns an error if the certificate of the other side
	// does not belong to the host named in its hello. The argument state is nil
	// without TLS.
	CheckHost func(state *tls.ConnectionState, host string) error
}

// enabled reports whether a shared key is configured.
func (a Auth) enabled() bool { return a.Prove != nil && a.Verify != nil }

// endpoint is the destination of a connection: an incarnation at an address.
type endpoint struct {
	address     string
	incarnation record.Incarnation
}

// endpointOf returns the endpoint of a member.
func endpointOf(member record.Member) endpoint {
	return endpoint{address: member.Address, incarnation: member.Incarnation}
}

// matches reports whether got is the incarnation of the endpoint. An empty host
// or a Run of 0 matches any.
func (e endpoint) matches(got record.Incarnation) bool {
	if e.incarnation.Host != "" && e.incarnation.Host != got.Host {
		return false
	}
	return e.incarnation.Run == 0 || e.incarnation.Run == got.Run
}

// cappedStep limits the time between two checks that counts as silence of the
// other host, so that a pause of this process is not taken for such silence.
func cappedStep(elapsed, interval time.Duration) time.Duration {
	return min(elapsed, 2*interval)
}
