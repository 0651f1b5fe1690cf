// Package message defines the messages that hosts exchange. Messages are
// encoded as CBOR; package io/peer sends them over WebSocket connections.
package message

import (
	"io"
	"time"

	"pineturn/core/outcome"
	"pineturn/core/record"
	"pineturn/core/shard"
)

// Version is the version of the peer protocol.
const Version = 1

// Hello is the first message that each side of a connection sends.
type Hello struct {
	Version int           `cbor:"1,keyasint"`
	Member  record.Member `cbor:"2,keyasint"`
}

// Call is a control request to another host. Exactly one field is set.
type Call struct {
	Ping        *Ping         `cbor:"1,keyasint,omitempty"`
	Release     *ReleaseQuery `cbor:"2,keyasint,omitempty"`
	Catchup     *Catchup      `cbor:"3,keyasint,omitempty"`
	Witness     *Witness      `cbor:"4,keyasint,omitempty"`
	IDs         *IDQuery      `cbor:"5,keyasint,omitempty"`
	Report      *Report       `cbor:"6,keyasint,omitempty"`
	HeldTargets *HeldTargets  `cbor:"7,keyasint,omitempty"`
	Promise     *Promise      `cbor:"8,keyasint,omitempty"`
}

// Reply is the reply to a Call. It sets the field of the same name.
type Reply struct {
	Ping        *Pong             `cbor:"1,keyasint,omitempty"`
	Release     *ReleaseReply     `cbor:"2,keyasint,omitempty"`
	Catchup     *CatchupReply     `cbor:"3,keyasint,omitempty"`
	Witness     *WitnessReply     `cbor:"4,keyasint,omitempty"`
	IDs         *IDReply          `cbor:"5,keyasint,omitempty"`
	Report      *ReportReply      `cbor:"6,keyasint,omitempty"`
	HeldTargets *HeldTargetsReply `cbor:"7,keyasint,omitempty"`
	Promise     *PromiseReply     `cbor:"8,keyasint,omitempty"`
}

// Ping is a heartbeat. Next is the first offset that the sender has not folded;
// a host that cannot read the log compares it with its own to detect that it is
// behind.
type Ping struct {
	Next uint64 `cbor:"1,keyasint"`
}

// Pong is the reply to a Ping, with the state of the replying host From.
type Pong struct {
	From record.Incarnation `cbor:"1,keyasint"`
	// Next is the first offset that the host has not folded. A sender of a
	// Ping that has folded all offsets below Next is not behind this host.
	Next uint64 `cbor:"2,keyasint"`
	// Leaving is set while the host is shutting down.
	Leaving bool `cbor:"3,keyasint,omitempty"`
	// Ready is set if the host is a member and has a state to serve from.
	Ready bool `cbor:"4,keyasint,omitempty"`
	// ConfigVersion is the latest configuration version applied on the host.
	ConfigVersion uint64 `cbor:"5,keyasint,omitempty"`
	// Suspects lists the members that the host suspects of being lost.
	Suspects []record.Incarnation `cbor:"6,keyasint,omitempty"`
	// Promises lists the promises that the host has made to deputies.
	Promises []Promise `cbor:"7,keyasint,omitempty"`
	// Settled is the epoch of the latest membership that is settled according
	// to the host.
	Settled uint64 `cbor:"8,keyasint,omitempty"`
	// LogStalled is set if the log has not responded to the host for longer than a
	// planner may go without a response.
	LogStalled bool `cbor:"9,keyasint,omitempty"`
}

// Promise is the request of a deputy, sent while the log is down, to no longer
// confirm any leaseholder of the target's term below Level. Next is the first
// offset that the deputy has not folded; a host that has folded more refuses.
type Promise struct {
	Target record.Target `cbor:"1,keyasint"`
	Term   uint64        `cbor:"2,keyasint"`
	Level  int           `cbor:"3,keyasint"`
	Next   uint64        `cbor:"4,keyasint,omitempty"`
}

// PromiseReply reports whether the host made the promise.
type PromiseReply struct {
	Made bool `cbor:"1,keyasint"`
}

// ReleaseQuery asks the leaseholder of a former owner which of the shards the
// target no longer holds.
type ReleaseQuery struct {
	// Target is the former owner.
	Target record.Target `cbor:"1,keyasint"`
	// Next is the first offset that the sender has not folded.
	Next   uint64     `cbor:"2,keyasint"`
	Shards []shard.ID `cbor:"3,keyasint"`
}

// ReleaseReply lists the shards that the target is guaranteed to no longer hold
// and that will not be granted to it again under the next offset of the query.
type ReleaseReply struct {
	Shards []shard.ID `cbor:"1,keyasint,omitempty"`
}

// Catchup requests the log records from the offset From onward, or a snapshot.
type Catchup struct {
	From uint64 `cbor:"1,keyasint"`
}

// CatchupReply holds consecutive records starting at the requested offset, or a
// snapshot if the replying host no longer keeps those records.
type CatchupReply struct {
	Records  []Record `cbor:"1,keyasint,omitempty"`
	Snapshot []byte   `cbor:"2,keyasint,omitempty"`
	// Digest is the digest of the state in Snapshot.
	Digest uint64 `cbor:"3,keyasint,omitempty"`
}

// Record is one encoded log record with its offset.
type Record struct {
	Offset uint64 `cbor:"1,keyasint"`
	Data   []byte `cbor:"2,keyasint"`
}

