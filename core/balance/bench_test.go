package balance_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"pineturn/core/balance"
	"pineturn/core/shard"
)

// benchInput returns an input with the given number of shards, with exponentially
// distributed loads, on a tenth as many targets.
func benchInput(shards int) balance.Input {
	random := rand.New(rand.NewPCG(simSeed, 2))
	in := balance.Input{MaxMoves: simMaxMoves, Weights: balance.Weights{Unavailable: 10, Churn: 3, Imbalance: 1}}
	for i := range max(shards/10, 2) {
		in.Targets = append(in.Targets, balance.Target{Name: fmt.Sprintf("t%05d", i), Slots: 2})
	}
	for i := range shards {
		id := shard.ID{Service: "s", Group: "all", Index: i}
		target := in.Targets[random.IntN(len(in.Targets))].Name
		in.Shards = append(in.Shards, balance.Shard{ID: id, Target: target, Load: random.ExpFloat64()})
	}
	return in
}

func BenchmarkPlan(b *testing.B) {
	for _, shards := range []int{100, 1000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("shards=%d", shards), func(b *testing.B) {
			in := benchInput(shards)
			b.ReportAllocs()
			for b.Loop() {
				balance.Plan(in)
			}
		})
	}
}

func BenchmarkPlanLostTarget(b *testing.B) {
	for _, shards := range []int{100, 1000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("shards=%d", shards), func(b *testing.B) {
			in := benchInput(shards)
			in.Targets[0].State = balance.Lost
			b.ReportAllocs()
			for b.Loop() {
				balance.Plan(in)
			}
		})
	}
}
