package concurrency

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

// model is a target by virtual time.
type model struct {
	rand   *rand.Rand
	slots  int
	speed  float64
	spread float64
	// tail is the share of the requests that take seven times as long.
	tail float64
	// slower returns the factor by which a request takes longer beside others.
	slower func(inProgress int) float64
	// reported changes what is known of the number in progress.
	reported func(inProgress int) float64
	free     []time.Time
	pending  []response
}

type response struct {
	at     time.Time
	sample Sample
}

const work = 200 * time.Millisecond

func newModel(seed uint64, slots int, speed, spread float64) *model {
	return &model{
		rand: rand.New(rand.NewPCG(seed, 1)), slots: slots, speed: speed, spread: spread, free: make([]time.Time, slots),
		slower: notSlower, reported: func(n int) float64 { return float64(n) },
	}
}

// send sends a request and records the responses that came before.
func (m *model) send(e *Estimator, now time.Time) {
	m.respond(e, now)
	n := len(m.pending) + 1
	took := work.Seconds() / m.speed * math.Exp(m.spread*m.rand.NormFloat64()-m.spread*m.spread/2) * m.slower(n)
	if m.rand.Float64() < m.tail {
		took *= 7
	}
	slices.SortFunc(m.free, time.Time.Compare)
	begin := now
	if m.free[0].After(now) {
		begin = m.free[0]
	}
	m.free[0] = begin.Add(time.Duration(took * float64(time.Second)))
	m.pending = append(m.pending, response{m.free[0], Sample{InProgress: m.reported(n), Took: m.free[0].Sub(now)}})
	slices.SortFunc(m.pending, func(a, b response) int { return a.at.Compare(b.at) })
}

func (m *model) respond(e *Estimator, now time.Time) {
	for len(m.pending) > 0 && !m.pending[0].at.After(now) {
		e.Record(m.pending[0].sample, m.pending[0].at)
		m.pending = m.pending[1:]
	}
}

// run sends requests at a rate until an end, with exponential times between them.
func (m *model) run(e *Estimator, perSecond float64, now, end time.Time) {
	for now.Before(end) {
		m.send(e, now)
		now = now.Add(time.Duration(m.rand.ExpFloat64() / perSecond * float64(time.Second)))
	}
	m.respond(e, end)
}

// warmService returns a service whose other targets, of speed 1, have responded often.
func warmService(spread float64, slower func(int) float64) *Service {
	s := NewService()
	for i := range 12 {
		m := newModel(uint64(i), 3, 1, spread)
		m.slower = slower
		m.run(New(3, s), float64(1+i), start.Add(-20*time.Second), start)
	}
	return s
}

func notSlower(int) float64 { return 1 }

// within returns the share of draws in which got is within a fraction of want.
func within(draws int, fraction, want float64, draw func(seed uint64) float64) float64 {
	n := 0
	for seed := range draws {
		if got := draw(uint64(seed)); math.Abs(got-want) <= fraction*want {
			n++
		}
	}
	return float64(n) / float64(draws)
}

func wantAtLeast(t *testing.T, what string, got, want float64) {
	t.Helper()
	if got < want {
		t.Errorf("%s: got %.3f, want at least %.3f", what, got, want)
	}
}

func wantNear(t *testing.T, what string, got, want, fraction float64) {
	t.Helper()
	if math.Abs(got-want) > fraction*want {
		t.Errorf("%s: got %.3f, want %.3f within %.0f%%", what, got, want, 100*fraction)
	}
}

func TestSpeed(t *testing.T) {
	for _, speed := range []float64{0.5, 0.7, 1, 1.6} {
		for _, spread := range []float64{0.3, 0.5} {
			draw := func(seed uint64) float64 {
				e := New(3, warmService(spread, notSlower))
				newModel(seed, 3, speed, spread).run(e, 8, start, start.Add(5*time.Second))
				return 1 / e.RelativeTime()
			}
			wantAtLeast(t, "share of draws within 25% of the speed after 40 responses", within(60, 0.25, speed, draw), 0.85)
			mean := 0.0
			for seed := range 60 {
				mean += draw(uint64(seed)) / 60
			}
			wantNear(t, "mean of the speeds", mean, speed, 0.15)
		}
	}
	t.Run("tails", func(t *testing.T) {
		draw := func(seed uint64) float64 {
			e, m := New(3, warmService(0.8, notSlower)), newModel(seed, 3, 1, 0.8)
			m.tail = 0.03
			m.run(e, 5, start, start.Add(8*time.Second))
			return e.RelativeTime()
		}
		wantAtLeast(t, "share of draws within 40% of the speed", within(60, 0.4, 1, draw), 0.85)
	})
	t.Run("few requests", func(t *testing.T) {
		draw := func(seed uint64) float64 {
			e := New(3, warmService(0.5, notSlower))
			newModel(seed, 3, 0.6, 0.5).run(e, 1, start, start.Add(3*time.Second))
			return 1 / e.RelativeTime()
		}
		wantAtLeast(t, "share of draws between a third under the speed and the service's", within(60, 0.5, 0.8, draw), 0.9)
	})
}

