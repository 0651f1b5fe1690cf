package lease

import (
	"time"

	"pineturn/core/route"
)

// Defaults and limits of a leaseholder.
const (
	// DefaultMaxGrantDuration is the maximum duration of a grant, measured from the latest
	// proof of freshness.
	DefaultMaxGrantDuration = 900 * time.Millisecond
	// DefaultRenewalInterval is the interval between orders to a target.
	DefaultRenewalInterval = 150 * time.Millisecond
	// DefaultSuspicionTime is the time without a response to an order after which a
	// target is reported as not alive.
	DefaultSuspicionTime = 500 * time.Millisecond
	// DrainGrace is how long a draining target still receives requests while its
	// shards are handed over. The limit also applies if the handover is not
	// possible because the log is down.
	DrainGrace = 3 * time.Second
	// releaseQueryInterval is the minimum interval between release queries for
	// one shard.
	releaseQueryInterval = 20 * time.Millisecond
	// settleInterval is the minimum interval between Settle operations proposed
	// for one shard.
	settleInterval = time.Second
	// minGrantTime is the shortest remaining grant duration that is sent to a
	// target; below it, the order only requests the status.
	minGrantTime = 50 * time.Millisecond
	// loadHalfLife is the half-life of the moving averages of measured load. Loads are
	// in slots.
	loadHalfLife = 2 * time.Second
	// sketchKeys is the number of keys of a target whose load is counted at the
	// same time; reportedKeys is how many of them are reported at most.
	sketchKeys   = 256
	reportedKeys = 16
	// minReportedLoad is the load, in slots, below which a shard or key is not
	// reported.
	minReportedLoad = 0.0005
)

// driftFactor extends the wait until the grants of another host have expired. It
// covers the clock drift between that host, its target and this host.
const driftFactor = 1 + 3*route.MaxClockDrift

// Options are the durations of a Table. Zero values are replaced by the defaults.
type Options struct {
	// MaxGrantDuration is the maximum duration of a grant, measured from the latest
	// proof of freshness.
	MaxGrantDuration time.Duration
	// RenewalInterval is the interval between orders to a target.
	RenewalInterval time.Duration
	// SuspicionTime is the time without a response to an order after which a target
	// is reported as not alive.
	SuspicionTime time.Duration
}

// withDefaults returns the options with zero values replaced by the defaults.
func (o Options) withDefaults() Options {
	if o.MaxGrantDuration == 0 {
		o.MaxGrantDuration = DefaultMaxGrantDuration
	}
	if o.RenewalInterval == 0 {
		o.RenewalInterval = DefaultRenewalInterval
	}
	if o.SuspicionTime == 0 {
		o.SuspicionTime = DefaultSuspicionTime
	}
	return o
}
