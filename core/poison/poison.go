// Package poison finds requests that end the targets that run them, and decides which requests
// are refused for that. Each host observes lost responses and ended targets; the leader puts
// together what all hosts have observed. It does no I/O.
package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"slices"
	"time"
)

const (
	// endsToBlock is the number of targets, one after the other, that must have ended under a
	// request until it is refused.
	endsToBlock = 3
	// isolationDelay is the time without a leader after which a host records what it has found
	// itself.
	isolationDelay = 3 * time.Second
	// suspectRetention is how long the end of a target under a request is remembered.
	suspectRetention = 10 * time.Minute
	// blockRetention is how long a request is refused after the last sign of it.
	blockRetention = time.Hour
	// compareInterval is the time after which what a host knows is compared with the record
	// although nothing has happened: it may have expired.
	compareInterval = time.Second
	// maxSuspects and maxBlocks bound the requests that are remembered.
	maxSuspects = 4096
	maxBlocks   = 128
	// maxSingles bounds the requests in the record under which one target has ended: each end
	// of a target leaves some, most of them by chance.
	maxSingles = 32
	// maxNamed bounds the targets and versions that a block names.
	maxNamed = 8
)

// fingerprintBytes is the length of a fingerprint.
const fingerprintBytes = 16

// Fingerprint identifies requests that are the same but for their ids and deadlines.
type Fingerprint [fingerprintBytes]byte

// NewFingerprint returns the fingerprint of the parts of a request.
func NewFingerprint(parts ...[]byte) Fingerprint {
	hash := sha256.New()
	var size [8]byte
	for _, part := range parts {
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		_, _ = hash.Write(size[:])
		_, _ = hash.Write(part)
	}
	return Fingerprint(hash.Sum(nil)[:fingerprintBytes])
}

// String returns the fingerprint in hex, as written to logs.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// MarshalText returns what String does.
func (f Fingerprint) MarshalText() ([]byte, error) { return []byte(f.String()), nil }

// Target is an incarnation of a target and the version of its software.
type Target struct {
	ID      string `cbor:"1,keyasint" json:"target"`
	Born    int64  `cbor:"2,keyasint,omitempty" json:"born,omitempty"`
	Version string `cbor:"3,keyasint,omitempty" json:"version"`
}

// Event is what a host has observed of a request: a target has ended under it, or has responded
// to it.
type Event struct {
	Fingerprint Fingerprint `cbor:"1,keyasint"`
	// Responded reports that a target has responded. Of the target only the version is then
	// known.
	Responded bool   `cbor:"2,keyasint,omitempty"`
	Target    Target `cbor:"3,keyasint"`
	// Request is the id of the request under which the target has ended.
	Request string `cbor:"4,keyasint,omitempty"`
	// SentAge is the time since the request was sent to the target, EndAge that since the target
	// has responded or was found to have ended.
	SentAge time.Duration `cbor:"5,keyasint,omitempty"`
	EndAge  time.Duration `cbor:"6,keyasint,omitempty"`
}

// Block is a request that is refused, or under suspicion.
type Block struct {
	Fingerprint Fingerprint `cbor:"1,keyasint" json:"fingerprint"`
	// Versions are the versions of the targets that have ended under the request, sorted.
	// Targets of other versions may run it.
	Versions []string `cbor:"2,keyasint" json:"versions"`
	// Targets are the first targets that have ended, and Requests the ids of the requests under
	// which they have.
	Targets  []Target `cbor:"3,keyasint" json:"targets"`
	Requests []string `cbor:"4,keyasint" json:"requests"`
	// Suspect reports that the request is not refused yet: too few targets have ended.
	Suspect bool `cbor:"5,keyasint,omitempty" json:"-"`
}

// Covers reports whether targets of a version must not run the request. A request that has ended
// targets of maxNamed versions runs at none.
func (b *Block) Covers(version string) bool {
	return len(b.Versions) >= maxNamed || slices.Contains(b.Versions, version)
}

// add adds the end of a target to a block.
func (b *Block) add(target Target, request string) {
	if !b.Covers(target.Version) {
		b.Versions = append(slices.Clone(b.Versions), target.Version)
		slices.Sort(b.Versions)
	}
	if len(b.Targets) < maxNamed {
		b.Targets = append(slices.Clone(b.Targets), target)
		b.Requests = append(slices.Clone(b.Requests), request)
	}
}
