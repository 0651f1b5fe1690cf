package shard

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

func TestRangeOf(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 1<<20).Draw(t, "count")
		index := rapid.IntRange(0, count-1).Draw(t, "index")
		key := rapid.String().Draw(t, "key")
		low, high := RangeOf(index, count)
		hash := Hash(key)
		if got, want := hash >= low && hash <= high, IndexOf(key, count) == index; got != want {
			t.Fatalf("got key in range %v, want %v", got, want)
		}
		if index > 0 {
			if _, before := RangeOf(index-1, count); before+1 != low {
				t.Fatalf("got range from %d, want %d", low, before+1)
			}
		}
		if index == count-1 && high != math.MaxUint64 {
			t.Fatalf("got last range to %d, want all", high)
		}
	})
}
