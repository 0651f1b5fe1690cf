package metastore

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"pineturn/core/clock"
	"pineturn/core/owner"
	"pineturn/core/placement"
	"pineturn/platform"
)

// eraStore is a store of all topics that can come back from an older copy.
type eraStore struct {
	mu      sync.Mutex
	era     int64
	topics  map[string][]platform.Record
	changed chan struct{}
}

func newEraStore() *eraStore {
	return &eraStore{era: 1, topics: make(map[string][]platform.Record), changed: make(chan struct{})}
}

func (s *eraStore) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics[topic] = append(s.topics[topic], platform.Record{Key: key, Value: value, Offset: int64(len(s.topics[topic]))})
	s.wake()
}

func (s *eraStore) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// rollBack removes the last n records of each topic and begins a new era.
func (s *eraStore) rollBack(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, records := range s.topics {
		s.topics[name] = records[:max(len(records)-n, 0):max(len(records)-n, 0)]
	}
	s.era++
	s.wake()
}

// stated returns the era and records in it. The caller holds s.mu.
func (s *eraStore) stated(records []platform.Record, next int64) platform.Batch {
	batch := platform.Batch{Next: next, Era: s.era}
	for _, r := range records {
		r.Era = s.era
		batch.Records = append(batch.Records, r)
	}
	return batch
}

func (s *eraStore) Newest(_ context.Context, topic string) (platform.Batch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	newest := make(map[string]platform.Record)
	for _, r := range s.topics[topic] {
		newest[r.Key] = r
	}
	var records []platform.Record
	for _, r := range newest {
		if len(r.Value) > 0 {
			records = append(records, r)
		}
	}
	return s.stated(records, int64(len(s.topics[topic]))), nil
}

func (s *eraStore) Read(ctx context.Context, topic string, from int64, wait time.Duration) (platform.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		s.mu.Lock()
		end, changed := int64(len(s.topics[topic])), s.changed
		if from > end {
			s.mu.Unlock()
			return platform.Batch{Next: from}, platform.ErrExpired
		}
		batch := s.stated(s.topics[topic][from:], end)
		s.mu.Unlock()
		if end > from || ctx.Err() != nil {
			return batch, nil
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}

func configOf(version int) []byte {
	return fmt.Appendf(nil, `{"version":%d,"routes":[],"services":[],`+
		`"limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_s":3,"idle_timeout_s":15}}`, version)
}

func ownersOf(t testing.TB, epoch, era int64) []byte {
	t.Helper()
	data, err := (&owner.Assignment{Epoch: epoch, Era: era, Leader: fmt.Sprint("host-", epoch)}).Encode()
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// runCatalog runs a catalog of a store until the test ends.
func runCatalog(t *testing.T, store Reader) (*Catalog, *placement.Set) {
	t.Helper()
	targets := placement.NewSet("a")
	catalog := NewCatalog(clock.System{}, targets)
	wait := func() time.Duration { return 100 * time.Millisecond }
	catalog.SetReadTimes(wait, wait, func() time.Duration { return 0 })
	ctx, cancel := context.WithCancel(context.Background())
	go catalog.Run(ctx, store)
	t.Cleanup(func() {
		cancel()
		<-catalog.Done()
	})
	return catalog, targets
}

func version(c *Catalog) int64 {
	if table := c.Table(); table != nil {
		return table.Config().Version
	}
	return 0
}

func epoch(c *Catalog) int64 {
	if a := c.Assignment(); a != nil {
		return a.Epoch
	}
	return 0
}

func ids(targets *placement.Set) string {
	var all []string
	for _, e := range targets.Entries("") {
		all = append(all, e.ID)
	}
	return strings.Join(all, " ")
}

func newEntry(n int, sequence string) []byte {
	return []byte(strings.Replace(string(targetEntry(sequence)), "10.0.0.1:80", fmt.Sprintf("10.0.0.%d:80", n), 1))
}
