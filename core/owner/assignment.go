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
	"maps"
	"slices"
	"sync"

	"github.com/fxamacker/cbor/v2"
)

// Keys is the number of keys of a service.
const Keys = 1 << 16

// Incarnation is one life of a target.
type Incarnation struct {
	_      struct{} `cbor:",toarray"`
	Target string
	// Born is the Unix millisecond at which that life began.
	Born int64
}

// Range is the owner of a range of keys.
type Range struct {
	First uint16
	Last  uint16
	Owner Incarnation
	// Former are owners that may still hold the keys. While there are any, the
	// owner is granted nothing.
	Former []Incarnation
}

// Assignment is the record of all owners, and of the host that leads.
type Assignment struct {
	// Epoch counts the changes of the leader.
	Epoch int64
	// Leader is the name of the host that leads, Process its incarnation, and
	// Address where other hosts reach it.
	Leader  string
	Process string
	Address string
	// Services are the ranges of each service, in the order of their keys.
	Services map[string][]Range
}

// wireRange is a range as it is stored: it ends where the next one begins, and
// holders are places in the record's list of them.
type wireRange struct {
	_      struct{} `cbor:",toarray"`
	First  uint16
	Owner  uint16
	Former []uint16
}

// wireAssignment is the record as it is stored.
type wireAssignment struct {
	Epoch    int64                  `cbor:"1,keyasint"`
	Leader   string                 `cbor:"2,keyasint"`
	Process  string                 `cbor:"3,keyasint"`
	Address  string                 `cbor:"4,keyasint"`
	Services map[string][]wireRange `cbor:"5,keyasint"`
	Holders  []Incarnation          `cbor:"6,keyasint"`
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
	data, err := mode.Marshal(a.wire())
	if err != nil {
		return nil, fmt.Errorf("encode assignment: %w", err)
	}
	return data, nil
}

func (a *Assignment) wire() *wireAssignment {
	w := &wireAssignment{
		Epoch: a.Epoch, Leader: a.Leader, Process: a.Process, Address: a.Address,
		Services: make(map[string][]wireRange, len(a.Services)),
	}
	places := make(map[Incarnation]uint16)
	place := func(h Incarnation) uint16 {
		i, ok := places[h]
		if !ok {
			i = uint16(len(w.Holders))
			places[h] = i
			w.Holders = append(w.Holders, h)
		}
		return i
	}
	for _, service := range slices.Sorted(maps.Keys(a.Services)) {
		for _, r := range a.Services[service] {
			stored := wireRange{First: r.First, Owner: place(r.Owner)}
			for _, h := range r.Former {
				stored.Former = append(stored.Former, place(h))
			}
			w.Services[service] = append(w.Services[service], stored)
		}
	}
	return w
}

// Decode decodes a record and checks it.
func Decode(data []byte) (*Assignment, error) {
	var w wireAssignment
	if err := cbor.Unmarshal(data, &w); err != nil {
		return nil, fmt.Errorf("decode assignment: %w", err)
	}
	a := &Assignment{
		Epoch: w.Epoch, Leader: w.Leader, Process: w.Process, Address: w.Address,
		Services: make(map[string][]Range, len(w.Services)),
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
			return nil, fmt.Errorf("range %d begins at key %d, out of order", i, s.First)
		}
		r := Range{First: s.First, Last: uint16(last)}
		for j, place := range append([]uint16{s.Owner}, s.Former...) {
			if int(place) >= len(w.Holders) {
				return nil, fmt.Errorf("range %d names holder %d of %d", i, place, len(w.Holders))
			}
			if j == 0 {
				r.Owner = w.Holders[place]
			} else {
				r.Former = append(r.Former, w.Holders[place])
			}
		}
		ranges[i] = r
	}
	return ranges, nil
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
