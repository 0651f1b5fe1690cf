package metastore

import (
	"bytes"
	"testing"
	"time"

	"pineturn/core/clock"
	"pineturn/core/placement"
	"pineturn/platform"
)

// overwrittenEntries are entries that another writer may leave under the id of a target, by what is odd
// about them.
func overwrittenEntries() map[string][]byte {
	entry := func(old, replacement string) []byte {
		return bytes.Replace(targetEntry("9"), []byte(old), []byte(replacement), 1)
	}
	return map[string][]byte{
		"bytes that can't be read": []byte("\xff{"),
		"unknown state":            entry(`"ready"`, `"asleep"`),
		"field of another type":    entry(`"capacity":2`, `"capacity":"2"`),
		"missing field":            entry(`,"warmup_left_s":0`, ``),
	}
}

// TestOverwrittenEntry guards against a live target that gets no requests, and whose keys move, because
// another writer has overwritten its entry.
func TestOverwrittenEntry(t *testing.T) {
	for name, odd := range overwrittenEntries() {
		fake := clock.NewFake(time.Unix(1000, 0))
		overwritten := func() (*Catalog, *placement.Set) {
			targets := placement.NewSet("a")
			catalog := NewCatalog(fake, targets)
			catalog.applyConfig([]platform.Record{{Key: platform.KeyConfig, Value: configOf(1)}}, true)
			catalog.applyTargets([]platform.Record{{Key: "t1", Value: targetEntry("1")}, {Key: "t1", Value: odd, Offset: 1}}, false)
			catalog.expire()
			return catalog, targets
		}
		t.Run(name+", and the target writes its entry again", func(t *testing.T) {
			catalog, targets := overwritten()
			wantTargets(t, targets, 1)
			catalog.applyTargets([]platform.Record{{Key: "t1", Value: targetEntry("2"), Offset: 2}}, false)
			fake.Advance(2 * entryRenewalTime)
			catalog.expire()
			wantTargets(t, targets, 1)
		})
		t.Run(name+", and the target has ended", func(t *testing.T) {
			catalog, targets := overwritten()
			fake.Advance(entryRenewalTime)
			catalog.expire()
			wantTargets(t, targets, 0)
		})
		t.Run(name+", and the entry is deleted", func(t *testing.T) {
			catalog, targets := overwritten()
			catalog.applyTargets([]platform.Record{{Key: "t1", Offset: 2}}, false)
			wantTargets(t, targets, 0)
		})
		t.Run(name+", and the entry lapses while the store is unreachable", func(t *testing.T) {
			catalog, targets := overwritten()
			fake.Advance(entryRenewalTime * 3 / 4)
			catalog.store.unreachable = true
			catalog.applyTargets([]platform.Record{{Key: "t1", Offset: 2}}, false)
			fake.Advance(entryRenewalTime / 2)
			catalog.expire()
			wantTargets(t, targets, 1)
		})
	}
}
