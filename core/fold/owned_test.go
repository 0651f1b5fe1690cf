package fold

import (
	"testing"

	"pineturn/core/record"
	"pineturn/core/shard"
)

// assertOwned compares what targets own with a walk through all shards.
func assertOwned(t *testing.T, s *State) {
	t.Helper()
	want := map[record.Target]int{}
	for id, held := range s.Shards() {
		target := record.Target{Service: id.Service, Name: held.Target}
		want[target]++
		if list, _ := s.ShardsOf(target); list == nil {
			t.Fatalf("got no shards of %s, want %s", target, id)
		} else if _, ok := list[id]; !ok {
			t.Fatalf("got %v of %s, want also %s", list, target, id)
		}
	}
	for _, name := range []string{"a", "b", "c"} {
		target := record.Target{Service: "desk", Name: name}
		list, _ := s.ShardsOf(target)
		assertEqual(t, "shards of "+name, len(list), want[target])
	}
}

func TestShardsOf(t *testing.T) {
	hot := deskShard
	hot.Key = "yard"
	other := shard.ID{Service: deskShard.Service, Group: deskShard.Group, Index: (deskShard.Index + 1) % 4}
	a := record.Target{Service: "desk", Name: "a"}
	j := newJournal(t)
	steps := []struct {
		what    string
		op      record.Op
		touches bool
	}{
		{"assign", assign(deskShard, "a", 0), true},
		{"assign elsewhere", assign(other, "b", 0), false},
		{"drain", record.Op{Drain: &record.Drain{Target: a, On: true}}, false},
		{"split", split(hot, 1), true},
		{"move the range shard away", assign(deskShard, "c", 1), true},
		{"settle it there", settle(deskShard, 2), false},
		{"move the hot key after it", assign(hot, "c", 1), true},
		{"settle the hot key", settle(hot, 2), false},
		{"merge", merge(hot, 2), false},
		{"move all back", assign(deskShard, "a", 3), true},
		{"settle it here", settle(deskShard, 4), true},
	}
	for _, step := range steps {
		t.Run(step.what, func(t *testing.T) {
			_, before := j.state.ShardsOf(a)
			assertApplied(t, j.apply(step.op))
			_, after := j.state.ShardsOf(a)
			assertEqual(t, "change of a's shards", after != before, step.touches)
			assertOwned(t, j.state)
		})
	}
	t.Run("a restored state counts as changed", func(t *testing.T) {
		_, before := j.state.ShardsOf(a)
		assertApplied(t, j.apply(record.Op{Drain: &record.Drain{Target: a}}))
		other := restored(t, j.state)
		_, after := other.ShardsOf(a)
		assertEqual(t, "changed", after > before, true)
		assertOwned(t, other)
	})
}