func TestChange(t *testing.T) {
	for _, tt := range []struct {
		name        string
		before      float64
		after, want float64
	}{
		{"slower", 1, 0.2, 2.5},
		{"faster", 0.2, 1, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			noticed := 0
			for seed := range 40 {
				e, m := New(12, warmService(0.5, notSlower)), newModel(uint64(seed), 12, tt.before, 0.5)
				changed := start.Add(8 * time.Second)
				m.run(e, 10, start, changed)
				m.speed = tt.after
				// A request that takes a second can't tell of the change before it ends.
				m.run(e, 10, changed, changed.Add(2*time.Second))
				got := e.RelativeTime()
				if tt.after < tt.before && got > 2.5 || tt.after > tt.before && got < 2 {
					noticed++
				}
			}
			wantAtLeast(t, "share of draws that notice it within 2 s at 10 requests a second", float64(noticed)/40, 0.9)
		})
	}
	t.Run("steady targets do not drift", func(t *testing.T) {
		off := 0
		for seed := range 20 {
			e, m := New(3, warmService(0.5, notSlower)), newModel(uint64(seed), 3, 1, 0.5)
			now := start
			for range 30 {
				m.run(e, 8, now, now.Add(time.Second))
				now = now.Add(time.Second)
				if math.Abs(math.Log(e.RelativeTime())) > math.Log(1.5) {
					off++
				}
			}
		}
		wantAtLeast(t, "share of seconds within 50% of the speed", 1-float64(off)/600, 0.97)
	})
	t.Run("a target without responses returns to the service", func(t *testing.T) {
		e := New(3, warmService(0.5, notSlower))
		newModel(1, 3, 0.3, 0.5).run(e, 5, start, start.Add(8*time.Second))
		got := e.Estimate(start.Add(3 * time.Minute))
		wantNear(t, "processing time", got.ProcessingTime.Seconds(), e.service.ProcessingTime().Seconds(), 0.1)
		if got.Known {
			t.Error("known without responses for minutes: got true, want false")
		}
	})
}

func TestLimit(t *testing.T) {
	estimate := func(seed uint64, slower func(int) float64, perSecond float64) float64 {
		e, m := New(3, warmService(0.5, slower)), newModel(seed, 3, 1, 0.5)
		m.slower = slower
		now := start
		for i := range 20 {
			// The load changes, so that there is something to compare.
			m.run(e, perSecond*(0.4+0.3*float64(i%4)), now, now.Add(3*time.Second))
			now = now.Add(3 * time.Second)
		}
		return e.Estimate(now).Limit
	}
	t.Run("a target that is slowed by no load has no limit", func(t *testing.T) {
		wantAtLeast(t, "share of draws", within(30, 0.01, 3*maxDepth, func(seed uint64) float64 {
			return estimate(seed, notSlower, 13)
		}), 0.9)
	})
	t.Run("a target that is slow when nearly full", func(t *testing.T) {
		slower := func(n int) float64 {
			if n >= 3 {
				return 2.5
			}
			return 1
		}
		wantAtLeast(t, "share of draws with a limit of 2 or 3", within(30, 0.25, 2.5, func(seed uint64) float64 { return estimate(seed, slower, 8) }), 0.9)
	})
	t.Run("a refusal limits for seconds", func(t *testing.T) {
		e := New(3, NewService())
		e.Record(Sample{InProgress: 7, Refused: true}, start)
		wantNear(t, "limit", e.Estimate(start).Limit, 6, 0.01)
		wantAtLeast(t, "limit later", e.Estimate(start.Add(10*time.Second)).Limit, 14)
	})
}

func TestReports(t *testing.T) {
	speed := func(reported func(int) float64) float64 {
		e, m := New(3, warmService(0.5, notSlower)), newModel(3, 3, 1, 0.5)
		m.reported = reported
		m.run(e, 12, start, start.Add(10*time.Second))
		return e.RelativeTime()
	}
	t.Run("a target that reports too few is taken for slow", func(t *testing.T) {
		wantAtLeast(t, "relative time", speed(func(int) float64 { return 1 }), 1)
	})
	t.Run("a target that reports too many is not taken for faster than its responses are", func(t *testing.T) {
		wantAtLeast(t, "relative time", speed(func(n int) float64 { return float64(n + 100) }), 1/(2*maxDepth))
	})
	t.Run("a slowed machine says less of its target", func(t *testing.T) {
		e := New(3, warmService(0.5, notSlower))
		for range 5 {
			e.Record(Sample{InProgress: 1, Took: 3 * work, Slowdown: 3}, start)
		}
		if got := e.RelativeTime(); got > 1.8 {
			t.Errorf("relative time: got %.2f, want at most 1.8", got)
		}
	})
}

func TestRecordDoesNotAllocate(t *testing.T) {
	e := New(3, NewService())
	sample := Sample{InProgress: 2, Took: work}
	if got := testing.AllocsPerRun(100, func() { e.Record(sample, start) }); got != 0 {
		t.Errorf("allocations of a sample: got %v, want 0", got)
	}
}

func BenchmarkRecord(b *testing.B) {
	e := New(3, NewService())
	for i := range b.N {
		e.Record(Sample{InProgress: 2, Took: work}, start.Add(time.Duration(i)*time.Millisecond))
	}
}
