// Package record defines the records that pineturn appends to the platform's
// log. One log record is one Batch, encoded as CBOR; package fold applies its
// operations in order.
package record

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"pineturn/core/shard"
)

// Version is the format version of the batches that this release writes.
const Version = 1

// MaxSize is the maximum size of an encoded batch, in bytes.
const MaxSize = 512 << 10

// Incarnation identifies one run of the daemon on a host. Run increases with
// every restart under the same Host.
type Incarnation struct {
	Host string `cbor:"1,keyasint" json:"host"`
	Run  uint64 `cbor:"2,keyasint" json:"run"`
}

// String returns host#run.
func (i Incarnation) String() string { return fmt.Sprintf("%s#%d", i.Host, i.Run) }

// ID identifies a batch, so that a batch appended twice is applied only once.
type ID struct {
	Writer Incarnation `cbor:"1,keyasint" json:"writer"`
	Seq    uint64      `cbor:"2,keyasint" json:"seq"`
}

// Target identifies a target by its service and its name in that service.
type Target struct {
	Service string `cbor:"1,keyasint" json:"service"`
	Name    string `cbor:"2,keyasint" json:"name"`
}

// String returns service/name.
func (t Target) String() string { return t.Service + "/" + t.Name }

// Less orders targets by service, then by name.
func (t Target) Less(other Target) bool {
	if t.Service != other.Service {
		return t.Service < other.Service
	}
	return t.Name < other.Name
}

// Batch is the content of one log record.
type Batch struct {
	Version int  `cbor:"1,keyasint"`
	ID      ID   `cbor:"2,keyasint"`
	Ops     []Op `cbor:"3,keyasint"`
}

// Op is one operation. Exactly one field is set. An operation with an Expect
// field takes effect only if Expect equals the current value.
type Op struct {
	Files  *Files  `cbor:"1,keyasint,omitempty"`
	Join   *Join   `cbor:"2,keyasint,omitempty"`
	Leave  *Leave  `cbor:"3,keyasint,omitempty"`
	Assign *Assign `cbor:"4,keyasint,omitempty"`
	Settle *Settle `cbor:"5,keyasint,omitempty"`
	Lead   *Lead   `cbor:"6,keyasint,omitempty"`
	Split  *Split  `cbor:"7,keyasint,omitempty"`
	Drain  *Drain  `cbor:"8,keyasint,omitempty"`
	Reset  *Reset  `cbor:"9,keyasint,omitempty"`
	Merge  *Merge  `cbor:"10,keyasint,omitempty"`
	// Checkpoint marks an offset at which every host computes a digest of its
	// state.
	Checkpoint *Checkpoint `cbor:"11,keyasint,omitempty"`
}

// Merge merges the shard of a hot key back into its range shard. Both must be
// settled on the same target. Expect is the current epoch of the hot key's
// shard.
type Merge struct {
	Shard  shard.ID `cbor:"1,keyasint"`
	Expect uint64   `cbor:"2,keyasint"`
}

// Checkpoint announces a snapshot of the state after the checkpoint's own
// offset.
type Checkpoint struct {
	// BeforeNext is the next offset of its writer at the previous checkpoint.
	BeforeNext uint64 `cbor:"1,keyasint,omitempty"`
	// BeforeDigest is the state digest of its writer at that checkpoint. A host whose
	// digest at the same next offset differs has diverged.
	BeforeDigest uint64 `cbor:"2,keyasint,omitempty"`
}

// Files changes configuration files atomically.
type Files struct {
	Author  string       `cbor:"1,keyasint,omitempty"`
	Changes []FileChange `cbor:"2,keyasint"`
}

// FileChange writes or removes one file. Expect is the version that the change
// replaces, or 0 if the file must not exist yet.
type FileChange struct {
	Name    string `cbor:"1,keyasint" json:"name"`
	Expect  uint64 `cbor:"2,keyasint" json:"expect"`
	Content []byte `cbor:"3,keyasint,omitempty" json:"content,omitempty"`
	Remove  bool   `cbor:"4,keyasint,omitempty" json:"remove,omitempty"`
}

