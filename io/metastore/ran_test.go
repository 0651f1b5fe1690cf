package metastore

import (
	"testing"
	"time"

	"pineturn/core/clock"
	"pineturn/core/placement"
	"pineturn/platform"
)

// TestTargetsRanAt guards against an incarnation that counts as running because of an entry that the store may have
// kept after its end: two targets would hold the same keys. It also guards against a proof that never comes.
func TestTargetsRanAt(t *testing.T) {
	const lifetime = 2 * time.Second
	start := time.Unix(1000, 0)
	for _, c := range []struct {
		name     string
		lifetime time.Duration
		// trouble happens start + lifetime + entryMargin, a second before the last read.
		trouble func(c *Catalog, fake *clock.Fake)
		// unread is set if there is no last read.
		unread bool
		want   time.Time
	}{
		{name: "entry read again and again", lifetime: lifetime, want: start.Add(time.Second)},
		{name: "lifetime of entries is not known", want: time.Time{}},
		{name: "a call has failed since", lifetime: lifetime, unread: true, trouble: func(c *Catalog, _ *clock.Fake) {
			c.store.recordFailure(c.ownerConsumer, platform.ErrStatus)
		}},
		{name: "a call has failed and another one succeeded since", lifetime: lifetime, trouble: func(c *Catalog, _ *clock.Fake) {
			c.store.recordFailure(c.ownerConsumer, platform.ErrStatus)
			c.store.recordSuccess()
		}},
		{name: "the store came back from an older copy", lifetime: lifetime, trouble: func(c *Catalog, _ *clock.Fake) {
			c.store.recordNewEra()
		}},
		{name: "an entry may have lapsed", lifetime: lifetime, trouble: func(c *Catalog, fake *clock.Fake) {
			c.unconfirmed["t1"] = deferral{end: fake.Now().Add(time.Hour)}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			fake := clock.NewFake(start)
			catalog := NewCatalog(fake, placement.NewSet("a"))
			catalog.SetEntryLifetime(c.lifetime)
			if got := catalog.TargetsRanAt(); !got.IsZero() {
				t.Errorf("before the first read: got %v, want no proof", got)
			}
			catalog.targetConsumer.advance(1, fake.Now())
			if got := catalog.TargetsRanAt(); !got.IsZero() {
				t.Errorf("after the first read: got %v, want no proof", got)
			}
			fake.Advance(lifetime + entryMargin)
			if c.trouble != nil {
				c.trouble(catalog, fake)
			}
			fake.Advance(time.Second)
			if !c.unread {
				catalog.targetConsumer.advance(1, fake.Now())
			}
			if got := catalog.TargetsRanAt(); !got.Equal(c.want) {
				t.Errorf("after the last read: got %v, want %v", got, c.want)
			}
		})
	}
}
