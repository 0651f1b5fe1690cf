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
	simSeed         = 3
	simDuration     = 120 * time.Second
	simHotSetPeriod = 30 * time.Second
	simMaxMoves     = 4
	simWarmUp       = 10
	// simSmoothing is the weight of the latest second in the moving averages.
	simSmoothing = 0.25
	// simLoad is the load as a fraction of the capacity of the targets.
	simLoad = 0.5
)

// simulation replays one service of a workload against a policy. Every second,
// the policy plans from moving averages of the loads, and its moves take effect
// in the next second.
type simulation struct {
	policy      func(balance.Input) balance.Decision
	input       balance.Input
	shards      int
	index       map[shard.ID]int
	sketch      *hotkey.Sketch
	seenKeys    map[shard.ID]map[string]bool
	keyLoads    map[string]int64
	secondLoads []float64
	imbalances  []float64
	lowerBounds []float64
	churn       int
	moves       int
	splits      int
	now         time.Duration
	seconds     int
	// randomLoads is the load of each target in the current second if each
	// request is sent to a random one.
	randomLoads     []float64
	randomImbalance float64
	random          *rand.Rand
}

func newSimulation(service *workload.Service, slots, shards int, weights balance.Weights, policy func(balance.Input) balance.Decision) *simulation {
	s := &simulation{
		policy: policy, shards: shards, index: map[shard.ID]int{}, sketch: hotkey.New(hotkey.DefaultSize, hotkey.DefaultHalfLife),
		seenKeys: map[shard.ID]map[string]bool{}, keyLoads: map[string]int64{},
		input:       balance.Input{Weights: weights, MaxMoves: simMaxMoves},
		randomLoads: make([]float64, service.Targets()), random: rand.New(rand.NewPCG(simSeed, 1)),
	}
	for i := range service.Targets() {
		target := balance.Target{Name: fmt.Sprintf("t%02d", i), Slots: float64(slots)}
		s.input.Targets = append(s.input.Targets, target)
	}
	for i := range shards {
		s.addShard(shard.ID{Service: service.Name(), Group: "all", Index: i}, "")
	}
	s.apply(policy(s.input))
	s.churn, s.moves = 0, 0
	return s
}

func (s *simulation) addShard(id shard.ID, owner string) {
	s.index[id] = len(s.input.Shards)
	s.input.Shards = append(s.input.Shards, balance.Shard{ID: id, Target: owner})
	s.secondLoads = append(s.secondLoads, 0)
	s.seenKeys[id] = map[string]bool{}
}

// shardOf returns the shard of the key of a request, which is the shard of the
// hot key if the key has been split off.
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
	serviceTime := request.Operation().ServiceTime()
	s.secondLoads[s.index[id]] += serviceTime.Seconds()
	s.randomLoads[s.random.IntN(len(s.randomLoads))] += serviceTime.Seconds()
	s.keyLoads[request.Key()] += int64(serviceTime)
	s.seenKeys[id][request.Key()] = true
	s.sketch.Add(time.Unix(0, 0).Add(request.Due()), request.Key(), serviceTime.Seconds())
}

func (s *simulation) endSecond() {
	s.recordImbalance()
	for i, load := range s.secondLoads {
		item := &s.input.Shards[i]
		item.Load += simSmoothing * (load - item.Load)
		item.Keys = float64(len(s.seenKeys[item.ID]))
		item.Hot = nil
		s.secondLoads[i] = 0
	}
	s.now += time.Second
	s.updateHotKeys()
	s.apply(s.policy(s.input))
	s.keyLoads = map[string]int64{}
	clear(s.randomLoads)
}

// recordImbalance records the imbalance of the second that ends, after the
// warm-up. Its lower bound is given by the load of the hottest key.
func (s *simulation) recordImbalance() {
	s.seconds++
	if s.seconds <= simWarmUp {
		return
	}
	loads, total, most, hottest := map[string]float64{}, 0.0, 0.0, int64(0)
	for i, load := range s.secondLoads {
		loads[s.input.Shards[i].Target] += load
		total += load
	}
	for _, load := range loads {
		most = max(most, load)
	}
	for _, keyLoad := range s.keyLoads {
		hottest = max(hottest, keyLoad)
	}
	mean := total / float64(len(s.input.Targets))
	s.imbalances = append(s.imbalances, most/mean)
	s.randomImbalance += slices.Max(s.randomLoads) / mean
	s.lowerBounds = append(s.lowerBounds, max(1, time.Duration(hottest).Seconds()/mean))
}

func (s *simulation) updateHotKeys() {
	top, _ := s.sketch.Top(time.Unix(0, 0).Add(s.now), 20)
	for _, key := range top {
		id := shard.ID{Service: s.input.Shards[0].ID.Service, Group: "all", Index: shard.IndexOf(key.Name(), s.shards)}
		item := &s.input.Shards[s.index[id]]
		hot := id
		hot.Key = key.Name()
		if _, split := s.index[hot]; !split {
			item.Hot = append(item.Hot, balance.Key{Name: key.Name(), Load: key.Load() - key.Uncertainty()})
		}
	}
}

