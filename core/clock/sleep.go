package clock

import (
	"context"
	"time"
)

// Sleep pauses for d, or until ctx is done if that is earlier. It reports whether ctx
// was not done first.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
