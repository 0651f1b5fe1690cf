//go:build !linux

package target

import (
	"syscall"
	"time"
)

// limitUnacknowledged does nothing where the kernel has no such limit.
func limitUnacknowledged(syscall.RawConn, time.Duration) error { return nil }
