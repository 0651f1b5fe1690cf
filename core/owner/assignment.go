// Package owner assigns keys to targets so that no two targets can hold a key
// at the same time. One host at a time is the leader: it writes each change of
// owner to the platform's store before acting on it, and it sends the grants. A
// former leader may still send grants for a limited time (see below). A lease is
// the right of a target to run requests for a range of keys. It lasts for
// Order.LeaseDuration after the arrival of the grant that starts or renews it, or
// until the target has released the keys.
//
// A proof of leadership shows that no other host had become the leader before a
// certain time. It is a read that found no unread record in the store's topic of
// assignments while the latest assignment names this host as the leader, or the
// acknowledged write that made this host the leader. Its time is when the read or
// the write was sent.
//
// The guarantee of a single owner rests on three rules:
//
//   - A change of owner is recorded together with the former owner before the
//     new owner is granted anything. The write is conditional: it replaces only
//     the record that the change was based on.
//   - The new owner is granted a key only after each former owner has released
//     it, is proved to have ended, or has received no grant for longer than a
//     lease lasts (leader.go). A target may apply a grant without a response late,
//     after it has answered a release, unless it has accepted one with a higher
//     fencing token. So a release counts only if no earlier grant to the target is
//     unaccounted for: each had an outcome, is refused, or has expired (accounted.go).
//   - A host that is no longer the leader stops sending grants
//     MaxProofAgeForRenewal after its last proof of leadership. The next leader
//     waits that long before it treats a lease as expired, unless the target has
//     accepted a grant of the new leader, whose fencing token is higher
//     (predecessorLeasesUntil in leader.go). The wait ends early once all
//     earlier leaders that the record names are known to send no more grants and
//     to have accounted for theirs (Leader.PredecessorEnded), or all but those that
//     they name (Leader.PredecessorStopped). One whose process was
//     killed has not (Leader.PredecessorKilled): the targets that have accepted no
//     grant of the new leader since wait until its last grants have expired.
//
// A store that comes back from an older copy has lost records. Its era is then higher.
// Proofs of leadership and records of an earlier era count for nothing in the new one;
// era.go has what a leader of a new era does about leaders that no record names.
package owner

import (
	"fmt"
	"maps"
	"slices"
	"sync"

	"github.com/fxamacker/cbor/v2"
)

// Keys is the number of keys of a service. Keys are numbered from 0 to Keys-1.
const Keys = 1 << 16

// Incarnation is one run of a target.
type Incarnation struct {
	_      struct{} `cbor:",toarray"`
	Target string
	// Born is the time at which the run started, in Unix milliseconds.
	Born int64
}

// Range is an inclusive range of keys with its owner.
type Range struct {
	First uint16
	Last  uint16
	Owner Incarnation
	// Former lists the former owners that may still hold the keys. While there
	// are any, the owner is granted nothing.
	Former []Incarnation
}

// Assignment is the stored record of the owners of all keys and of the leader.
type Assignment struct {
	// Epoch is the number of changes of leader so far.
	Epoch int64
	// Era is the era of the store in which the record was written, 0 if the store states
	// none.
	Era int64
	// Leader is the name of the leading host.
	Leader string
	// LeaderIncarnation is the incarnation of that host's process.
	LeaderIncarnation string
	// Address is the address at which other hosts reach the leading host.
	Address string
	// Earlier lists the leaders before this one that may still send grants, the
	// latest first.
	Earlier []LeaderProcess
	// Services lists the ranges of each service in key order.
	Services map[string][]Range
	// Incomplete reports that the store may have lost later records than those that this
	// one rests on: leaders, owners and former owners may be missing.
	Incomplete bool
}

// LeaderProcess is a host's process that is or was the leader.
type LeaderProcess struct {
	_           struct{} `cbor:",toarray"`
	Incarnation string
	// Address is the address at which other hosts reach the process.
	Address string
}

const (
	// epochsPerEra is the number of changes of leader that one era of the store has room
	// for.
	epochsPerEra = 1 << 20
	// firstEra is the era of a store that has lost nothing yet.
	firstEra = 1
)

// firstEpoch returns the lowest epoch of an era. Epochs, and so fencing tokens, are above
// all those of earlier eras, also of records that are lost.
func firstEpoch(era int64) int64 { return era*epochsPerEra + 1 }

// NextLeader returns the record that makes a process of the named host the leader
// in place of the present one, in an era of the store.
func (a *Assignment) NextLeader(name string, process LeaderProcess, era int64) *Assignment {
	next := *a
	next.Epoch = max(a.Epoch+1, firstEpoch(era))
	next.Era = max(a.Era, era)
	next.Incomplete = a.Incomplete || era > a.Era && (a.Epoch > 0 || era > firstEra)
	next.Leader, next.LeaderIncarnation, next.Address = name, process.Incarnation, process.Address
	next.Earlier = nil
	for _, earlier := range append([]LeaderProcess{{Incarnation: a.LeaderIncarnation, Address: a.Address}}, a.Earlier...) {
		if earlier.Incarnation != "" && earlier.Incarnation != process.Incarnation && !slices.Contains(next.Earlier, earlier) {
			next.Earlier = append(next.Earlier, earlier)
		}
	}
	return &next
}

// AfterUnreadable returns the record for a claim after one at an offset of the topic that can't be
// read: that one's epoch, leader and owners are not known. Each epoch of an era has taken a record of
// its own, so that the one returned is above all of them.
func (a *Assignment) AfterUnreadable(offset int64) *Assignment {
	next := *a
	next.Epoch = max(a.Epoch, firstEpoch(a.Era)+offset+1)
	next.Incomplete = true
	return &next
}

