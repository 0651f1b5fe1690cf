package soak

import (
	"slices"
	"testing"
	"time"
)

func TestGenerateSteps(t *testing.T) {
	const duration = 20 * time.Second
	t.Run("deterministic for a seed", func(t *testing.T) {
		if got, want := GenerateSteps(7, duration), GenerateSteps(7, duration); !slices.Equal(got, want) {
			t.Errorf("steps: got %v, want %v", got, want)
		}
	})
	t.Run("all kinds within fifty seeds", func(t *testing.T) {
		counts := make(map[Kind]int)
		for seed := range uint64(50) {
			for _, step := range GenerateSteps(seed, duration) {
				counts[step.Kind]++
			}
		}
		for _, kind := range slices.Concat(planned, faults, requested, written, unseen) {
			if counts[kind] == 0 {
				t.Errorf("steps of kind %s: got none, want some", kind)
			}
		}
	})
}