func (s *simulation) apply(decision balance.Decision) {
	for _, move := range decision.Moves {
		s.input.Shards[s.index[move.Shard]].Target = move.To
		s.churn += len(s.seenKeys[move.Shard])
		s.moves++
	}
	for _, split := range decision.Splits {
		parent := &s.input.Shards[s.index[split.Shard.Parent()]]
		parent.Load -= split.Load
		delete(s.seenKeys[split.Shard.Parent()], split.Shard.Key)
		s.addShard(split.Shard, parent.Target)
		s.input.Shards[s.index[split.Shard]].Load = split.Load
		s.seenKeys[split.Shard][split.Shard.Key] = true
		s.splits++
	}
}

// result holds the measurements of a simulation. The loads are relative to the
// mean load of the targets, churn is the number of keys moved, aboveRatio is the
// fraction of seconds with an imbalance above OverloadRatio, lowerBound is the
// load of the hottest key, and randomImbalance is the imbalance if each request
// is sent to a random target.
type result struct {
	mean, p95, aboveRatio, lowerBound, randomImbalance float64
	churn, moves, splits                               int
}

func (s *simulation) result() result {
	slices.Sort(s.imbalances)
	r := result{churn: s.churn, moves: s.moves, splits: s.splits, p95: s.imbalances[len(s.imbalances)*95/100]}
	r.randomImbalance = s.randomImbalance / float64(len(s.imbalances))
	for i, ratio := range s.imbalances {
		r.mean += ratio / float64(len(s.imbalances))
		r.lowerBound += s.lowerBounds[i] / float64(len(s.imbalances))
		if ratio > balance.OverloadRatio {
			r.aboveRatio += 1 / float64(len(s.imbalances))
		}
	}
	return r
}

func (r result) String() string {
	return fmt.Sprintf("| %.2f | %.2f | %.0f%% | %.2f | %.2f | %d | %d | %d |",
		r.mean, r.p95, r.aboveRatio*100, r.lowerBound, r.randomImbalance, r.churn, r.moves, r.splits)
}

// scenario is one service of the workload with the given name, with its targets
// at half their capacity.
type scenario struct {
	name, service string
	shards        int
	weights       balance.Weights
}

func (c scenario) String() string { return fmt.Sprintf("%s/%s/%d", c.name, c.service, c.shards) }

func simulate(t testing.TB, c scenario, policy func(balance.Input) balance.Decision) result {
	t.Helper()
	load, err := workload.Named(c.name)
	if err == nil {
		load, err = load.WithServices([]string{c.service})
	}
	if err != nil {
		t.Fatal(err)
	}
	rate := simLoad * load.Capacity(nil, load.Slots())
	schedule, err := workload.NewSchedule(load, workload.Options{Seed: simSeed, Rate: rate, Duration: simDuration, HotSetPeriod: simHotSetPeriod, Run: "s"})
	if err != nil {
		t.Fatal(err)
	}
	sim := newSimulation(load.Services()[0], load.Slots(), c.shards, c.weights, policy)
	for {
		request, ok := schedule.Next()
		if !ok {
			return sim.result()
		}
		sim.observe(request)
	}
}

func scenarios(t *testing.T) []scenario {
	t.Helper()
	weights := map[string]balance.Weights{
		"caroni": {Unavailable: 10, Churn: 1, Imbalance: 1},
		"tomor":  {Unavailable: 3, Churn: 10, Imbalance: 1},
	}
	var list []scenario
	for _, name := range workload.Names() {
		load, err := workload.Named(name)
		if err != nil {
			t.Fatal(err)
		}
		for _, service := range load.Services() {
			for _, shards := range []int{64, 256} {
				list = append(list, scenario{name, service.Name(), shards, weights[name]})
			}
		}
	}
	return list
}

// TestPolicies compares the policies under hot keys that change over time, for
// each service of both workloads. With -v it prints a table of the results.
func TestPolicies(t *testing.T) {
	t.Log("mean, p95, seconds above OverloadRatio, lower bound by the hottest key, random targets, keys moved, moves, splits")
	for _, c := range scenarios(t) {
		t.Run(c.String(), func(t *testing.T) {
			t.Parallel()
			pineturn, rendezvous, bounded := simulate(t, c, balance.Plan), simulate(t, c, balance.Rendezvous), simulate(t, c, balance.BoundedLoad)
			t.Logf("\n| %v | rendezvous %v\n| %v | bounded load %v\n| %v | pineturn %v", c, rendezvous, c, bounded, c, pineturn)
			if pineturn.mean >= bounded.mean || pineturn.mean >= rendezvous.mean {
				t.Errorf("imbalance: got %.2f, want less than %.2f and %.2f", pineturn.mean, rendezvous.mean, bounded.mean)
			}
			if pineturn.churn >= bounded.churn {
				t.Errorf("keys moved: got %d, want fewer than bounded-load hashing's %d", pineturn.churn, bounded.churn)
			}
		})
	}
}
