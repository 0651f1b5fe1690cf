package soak

import (
	"slices"
	"testing"
	"time"
)

func TestPlan(t *testing.T) {
	const duration = 20 * time.Second
	t.Run("is the same for a seed", func(t *testing.T) {
		if got, want := Plan(7, duration), Plan(7, duration); !slices.Equal(got, want) {
			t.Errorf("steps: got %v, want %v", got, want)
		}
	})
	t.Run("has all kinds over fifty seeds", func(t *testing.T) {
		seen := make(map[Kind]int)
		for seed := range uint64(50) {
			for _, step := range Plan(seed, duration) {
				seen[step.Kind]++
			}
		}
		for _, kind := range slices.Concat(planned, faults) {
			if seen[kind] == 0 {
				t.Errorf("steps of kind %s: got none, want some", kind)
			}
		}
	})
}
