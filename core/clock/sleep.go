package clock

import (
	"context"
	"time"
)

// Sleep pauses for d, or until ctx is done if that is earlier.
func Sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
