// Package shard partitions the keys of a service into shards, the unit of
// ownership. The keys of a group are hashed into a fixed number of range shards.
// A hot key may be split off as a separate shard.
package shard

import (
	"fmt"
	"math"
	"math/bits"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// ID identifies a shard. A range shard has an empty Key. The shard of a hot key has
// the Index of the range shard from which it was split.
type ID struct {
	Service string `cbor:"1,keyasint" json:"service"`
	Group   string `cbor:"2,keyasint" json:"group"`
	Index   int    `cbor:"3,keyasint" json:"index"`
	Key     string `cbor:"4,keyasint,omitempty" json:"key,omitempty"`
}

// String returns service/group/index, with /key appended for a hot key.
func (id ID) String() string {
	base := id.Service + "/" + id.Group + "/" + strconv.Itoa(id.Index)
	if id.Key == "" {
		return base
	}
	return base + "/" + id.Key
}

// Parent returns the range shard that contains the keys of id. A range shard is its
// own parent.
func (id ID) Parent() ID {
	id.Key = ""
	return id
}

// Less orders ids by service, group, index and key.
func (id ID) Less(other ID) bool {
	switch {
	case id.Service != other.Service:
		return id.Service < other.Service
	case id.Group != other.Group:
		return id.Group < other.Group
	case id.Index != other.Index:
		return id.Index < other.Index
	}
	return id.Key < other.Key
}

// Parse parses the format of String. It returns an error if a part is missing or
// the index is not a non-negative integer.
func Parse(text string) (ID, error) {
	parts := strings.SplitN(text, "/", 4)
	if len(parts) < 3 || parts[0] == "" || parts[1] == "" {
		return ID{}, fmt.Errorf("shard %q: want service/group/index[/key]", text)
	}
	index, err := strconv.Atoi(parts[2])
	if err != nil || index < 0 {
		return ID{}, fmt.Errorf("shard %q: index %q is not a non-negative integer", text, parts[2])
	}
	id := ID{Service: parts[0], Group: parts[1], Index: index}
	if len(parts) == 4 {
		id.Key = parts[3]
	}
	return id, nil
}

// IndexOf returns the index of the range shard that contains key, for a group of
// count range shards. All hosts compute the same index.
func IndexOf(key string, count int) int {
	high, _ := bits.Mul64(Hash(key), uint64(count))
	return int(high)
}

// Hash returns the hash of a key. The range shards partition the 64-bit hash space.
func Hash(key string) uint64 { return xxhash.Sum64String(key) }

// RangeOf returns the first and the last hash of a range shard, for a group of
// count range shards.
func RangeOf(index, count int) (low, high uint64) {
	if count <= 1 {
		return 0, math.MaxUint64
	}
	low = rangeStart(uint64(index), uint64(count))
	if index == count-1 {
		return low, math.MaxUint64
	}
	return low, rangeStart(uint64(index)+1, uint64(count)) - 1
}

// rangeStart returns index * 2^64 / count, rounded up.
func rangeStart(index, count uint64) uint64 {
	quotient, remainder := bits.Div64(index, 0, count)
	if remainder > 0 {
		quotient++
	}
	return quotient
}
