package latency

import (
	"testing"
	"time"
)

func assertEndsWithin(t *testing.T, table *Table, expected, left time.Duration, want bool) {
	t.Helper()
	if got := table.EndsWithin("route", expected, left); got != want {
		t.Errorf("request expected to take %v ends within %v: got %t, want %t", expected, left, got, want)
	}
}

// TestEndsWithin guards against a stopping host that passes on requests which it cuts at their targets, and
// against one that refuses those which would end in time.
func TestEndsWithin(t *testing.T) {
	const work = 1500 * time.Millisecond
	for _, x := range []struct {
		name           string
		latencies      []time.Duration
		expected, left time.Duration
		want           bool
	}{
		{"body that ended as the stop begins", []time.Duration{work, work, work, work}, work, 5300 * time.Millisecond, true},
		{"body that ended 3.88 s after the stop", []time.Duration{work, work, work, work}, work, 1420 * time.Millisecond, false},
		{"queue left 5.00 s after the stop", []time.Duration{work, work, work, work}, work, 300 * time.Millisecond, false},
		{"latencies that vary widely", []time.Duration{work, work / 8, 2 * work, work / 4}, work, 2 * work, false},
		{"queue at the target", []time.Duration{work, work, work, work}, 3 * work, 2 * work, false},
		{"kind without latencies, time enough", nil, work, 3 * work, true},
		{"kind without latencies", nil, work, 3*work - time.Millisecond, false},
		{"nothing known", nil, 0, 0, true},
		{"a single latency", []time.Duration{work}, 0, 3*work - time.Millisecond, false},
	} {
		t.Run(x.name, func(t *testing.T) {
			table := &Table{}
			for _, took := range x.latencies {
				table.Observe("route", took)
			}
			assertEndsWithin(t, table, x.expected, x.left, x.want)
		})
	}
	t.Run("equal latencies", func(t *testing.T) {
		table := &Table{}
		for range 50 {
			table.Observe("route", work)
		}
		assertEndsWithin(t, table, 0, work+work/4, true)
		assertEndsWithin(t, table, 0, work, false)
	})
	t.Run("too many kinds", func(t *testing.T) {
		table := &Table{}
		for i := range maxKinds {
			table.Observe(time.Duration(i).String(), work)
		}
		table.Observe("route", work)
		assertEndsWithin(t, table, 0, work, true)
	})
}

// TestSurelyEndsWithin guards against a stopping host that passes on, late in its stop, requests of which a few take much
// longer than most, and cuts them at their targets.
func TestSurelyEndsWithin(t *testing.T) {
	const usual, long = 250 * time.Millisecond, 1750 * time.Millisecond
	assertSure := func(t *testing.T, table *Table, left time.Duration, want bool) {
		t.Helper()
		if got := table.SurelyEndsWithin("route", usual, left); got != want {
			t.Errorf("request ends within %v for sure: got %t, want %t", left, got, want)
		}
	}
	observe := func(table *Table, n int, took time.Duration) {
		for range n {
			table.Observe("route", took)
		}
	}
	t.Run("nothing known", func(t *testing.T) { assertSure(t, &Table{}, time.Hour, false) })
	t.Run("one is long", func(t *testing.T) {
		table := &Table{}
		observe(table, 1, long)
		observe(table, 2*longestSample-2, usual)
		assertEndsWithin(t, table, usual, 2*time.Second, true)
		assertSure(t, table, 2*time.Second, false)
		assertSure(t, table, longestFactor*long, true)
		observe(table, longestSample, usual)
		assertSure(t, table, 2*time.Second, true)
	})
	t.Run("all are usual", func(t *testing.T) {
		table := &Table{}
		observe(table, longestSample, usual)
		assertSure(t, table, 2*usual, true)
		assertSure(t, table, 2*usual-time.Millisecond, false)
	})
}
