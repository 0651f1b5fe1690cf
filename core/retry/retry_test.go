package retry

import (
	"testing"
	"time"

	"pineturn/core/clock"
)

func spendAll(b *Budget) int {
	allowed := 0
	for b.Spend() {
		allowed++
	}
	return allowed
}

func wantRetries(t *testing.T, what string, got, want int) {
	t.Helper()
	if got != want {
		t.Errorf("%s: got %d retries, want %d", what, got, want)
	}
}

func TestBudget(t *testing.T) {
	source := clock.NewFake(time.Unix(1_000_000, 0))
	b := New(source)
	wantRetries(t, "at the start", spendAll(b), DefaultBurst)
	for range 50 {
		b.RecordRequest()
	}
	wantRetries(t, "after 50 requests", spendAll(b), 5)
	source.Advance(3 * time.Second)
	wantRetries(t, "after 3 s without requests", spendAll(b), 3*DefaultRetriesPerSecond)
	source.Advance(time.Hour)
	wantRetries(t, "after an hour", spendAll(b), DefaultBurst)
}
