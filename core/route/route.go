// Package route defines the route of a key's requests in package dispatch, which serves
// the project's own interface, and the permit under which the leaseholder may send them
// to the target. Package routing finds the service of a request on the platform by its
// host name and path.
package route

import (
	"time"

	"pineturn/core/config"
	"pineturn/core/record"
	"pineturn/core/shard"
)

// MaxClockDrift is the highest assumed difference in rate between the clocks of
// any two hosts or targets, as a fraction of the elapsed time.
const MaxClockDrift = 0.01

// Route is the route of the requests for one key.
type Route struct {
	Service     *config.Service
	Target      *config.Target
	Shard       shard.ID
	Epoch       uint64
	Leaseholder record.Member
	// Token is the fencing token of the leaseholder.
	Token uint64
}

// Permit allows the leaseholder of a target to send the target requests of one
// shard. It is checked immediately before each write.
type Permit struct {
	// Address is the target's host:port.
	Address string
	// Incarnation identifies the run of the target that accepted the grant.
	Incarnation string
	Epoch       uint64
	// Token is the fencing token of the grant.
	Token uint64
	// Until is the end of the grant on the leaseholder's clock.
	Until time.Time
	// ClockUs is a reading of the target's clock, in microseconds. It was taken
	// no later than ClockAt on the leaseholder's clock.
	ClockUs int64
	ClockAt time.Time
}

// Valid reports whether a request may still be written at now, on the
// leaseholder's clock.
func (p Permit) Valid(now time.Time) bool { return now.Before(p.Until) }

// Deadline converts at, a time on the leaseholder's clock, to the target's clock,
// in microseconds. The target's clock reaches the result no later than the
// leaseholder's clock reaches at.
func (p Permit) Deadline(at time.Time) int64 {
	return DeadlineUs(p.ClockUs, p.ClockAt, at)
}

// DeadlineUs converts at, a time on this host's clock, to the target's clock, in
// microseconds. The reading clockUs of the target's clock was taken no later than
// readAt on this host's clock. With clock drift the result is early, never late.
func DeadlineUs(clockUs int64, readAt, at time.Time) int64 {
	left := at.Sub(readAt)
	if left > 0 {
		left = time.Duration(float64(left) * (1 - MaxClockDrift))
	}
	return clockUs + left.Microseconds()
}