// Witness asks a host in another failure domain to remember the id of a
// request that must not be repeated. It is sent before the request goes to its
// target.
type Witness struct {
	Target record.Target `cbor:"1,keyasint"`
	// Request is the id of the request.
	Request string `cbor:"2,keyasint"`
	// Window is how long the id has to be remembered. Zero revokes an earlier
	// Witness, because the request is known not to have run.
	Window time.Duration `cbor:"3,keyasint"`
	// Hash is the hash of the request's key.
	Hash uint64 `cbor:"4,keyasint"`
	// Sender is the sending host, which remembers the id as well.
	Sender record.Incarnation `cbor:"5,keyasint"`
	// Sequence increases with each Witness of the sender. A revocation applies
	// only to messages with the same or a lower Sequence.
	Sequence uint64 `cbor:"6,keyasint,omitempty"`
}

// WitnessReply confirms that the host remembers the id. Known is set if it
// already remembered the id before.
type WitnessReply struct {
	Known bool `cbor:"1,keyasint"`
}

// IDQuery requests the request ids that a host remembers for the keys of a
// service whose hashes are between Low and High, inclusive.
type IDQuery struct {
	Service string `cbor:"1,keyasint"`
	Low     uint64 `cbor:"2,keyasint"`
	High    uint64 `cbor:"3,keyasint"`
}

// IDReply lists the remembered request ids.
type IDReply struct {
	Requests []RememberedID `cbor:"1,keyasint,omitempty"`
}

// RememberedID is the id of a request that must not be repeated.
type RememberedID struct {
	Request string `cbor:"1,keyasint"`
	// Left is the time left until the id expires.
	Left time.Duration `cbor:"2,keyasint"`
	// Hash is the hash of the request's key.
	Hash uint64 `cbor:"3,keyasint"`
}

// Report is sent to the planner by a leaseholder, with the state and load of
// its targets.
type Report struct {
	Targets []TargetReport `cbor:"1,keyasint"`
}

// HeldTargets requests the targets that a host is the leaseholder of.
type HeldTargets struct{}

// HeldTargetsReply lists the targets that a host is the leaseholder of.
type HeldTargetsReply struct {
	Targets []TargetStatus `cbor:"1,keyasint,omitempty"`
}

// TargetStatus is the status of one target as seen by its leaseholder.
type TargetStatus struct {
	Target record.Target `cbor:"1,keyasint"`
	Term   uint64        `cbor:"2,keyasint"`
	// Alive is set if the target responded within the suspicion time.
	Alive bool `cbor:"3,keyasint,omitempty"`
	// Health is the health that the target reported in its latest response.
	Health string `cbor:"4,keyasint,omitempty"`
	// Left is the minimum time left until the target's grant expires.
	Left time.Duration `cbor:"5,keyasint,omitempty"`
	// InFlight is the number of requests from the leaseholder that are running
	// at the target.
	InFlight int `cbor:"6,keyasint,omitempty"`
}

// ReportReply acknowledges a Report.
type ReportReply struct{}

// TargetReport is the state and load of one target as observed by its
// leaseholder.
type TargetReport struct {
	Target record.Target `cbor:"1,keyasint"`
	Term   uint64        `cbor:"2,keyasint"`
	// Alive is set if the target responded within the suspicion time.
	Alive bool `cbor:"3,keyasint"`
	// Lost is set if the target has not responded for the suspicion time, counted
	// from its latest response or from the takeover by its leaseholder. After the
	// takeover, Alive and Lost are both false until the first response or until the
	// suspicion time has passed.
	Lost bool `cbor:"8,keyasint,omitempty"`
	// Draining is set if the target reported that it is draining.
	Draining bool `cbor:"4,keyasint,omitempty"`
	// Cold is set if the target reported that it is still warming up.
	Cold   bool        `cbor:"5,keyasint,omitempty"`
	Shards []ShardLoad `cbor:"6,keyasint,omitempty"`
	Hot    []HotKey    `cbor:"7,keyasint,omitempty"`
}

// ShardLoad is the load that a shard causes on its target.
type ShardLoad struct {
	Shard shard.ID `cbor:"1,keyasint"`
	// Load is the average number of slots that the shard's requests occupy.
	Load float64 `cbor:"2,keyasint"`
}

// HotKey is a key that causes a large part of the load of its target.
type HotKey struct {
	Key string `cbor:"1,keyasint"`
	// Load is the average number of slots that the key's requests occupy.
	Load float64 `cbor:"2,keyasint"`
}

// Request is a caller's request that is forwarded to the leaseholder of its
// target.
type Request struct {
	ID    string   `cbor:"1,keyasint"`
	Shard shard.ID `cbor:"2,keyasint"`
	// Epoch is the epoch of the shard that the request was routed under.
	Epoch  uint64              `cbor:"3,keyasint"`
	Key    string              `cbor:"4,keyasint"`
	Method string              `cbor:"5,keyasint"`
	Path   string              `cbor:"6,keyasint"`
	Header map[string][]string `cbor:"7,keyasint,omitempty"`
	Body   []byte              `cbor:"8,keyasint,omitempty"`
	// Left is the time left until the request's deadline.
	Left time.Duration `cbor:"9,keyasint"`
	// Once is set if the request must not be run more than once.
	Once bool `cbor:"10,keyasint,omitempty"`
	// Retries is the number of earlier attempts of the request.
	Retries int `cbor:"11,keyasint,omitempty"`
}

// Head is the start of a response: the target's status and header, followed by
// the body, or an error.
type Head struct {
	Status int                 `cbor:"1,keyasint,omitempty"`
	Header map[string][]string `cbor:"2,keyasint,omitempty"`
	Error  *outcome.Error      `cbor:"3,keyasint,omitempty"`
}

// Response is the response to a Request. If Head.Error is nil, Body returns io.EOF
// only after the complete body has been read. The receiver has to close Body.
type Response struct {
	Head Head
	Body io.ReadCloser
}
