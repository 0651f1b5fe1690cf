package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot is a clock that goes on while the host is suspended and does not follow
// steps of the time of day. Its readings are times since the host's start and
// are compared with each other only.
type Boot struct{}

// Now returns the time since the host's start, as a time after the Unix epoch.
func (Boot) Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Now()
	}
	return time.Unix(ts.Unix())
}
