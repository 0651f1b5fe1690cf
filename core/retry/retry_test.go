package retry

import (
	"testing"
	"time"

	"pineturn/core/clock"
)

func drain(b *Budget) int {
	allowed := 0
	for b.Allow() {
		allowed++
	}
	return allowed
}

func check(t *testing.T, what string, got, want int) {
	t.Helper()
	if got != want {
		t.Errorf("%s: got %d retries, want %d", what, got, want)
	}
}

func TestBudget(t *testing.T) {
	source := clock.NewFake(time.Unix(1_000_000, 0))
	b := New(source)
	check(t, "at the start", drain(b), DefaultBurst)
	for range 50 {
		b.RecordRequest()
	}
	check(t, "after 50 requests", drain(b), 5)
	source.Advance(3 * time.Second)
	check(t, "after 3 s without requests", drain(b), 3*DefaultRetriesPerSecond)
	source.Advance(time.Hour)
	check(t, "after an hour", drain(b), DefaultBurst)
}
