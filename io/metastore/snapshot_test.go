package metastore

import (
	"context"
	"slices"
	"testing"
	"time"

	"pineturn/core/clock"
	"pineturn/core/placement"
	"pineturn/platform"
)

// newestReader is a store of which only the newest records can be read.
type newestReader struct {
	batch platform.Batch
	reads int
}

func (r *newestReader) Read(context.Context, string, int64, time.Duration) (platform.Batch, error) {
	return platform.Batch{}, platform.ErrStatus
}

func (r *newestReader) Newest(context.Context, string) (platform.Batch, error) {
	r.reads++
	return r.batch, nil
}

func configBatch(version string, offset, era int64) platform.Batch {
	record := platform.Record{Key: platform.KeyConfig, Value: []byte(`{"version":` + version + `}`), Offset: offset, Era: era}
	return platform.Batch{Records: []platform.Record{record}, Next: offset + 1, Era: era}
}

// readCatalog returns a catalog that has read a batch of configurations.
func readCatalog(t *testing.T, clk clock.Clock, batch platform.Batch) *Catalog {
	t.Helper()
	c := NewCatalog(clk, placement.NewSet("a"))
	if _, err := c.configConsumer.step(t.Context(), &newestReader{batch: batch}); err != nil {
		t.Fatal(err)
	}
	return c
}

func wantConfigVersion(t *testing.T, c *Catalog, want int64) {
	t.Helper()
	if got := c.Table().Config().Version; got != want {
		t.Errorf("version of the configuration: got %d, want %d", got, want)
	}
}

// TestLacks guards against a host that the store refuses and that does not ask for records
// that the relay left out, and against hosts that ask for what they are about to read.
func TestLacks(t *testing.T) {
	clk := clock.NewFake(time.Unix(1000, 0))
	c := readCatalog(t, clk, configBatch("1", 4, 1))
	relay := func(next, era int64) {
		c.ApplyRelayed([]Update{{Topic: platform.TopicConfig, From: 5, Next: next, Large: true, Era: era}},
			[]Watermark{{Topic: platform.TopicConfig, Next: next, Era: era}})
	}
	wantLacks := func(t *testing.T, want ...string) {
		t.Helper()
		c.Lacks()
		clk.Advance(lackDelay)
		if got := c.Lacks(); !slices.Equal(got, want) {
			t.Errorf("topics that are lacking: got %q, want %q", got, want)
		}
	}
	t.Run("the leader is level", func(t *testing.T) {
		relay(5, 1)
		wantLacks(t)
	})
	t.Run("the leader was ahead just now", func(t *testing.T) {
		relay(6, 1)
		if got := c.Lacks(); len(got) > 0 {
			t.Errorf("topics that are lacking at once: got %q, want none", got)
		}
	})
	t.Run("the leader is ahead", func(t *testing.T) { wantLacks(t, platform.TopicConfig) })
	t.Run("the leader is in a new era", func(t *testing.T) {
		relay(2, 2)
		wantLacks(t, platform.TopicConfig)
	})
}

// TestSnapshot guards against records that a host gets from the leader and does not apply, or
// that replace newer ones.
func TestSnapshot(t *testing.T) {
	for _, x := range []struct {
		name        string
		batch       platform.Batch
		wantVersion int64
		wantNext    int64
	}{
		{name: "newer", batch: configBatch("9", 7, 1), wantVersion: 9, wantNext: 8},
		{name: "older", batch: configBatch("9", 3, 1), wantVersion: 5, wantNext: 5},
		{name: "of a new era, with an older copy", batch: configBatch("3", 1, 2), wantVersion: 5, wantNext: 2},
		{name: "of an older era", batch: configBatch("9", 9, 0), wantVersion: 5, wantNext: 5},
	} {
		t.Run(x.name, func(t *testing.T) {
			clk := clock.NewFake(time.Unix(1000, 0))
			c := readCatalog(t, clk, configBatch("5", 4, 1))
			leader := NewCatalog(clk, placement.NewSet("a"))
			u, err := NewSnapshots(leader, &newestReader{batch: x.batch}).Get(t.Context(), platform.TopicConfig)
			if err != nil {
				t.Fatal(err)
			}
			_, provenBefore := c.configConsumer.Position()
			c.ApplyRelayed([]Update{u}, nil)
			wantConfigVersion(t, c, x.wantVersion)
			next, provenAt := c.configConsumer.Position()
			if next != x.wantNext {
				t.Errorf("position: got %d, want %d", next, x.wantNext)
			}
			if provenAt.After(provenBefore) {
				t.Errorf("time of the last proof by a read of this host: got %v, want it no later than %v", provenAt, provenBefore)
			}
		})
	}
}

// TestSnapshotsShareReads guards against a read of the store for each host that asks.
func TestSnapshotsShareReads(t *testing.T) {
	clk := clock.NewFake(time.Unix(1000, 0))
	c := readCatalog(t, clk, configBatch("5", 4, 1))
	store := &newestReader{batch: configBatch("5", 4, 1)}
	snapshots := NewSnapshots(c, store)
	get := func(want int) {
		t.Helper()
		if _, err := snapshots.Get(t.Context(), platform.TopicConfig); err != nil {
			t.Fatal(err)
		}
		if store.reads != want {
			t.Errorf("reads of the store: got %d, want %d", store.reads, want)
		}
	}
	get(1)
	get(1)
	c.configConsumer.advance(6, clk.Now())
	store.batch = configBatch("6", 5, 1)
	get(2)
}

// TestSnapshotOfUnknownTopic guards against a read of whatever topic another host names.
func TestSnapshotOfUnknownTopic(t *testing.T) {
	store := &newestReader{}
	if _, err := NewSnapshots(NewCatalog(clock.NewFake(time.Unix(1000, 0)), placement.NewSet("a")), store).Get(t.Context(), "other"); err == nil || store.reads > 0 {
		t.Errorf("snapshot of an unknown topic: got error %v and %d reads, want an error and none", err, store.reads)
	}
}
