// Package message defines what hosts say to each other. Every message is
// CBOR; package io/peer carries them over WebSocket connections.
package message

import (
	"io"
	"time"

	"pineturn/core/outcome"
	"pineturn/core/record"
	"pineturn/core/shard"
)

// Version is the version of the protocol between hosts.
const Version = 1

// Hello opens a connection in both directions.
type Hello struct {
	Version int           `cbor:"1,keyasint"`
	Member  record.Member `cbor:"2,keyasint"`
}

// Call is a control question to another host: exactly one field is set.
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

// Reply answers a Call, in the field of the same name.
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

// Ping is a heartbeat. Next is the first offset that the sender has not
// folded, so that a host which can't read the log learns that it is behind.
type Ping struct {
	Next uint64 `cbor:"1,keyasint"`
}

// Pong answers a Ping. Next is the first offset that the answering host has
// not folded: an asking host that has folded up to it knows nothing older.
// Suspects are the members that the answering host suspects to be lost.
type Pong struct {
	From    record.Incarnation `cbor:"1,keyasint"`
	Next    uint64             `cbor:"2,keyasint"`
	Leaving bool               `cbor:"3,keyasint,omitempty"`
	Ready   bool               `cbor:"4,keyasint,omitempty"`
	// ConfigVersion is the newest configuration version in force here.
	ConfigVersion uint64               `cbor:"5,keyasint,omitempty"`
	Suspects      []record.Incarnation `cbor:"6,keyasint,omitempty"`
	// Promises are those that the answering host has made.
	Promises []Promise `cbor:"7,keyasint,omitempty"`
	// Settled is the epoch of the latest membership that the answering host
	// knows to be settled.
	Settled uint64 `cbor:"8,keyasint,omitempty"`
	// LogDown reports that the answering host can't read the log.
	LogDown bool `cbor:"9,keyasint,omitempty"`
}

// Promise asks a host to confirm no leaseholder of a target below a level of
// its term any more. A deputy asks so while the log is down. Next is the first
// offset that the deputy has not folded: a host that knows more refuses.
type Promise struct {
	Target record.Target `cbor:"1,keyasint"`
	Term   uint64        `cbor:"2,keyasint"`
	Level  int           `cbor:"3,keyasint"`
	Next   uint64        `cbor:"4,keyasint,omitempty"`
}

// PromiseReply says whether the promise was made.
type PromiseReply struct {
	Made bool `cbor:"1,keyasint"`
}

// ReleaseQuery asks the leaseholder of a former owner whether shards have left it.
type ReleaseQuery struct {
	Target record.Target `cbor:"1,keyasint"`
	Next   uint64        `cbor:"2,keyasint"`
	Shards []shard.ID    `cbor:"3,keyasint"`
}

// ReleaseReply lists the shards that the target certainly no longer holds and
// will not be granted again under the asked log position.
type ReleaseReply struct {
	Shards []shard.ID `cbor:"1,keyasint,omitempty"`
}

// Catchup asks for log records from an offset on, or a whole state.
type Catchup struct {
	From uint64 `cbor:"1,keyasint"`
}

// CatchupReply holds consecutive records from the asked offset on, or, when
// the answering host no longer keeps them, a snapshot.
type CatchupReply struct {
	Records  []Record `cbor:"1,keyasint,omitempty"`
	Snapshot []byte   `cbor:"2,keyasint,omitempty"`
	// Digest is the snapshot's.
	Digest uint64 `cbor:"3,keyasint,omitempty"`
}

// Record is one log record with its offset.
type Record struct {
	Offset uint64 `cbor:"1,keyasint"`
	Data   []byte `cbor:"2,keyasint"`
}

// Witness asks a host in another failure domain to remember the id of a
// request that must not be repeated, before it is sent to its target. A
// Window of zero takes that back, as the request was certainly not run.
type Witness struct {
	Target  record.Target `cbor:"1,keyasint"`
	Request string        `cbor:"2,keyasint"`
	Window  time.Duration `cbor:"3,keyasint"`
	// Hash is the hash of the request's key.
	Hash uint64 `cbor:"4,keyasint"`
	// Sender is the host that remembers the id too.
	Sender record.Incarnation `cbor:"5,keyasint"`
	// Sequence counts what the asker asks: only asks up to it are taken back.
	Sequence uint64 `cbor:"6,keyasint,omitempty"`
}

// WitnessReply says whether the id is now remembered; Known when it was before.
type WitnessReply struct {
	Known bool `cbor:"1,keyasint"`
}

