package concurrency

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

const work = 200 * time.Millisecond

// model is a target by virtual time, with its estimator.
type model struct {
	*Estimator
	rand          *rand.Rand
	speed, spread float64
	// tail is the share of the requests that take seven times as long.
	tail float64
	// slower returns the factor by which a request takes longer beside others.
	slower func(inProgress int) float64
	// reported is the number in progress as far as it is known.
	reported func(inProgress int) float64
	free     []time.Time
	pending  []response
}

type response struct {
	at     time.Time
	sample Sample
}

func newModel(seed uint64, slots int, service *Service, speed, spread float64) *model {
	return &model{
		Estimator: New(slots, service), rand: rand.New(rand.NewPCG(seed, 1)), speed: speed, spread: spread,
		free: make([]time.Time, slots), slower: notSlower, reported: func(n int) float64 { return float64(n) },
	}
}

// send sends a request and records the responses that came before.
func (m *model) send(now time.Time) {
	m.respond(now)
	n := len(m.pending) + 1
	took := work.Seconds() / m.speed * math.Exp(m.spread*m.rand.NormFloat64()-m.spread*m.spread/2) * m.slower(n)
	if m.rand.Float64() < m.tail {
		took *= 7
	}
	slices.SortFunc(m.free, time.Time.Compare)
	if m.free[0].Before(now) {
		m.free[0] = now
	}
	m.free[0] = m.free[0].Add(time.Duration(took * float64(time.Second)))
	m.pending = append(m.pending, response{m.free[0], Sample{InProgress: m.reported(n), Took: m.free[0].Sub(now)}})
	slices.SortFunc(m.pending, func(a, b response) int { return a.at.Compare(b.at) })
}

func (m *model) respond(now time.Time) {
	for ; len(m.pending) > 0 && !m.pending[0].at.After(now); m.pending = m.pending[1:] {
		m.Record(m.pending[0].sample, m.pending[0].at)
	}
}

// run sends requests at a rate until an end, with exponential times between them.
func (m *model) run(perSecond float64, now, end time.Time) *model {
	for ; now.Before(end); now = now.Add(time.Duration(m.rand.ExpFloat64() / perSecond * float64(time.Second))) {
		m.send(now)
	}
	m.respond(end)
	return m
}

// warmService returns a service whose other targets, of speed 1, have responded often.
func warmService(spread float64, slower func(int) float64) *Service {
	s := NewService()
	for i := range 12 {
		m := newModel(uint64(i), 3, s, 1, spread)
		m.slower = slower
		m.run(float64(1+i), start.Add(-20*time.Second), start)
	}
	return s
}

func notSlower(int) float64 { return 1 }

func near(got, want, fraction float64) bool { return math.Abs(got-want) <= fraction*want }

// wantShare checks the share of the draws that do as they should.
func wantShare(t *testing.T, what string, draws int, want float64, draw func(seed uint64) bool) {
	t.Helper()
	n := 0
	for seed := range draws {
		if draw(uint64(seed)) {
			n++
		}
	}
	wantAtLeast(t, "share of draws "+what, float64(n)/float64(draws), want)
}

func wantAtLeast(t *testing.T, what string, got, want float64) {
	t.Helper()
	if got < want {
		t.Errorf("%s: got %.3f, want at least %.3f", what, got, want)
	}
}

func wantNear(t *testing.T, what string, got, want, fraction float64) {
	t.Helper()
	if !near(got, want, fraction) {
		t.Errorf("%s: got %.3f, want %.3f within %.0f%%", what, got, want, 100*fraction)
	}
}

func TestSpeed(t *testing.T) {
	for _, speed := range []float64{0.5, 0.7, 1, 1.6} {
		for _, spread := range []float64{0.3, 0.5} {
			mean := 0.0
			wantShare(t, "within 25% of the speed after 40 responses", 60, 0.85, func(seed uint64) bool {
				got := 1 / newModel(seed, 3, warmService(spread, notSlower), speed, spread).run(8, start, start.Add(5*time.Second)).relativeTime
				mean += got / 60
				return near(got, speed, 0.25)
			})
			wantNear(t, "mean of the speeds", mean, speed, 0.15)
		}
	}
	wantShare(t, "within 40% of the speed, with tails", 60, 0.85, func(seed uint64) bool {
		m := newModel(seed, 3, warmService(0.8, notSlower), 1, 0.8)
		m.tail = 0.03
		return near(m.run(5, start, start.Add(8*time.Second)).relativeTime, 1, 0.4)
	})
	wantShare(t, "between a third under the speed and the service's, with few requests", 60, 0.9, func(seed uint64) bool {
		return near(1/newModel(seed, 3, warmService(0.5, notSlower), 0.6, 0.5).run(1, start, start.Add(3*time.Second)).relativeTime, 0.8, 0.5)
	})
}

