package operator

import (
	"pineturn/core/record"
	"pineturn/core/shard"
)

// State is the state of the deployment as one host sees it.
type State struct {
	Host  record.Incarnation `json:"host"`
	Ready bool               `json:"ready"`
	// Reason is the condition that the host waits for while it is not ready.
	Reason string `json:"why,omitempty"`
	// Next is the first log offset that the host has not applied.
	Next uint64 `json:"next"`
	// ConfigVersion is the version of the configuration in force on the host.
	ConfigVersion   uint64 `json:"config_version"`
	MembershipEpoch uint64 `json:"membership_epoch"`
	Members         int    `json:"members"`
	LogReachable    bool   `json:"log_reachable"`
	Services        int    `json:"services"`
	Targets         int    `json:"targets"`
	Shards          int    `json:"shards"`
	// Unowned is the number of shards without an owner that can serve them.
	Unowned int `json:"unowned"`
	Moves   int `json:"moves"`
	// Unavailable lists the parts of the deployment that can't be reached now.
	Unavailable []string `json:"unavailable,omitempty"`
}

// Host is one host as the responding host sees it. If the host can't be reached,
// the fields that it would report itself are omitted and Error is the reason.
type Host struct {
	Incarnation record.Incarnation `json:"incarnation"`
	Address     string             `json:"address"`
	Domain      string             `json:"domain"`
	// Member reports that the host is in the membership, and not only in the
	// platform's host list.
	Member        bool   `json:"member"`
	Reachable     bool   `json:"reachable"`
	Error         string `json:"error,omitempty"`
	Ready         bool   `json:"ready"`
	Leaving       bool   `json:"leaving"`
	Suspected     bool   `json:"suspected"`
	Next          uint64 `json:"next,omitempty"`
	ConfigVersion uint64 `json:"config_version,omitempty"`
}

// Target is one target. If its load and health are unknown, they are omitted and
// Unavailable is the reason.
type Target struct {
	ID          record.Target       `json:"id"`
	Address     string              `json:"address"`
	Domain      string              `json:"domain"`
	Checked     bool                `json:"checked"`
	Drain       bool                `json:"drain"`
	Leaseholder *record.Incarnation `json:"holder,omitempty"`
	Term        uint64              `json:"term,omitempty"`
	// GrantLeftMs is the remaining validity of the target's grant, in
	// milliseconds.
	GrantLeftMs int64  `json:"grant_left_ms,omitempty"`
	Shards      int    `json:"shards"`
	InFlight    int    `json:"busy"`
	Slots       int    `json:"slots"`
	Health      string `json:"health,omitempty"`
	Unavailable string `json:"unavailable,omitempty"`
}

// Shard is one shard and its owner. Owner is empty if the shard has none.
type Shard struct {
	ID          shard.ID            `json:"id"`
	Owner       string              `json:"owner,omitempty"`
	Epoch       uint64              `json:"epoch"`
	Leaseholder *record.Incarnation `json:"holder,omitempty"`
	// Former lists the former owners that may still hold the shard.
	Former []string `json:"unsettled,omitempty"`
	Reason string   `json:"why,omitempty"`
}

// Key is the shard of a key and the owner that its requests are sent to.
type Key struct {
	Service string `json:"service"`
	Key     string `json:"key"`
	Shard   Shard  `json:"shard"`
	Term    uint64 `json:"term,omitempty"`
	// Unavailable is the reason why requests for the key can't be served now.
	Unavailable string `json:"unavailable,omitempty"`
}

// Move is a shard that moves from its former owners to a new owner.
type Move struct {
	Shard  shard.ID `json:"shard"`
	From   []string `json:"from"`
	To     string   `json:"to"`
	Epoch  uint64   `json:"epoch"`
	Reason string   `json:"why,omitempty"`
	// Waiting is the condition that the move waits for.
	Waiting string `json:"waiting,omitempty"`
}

// File is a configuration file in force. Content is omitted unless it is queried.
type File struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
	Size    int    `json:"size"`
	Content []byte `json:"content,omitempty"`
}

// History lists the latest accepted changes of files, newest first.
type History struct {
	Changes []Change `json:"changes"`
	// Truncated reports that there are older changes that the list omits.
	Truncated bool `json:"truncated"`
}

// Change is one accepted change of files.
type Change struct {
	// Version is the log offset after the change's record: the offset of the
	// record plus 1.
	Version uint64        `json:"version"`
	Author  string        `json:"author,omitempty"`
	Files   []ChangedFile `json:"files"`
}

// ChangedFile is one file of a change.
type ChangedFile struct {
	Name string `json:"name"`
	// Replaced is the version that the change replaced, 0 if the file did not exist.
	// A rollback removes a file whose Replaced is 0, so 0 must not mean "unknown".
	Replaced uint64 `json:"replaced,omitempty"`
	// Before is the content before the change if Replaced is not 0.
	Before []byte `json:"before,omitempty"`
	// Content is the content after the change unless Removed is set.
	Content []byte `json:"content,omitempty"`
	Removed bool   `json:"removed,omitempty"`
}
