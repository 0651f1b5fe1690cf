package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot reads CLOCK_BOOTTIME: it keeps advancing while the machine is suspended
// and is not affected by wall clock steps. Its readings may only be compared
// with each other.
type Boot struct{}

// Now returns the Unix epoch plus the time since the machine booted. If the
// clock cannot be read, it falls back to the wall clock.
func (Boot) Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Now()
	}
	return time.Unix(ts.Unix())
}
