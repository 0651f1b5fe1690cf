package balance_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pineturn/core/balance"
	"pineturn/core/hotkey"
	"pineturn/core/shard"
	"pineturn/core/workload"
)

const (
	simSeed     = 3
	simDuration = 120 * time.Second
	simShift    = 30 * time.Second
	simMaxMoves = 4
	simWarmUp   = 10
	// simSmoothing is the part of the newest second in a moving average.
	simSmoothing = 0.25
	simLoad      = 0.5
)

// simulation replays one service of a workload against a policy: every
// second the policy plans from moving averages, and its moves are in force
// in the next second.
type simulation struct {
	policy   func(balance.Input) balance.Decision
	input    balance.Input
	shards   int
	index    map[shard.ID]int
	sketch   *hotkey.Sketch
	seen     map[shard.ID]map[string]bool
	keys     map[string]int64
	second   []float64
	ratios   []float64
	bounds   []float64
	churn    int
	moves    int
	splits   int
	now      time.Duration
	observed int
	// spread is the load by target if each request went to a random one.
	spread []float64
	even   float64
	random *rand.Rand
}

func newSimulation(service *workload.Service, slots, shards int, weights balance.Weights, policy func(balance.Input) balance.Decision) *simulation {
	s := &simulation{
		policy: policy, shards: shards, index: map[shard.ID]int{}, sketch: hotkey.New(hotkey.DefaultSize, hotkey.DefaultHalfLife),
		seen: map[shard.ID]map[string]bool{}, keys: map[string]int64{},
		input:  balance.Input{Weights: weights, MaxMoves: simMaxMoves},
		spread: make([]float64, service.Targets()), random: rand.New(rand.NewPCG(simSeed, 1)),
	}
	for i := range service.Targets() {
		target := balance.Target{Name: fmt.Sprintf("t%02d", i), Capacity: float64(slots)}
		s.input.Targets = append(s.input.Targets, target)
	}
	for i := range shards {
		s.addShard(shard.ID{Service: service.Name(), Group: "all", Index: i}, "")
	}
	s.carryOut(policy(s.input))
	s.churn, s.moves = 0, 0
	return s
}

func (s *simulation) addShard(id shard.ID, owner string) {
	s.index[id] = len(s.input.Shards)
	s.input.Shards = append(s.input.Shards, balance.Shard{ID: id, Target: owner})
	s.second = append(s.second, 0)
	s.seen[id] = map[string]bool{}
}

// shardOf finds the shard of a key, its own first.
func (s *simulation) shardOf(request *workload.Request) shard.ID {
	id := shard.ID{Service: request.Service(), Group: "all", Index: shard.IndexOf(request.Key(), s.shards), Key: request.Key()}
	if _, ok := s.index[id]; ok {
		return id
	}
	return id.Parent()
}

func (s *simulation) observe(request *workload.Request) {
	for request.Due() >= s.now+time.Second {
		s.endSecond()
	}
	id := s.shardOf(request)
	work := request.Operation().ServiceTime()
	s.second[s.index[id]] += work.Seconds()
	s.spread[s.random.IntN(len(s.spread))] += work.Seconds()
	s.keys[request.Key()] += int64(work)
	s.seen[id][request.Key()] = true
	s.sketch.Add(time.Unix(0, 0).Add(request.Due()), request.Key(), work.Seconds())
}

func (s *simulation) endSecond() {
	s.measure()
	for i, load := range s.second {
		item := &s.input.Shards[i]
		item.Load += simSmoothing * (load - item.Load)
		item.Keys = float64(len(s.seen[item.ID]))
		item.Hot = nil
		s.second[i] = 0
	}
	s.now += time.Second
	s.markHot()
	s.carryOut(s.policy(s.input))
	s.keys = map[string]int64{}
	clear(s.spread)
}

// measure notes the imbalance of the second that ends.
func (s *simulation) measure() {
	s.observed++
	if s.observed <= simWarmUp {
		return
	}
	loads, total, most, hottest := map[string]float64{}, 0.0, 0.0, int64(0)
	for i, load := range s.second {
		loads[s.input.Shards[i].Target] += load
		total += load
	}
	for _, load := range loads {
		most = max(most, load)
	}
	for _, work := range s.keys {
		hottest = max(hottest, work)
	}
	mean := total / float64(len(s.input.Targets))
	s.ratios = append(s.ratios, most/mean)
	s.even += slices.Max(s.spread) / mean
	s.bounds = append(s.bounds, max(1, time.Duration(hottest).Seconds()/mean))
}

