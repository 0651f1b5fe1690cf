package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pineturn/core/ratelimit"
)

const restTime = 2 * time.Second

// assertSendWait checks the time until a request can be sent.
func assertSendWait(t *testing.T, s *Set, criteria Criteria, now time.Time, want time.Duration) {
	t.Helper()
	criteria.Service = service
	if got := s.SendWait(criteria, now); got != want {
		t.Errorf("time until a request can be sent: got %v, want %v", got, want)
	}
}

// TestRestingTarget guards against requests to a target within the time for which it has asked
// for none, and against requests that wait for it in vain.
func TestRestingTarget(t *testing.T) {
	within, after := start.Add(restTime-time.Millisecond), start.Add(restTime)
	t.Run("others serve", func(t *testing.T) {
		s := newSet("t1", "t2")
		s.ObserveRest("t1", after, start)
		for range 2 {
			if got := choose(t, s, Criteria{}, within).Entry.ID; got != "t2" {
				t.Errorf("target: got %s, want t2", got)
			}
		}
	})
	t.Run("all rest", func(t *testing.T) {
		s := newSet("t1", "t2")
		s.ObserveRest("t1", after, start)
		s.ObserveRest("t2", after.Add(time.Second), start)
		wantStatus(t, s, Criteria{}, start, Resting)
		wantStatus(t, s, Criteria{Exclude: []string{"t1", "t2"}}, start, Resting)
		assertSendWait(t, s, Criteria{}, start, restTime)
		choose(t, s, Criteria{}, after)
	})
	t.Run("owner of a key", func(t *testing.T) {
		s := newSet("t1", "t2")
		s.ObserveRest("t1", after, start)
		wantStatus(t, s, Criteria{Owner: "t1"}, within, Resting)
		assertSendWait(t, s, Criteria{Owner: "t1"}, start, restTime)
		choose(t, s, Criteria{Owner: "t2"}, within)
		choose(t, s, Criteria{Owner: "t1"}, after)
	})
	t.Run("others are full", func(t *testing.T) {
		s := newSet("t1", "t2")
		s.ObserveRest("t1", after, start)
		for range 7 {
			choose(t, s, Criteria{Owner: "t2"}, start)
		}
		wantStatus(t, s, Criteria{}, start, NoCapacity)
	})
	t.Run("others are soon available", func(t *testing.T) {
		s := newSet("t1", "t2")
		s.ObserveRest("t1", after, start)
		choose(t, s, Criteria{Owner: "t2"}, start).End(Failed, nil, start)
		wantStatus(t, s, Criteria{}, start, NoTarget)
	})
	t.Run("a shorter rest", func(t *testing.T) {
		s := newSet("t1")
		s.ObserveRest("t1", after, start)
		s.ObserveRest("t1", start.Add(time.Millisecond), start)
		wantStatus(t, s, Criteria{}, within, Resting)
	})
	t.Run("removed and back", func(t *testing.T) {
		s := newSet("t1")
		s.ObserveRest("t1", after, start)
		s.Remove("t1")
		s.Put(entry("t1", "a"), start)
		wantStatus(t, s, Criteria{}, within, Resting)
	})
	t.Run("another incarnation", func(t *testing.T) {
		s := newSet("t1")
		s.ObserveRest("t1", after, start)
		next := entry("t1", "a")
		next.Born++
		s.Put(next, start)
		choose(t, s, Criteria{}, within)
	})
	t.Run("with a limit", func(t *testing.T) {
		s := newLimitedSet(1, "t1")
		s.ObserveRest("t1", after, start)
		wantStatus(t, s, Criteria{}, start, Resting)
		assertSendWait(t, s, Criteria{}, start, restTime)
		s.ObserveLimit("t1", ratelimit.Limit{}, after, after)
		choose(t, s, Criteria{}, after)
	})
}

const (
	// simStep and simEnd are the step and the end of a simulation, simTransit the time from a
	// request to its response, and simRest the rest that responses ask for.
	simStep    = 10 * time.Millisecond
	simEnd     = 30 * time.Second
	simTransit = 20 * time.Millisecond
	simRest    = 3 * time.Second
	// requestShare is the probability of a request in a step, restShare that of a response
	// which asks for a rest.
	requestShare = 0.3
	restShare    = 0.05
)

// restSim simulates one host that sends requests to two targets, both of which ask for rests.
// Half of the requests are for keys of the first one.
type restSim struct {
	random *rand.Rand
	set    *Set
	// underway are the requests without a response, by the time of that.
	underway []underway
	// arrivals and rests are the times at which requests reached the first target, and at
	// which it asked for rests.
	arrivals, rests []time.Duration
}

type underway struct {
	at     time.Duration
	choice *Choice
}

func (s *restSim) run() {
	for at := time.Duration(0); at < simEnd; at += simStep {
		for len(s.underway) > 0 && s.underway[0].at <= at {
			s.respond(s.underway[0].choice, at)
			s.underway = s.underway[1:]
		}
		if s.random.Float64() < requestShare {
			s.send(at)
		}
	}
}

func (s *restSim) respond(choice *Choice, at time.Duration) {
	now := start.Add(at)
	if id := choice.Entry.ID; s.random.Float64() < restShare {
		s.set.ObserveRest(id, now.Add(simRest), now)
		if id == "t1" {
			s.rests = append(s.rests, at)
		}
	}
	choice.End(Shed, nil, now)
}

func (s *restSim) send(at time.Duration) {
	criteria := Criteria{Service: service}
	if s.random.Float64() < 0.5 {
		criteria.Owner = "t1"
	}
	choice, _ := s.set.Choose(criteria, start.Add(at))
	if choice == nil {
		return
	}
	s.underway = append(s.underway, underway{at + simTransit, choice})
	if choice.Entry.ID == "t1" {
		s.arrivals = append(s.arrivals, at+simTransit/2)
	}
}

// most returns the largest number of requests that arrived within a rest, from a time after it
// was asked for.
func (s *restSim) most(grace time.Duration) int {
	most := 0
	for _, asked := range s.rests {
		n := 0
		for _, at := range s.arrivals {
			if at > asked+grace && at < asked+simRest {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// TestRestsUnderLoad guards against more requests to a resting target than those that were
// under way when it asked for the rest, from 1 to 195 hosts whose requests all may go there.
func TestRestsUnderLoad(t *testing.T) {
	const (
		grace   = 500 * time.Millisecond
		perHost = 2
	)
	for _, hosts := range []int{1, 9, 78, 195} {
		t.Run(fmt.Sprint(hosts, " hosts"), func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, uint64(hosts)))
			for host := range hosts {
				s := &restSim{random: random, set: newSet("t1", "t2")}
				s.run()
				if len(s.rests) == 0 {
					t.Errorf("host %d: got no rest, want some", host)
				}
				if got := s.most(grace); got > perHost {
					t.Errorf("host %d: got %d requests within a rest, want at most %d", host, got, perHost)
				}
			}
		})
	}
}