// wireRange is the stored form of a Range. It ends before the first key of the
// next one. Owner and Former are indexes into wireAssignment.Targets.
type wireRange struct {
	_      struct{} `cbor:",toarray"`
	First  uint16
	Owner  uint16
	Former []uint16
}

// wireAssignment is the stored form of an Assignment.
type wireAssignment struct {
	Epoch    int64                  `cbor:"1,keyasint"`
	Leader   string                 `cbor:"2,keyasint"`
	Process  string                 `cbor:"3,keyasint"`
	Address  string                 `cbor:"4,keyasint"`
	Services map[string][]wireRange `cbor:"5,keyasint"`
	Targets  []Incarnation          `cbor:"6,keyasint"`
	Earlier  []LeaderProcess        `cbor:"7,keyasint,omitempty"`
	Era      int64                  `cbor:"8,keyasint,omitempty"`
	// Incomplete is omitted where it is not set, so that earlier versions' records are equal.
	Incomplete bool `cbor:"9,keyasint,omitempty"`
}

// encoding returns a deterministic encoder: equal records have equal bytes.
var encoding = sync.OnceValues(func() (cbor.EncMode, error) {
	return cbor.CoreDetEncOptions().EncMode()
})

// decoding returns a decoder that takes the names of targets as they are: earlier versions have
// written some that are not UTF-8.
var decoding = sync.OnceValues(func() (cbor.DecMode, error) {
	return cbor.DecOptions{UTF8: cbor.UTF8DecodeInvalid}.DecMode()
})

// Encode returns the CBOR encoding of the record. Equal records have equal
// encodings.
func (a *Assignment) Encode() ([]byte, error) {
	mode, err := encoding()
	if err != nil {
		return nil, fmt.Errorf("create CBOR encoder for assignments: %w", err)
	}
	data, err := mode.Marshal(a.wire())
	if err != nil {
		return nil, fmt.Errorf("encode assignment: %w", err)
	}
	return data, nil
}

func (a *Assignment) wire() *wireAssignment {
	w := &wireAssignment{
		Epoch: a.Epoch, Leader: a.Leader, Process: a.LeaderIncarnation, Address: a.Address, Earlier: a.Earlier,
		Era: a.Era, Incomplete: a.Incomplete, Services: make(map[string][]wireRange, len(a.Services)),
	}
	indexes := make(map[Incarnation]uint16)
	index := func(target Incarnation) uint16 {
		i, ok := indexes[target]
		if !ok {
			i = uint16(len(w.Targets))
			indexes[target] = i
			w.Targets = append(w.Targets, target)
		}
		return i
	}
	for _, service := range slices.Sorted(maps.Keys(a.Services)) {
		for _, r := range a.Services[service] {
			stored := wireRange{First: r.First, Owner: index(r.Owner)}
			for _, former := range r.Former {
				stored.Former = append(stored.Former, index(former))
			}
			w.Services[service] = append(w.Services[service], stored)
		}
	}
	return w
}

// Decode decodes a record. It returns an error if the encoding is invalid, or
// if the ranges of a service are out of order or refer to a target that the
// record lacks.
func Decode(data []byte) (*Assignment, error) {
	mode, err := decoding()
	if err != nil {
		return nil, fmt.Errorf("create CBOR decoder for assignments: %w", err)
	}
	var w wireAssignment
	if err := mode.Unmarshal(data, &w); err != nil {
		return nil, fmt.Errorf("decode assignment: %w", err)
	}
	a := &Assignment{
		Epoch: w.Epoch, Leader: w.Leader, LeaderIncarnation: w.Process, Address: w.Address, Earlier: w.Earlier,
		Era: w.Era, Incomplete: w.Incomplete, Services: make(map[string][]Range, len(w.Services)),
	}
	for service, stored := range w.Services {
		ranges, err := w.ranges(stored)
		if err != nil {
			return nil, fmt.Errorf("assignment of %s: %w", service, err)
		}
		a.Services[service] = ranges
	}
	return a, nil
}

func (w *wireAssignment) ranges(stored []wireRange) ([]Range, error) {
	ranges := make([]Range, len(stored))
	for i, s := range stored {
		last := Keys - 1
		if i+1 < len(stored) {
			last = int(stored[i+1].First) - 1
		}
		if i == 0 && s.First != 0 || last < int(s.First) {
			return nil, fmt.Errorf("range %d starts at key %d, out of order", i, s.First)
		}
		r := Range{First: s.First, Last: uint16(last)}
		for j, index := range append([]uint16{s.Owner}, s.Former...) {
			if int(index) >= len(w.Targets) {
				return nil, fmt.Errorf("range %d refers to target index %d of %d", i, index, len(w.Targets))
			}
			if j == 0 {
				r.Owner = w.Targets[index]
			} else {
				r.Former = append(r.Former, w.Targets[index])
			}
		}
		ranges[i] = r
	}
	return ranges, nil
}

// Find returns the range of a service that contains a key. It returns false if
// the service has no ranges.
func (a *Assignment) Find(service string, key uint16) (Range, bool) {
	ranges := a.Services[service]
	i, _ := slices.BinarySearchFunc(ranges, key, func(r Range, k uint16) int {
		switch {
		case r.Last < k:
			return -1
		case r.First > k:
			return 1
		}
		return 0
	})
	if i == len(ranges) {
		return Range{}, false
	}
	return ranges[i], true
}
