package clock

import (
	"context"
	"testing"
	"time"
)

// TestSleep guards against work that goes on after its context is done.
func TestSleep(t *testing.T) {
	done, cancel := context.WithCancel(t.Context())
	cancel()
	for _, c := range []struct {
		name string
		ctx  context.Context
		d    time.Duration
		want bool
	}{
		{"passed", t.Context(), time.Millisecond, true},
		{"none", t.Context(), -1, true},
		{"done", done, time.Hour, false},
		{"done, none", done, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := Sleep(c.ctx, c.d); got != c.want {
				t.Errorf("context not done: got %t, want %t", got, c.want)
			}
		})
	}
}
