package ratelimit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pineturn/core/hostcount"
)

// round is the time between two updates to the same host.
const round = 600 * time.Millisecond

// fleet is a divider with hosts that all report demand for limited targets.
type fleet struct {
	divider *Divider
	now     time.Time
	hosts   []string
	targets []string
	told    []Told
}

func newFleet(hosts, targets int) *fleet {
	f := &fleet{divider: NewDivider(hostcount.New()), now: simStart, told: make([]Told, hosts)}
	for i := range hosts {
		f.hosts = append(f.hosts, fmt.Sprint("host-", i))
	}
	for i := range targets {
		f.targets = append(f.targets, fmt.Sprint("target-", i))
	}
	f.divider.SetLeading(true, f.now)
	f.now = f.now.Add(takeOverDelay)
	return f
}

// report lets each host report its demand for all targets.
func (f *fleet) report(demand func(host int) float64) {
	for i, host := range f.hosts {
		observations := make([]Observation, 0, len(f.targets))
		for _, target := range f.targets {
			observations = append(observations, Observation{Target: target, Limit: Limit{Named: true, PerSecond: 20}, Demand: demand(i)})
		}
		f.divider.AddReport(host, observations, f.now)
	}
}

// update tells all hosts what is new to them, and returns the number of shares that took.
func (f *fleet) update() int {
	n := 0
	for i, host := range f.hosts {
		n += len(f.divider.Update(host, &f.told[i], len(f.hosts), f.now).Shares)
	}
	return n
}

// BenchmarkRound measures one round of updates to all hosts.
func BenchmarkRound(b *testing.B) {
	for _, hosts := range []int{59, 195, 300} {
		for _, targets := range []int{10, 200, 600} {
			b.Run(fmt.Sprintf("%d hosts, %d limited targets", hosts, targets), func(b *testing.B) {
				f := newFleet(hosts, targets)
				f.report(steadyDemand)
				b.ReportAllocs()
				b.ResetTimer()
				for range b.N {
					f.now = f.now.Add(round)
					b.StopTimer()
					f.report(steadyDemand)
					b.StartTimer()
					f.update()
				}
			})
		}
	}
}

func steadyDemand(host int) float64 { return 0.2 + float64(host%7)/10 }

// TestOnlyChangesAreTold guards against messages that grow with hosts times limited targets
// while nothing changes, or while demand fluctuates.
func TestOnlyChangesAreTold(t *testing.T) {
	const hosts, targets, rounds = 195, 60, 20
	const limit = 20
	random := rand.New(rand.NewPCG(1, 2))
	for _, c := range []struct {
		name   string
		demand func(host int) float64
		// most is the largest number of shares that each round tells all hosts.
		most int
	}{
		{"steady demand", steadyDemand, 0},
		{"demand that fluctuates", func(host int) float64 { return steadyDemand(host) * (0.9 + 0.2*random.Float64()) }, targets * int(saved(limit))},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(hosts, targets)
			f.report(c.demand)
			if got, want := f.update(), hosts*targets; got != want {
				t.Errorf("shares told first: got %d, want %d", got, want)
			}
			for i := range rounds {
				f.now = f.now.Add(round)
				f.report(c.demand)
				if got := f.update(); i > 5 && got > c.most {
					t.Errorf("shares told in round %d: got %d, want at most %d", i, got, c.most)
				}
			}
		})
	}
}

// TestNewLinkIsToldAll guards against a host that knows only changes since an earlier link, or
// since the leadership before.
func TestNewLinkIsToldAll(t *testing.T) {
	f := newFleet(2, 3)
	f.report(steadyDemand)
	f.update()
	assertUpdate := func(t *testing.T, told *Told, shares int, continues bool) {
		t.Helper()
		got := f.divider.Update(f.hosts[0], told, len(f.hosts), f.now)
		if len(got.Shares) != shares || got.Continues != continues {
			t.Errorf("update: got %d shares, continues %t, want %d, %t", len(got.Shares), got.Continues, shares, continues)
		}
	}
	t.Run("same link", func(t *testing.T) { assertUpdate(t, &f.told[0], 0, true) })
	t.Run("new link", func(t *testing.T) { assertUpdate(t, &Told{}, 3, false) })
	t.Run("not leading", func(t *testing.T) {
		f.divider.SetLeading(false, f.now)
		assertUpdate(t, &f.told[0], 0, false)
	})
	t.Run("leading again", func(t *testing.T) {
		f.divider.SetLeading(true, f.now)
		f.report(steadyDemand)
		assertUpdate(t, &f.told[0], 3, false)
		assertUpdate(t, &f.told[0], 0, true)
	})
}

