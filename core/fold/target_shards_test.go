package fold

import (
	"testing"

	"pineturn/core/record"
	"pineturn/core/shard"
)

// assertOwned compares the shards of each target with a scan of all shards.
func assertOwned(t *testing.T, s *State) {
	t.Helper()
	want := map[record.Target]int{}
	for id, state := range s.Shards() {
		target := record.Target{Service: id.Service, Name: state.Target}
		want[target]++
		if shards, _ := s.ShardsOf(target); shards == nil {
			t.Fatalf("shards of %s: got none, want %s", target, id)
		} else if _, ok := shards[id]; !ok {
			t.Fatalf("got shards %v of %s, want also %s", shards, target, id)
		}
	}
	for _, name := range []string{"a", "b", "c"} {
		target := record.Target{Service: "desk", Name: name}
		shards, _ := s.ShardsOf(target)
		assertEqual(t, "shards of "+name, len(shards), want[target])
	}
}

func TestShardsOf(t *testing.T) {
	hot := deskShard
	hot.Key = "yard"
	other := shard.ID{Service: deskShard.Service, Group: deskShard.Group, Index: (deskShard.Index + 1) % 4}
	a := record.Target{Service: "desk", Name: "a"}
	l := newTestLog(t)
	steps := []struct {
		name    string
		op      record.Op
		changes bool
	}{
		{"assign", assign(deskShard, "a", 0), true},
		{"assign elsewhere", assign(other, "b", 0), false},
		{"drain", record.Op{Drain: &record.Drain{Target: a, On: true}}, false},
		{"split", split(hot, 1), true},
		{"move the range shard to another target", assign(deskShard, "c", 1), true},
		{"settle the range shard on the other target", settle(deskShard, 2), false},
		{"move the hot key to the same target", assign(hot, "c", 1), true},
		{"settle the hot key", settle(hot, 2), false},
		{"merge", merge(hot, 2), false},
		{"move the merged shard back", assign(deskShard, "a", 3), true},
		{"settle the merged shard", settle(deskShard, 4), true},
	}
	for _, step := range steps {
		t.Run(step.name, func(t *testing.T) {
			_, before := l.state.ShardsOf(a)
			assertApplied(t, l.apply(step.op))
			_, after := l.state.ShardsOf(a)
			assertEqual(t, "shards of a changed", after != before, step.changes)
			assertOwned(t, l.state)
		})
	}
	t.Run("the shards count as changed in a restored state", func(t *testing.T) {
		_, before := l.state.ShardsOf(a)
		assertApplied(t, l.apply(record.Op{Drain: &record.Drain{Target: a}}))
		other := restored(t, l.state)
		_, after := other.ShardsOf(a)
		assertEqual(t, "changed", after > before, true)
		assertOwned(t, other)
	})
}