// Join adds an incarnation of a host to the membership. Expect is the current
// membership epoch.
type Join struct {
	Member Member `cbor:"1,keyasint"`
	Expect uint64 `cbor:"2,keyasint"`
}

// Member is one incarnation of a host with its peer address and failure
// domain, as listed in the membership.
type Member struct {
	Incarnation Incarnation `cbor:"1,keyasint" json:"incarnation"`
	Address     string      `cbor:"2,keyasint" json:"address"`
	Domain      string      `cbor:"3,keyasint" json:"domain"`
}

// Leave removes an incarnation from the membership. Expect is the current
// membership epoch.
type Leave struct {
	Incarnation Incarnation `cbor:"1,keyasint"`
	Expect      uint64      `cbor:"2,keyasint"`
}

// Reset replaces the whole membership by the writer of the record alone. It is
// only issued on request of an operator, who has to ensure that none of the
// former members is still running. Expect is the current membership epoch.
type Reset struct {
	Member Member `cbor:"1,keyasint"`
	Expect uint64 `cbor:"2,keyasint"`
}

// Assign makes a target the owner of a shard. Expect is the current epoch of
// the shard. Why is the reason that is shown to operators.
type Assign struct {
	Shard  shard.ID `cbor:"1,keyasint"`
	Target string   `cbor:"2,keyasint"`
	Expect uint64   `cbor:"3,keyasint"`
	Why    string   `cbor:"4,keyasint,omitempty"`
}

// Settle records that, for the given epoch of a shard, every former owner has
// released the shard or its grant has expired.
type Settle struct {
	Shard shard.ID `cbor:"1,keyasint"`
	Epoch uint64   `cbor:"2,keyasint"`
}

// Lead makes a host the leaseholder of a target. Expect is the current term of
// the target. While the log is down, Deputies may take over in the listed
// order, each with the promise of a majority of the members.
type Lead struct {
	Target      Target        `cbor:"1,keyasint"`
	Leaseholder Incarnation   `cbor:"2,keyasint"`
	Expect      uint64        `cbor:"3,keyasint"`
	Deputies    []Incarnation `cbor:"4,keyasint,omitempty"`
}

// levelsPerTerm is the maximum number of leaseholders of a term: the one named
// by the log and its deputies.
const levelsPerTerm = 256

// Token returns the fencing token of a leaseholder. The leaseholder that the
// log names for a term has level 0, its deputies have level 1 and up.
func Token(term uint64, level int) uint64 { return term*levelsPerTerm + uint64(level) }

// Level returns the level of a fencing token.
func Level(token uint64) int { return int(token % levelsPerTerm) }

// Split creates a separate shard for a hot key, with the same owner as its
// range shard. Expect is the current epoch of the range shard.
type Split struct {
	Shard  shard.ID `cbor:"1,keyasint"`
	Expect uint64   `cbor:"2,keyasint"`
}

// Drain starts draining a target, or cancels the drain when On is false.
type Drain struct {
	Target Target `cbor:"1,keyasint"`
	On     bool   `cbor:"2,keyasint"`
}

// Encode returns the CBOR encoding of a batch. It returns an error if the
// encoding is larger than MaxSize.
func Encode(batch Batch) ([]byte, error) {
	data, err := cbor.Marshal(batch)
	if err != nil {
		return nil, fmt.Errorf("encode batch: %w", err)
	}
	if len(data) > MaxSize {
		return nil, fmt.Errorf("encode batch: size %d bytes exceeds the limit of %d bytes", len(data), MaxSize)
	}
	return data, nil
}

// Decode decodes a batch. It returns an error for format versions newer than
// Version.
func Decode(data []byte) (Batch, error) {
	var batch Batch
	if err := cbor.Unmarshal(data, &batch); err != nil {
		return Batch{}, fmt.Errorf("decode batch: %w", err)
	}
	if batch.Version < 1 || batch.Version > Version {
		return Batch{}, fmt.Errorf("decode batch: unsupported version %d, want 1 to %d", batch.Version, Version)
	}
	return batch, nil
}