func (s *simulation) markHot() {
	top, _ := s.sketch.Top(time.Unix(0, 0).Add(s.now), 20)
	for _, key := range top {
		id := shard.ID{Service: s.input.Shards[0].ID.Service, Group: "all", Index: shard.IndexOf(key.Name(), s.shards)}
		item := &s.input.Shards[s.index[id]]
		own := id
		own.Key = key.Name()
		if _, split := s.index[own]; !split {
			item.Hot = append(item.Hot, balance.Key{Name: key.Name(), Load: key.Load() - key.Error()})
		}
	}
}

func (s *simulation) carryOut(decision balance.Decision) {
	for _, move := range decision.Moves {
		s.input.Shards[s.index[move.Shard]].Target = move.To
		s.churn += len(s.seen[move.Shard])
		s.moves++
	}
	for _, split := range decision.Splits {
		parent := &s.input.Shards[s.index[split.Shard.Parent()]]
		parent.Load -= split.Load
		delete(s.seen[split.Shard.Parent()], split.Shard.Key)
		s.addShard(split.Shard, parent.Target)
		s.input.Shards[s.index[split.Shard]].Load = split.Load
		s.seen[split.Shard][split.Shard.Key] = true
		s.splits++
	}
}

// result is what a simulation measured.
type result struct {
	mean, p95, over, bound, even float64
	churn, moves, splits         int
}

func (s *simulation) result() result {
	slices.Sort(s.ratios)
	r := result{churn: s.churn, moves: s.moves, splits: s.splits, p95: s.ratios[len(s.ratios)*95/100]}
	r.even = s.even / float64(len(s.ratios))
	for i, ratio := range s.ratios {
		r.mean += ratio / float64(len(s.ratios))
		r.bound += s.bounds[i] / float64(len(s.ratios))
		if ratio > balance.OverloadRatio {
			r.over += 1 / float64(len(s.ratios))
		}
	}
	return r
}

func (r result) String() string {
	return fmt.Sprintf("| %.2f | %.2f | %.0f%% | %.2f | %.2f | %d | %d | %d |",
		r.mean, r.p95, r.over*100, r.bound, r.even, r.churn, r.moves, r.splits)
}

// scenario is one service of a user, with its targets at half their capacity.
type scenario struct {
	user, service string
	shards        int
	weights       balance.Weights
}

func (c scenario) String() string { return fmt.Sprintf("%s/%s/%d", c.user, c.service, c.shards) }

func simulate(t testing.TB, c scenario, policy func(balance.Input) balance.Decision) result {
	t.Helper()
	load, err := workload.Named(c.user)
	if err == nil {
		load, err = load.WithServices([]string{c.service})
	}
	if err != nil {
		t.Fatal(err)
	}
	rate := simLoad * load.Capacity(nil, load.Slots())
	schedule, err := workload.NewSchedule(load, workload.Options{Seed: simSeed, Rate: rate, Duration: simDuration, HotSetPeriod: simShift, Run: "s"})
	if err != nil {
		t.Fatal(err)
	}
	run := newSimulation(load.Services()[0], load.Slots(), c.shards, c.weights, policy)
	for {
		request, ok := schedule.Next()
		if !ok {
			return run.result()
		}
		run.observe(request)
	}
}

func scenarios(t *testing.T) []scenario {
	t.Helper()
	weights := map[string]balance.Weights{
		"caroni": {Unavailable: 10, Churn: 1, Imbalance: 1},
		"tomor":  {Unavailable: 3, Churn: 10, Imbalance: 1},
	}
	var list []scenario
	for _, user := range workload.Names() {
		load, err := workload.Named(user)
		if err != nil {
			t.Fatal(err)
		}
		for _, service := range load.Services() {
			for _, shards := range []int{64, 256} {
				list = append(list, scenario{user, service.Name(), shards, weights[user]})
			}
		}
	}
	return list
}

// TestPolicies compares the policies on the hot keys that move, for every
// service of both users. Run it with -v for the table.
func TestPolicies(t *testing.T) {
	t.Log("mean, p95, windows over Bound, bound by the hottest key, random spread, keys moved, moves, splits")
	for _, c := range scenarios(t) {
		t.Run(c.String(), func(t *testing.T) {
			t.Parallel()
			own, plain, bounded := simulate(t, c, balance.Plan), simulate(t, c, balance.Rendezvous), simulate(t, c, balance.BoundedLoad)
			t.Logf("\n| %v | rendezvous %v\n| %v | bounded load %v\n| %v | pineturn %v", c, plain, c, bounded, c, own)
			if own.mean >= bounded.mean || own.mean >= plain.mean {
				t.Errorf("imbalance: got %.2f, want less than %.2f and %.2f", own.mean, plain.mean, bounded.mean)
			}
			if own.churn >= bounded.churn {
				t.Errorf("keys moved: got %d, want fewer than bounded-load hashing's %d", own.churn, bounded.churn)
			}
		})
	}
}