// TestOlderKnowledgeIsCorrected guards against a host that goes on with an older limit, as the
// leader has told it the newer one before.
func TestOlderKnowledgeIsCorrected(t *testing.T) {
	f := newFleet(2, 1)
	f.report(steadyDemand)
	f.update()
	older := Observation{Target: f.targets[0], Age: time.Second}
	f.divider.AddReport(f.hosts[0], []Observation{older}, f.now)
	if got := f.update(); got != 1 {
		t.Errorf("shares told after a report of an older limit: got %d, want 1", got)
	}
}

// TestEndedPartsAreTold guards against a part that a host keeps and renews though the leader
// has dealt it to others.
func TestEndedPartsAreTold(t *testing.T) {
	f := newFleet(2, 1)
	f.report(steadyDemand)
	f.update()
	for range 10 {
		f.now = f.now.Add(reportMemory / 2)
		for _, share := range f.divider.Update(f.hosts[0], &f.told[0], len(f.hosts), f.now).Shares {
			if share.PerSecond > 0 {
				t.Errorf("part of a host without reports: got %v, want 0", share.PerSecond)
			}
			if !share.Dealt {
				return
			}
		}
	}
	t.Error("shares of a host without reports: got none that ends its part, want one")
}

// TestSharesOfUnknownTargets guards against a part that is lost, as the leader told it before
// this host knew the target, or that a new link continues.
func TestSharesOfUnknownTargets(t *testing.T) {
	share := Share{Target: target, Limit: Limit{Named: true, PerSecond: 4}, Dealt: true, PerSecond: 2, Burst: 1}
	assertRate := func(t *testing.T, s *Shares, at time.Duration, want float64) {
		t.Helper()
		var p Pacer
		s.Inform(target, &p, simStart.Add(at))
		if got := p.Rate(simStart.Add(at), 1); got != want {
			t.Errorf("rate at %v: got %v, want %v", at, got, want)
		}
	}
	var s Shares
	s.Apply(Update{Shares: []Share{share}}, simStart)
	assertRate(t, &s, time.Second, 2)
	s.Apply(Update{Continues: true}, simStart.Add(shareTime))
	assertRate(t, &s, shareTime+time.Second, 2)
	s.Apply(Update{}, simStart.Add(2*shareTime))
	assertRate(t, &s, 2*shareTime, 0)
}

// TestFewHostsReportIdleLimits guards against reports of limits that nobody has demand for
// by all hosts, and against limits that the leader forgets.
func TestFewHostsReportIdleLimits(t *testing.T) {
	const hosts, rounds = 195, 40
	random := rand.New(rand.NewPCG(1, 2))
	pacers := make([]Pacer, hosts)
	for i := range pacers {
		pacers[i].Random = random.Float64
		pacers[i].Learn(Limit{Named: true, PerSecond: 1}, simStart, simStart)
	}
	total := 0
	for range rounds {
		n := 0
		for i := range pacers {
			if _, ok := pacers[i].Observation(target, simStart.Add(time.Minute), hosts); ok {
				n++
			}
		}
		if n == 0 {
			t.Errorf("hosts that report the limit: got 0, want some")
		}
		total += n
	}
	if got, most := float64(total)/rounds, 1.5*idleReporters; got > most {
		t.Errorf("hosts that report the limit: got %.1f, want at most %.1f on average", got, most)
	}
}

// TestNumbersOfHosts guards against a host that is given what is left of another one's parts
// with its number, after a leader that was paused has forgotten both.
func TestNumbersOfHosts(t *testing.T) {
	f := newFleet(3, 2)
	f.report(steadyDemand)
	f.update()
	f.now = f.now.Add(2 * memberMemory)
	f.update()
	for _, x := range f.divider.sorted {
		if x.count > 0 {
			t.Errorf("parts of %s after all hosts were forgotten: got %d, want 0", x.target, x.count)
		}
	}
	f.hosts = append(f.hosts, "host-new")
	f.told = append(f.told, Told{})
	f.report(steadyDemand)
	numbers := make(map[int]string)
	for host, m := range f.divider.members {
		if other, taken := numbers[m.number]; taken {
			t.Errorf("number %d: got it for %s and %s, want it for one", m.number, host, other)
		}
		numbers[m.number] = host
	}
}
