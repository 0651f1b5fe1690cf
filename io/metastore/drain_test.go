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

const drainBound = 4 * time.Second

// drainRun is a catalog that reads a store with a configuration step by step.
type drainRun struct {
	*Catalog
	t       *testing.T
	store   *eraStore
	targets *placement.Set
	clock   *clock.Fake
	// older is a list that was read earlier.
	older Update
}

func newDrainRun(t *testing.T) *drainRun {
	r := &drainRun{t: t, store: newEraStore(), targets: placement.NewSet("a"), clock: clock.NewFake(time.Unix(1000, 0))}
	r.Catalog = NewCatalog(r.clock, r.targets)
	none := func() time.Duration { return 0 }
	r.SetReadTimes(none, none, none)
	r.SetDomainDrainBound(drainBound)
	r.store.put(platform.TopicConfig, platform.KeyConfig, configOf(1))
	return r
}

// play plays one step.
func (r *drainRun) play(step string) {
	c := r.configConsumer
	batch, err := r.store.Newest(context.Background(), platform.TopicConfig)
	list := Update{Topic: c.Topic, Next: batch.Next, Era: batch.Era, Records: batch.Records, Complete: true}
	switch step {
	case "ask":
		r.store.put(c.Topic, "evacuate/b", []byte("{}"))
	case "remove":
		r.store.put(c.Topic, "evacuate/b", nil)
	case "ask of none":
		r.store.put(c.Topic, "evacuate/", []byte("{}"))
	case "read":
		_, err = c.step(context.Background(), r.store)
	case "read all":
		c.restart()
		_, err = c.step(context.Background(), r.store)
	case "wait":
		r.clock.Advance(drainBound / 4)
	case "keep list":
		r.older = list
	case "older list":
		r.applyDrainList(r.older.Records, r.older.Next)
		r.applyConfig(r.older.Records, false)
	case "relayed list":
		r.ApplyRelayed([]Update{list}, nil)
	case "relayed older list":
		r.ApplyRelayed([]Update{r.older}, nil)
	case "relayed after a gap":
		records := []platform.Record{{Key: "evacuate/b", Value: []byte("{}"), Offset: 7}}
		r.ApplyRelayed([]Update{{Topic: c.Topic, From: 5, Next: 8, Era: 1, Records: records}}, nil)
	case "older copy":
		r.store.rollBack(1)
	}
	if err != nil {
		r.t.Fatalf("%s: got error %v, want none", step, err)
	}
}

// TestDomainDrain guards against requests to a domain that the operator drains, and against a
// drain that goes on when he has ended it.
func TestDomainDrain(t *testing.T) {
	for _, c := range []struct {
		name, steps string
		want        bool
	}{
		{"known at the start", "ask,read", true},
		{"asked twice", "read,ask,read,ask,read", true},
		{"asked twice, removed once", "ask,read,ask,read,remove,read", false},
		{"asked again", "ask,read,remove,ask,read", true},
		{"removal missed, older list", "ask,keep list,remove,read,older list", false},
		{"request in no older list", "read,keep list,ask,relayed after a gap,relayed older list", true},
		{"removal in a relayed list", "ask,read,remove,relayed list", false},
		{"log expired", "ask,read,read all,relayed list", true},
		{"older copy of the store", "ask,read,older copy,ask of none,ask of none,read,read,read all", true},
		{"older copy, removed there", "ask,read,older copy,read,read,remove,read", false},
		{"no domain", "ask of none,read", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newDrainRun(t)
			for step := range strings.SplitSeq(c.steps, ",") {
				r.play(step)
			}
			if got := r.targets.DrainsDomain("b"); got != c.want || len(r.DomainDrains()) > 0 != c.want || version(r.Catalog) != 1 {
				t.Errorf("domain is drained: got %t, %+v, version %d; want %t", got, r.DomainDrains(), version(r.Catalog), c.want)
			}
		})
	}
	t.Run("targets count as cold when it begins and ends", func(t *testing.T) {
		r := newDrainRun(t)
		r.targets.Cold = func(string) placement.Cold {
			return placement.Cold{Time: time.Second, Bound: ratelimit.Bound{PerSecond: 1, Overage: 1, Slack: 1}}
		}
		r.targets.Put(placement.Entry{ID: "a1", Domain: "a"}, r.clock.Now())
		r.targets.Put(placement.Entry{ID: "b1", Domain: "b"}, r.clock.Now())
		for _, step := range []string{"ask", "remove"} {
			r.clock.Advance(time.Minute)
			r.play(step)
			r.play("read")
			if got := r.targets.ColdTargets(r.clock.Now()); got != 1 {
				t.Errorf("cold targets after %s: got %d, want the one in the domain", step, got)
			}
		}
	})
	for steps, want := range map[string]time.Duration{"ask,read": -drainBound / 4, "read,ask,read": drainBound * 3 / 4, "read,ask,read,wait,read,wait,ask,read": drainBound / 4} {
		r := newDrainRun(t)
		for step := range strings.SplitSeq(steps, ",") {
			r.play(step)
		}
		if got := r.DomainDrains()[0].OwnersUntil.Sub(r.clock.Now()); got != want {
			t.Errorf("%s: got requests to owners for %v, want %v since the last proof", steps, got, want)
		}
	}
}
