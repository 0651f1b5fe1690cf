// Package owner decides which target owns which keys, so that no two targets
// can hold a key at the same time. One host at a time leads: it writes each
// change of owner to the platform's store before it acts on it, and alone
// sends grants.
//
// The rule "one owner" rests on three facts:
//
//   - A change of owner is recorded with the former owner before the new one is
//     granted anything, and the record replaces exactly the one it was made of.
//   - The new owner is granted a key only when each former one has given it
//     back, is proved to have ended, or has had no grant for longer than a
//     lease lasts (leader.go).
//   - A host that no longer leads stops sending grants FreshFor after it last
//     proved that it does. Whoever follows it waits that long before it takes
//     a lease for lapsed, unless the target has accepted a grant of its own,
//     whose fencing token is higher (guard in leader.go).
package owner

import (
	"fmt"
	"slices"
	"sync"

	"github.com/fxamacker/cbor/v2"
)

// Keys is the number of keys of a service.
const Keys = 1 << 16

// Holder is one life of a target.
type Holder struct {
	Target string `cbor:"1,keyasint"`
	// Born is the Unix millisecond at which that life began.
	Born int64 `cbor:"2,keyasint"`
}

// Range is the owner of a range of keys.
type Range struct {
	First uint16 `cbor:"1,keyasint"`
	Last  uint16 `cbor:"2,keyasint"`
	Owner Holder `cbor:"3,keyasint"`
	// Former are owners that may still hold the keys. While there are any, the
	// owner is granted nothing.
	Former []Holder `cbor:"4,keyasint,omitempty"`
}

// Assignment is the record of all owners, and of the host that leads.
type Assignment struct {
	// Epoch counts the changes of the leader.
	Epoch int64 `cbor:"1,keyasint"`
	// Leader is the name of the host that leads, Process its incarnation, and
	// Address where other hosts reach it.
	Leader  string `cbor:"2,keyasint"`
	Process string `cbor:"3,keyasint"`
	Address string `cbor:"4,keyasint"`
	// Services are the ranges of each service, in the order of their keys.
	Services map[string][]Range `cbor:"5,keyasint"`
}

// encoding writes equal records as equal bytes.
var encoding = sync.OnceValues(func() (cbor.EncMode, error) {
	return cbor.CoreDetEncOptions().EncMode()
})

// Encode returns the record's bytes.
func (a *Assignment) Encode() ([]byte, error) {
	mode, err := encoding()
	if err != nil {
		return nil, fmt.Errorf("encoding of assignments: %w", err)
	}
	data, err := mode.Marshal(a)
	if err != nil {
		return nil, fmt.Errorf("encode assignment: %w", err)
	}
	return data, nil
}

// Decode decodes a record and checks that its ranges are in order.
func Decode(data []byte) (*Assignment, error) {
	a := &Assignment{}
	if err := cbor.Unmarshal(data, a); err != nil {
		return nil, fmt.Errorf("decode assignment: %w", err)
	}
	for service, ranges := range a.Services {
		if err := checkRanges(ranges); err != nil {
			return nil, fmt.Errorf("assignment of %s: %w", service, err)
		}
	}
	return a, nil
}

func checkRanges(ranges []Range) error {
	next := 0
	for _, r := range ranges {
		if int(r.First) != next || r.Last < r.First {
			return fmt.Errorf("range %d to %d, want one that starts at %d", r.First, r.Last, next)
		}
		next = int(r.Last) + 1
	}
	if len(ranges) > 0 && next != Keys {
		return fmt.Errorf("ranges end before key %d, want %d", next, Keys)
	}
	return nil
}

// Find returns the range of a service that a key lies in.
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
