package balance

import (
	"flag"
	"fmt"
	"os"
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"pineturn/core/shard"
)

// TestMain fixes the seed of the property tests, unless one is given.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

var equalWeights = Weights{Unavailable: 1, Churn: 1, Imbalance: 1}

func shardID(index int) shard.ID { return shard.ID{Service: "s", Group: "all", Index: index} }

func targets(count int) []Target {
	var list []Target
	for i := range count {
		list = append(list, Target{Name: fmt.Sprintf("t%02d", i), Slots: 2})
	}
	return list
}

// drawInput returns an input of shards with random loads and without owners.
func drawInput(t *rapid.T) Input {
	in := Input{Targets: targets(rapid.IntRange(2, 8).Draw(t, "targets")), Weights: equalWeights, MaxMoves: 4}
	loads := rapid.SliceOfN(rapid.Float64Range(0, 10), 1, 60).Draw(t, "loads")
	for i, load := range loads {
		in.Shards = append(in.Shards, Shard{ID: shardID(i), Load: load})
	}
	return in
}

// apply returns the input after the moves of a decision.
func apply(in Input, decision Decision) Input {
	in.Shards = slices.Clone(in.Shards)
	for _, move := range decision.Moves {
		for i := range in.Shards {
			if in.Shards[i].ID == move.Shard {
				in.Shards[i].Target = move.To
			}
		}
	}
	return in
}

// planUntilStable applies plans until one has no moves.
func planUntilStable(t *rapid.T, in Input) Input {
	t.Helper()
	for range 200 {
		decision := Plan(in)
		if len(decision.Moves) == 0 {
			return in
		}
		in = apply(in, decision)
	}
	t.Fatal("got moves after 200 plans, want none")
	return in
}

// loadsOf returns the load of each target.
func loadsOf(in Input) map[string]float64 {
	sums := map[string]float64{}
	for _, item := range in.Shards {
		sums[item.Target] += item.Load
	}
	return sums
}

func imbalance(in Input) float64 {
	total, most := 0.0, 0.0
	for _, load := range loadsOf(in) {
		total += load
		most = max(most, load)
	}
	if total == 0 {
		return 1
	}
	return most / total * float64(len(in.Targets))
}

func assertEqual[T comparable](t interface {
	Helper()
	Errorf(string, ...any)
}, what string, got, want T) {
	t.Helper()
	if got != want {
		t.Errorf("%s: got %v, want %v", what, got, want)
	}
}

func TestEveryShardGetsAUsableTarget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := drawInput(t)
		for i := range in.Targets {
			in.Targets[i].State = rapid.SampledFrom([]State{Ready, Cold, Draining, Lost}).Draw(t, "state")
		}
		allowed := map[string]bool{}
		for _, target := range in.Targets {
			allowed[target.Name] = rapid.Bool().Draw(t, "eligible")
		}
		in.Eligible = func(_ shard.ID, name string) bool { return allowed[name] }
		exists := slices.ContainsFunc(in.Targets, func(target Target) bool {
			return allowed[target.Name] && (target.State == Ready || target.State == Cold)
		})
		decision := Plan(in)
		for _, move := range decision.Moves {
			assertEqual(t, "eligible "+move.To, allowed[move.To], true)
		}
		for _, item := range apply(in, decision).Shards {
			assertEqual(t, "has a target", item.Target != "", exists)
		}
		assertEqual(t, "some are unplaceable", len(decision.Unplaceable) > 0, !exists)
	})
}

func TestPlanIsDeterministic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := drawInput(t)
		reversed := in
		reversed.Shards = slices.Clone(in.Shards)
		slices.Reverse(reversed.Shards)
		reversed.Targets = slices.Clone(in.Targets)
		slices.Reverse(reversed.Targets)
		if got, want := Plan(reversed), Plan(in); !reflect.DeepEqual(got, want) {
			t.Fatalf("plan of the reversed input: got %v, want %v", got, want)
		}
	})
}

func TestFirstAssignmentIsEven(t *testing.T) {
	in := Input{Targets: targets(10), Weights: equalWeights, MaxMoves: 4}
	for i := range 64 {
		in.Shards = append(in.Shards, Shard{ID: shardID(i)})
	}
	counts := map[string]int{}
	for _, item := range apply(in, Plan(in)).Shards {
		counts[item.Target]++
	}
	for name, count := range counts {
		if count < 6 || count > 7 {
			t.Errorf("shards of %s: got %d, want 6 or 7", name, count)
		}
	}
}

func TestLosingATargetMovesOnlyItsShards(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := planUntilStable(t, drawInput(t))
		lost := rapid.IntRange(0, len(in.Targets)-1).Draw(t, "lost")
		in.Targets = slices.Clone(in.Targets)
		in.Targets[lost].State = Lost
		decision := Plan(in)
		owned := 0
		for _, item := range in.Shards {
			if item.Target == in.Targets[lost].Name {
				owned++
			}
		}
		assertEqual(t, "moves", len(decision.Moves), owned)
		for _, move := range decision.Moves {
			assertEqual(t, "from", move.From, in.Targets[lost].Name)
			assertEqual(t, "reason", move.Reason, ReasonTargetLost)
		}
	})
}

