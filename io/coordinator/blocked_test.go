package coordinator

import (
	"context"
	"sync"
	"testing"
	"time"

	"pineturn/core/clock"
	"pineturn/core/owner"
	"pineturn/platform"
)

// blockedStore is a store that records what is written of requests that are refused.
type blockedStore struct {
	fakeStore
	blockedMu sync.Mutex
	offsets   []int64
	err       error
}

func (s *blockedStore) AppendAt(ctx context.Context, topic, key string, value []byte, at int64) error {
	if key != platform.KeyBlocked {
		return s.fakeStore.AppendAt(ctx, topic, key, value, at)
	}
	s.blockedMu.Lock()
	defer s.blockedMu.Unlock()
	s.offsets = append(s.offsets, at)
	return s.err
}

func (s *blockedStore) writes() []int64 {
	s.blockedMu.Lock()
	defer s.blockedMu.Unlock()
	return s.offsets
}

// staleCatalog has proved the end of its topic long ago.
type staleCatalog struct{ fakeCatalog }

func (c *staleCatalog) Position() (int64, time.Time) { return 1, clock.Boot{}.Now().Add(-time.Minute) }

// TestWriteBlockedWithoutStore guards against calls of all hosts to a store that is away.
func TestWriteBlockedWithoutStore(t *testing.T) {
	store := &blockedStore{err: platform.ErrStatus}
	catalog := &staleCatalog{fakeCatalog{assignment: &owner.Assignment{Epoch: 4, LeaderIncarnation: "other"}}}
	c := newCoordinator(&store.fakeStore, &catalog.fakeCatalog)
	c.store, c.catalog = store, catalog
	c.Unrecorded = func() ([]byte, bool) { return []byte("record"), true }
	runUntil(t, c, 200*time.Millisecond)
	if got := store.writes(); len(got) > 0 {
		t.Errorf("writes: got %d, want none", len(got))
	}
}

// TestWriteBlocked guards against requests that are refused at one host alone, because nobody
// records them, and against a write each tick while one is under way.
func TestWriteBlocked(t *testing.T) {
	for _, x := range []struct {
		name    string
		leader  string
		differs bool
		want    int
	}{
		{name: "the leader", leader: "new", differs: true, want: 1}, {name: "the leader, nothing to write", leader: "new"},
		{name: "a host without a leader", leader: "other", differs: true, want: 1}, {name: "a follower", leader: "other"},
	} {
		t.Run(x.name, func(t *testing.T) {
			store := &blockedStore{err: platform.ErrConflict}
			self := Host{Name: "host-1", Incarnation: "new", Address: "127.0.0.1:1", Cores: 1}
			catalog := &fakeCatalog{assignment: &owner.Assignment{Epoch: 4, Leader: "host of " + x.leader, LeaderIncarnation: x.leader}, relayActive: true}
			c := newCoordinator(&store.fakeStore, catalog)
			c.self, c.store = self, store
			c.Unrecorded = func() ([]byte, bool) { return []byte("record"), x.differs }
			runUntil(t, c, writeRetryInterval-100*time.Millisecond)
			got := store.writes()
			if len(got) != x.want {
				t.Errorf("writes: got %d, want %d", len(got), x.want)
			}
			if len(got) > 0 && got[0] != 1 {
				t.Errorf("offset of the write: got %d, want that up to which the host has read, 1", got[0])
			}
		})
	}
}
