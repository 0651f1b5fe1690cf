package operator

import (
	"pineturn/core/record"
	"pineturn/core/shard"
)

// State is what one host knows of the whole.
type State struct {
	Host  record.Incarnation `json:"host"`
	Ready bool               `json:"ready"`
	// Reason says what the host waits for when it is not ready.
	Reason string `json:"why,omitempty"`
	// Next is the first log offset that the host has not folded.
	Next uint64 `json:"next"`
	// ConfigVersion is the version of the configuration in force on the host.
	ConfigVersion   uint64 `json:"config_version"`
	MembershipEpoch uint64 `json:"membership_epoch"`
	Members         int    `json:"members"`
	LogReachable    bool   `json:"log_reachable"`
	Services        int    `json:"services"`
	Targets         int    `json:"targets"`
	Shards          int    `json:"shards"`
	// Unowned counts the shards without an owner that can serve them.
	Unowned int `json:"unowned"`
	Moves   int `json:"moves"`
	// Unavailable names the parts that can't be reached now.
	Unavailable []string `json:"unavailable,omitempty"`
}

// Host is one host as the answering one sees it. What a host that can't be
// reached would say of itself is left out, and Error says why.
type Host struct {
	Incarnation record.Incarnation `json:"incarnation"`
	Address     string             `json:"address"`
	Domain      string             `json:"domain"`
	// Member reports that the host is in the membership, rather than only in
	// the platform's list.
	Member        bool   `json:"member"`
	Reachable     bool   `json:"reachable"`
	Error         string `json:"error,omitempty"`
	Ready         bool   `json:"ready"`
	Leaving       bool   `json:"leaving"`
	Suspected     bool   `json:"suspected"`
	Next          uint64 `json:"next,omitempty"`
	ConfigVersion uint64 `json:"config_version,omitempty"`
}

// Target is one target. Load and health are left out when they are not known,
// and Unavailable says why.
type Target struct {
	ID          record.Target       `json:"id"`
	Address     string              `json:"address"`
	Domain      string              `json:"domain"`
	Checked     bool                `json:"checked"`
	Drain       bool                `json:"drain"`
	Leaseholder *record.Incarnation `json:"holder,omitempty"`
	Term        uint64              `json:"term,omitempty"`
	// GrantLeftMs is how long the target's grant runs, in milliseconds.
	GrantLeftMs int64  `json:"grant_left_ms,omitempty"`
	Shards      int    `json:"shards"`
	InFlight    int    `json:"busy"`
	Slots       int    `json:"slots"`
	Health      string `json:"health,omitempty"`
	Unavailable string `json:"unavailable,omitempty"`
}

// Shard is one shard and its owner; Owner is empty when it has none.
type Shard struct {
	ID          shard.ID            `json:"id"`
	Owner       string              `json:"owner,omitempty"`
	Epoch       uint64              `json:"epoch"`
	Leaseholder *record.Incarnation `json:"holder,omitempty"`
	// Former are the former owners that may still hold the shard.
	Former []string `json:"unsettled,omitempty"`
	Reason string   `json:"why,omitempty"`
}

// Key is where the requests of a key go.
type Key struct {
	Service string `json:"service"`
	Key     string `json:"key"`
	Shard   Shard  `json:"shard"`
	Term    uint64 `json:"term,omitempty"`
	// Unavailable says why requests of the key can't be served now.
	Unavailable string `json:"unavailable,omitempty"`
}

// Move is a shard on its way from former owners to a new one.
type Move struct {
	Shard  shard.ID `json:"shard"`
	From   []string `json:"from"`
	To     string   `json:"to"`
	Epoch  uint64   `json:"epoch"`
	Reason string   `json:"why,omitempty"`
	// Waiting says what the move waits for.
	Waiting string `json:"waiting,omitempty"`
}

// File is a configuration file in force. Content is left out of lists.
type File struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
	Size    int    `json:"size"`
	Content []byte `json:"content,omitempty"`
}

// History is the latest accepted changes of files, the newest first.
type History struct {
	Changes []Change `json:"changes"`
	// Truncated reports that there were older changes.
	Truncated bool `json:"truncated"`
}

// Change is one accepted change of files.
type Change struct {
	// Version is the offset of the change in the log.
	Version uint64        `json:"version"`
	Author  string        `json:"author,omitempty"`
	Files   []ChangedFile `json:"files"`
}

// ChangedFile is one file of a change.
type ChangedFile struct {
	Name string `json:"name"`
	// Replaced is the version before, 0 when the file did not exist. A
	// rollback removes such a file, so that 0 must not stand for "not known".
	Replaced uint64 `json:"replaced,omitempty"`
	// Before is the content before, when Replaced is not 0.
	Before []byte `json:"before,omitempty"`
	// Content is the content after, unless Removed.
	Content []byte `json:"content,omitempty"`
	Removed bool   `json:"removed,omitempty"`
}