// IDQuery asks for the ids that a host remembers for the keys of a service
// whose hashes lie from Low to High, both included.
type IDQuery struct {
	Service string `cbor:"1,keyasint"`
	Low     uint64 `cbor:"2,keyasint"`
	High    uint64 `cbor:"3,keyasint"`
}

// IDReply lists remembered ids with the time left until they are forgotten.
type IDReply struct {
	Requests []RememberedID `cbor:"1,keyasint,omitempty"`
}

// RememberedID is the id of a request that must not be repeated.
type RememberedID struct {
	Request string        `cbor:"1,keyasint"`
	Left    time.Duration `cbor:"2,keyasint"`
	Hash    uint64        `cbor:"3,keyasint"`
}

// Report tells the planner what a leaseholder observes of its targets.
type Report struct {
	Targets []TargetReport `cbor:"1,keyasint"`
}

// HeldTargets asks which targets a host is the leaseholder of.
type HeldTargets struct{}

// HeldTargetsReply lists the targets that a host is the leaseholder of.
type HeldTargetsReply struct {
	Targets []TargetStatus `cbor:"1,keyasint,omitempty"`
}

// TargetStatus is what a leaseholder knows of one target.
type TargetStatus struct {
	Target record.Target `cbor:"1,keyasint"`
	Term   uint64        `cbor:"2,keyasint"`
	Alive  bool          `cbor:"3,keyasint,omitempty"`
	Health string        `cbor:"4,keyasint,omitempty"`
	// Left is how long the target's grant runs at least.
	Left time.Duration `cbor:"5,keyasint,omitempty"`
	// InFlight is how many requests the leaseholder has at the target.
	InFlight int `cbor:"6,keyasint,omitempty"`
}

// ReportReply acknowledges a Report.
type ReportReply struct{}

// TargetReport is what a leaseholder observes of one target.
type TargetReport struct {
	Target record.Target `cbor:"1,keyasint"`
	Term   uint64        `cbor:"2,keyasint"`
	// Alive reports that the target answered its latest orders in time.
	Alive bool `cbor:"3,keyasint"`
	// Lost reports that the target has been silent for the suspicion time.
	Lost bool `cbor:"8,keyasint,omitempty"`
	// Draining reports that the target said it is leaving.
	Draining bool `cbor:"4,keyasint,omitempty"`
	// Cold reports that the target said it is still warming up.
	Cold   bool        `cbor:"5,keyasint,omitempty"`
	Shards []ShardLoad `cbor:"6,keyasint,omitempty"`
	Hot    []HotKey    `cbor:"7,keyasint,omitempty"`
}

// ShardLoad is the load that a shard puts on its target.
type ShardLoad struct {
	Shard shard.ID `cbor:"1,keyasint"`
	// Load is the share of one slot that the shard's requests take up.
	Load float64 `cbor:"2,keyasint"`
}

// HotKey is a key that takes up a large part of its target.
type HotKey struct {
	Key string `cbor:"1,keyasint"`
	// Load is the share of one slot that the key's requests take up.
	Load float64 `cbor:"2,keyasint"`
}

// Request is a caller's request on its way to the leaseholder of its target.
type Request struct {
	ID      string              `cbor:"1,keyasint"`
	Shard   shard.ID            `cbor:"2,keyasint"`
	Epoch   uint64              `cbor:"3,keyasint"`
	Key     string              `cbor:"4,keyasint"`
	Method  string              `cbor:"5,keyasint"`
	Path    string              `cbor:"6,keyasint"`
	Header  map[string][]string `cbor:"7,keyasint,omitempty"`
	Body    []byte              `cbor:"8,keyasint,omitempty"`
	Left    time.Duration       `cbor:"9,keyasint"`
	Once    bool                `cbor:"10,keyasint,omitempty"`
	Retries int                 `cbor:"11,keyasint,omitempty"`
}

// Head opens an answer: either the target's status and header, whose body
// follows, or an error.
type Head struct {
	Status int                 `cbor:"1,keyasint,omitempty"`
	Header map[string][]string `cbor:"2,keyasint,omitempty"`
	Error  *outcome.Error      `cbor:"3,keyasint,omitempty"`
}

// Answer is a whole answer: its head and, when Error is nil, a body that
// ends in io.EOF only if it is complete. The receiver closes Body.
type Answer struct {
	Head Head
	Body io.ReadCloser
}
