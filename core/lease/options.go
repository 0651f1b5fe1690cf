package lease

import (
	"time"

	"pineturn/core/route"
)

// Defaults of a leaseholder.
const (
	// DefaultLife is how long a grant lasts after the latest proof of freshness.
	DefaultLife = 900 * time.Millisecond
	// DefaultRenewal is the time between two orders to one target.
	DefaultRenewal = 150 * time.Millisecond
	// DefaultSuspicion is how long a target may leave orders unanswered
	// before it is reported as not alive.
	DefaultSuspicion = 500 * time.Millisecond
	// DrainGrace is how long a leaving target still gets requests, while its
	// shards are handed over. It holds also when they can't be, as the log is
	// down.
	DrainGrace = 3 * time.Second
	// askInterval is the time between two questions for one former owner.
	askInterval = 20 * time.Millisecond
	// settleInterval is the time after which a Settle is proposed again.
	settleInterval = time.Second
	// minLeft is the shortest grant worth sending.
	minLeft = 50 * time.Millisecond
	// loadHalfLife is how fast the measured loads follow a change.
	loadHalfLife = 2 * time.Second
	// sketchKeys is how many keys of a target are counted at once, and
	// reportedKeys how many of them are reported.
	sketchKeys   = 256
	reportedKeys = 16
	// negligible is the load, in slots, below which a shard is not reported.
	negligible = 0.0005
)

// guardFactor lengthens a wait for another host's grants to lapse, by the
// drift between that host, its target and this host.
const guardFactor = 1 + 3*route.MaxClockDrift

// Options set the times of a Table.
type Options struct {
	Life      time.Duration
	Renewal   time.Duration
	Suspicion time.Duration
}

// withDefaults replaces zero values.
func (o Options) withDefaults() Options {
	if o.Life == 0 {
		o.Life = DefaultLife
	}
	if o.Renewal == 0 {
		o.Renewal = DefaultRenewal
	}
	if o.Suspicion == 0 {
		o.Suspicion = DefaultSuspicion
	}
	return o
}
