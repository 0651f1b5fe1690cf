// Package route holds what the two ends of a request's way agree on: where a
// key's requests go, and under which grant they may be sent to the target.
package route

import (
	"time"

	"pineturn/core/config"
	"pineturn/core/record"
	"pineturn/core/shard"
)

// MaxClockDrift bounds how much faster or slower one host's or target's clock runs
// than another's, as a fraction of the time that passes.
const MaxClockDrift = 0.01

// Route is where the requests of a key go.
type Route struct {
	Service     *config.Service
	Target      *config.Target
	Shard       shard.ID
	Epoch       uint64
	Leaseholder record.Member
	Term        uint64
}

// Permit allows the leaseholder of a target to send it requests of one
// shard. It is checked right before each write.
type Permit struct {
	// Address is the target's host:port.
	Address string
	// Incarnation is the run of the target that accepted the grant.
	Incarnation string
	Epoch       uint64
	Term        uint64
	// Until is the end of the grant by the leaseholder's clock.
	Until time.Time
	// ClockUs is a reading of the target's clock, in microseconds, that was
	// made no later than ClockAt by the leaseholder's.
	ClockUs int64
	ClockAt time.Time
}

// Valid reports whether a request may still be written at now.
func (p Permit) Valid(now time.Time) bool { return now.Before(p.Until) }

// Deadline returns a reading of the target's clock, in microseconds, that the
// target reaches no later than the leaseholder's clock reaches at.
func (p Permit) Deadline(at time.Time) int64 {
	return DeadlineUs(p.ClockUs, p.ClockAt, at)
}

// DeadlineUs converts an instant of this host's clock to a target's, given a
// reading that the target made no later than read, erring on the early side.
func DeadlineUs(clockUs int64, read, at time.Time) int64 {
	left := at.Sub(read)
	if left > 0 {
		left = time.Duration(float64(left) * (1 - MaxClockDrift))
	}
	return clockUs + left.Microseconds()
}
