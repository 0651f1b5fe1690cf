// Package audit verifies the guarantees of pineturn after a run. It checks the
// grants and requests that targets logged and the outcomes that callers
// recorded.
package audit

import "pineturn/core/shard"

// Kind is the kind of event that an audit entry records.
type Kind string

// The kinds of audit entries.
const (
	// Started begins an incarnation.
	Started Kind = "started"
	// Stopped ends an incarnation after an orderly shutdown.
	Stopped Kind = "stopped"
	// Granted is an accepted set of shards or renewal.
	Granted Kind = "granted"
	// GrantRefused is a rejected set of shards or renewal.
	GrantRefused   Kind = "grant-refused"
	Released       Kind = "released"
	Expired        Kind = "lapsed"
	Began          Kind = "began"
	Ended          Kind = "ended"
	Refused        Kind = "refused"
	DrainBegan     Kind = "drain-began"
	DrainWithdrawn Kind = "drain-withdrawn"
)

// Entry is one line of a target's audit file. An Expired entry is written when
// the target detects the expiry, but has the time of the expiry.
type Entry struct {
	Kind Kind `json:"kind"`
	// WallNs is the wall time in nanoseconds since the Unix epoch.
	WallNs int64 `json:"wall_ns"`
	// ClockUs is the reading of the target's own clock at that time, in
	// microseconds.
	ClockUs     int64    `json:"clock_us"`
	Service     string   `json:"service"`
	Target      string   `json:"target"`
	Incarnation string   `json:"incarnation"`
	Grant       *Grant   `json:"grant,omitempty"`
	Request     *Request `json:"request,omitempty"`
}

// Grant is the grant that an entry concerns.
type Grant struct {
	Term        uint64 `json:"term"`
	Leaseholder string `json:"holder,omitempty"`
	SetVersion  uint64 `json:"set"`
	// ExpiresUs is the end of the grant as a reading of the target's clock, in
	// microseconds.
	ExpiresUs int64  `json:"expires_us"`
	Renew     bool   `json:"renew,omitempty"`
	Reason    string `json:"reason,omitempty"`
	// Shards lists the complete set of a grant, or the shards that were released or
	// expired. It is empty for a renewal.
	Shards []Shard `json:"shards,omitempty"`
}

// Shard is one shard of a grant.
type Shard struct {
	Shard shard.ID `json:"shard"`
	Epoch uint64   `json:"epoch"`
	// Except lists the hot keys that are not part of a range shard.
	Except []string `json:"except,omitempty"`
}

// Request is the request that an entry concerns.
type Request struct {
	// Run numbers the runs of an incarnation. The Began and the Ended entry of a run
	// have the same Run.
	Run   uint64 `json:"run,omitempty"`
	ID    string `json:"id"`
	Key   string `json:"key"`
	Shard string `json:"shard"`
	Epoch uint64 `json:"epoch"`
	Term  uint64 `json:"term"`
	// StartUs is the start of the run as a reading of the target's clock, in
	// microseconds.
	StartUs int64 `json:"start_us,omitempty"`
	// EndUs is the end of the run, in the same unit.
	EndUs     int64  `json:"end_us,omitempty"`
	Completed bool   `json:"completed,omitempty"`
	Reason    string `json:"reason,omitempty"`
}