func TestChange(t *testing.T) {
	for _, tt := range []struct{ before, after, least, most float64 }{{1, 0.2, 2.5, math.Inf(1)}, {0.2, 1, 0, 2}} {
		wantShare(t, "that notice a change within 2 s at 10 requests a second", 40, 0.9, func(seed uint64) bool {
			changed := start.Add(8 * time.Second)
			m := newModel(seed, 12, warmService(0.5, notSlower), tt.before, 0.5).run(10, start, changed)
			m.speed = tt.after
			// A request that takes a second can't tell of the change before it ends.
			got := m.run(10, changed, changed.Add(2*time.Second)).relativeTime
			return got > tt.least && got < tt.most
		})
	}
	t.Run("steady targets do not drift", func(t *testing.T) {
		off := 0
		for seed := range 20 {
			m := newModel(uint64(seed), 3, warmService(0.5, notSlower), 1, 0.5)
			for i := range 30 {
				now := start.Add(time.Duration(i) * time.Second)
				if math.Abs(math.Log(m.run(8, now, now.Add(time.Second)).relativeTime)) > math.Log(1.5) {
					off++
				}
			}
		}
		wantAtLeast(t, "share of seconds within 50% of the speed", 1-float64(off)/600, 0.97)
	})
	t.Run("a target without responses returns to the service", func(t *testing.T) {
		m := newModel(1, 3, warmService(0.5, notSlower), 0.3, 0.5).run(5, start, start.Add(8*time.Second))
		got := m.Estimate(start.Add(3 * time.Minute))
		wantNear(t, "processing time", got.ProcessingTime.Seconds(), m.service.ProcessingTime().Seconds(), 0.1)
		if got.Known {
			t.Error("known without responses for minutes: got true, want false")
		}
	})
}

func TestLimit(t *testing.T) {
	slowWhenFull := func(n int) float64 {
		if n >= 3 {
			return 2.5
		}
		return 1
	}
	for _, tt := range []struct {
		what                      string
		slower                    func(int) float64
		perSecond, want, fraction float64
	}{
		{"without a limit where no load slows the target", notSlower, 13, 3 * maxDepth, 0.01},
		{"with a limit of 2 or 3 where the target is slow when nearly full", slowWhenFull, 8, 2.5, 0.25},
	} {
		wantShare(t, tt.what, 30, 0.9, func(seed uint64) bool {
			m, now := newModel(seed, 3, warmService(0.5, tt.slower), 1, 0.5), start
			m.slower = tt.slower
			for i := range 20 {
				// The load changes, so that there is something to compare.
				m.run(tt.perSecond*(0.4+0.3*float64(i%4)), now, now.Add(3*time.Second))
				now = now.Add(3 * time.Second)
			}
			return near(m.Estimate(now).Limit, tt.want, tt.fraction)
		})
	}
	t.Run("a refusal limits for seconds", func(t *testing.T) {
		e := New(3, NewService())
		e.Record(Sample{InProgress: 7, Refused: true}, start)
		wantNear(t, "limit", e.Estimate(start).Limit, 6, 0.01)
		wantAtLeast(t, "limit later", e.Estimate(start.Add(10*time.Second)).Limit, 14)
	})
}

func TestReports(t *testing.T) {
	for _, tt := range []struct {
		what     string
		reported func(int) float64
		least    float64
	}{
		{"a target that reports too few is taken for slow", func(int) float64 { return 1 }, 1},
		{"a target that reports too many is not taken for faster than its responses are", func(n int) float64 { return float64(n + 100) }, 1 / (2 * maxDepth)},
	} {
		m := newModel(3, 3, warmService(0.5, notSlower), 1, 0.5)
		m.reported = tt.reported
		wantAtLeast(t, tt.what+": relative time", m.run(12, start, start.Add(10*time.Second)).relativeTime, tt.least)
	}
	e := New(3, warmService(0.5, notSlower))
	for range 5 {
		e.Record(Sample{InProgress: 1, Took: 3 * work, Slowdown: 3}, start)
	}
	if got := e.relativeTime; got > 1.5 {
		t.Errorf("relative time on a slowed machine: got %.2f, want at most 1.5", got)
	}
}

func TestRecordDoesNotAllocate(t *testing.T) {
	e, sample := New(3, NewService()), Sample{InProgress: 2, Took: work}
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
