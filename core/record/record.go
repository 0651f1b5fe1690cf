// Package record defines what pineturn writes to the platform's log. One log
// record is one Batch; its operations are folded in order by package fold.
package record

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"pineturn/core/shard"
)

// Version is the format of the batches that this release writes.
const Version = 1

// MaxSize is the largest encoded batch, in bytes.
const MaxSize = 512 << 10

// Incarnation names one run of a host's process. A restarted host has a
// higher Run under the same Host.
type Incarnation struct {
	Host string `cbor:"1,keyasint" json:"host"`
	Run  uint64 `cbor:"2,keyasint" json:"run"`
}

// String returns host#run.
func (i Incarnation) String() string { return fmt.Sprintf("%s#%d", i.Host, i.Run) }

// ID identifies a batch, so that one sent twice takes effect once.
type ID struct {
	Writer Incarnation `cbor:"1,keyasint" json:"writer"`
	Seq    uint64      `cbor:"2,keyasint" json:"seq"`
}

// Target names a target within its service.
type Target struct {
	Service string `cbor:"1,keyasint" json:"service"`
	Name    string `cbor:"2,keyasint" json:"name"`
}

// String returns service/name.
func (t Target) String() string { return t.Service + "/" + t.Name }

// Less orders targets by service and name.
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

// Op is one operation: exactly one field is set.
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
	// Checkpoint marks an offset at which every host digests its state.
	Checkpoint *Checkpoint `cbor:"11,keyasint,omitempty"`
}

// Merge returns a hot key's shard to its range shard; both must be settled
// on the same target. Expect is the epoch of the hot key's shard.
type Merge struct {
	Shard  shard.ID `cbor:"1,keyasint"`
	Expect uint64   `cbor:"2,keyasint"`
}

// Checkpoint announces a snapshot of the state after its own offset. It
// repeats the digest that its writer had at the checkpoint before, so that
// every host can tell whether its own fold differs.
type Checkpoint struct {
	BeforeNext   uint64 `cbor:"1,keyasint,omitempty"`
	BeforeDigest uint64 `cbor:"2,keyasint,omitempty"`
}

// Files changes configuration files, all or none of them.
type Files struct {
	Author  string       `cbor:"1,keyasint,omitempty"`
	Changes []FileChange `cbor:"2,keyasint"`
}

// FileChange puts or removes one file. Expect is the version that it
// replaces, 0 for a file that must not exist yet.
type FileChange struct {
	Name    string `cbor:"1,keyasint" json:"name"`
	Expect  uint64 `cbor:"2,keyasint" json:"expect"`
	Content []byte `cbor:"3,keyasint,omitempty" json:"content,omitempty"`
	Remove  bool   `cbor:"4,keyasint,omitempty" json:"remove,omitempty"`
}

// Join adds a host's incarnation to the membership. Expect is the membership
// epoch that it replaces.
type Join struct {
	Member Member `cbor:"1,keyasint"`
	Expect uint64 `cbor:"2,keyasint"`
}

// Member is one incarnation of a host, as the membership lists it.
type Member struct {
	Incarnation Incarnation `cbor:"1,keyasint" json:"incarnation"`
	Address     string      `cbor:"2,keyasint" json:"address"`
	Domain      string      `cbor:"3,keyasint" json:"domain"`
}

// Leave removes an incarnation from the membership.
type Leave struct {
	Incarnation Incarnation `cbor:"1,keyasint"`
	Expect      uint64      `cbor:"2,keyasint"`
}

// Reset replaces the whole membership by its writer alone. Only an operator
// asks for it, who vouches that the former members run no more.
type Reset struct {
	Member Member `cbor:"1,keyasint"`
	Expect uint64 `cbor:"2,keyasint"`
}

// Assign gives a shard to a target. Expect is the shard epoch it replaces.
type Assign struct {
	Shard  shard.ID `cbor:"1,keyasint"`
	Target string   `cbor:"2,keyasint"`
	Expect uint64   `cbor:"3,keyasint"`
	Why    string   `cbor:"4,keyasint,omitempty"`
}

// Settle records that every former owner of a shard has released it or
// lapsed, as of the shard's Epoch.
type Settle struct {
	Shard shard.ID `cbor:"1,keyasint"`
	Epoch uint64   `cbor:"2,keyasint"`
}

// Lead makes a host the leaseholder of a target. Expect is the term that it
// replaces. Deputies may take over in their order, by the word of a majority
// of the members, while the log is down.
type Lead struct {
	Target   Target        `cbor:"1,keyasint"`
	Holder   Incarnation   `cbor:"2,keyasint"`
	Expect   uint64        `cbor:"3,keyasint"`
	Deputies []Incarnation `cbor:"4,keyasint,omitempty"`
}

// maxLevels is how many leaseholders a term can have, its deputies included.
const maxLevels = 256

// Token is the fencing token of a leaseholder: of the one that the log names
// for a term at level 0, of its deputies from level 1 on.
func Token(term uint64, level int) uint64 { return term*maxLevels + uint64(level) }

// Level is the level of a fencing token.
func Level(token uint64) int { return int(token % maxLevels) }

// Split makes a hot key a shard of its own, on the same target. Expect is
// the epoch of its range shard.
type Split struct {
	Shard  shard.ID `cbor:"1,keyasint"`
	Expect uint64   `cbor:"2,keyasint"`
}

// Drain marks a target as leaving, or takes the mark back.
type Drain struct {
	Target Target `cbor:"1,keyasint"`
	On     bool   `cbor:"2,keyasint"`
}

// Encode returns the CBOR form of a batch.
func Encode(batch Batch) ([]byte, error) {
	data, err := cbor.Marshal(batch)
	if err != nil {
		return nil, fmt.Errorf("encode batch: %w", err)
	}
	if len(data) > MaxSize {
		return nil, fmt.Errorf("encode batch: %d bytes, at most %d", len(data), MaxSize)
	}
	return data, nil
}

// Decode reads a batch. It refuses formats newer than Version.
func Decode(data []byte) (Batch, error) {
	var batch Batch
	if err := cbor.Unmarshal(data, &batch); err != nil {
		return Batch{}, fmt.Errorf("decode batch: %w", err)
	}
	if batch.Version < 1 || batch.Version > Version {
		return Batch{}, fmt.Errorf("decode batch: version %d, want 1 to %d", batch.Version, Version)
	}
	return batch, nil
}
