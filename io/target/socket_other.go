//go:build !linux

package target

import (
	"syscall"
	"time"
)

// limitUnacknowledged does nothing on systems without a limit for the time that sent
// data may stay unacknowledged.
func limitUnacknowledged(syscall.RawConn, time.Duration) error { return nil }
