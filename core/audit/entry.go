// Package audit judges what targets wrote about grants and requests, and what
// callers recorded, against the promises that pineturn makes.
package audit

import "pineturn/core/shard"

// Kind is what an audit entry tells.
type Kind string

// The kinds of audit entries.
const (
	// Started opens an incarnation, Stopped closes it in good order.
	Started Kind = "started"
	Stopped Kind = "stopped"
	// Granted is a set or renewal accepted, GrantRefused one that was not.
	Granted        Kind = "granted"
	GrantRefused   Kind = "grant-refused"
	Released       Kind = "released"
	Expired        Kind = "lapsed"
	Began          Kind = "began"
	Ended          Kind = "ended"
	Refused        Kind = "refused"
	DrainBegan     Kind = "drain-began"
	DrainWithdrawn Kind = "drain-withdrawn"
)

// Entry is one line of a target's audit file. ClockUs is the target's own
// clock at the wall time WallNs. A Lapsed entry is written when the target
// notices it, but bears the time of the lapse.
type Entry struct {
	Kind        Kind     `json:"kind"`
	WallNs      int64    `json:"wall_ns"`
	ClockUs     int64    `json:"clock_us"`
	Service     string   `json:"service"`
	Target      string   `json:"target"`
	Incarnation string   `json:"incarnation"`
	Grant       *Grant   `json:"grant,omitempty"`
	Request     *Request `json:"request,omitempty"`
}

// Grant is the grant that an entry tells of. Shards are those of a whole set,
// or those that were released or lapsed; a renewal lists none.
type Grant struct {
	Term      uint64  `json:"term"`
	Holder    string  `json:"holder,omitempty"`
	Set       uint64  `json:"set"`
	ExpiresUs int64   `json:"expires_us"`
	Renew     bool    `json:"renew,omitempty"`
	Reason    string  `json:"reason,omitempty"`
	Shards    []Shard `json:"shards,omitempty"`
}

// Shard is one shard of a grant.
type Shard struct {
	Shard  shard.ID `json:"shard"`
	Epoch  uint64   `json:"epoch"`
	Except []string `json:"except,omitempty"`
}

// Request is the request that an entry tells of. Run numbers the requests of
// one incarnation; a Began and an Ended entry with the same Run belong
// together. StartUs and EndUs are by the target's clock.
type Request struct {
	Run       uint64 `json:"run,omitempty"`
	ID        string `json:"id"`
	Key       string `json:"key"`
	Shard     string `json:"shard"`
	Epoch     uint64 `json:"epoch"`
	Term      uint64 `json:"term"`
	StartUs   int64  `json:"start_us,omitempty"`
	EndUs     int64  `json:"end_us,omitempty"`
	Completed bool   `json:"completed,omitempty"`
	Reason    string `json:"reason,omitempty"`
}
