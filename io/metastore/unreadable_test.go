package metastore

import (
	"testing"
	"time"

	"pineturn/core/clock"
	"pineturn/core/owner"
	"pineturn/core/placement"
	"pineturn/platform"
)

// TestUnreadableOwners guards against a record of owners that can't be read and counts as none, and
// against one that an earlier version has written with a target's name that is not UTF-8.
func TestUnreadableOwners(t *testing.T) {
	encode := func(epoch int64, target string) []byte {
		a := &owner.Assignment{Epoch: epoch, Services: map[string][]owner.Range{"s": {{Last: owner.Keys - 1, Owner: owner.Incarnation{Target: target}}}}}
		data, err := a.Encode()
		if err != nil {
			t.Fatal(err)
		}
		return data
	}
	for _, c := range []struct {
		name   string
		values [][]byte
		epoch  int64
		want   bool
	}{
		{"readable", [][]byte{encode(1, "t1")}, 1, false},
		{"name is not UTF-8", [][]byte{encode(1, "t\xff")}, 1, false},
		{"unreadable", [][]byte{{0xff}}, 0, true},
		{"unreadable after a readable one", [][]byte{encode(1, "t1"), {0xff}}, 1, true},
		{"readable after an unreadable one", [][]byte{{0xff}, encode(2, "t1")}, 2, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			catalog := NewCatalog(clock.NewFake(time.Unix(1000, 0)), placement.NewSet("a"))
			for i, value := range c.values {
				catalog.applyOwners([]platform.Record{{Key: platform.KeyOwners, Value: value, Offset: int64(i)}}, false)
			}
			epoch := int64(0)
			if a := catalog.Assignment(); a != nil {
				epoch = a.Epoch
			}
			if epoch != c.epoch {
				t.Errorf("epoch of the record in use: got %d, want %d", epoch, c.epoch)
			}
			if _, got := catalog.UnreadableOwners(); got != c.want {
				t.Errorf("newest record can't be read: got %t, want %t", got, c.want)
			}
		})
	}
}
