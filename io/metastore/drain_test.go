package metastore

import (
	"context"
	"strings"
	"testing"
	"time"

	"pineturn/core/clock"
	"pineturn/core/placement"
	"pineturn/core/ratelimit"
	"pineturn/platform"
)

const (
	drainKey   = "evacuate/b"
	drainBound = 4 * time.Second
)

// drainRun is a catalog that reads a store of eras step by step.
type drainRun struct {
	t       *testing.T
	store   *eraStore
	clock   *clock.Fake
	catalog *Catalog
	targets *placement.Set
}

func newDrainRun(t *testing.T) *drainRun {
	t.Helper()
	r := &drainRun{t: t, store: newEraStore(), clock: clock.NewFake(time.Unix(1000, 0)), targets: placement.NewSet("a")}
	r.catalog = NewCatalog(r.clock, r.targets)
	none := func() time.Duration { return 0 }
	r.catalog.SetReadTimes(none, none, none)
	r.catalog.SetDomainDrainBound(drainBound)
	r.store.put(platform.TopicConfig, platform.KeyConfig, configOf(1))
	return r
}

func (r *drainRun) put(value string) { r.store.put(platform.TopicConfig, drainKey, []byte(value)) }

func (r *drainRun) read() {
	r.t.Helper()
	if _, err := r.catalog.configConsumer.step(context.Background(), r.store); err != nil {
		r.t.Fatalf("read: got error %v, want none", err)
	}
}

// list returns the newest record of each key as another host relays it.
func (r *drainRun) list() Update {
	batch, _ := r.store.Newest(context.Background(), platform.TopicConfig)
	return Update{Topic: platform.TopicConfig, Next: batch.Next, Era: batch.Era, Records: batch.Records, Base: noBase, Complete: true}
}

func (r *drainRun) wantDrained(want bool) {
	r.t.Helper()
	if got := r.targets.DrainsDomain("b"); got != want {
		r.t.Errorf("domain is drained: got %t, want %t", got, want)
	}
}

// TestDomainDrain guards against requests to a domain that the operator drains, and against a
// drain that goes on when he has ended it.
func TestDomainDrain(t *testing.T) {
	t.Run("a host that starts knows it with the configuration", func(t *testing.T) {
		r := newDrainRun(t)
		r.put("{}")
		r.read()
		r.wantDrained(true)
		if d := r.catalog.DomainDrains()[0]; d.OwnersUntil.After(r.clock.Now()) || d.Offset != 1 || version(r.catalog) != 1 {
			t.Errorf("drain: got %+v, want one at offset 1 that requests to owners obey at once", d)
		}
	})
	t.Run("targets count as cold when it ends", func(t *testing.T) {
		r := newDrainRun(t)
		r.targets.Cold = func(string) placement.Cold {
			return placement.Cold{Time: time.Second, Bound: ratelimit.Bound{PerSecond: 1, Overage: 1, Slack: 1}}
		}
		r.targets.Put(placement.Entry{ID: "a1", Domain: "a"}, r.clock.Now())
		r.targets.Put(placement.Entry{ID: "b1", Domain: "b"}, r.clock.Now())
		r.put("{}")
		r.read()
		r.put("")
		r.read()
		if got := r.targets.ColdTargets(r.clock.Now()); got != 1 {
			t.Errorf("cold targets: got %d, want the one in the domain", got)
		}
	})
	t.Run("owners are left in time after the last proof", func(t *testing.T) {
		r := newDrainRun(t)
		r.read()
		r.clock.Advance(time.Second)
		r.put("{}")
		r.read()
		if got, want := r.catalog.DomainDrains()[0].OwnersUntil.Sub(r.clock.Now()), drainBound*3/4-time.Second; got != want {
			t.Errorf("requests to owners: got %v more, want %v", got, want)
		}
	})
	t.Run("asked twice, removed once", func(t *testing.T) {
		r := newDrainRun(t)
		for _, value := range []string{"{}", "?", ""} {
			r.put(value)
			r.read()
			r.read()
			r.wantDrained(value != "")
		}
	})
	t.Run("a record from before the removal does not come back", func(t *testing.T) {
		r := newDrainRun(t)
		r.put("{}")
		r.read()
		stale := r.list()
		r.put("")
		r.catalog.configConsumer.restart()
		r.read()
		r.wantDrained(false)
		r.catalog.applyDrainList(stale.Records, stale.Next)
		r.catalog.applyConfig(stale.Records, false)
		r.wantDrained(false)
	})
	t.Run("a list from before the request ends nothing", func(t *testing.T) {
		r := newDrainRun(t)
		r.read()
		stale := r.list()
		r.put("{}")
		r.catalog.ApplyRelayed([]Update{{Topic: platform.TopicConfig, From: 5, Next: 8, Era: 1, Records: []platform.Record{{Key: drainKey, Value: []byte("{}"), Offset: 7}}}}, nil)
		r.catalog.ApplyRelayed([]Update{stale}, nil)
		r.wantDrained(true)
	})
	t.Run("a relayed list ends it", func(t *testing.T) {
		r := newDrainRun(t)
		r.put("{}")
		r.read()
		r.put("")
		r.catalog.ApplyRelayed([]Update{r.list()}, nil)
		r.wantDrained(false)
	})
	t.Run("an expired log does not end it", func(t *testing.T) {
		r := newDrainRun(t)
		r.put("{}")
		r.read()
		r.catalog.configConsumer.restart()
		r.read()
		r.wantDrained(true)
	})
	t.Run("an older copy of the store does not end it", func(t *testing.T) {
		r := newDrainRun(t)
		r.put("{}")
		r.read()
		r.store.rollBack(1)
		for range 3 {
			r.read()
		}
		r.catalog.configConsumer.restart()
		r.read()
		r.wantDrained(true)
		r.put("")
		r.read()
		r.wantDrained(false)
	})
	t.Run("a key without a domain", func(t *testing.T) {
		r := newDrainRun(t)
		logged := captureLog(t)
		r.store.put(platform.TopicConfig, strings.TrimSuffix(drainKey, "b"), []byte("{}"))
		r.store.put(platform.TopicConfig, platform.KeyConfig, configOf(2))
		r.read()
		if got := len(r.catalog.DomainDrains()); got != 0 || version(r.catalog) != 2 || !strings.Contains(logged(), "names none") {
			t.Errorf("got %d drains, version %d, log %q; want a line alone", got, version(r.catalog), logged())
		}
	})
}
