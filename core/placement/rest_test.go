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

// TestRestsUnderLoad guards against more requests to a resting target than those that were
// under way when it asked for the rest, from 1 to 195 hosts whose requests all may go there.
func TestRestsUnderLoad(t *testing.T) {
	const (
		step     = 10 * time.Millisecond
		end      = 30 * time.Second
		rest     = 3 * time.Second
		transit  = 20 * time.Millisecond
		grace    = 500 * time.Millisecond
		perHost  = 2
		requests = 0.3
	)
	type response struct {
		at     time.Duration
		choice *Choice
	}
	for _, hosts := range []int{1, 9, 78, 195} {
		t.Run(fmt.Sprint(hosts, " hosts"), func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, uint64(hosts)))
			for host := range hosts {
				s := newSet("t1", "t2")
				var arrivals, rests []time.Duration
				var underway []response
				for at := time.Duration(0); at < end; at += step {
					now := start.Add(at)
					for len(underway) > 0 && underway[0].at <= at {
						if id := underway[0].choice.Entry.ID; random.Float64() < 0.05 {
							s.ObserveRest(id, now.Add(rest), now)
							if id == "t1" {
								rests = append(rests, at)
							}
						}
						underway[0].choice.End(Shed, nil, now)
						underway = underway[1:]
					}
					if random.Float64() > requests {
						continue
					}
					owner := ""
					if random.Float64() < 0.5 {
						owner = "t1"
					}
					if choice, _ := s.Choose(Criteria{Service: service, Owner: owner}, now); choice != nil {
						underway = append(underway, response{at + transit, choice})
						if choice.Entry.ID == "t1" {
							arrivals = append(arrivals, at+transit/2)
						}
					}
				}
				if len(rests) == 0 {
					t.Errorf("host %d: got no rest, want some", host)
				}
				for _, from := range rests {
					got := 0
					for _, at := range arrivals {
						if at > from+grace && at < from+rest {
							got++
						}
					}
					if got > perHost {
						t.Fatalf("host %d: got %d requests within a rest from %v, want at most %d", host, got, from, perHost)
					}
				}
			}
		})
	}
}