func TestAddingATargetMovesNoMoreThanNeeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := planUntilStable(t, drawInput(t))
		before := len(in.Targets)
		in.Targets = targets(before + 1)
		decision := Plan(in)
		loads := loadsOf(in)
		if len(decision.Moves) > 0 {
			assertEqual(t, "load of the first receiving target", loads[decision.Moves[0].To], 0)
		}
		if imbalance(in) <= OverloadRatio {
			assertEqual(t, "moves while balanced", len(decision.Moves), 0)
		}
		if count := len(decision.Moves); count > 0 {
			decision.Moves = decision.Moves[:count-1]
			got := imbalance(apply(in, decision))
			assertEqual(t, "above StopRatio without the last move", got > StopRatio, true)
		}
	})
}

func TestNothingMovesWhenBalanced(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := planUntilStable(t, drawInput(t))
		decision := Plan(in)
		assertEqual(t, "moves", len(decision.Moves), 0)
		if imbalance(in) <= OverloadRatio {
			assertEqual(t, "splits", len(decision.Splits), 0)
		}
	})
}

func TestMovesStayWithinTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := drawInput(t)
		for i := range in.Shards {
			in.Shards[i].Target = rapid.SampledFrom(in.Targets).Draw(t, "owner").Name
		}
		in.Targets[0].State = rapid.SampledFrom([]State{Ready, Cold, Draining}).Draw(t, "state")
		in.MovesInProgress = rapid.IntRange(0, 6).Draw(t, "moving")
		decision := Plan(in)
		if got, most := len(decision.Moves), max(0, in.MaxMoves-in.MovesInProgress); got > most {
			t.Fatalf("moves: got %d, want at most %d", got, most)
		}
		if got, before := imbalance(apply(in, decision)), imbalance(in); in.Targets[0].State == Ready && got > before+1e-9 {
			t.Fatalf("imbalance: got %.3f, want at most %.3f", got, before)
		}
	})
}

func TestDrainingTargetIsEmptied(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := planUntilStable(t, drawInput(t))
		in.Targets = slices.Clone(in.Targets)
		in.Targets[0].State = Draining
		for _, item := range planUntilStable(t, in).Shards {
			assertEqual(t, "left on the draining target", item.Target == in.Targets[0].Name, false)
		}
	})
}

// overloaded returns an input of 4 targets with shards of equal load. Target t00
// owns 4 shards and the others own one each.
func overloaded() Input {
	in := Input{Targets: targets(4), Weights: equalWeights, MaxMoves: 4}
	for i := range 7 {
		owner := in.Targets[max(0, i-3)].Name
		in.Shards = append(in.Shards, Shard{ID: shardID(i), Target: owner, Load: 10})
	}
	return in
}

func TestRebalancingTakesTheFewestMoves(t *testing.T) {
	in := overloaded()
	decision := Plan(in)
	assertEqual(t, "moves", len(decision.Moves), 2)
	assertEqual(t, "most loaded", slices.Max(values(loadsOf(apply(in, decision)))), 20.0)
}

func TestTargetsBelowOverloadFloorAreNotRebalanced(t *testing.T) {
	in := overloaded()
	in.Shards[0].Hot = []Key{{Name: "busy", Load: 8}}
	in.OverloadFloor = 20
	decision := Plan(in)
	assertEqual(t, "moves", len(decision.Moves), 0)
	assertEqual(t, "splits", len(decision.Splits), 0)
}

func TestHighChurnWeightPreventsMoves(t *testing.T) {
	in := overloaded()
	in.Weights.Churn = 1000
	assertEqual(t, "moves", len(Plan(in).Moves), 0)
}

func TestHotKeyIsSplitBeforeItsShardMoves(t *testing.T) {
	in := overloaded()
	in.Shards[0].Load = 60
	in.Shards[0].Hot = []Key{{Name: "busy", Load: 50}}
	decision := Plan(in)
	assertEqual(t, "splits", len(decision.Splits), 1)
	assertEqual(t, "split key", decision.Splits[0].Shard.Key, "busy")
	for _, move := range decision.Moves {
		assertEqual(t, "moves the shard that is split", move.Shard == in.Shards[0].ID, false)
	}
}

func TestSingleHotKeyIsNotMovedBackAndForth(t *testing.T) {
	in := Input{Targets: targets(3), Weights: equalWeights, MaxMoves: 4}
	hot := shardID(0)
	hot.Key = "busy"
	in.Shards = []Shard{{ID: hot, Target: "t00", Load: 90}, {ID: shardID(0), Target: "t01", Load: 5}}
	assertEqual(t, "moves", len(Plan(in).Moves), 0)
}

func TestColdTargetReceivesOneShardPerPlan(t *testing.T) {
	in := overloaded()
	in.Targets = append(in.Targets, Target{Name: "t99", Slots: 2, State: Cold})
	for i := range in.Shards {
		in.Shards[i].Target = "t00"
	}
	received := 0
	for _, move := range Plan(in).Moves {
		if move.To == "t99" {
			received++
		}
	}
	if received > 1 {
		t.Errorf("moves to the cold target: got %d, want at most 1", received)
	}
}

func values(table map[string]float64) []float64 {
	var list []float64
	for _, value := range table {
		list = append(list, value)
	}
	return list
}
