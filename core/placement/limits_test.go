package placement

import (
	"testing"
	"time"

	"pineturn/core/ratelimit"
)

// newLimitedSet returns a set of targets, of which the first one has named a limit of which
// this host has a part.
func newLimitedSet(part float64, ids ...string) *Set {
	s := newSet(ids...)
	limit := ratelimit.Limit{Named: true, PerSecond: 4}
	s.ObserveLimit(ids[0], limit, start, start)
	s.ApplyLimits(ratelimit.Update{Shares: []ratelimit.Share{{Target: ids[0], Limit: limit, Dealt: true, PerSecond: part, Burst: 1}}}, start, start)
	return s
}

// TestLimitedTargetIsPassedOver guards against requests to a target beyond this host's part
// of its limit, and against requests that fail though another target takes them.
func TestLimitedTargetIsPassedOver(t *testing.T) {
	s := newLimitedSet(2, "t1", "t2")
	// Many requests in flight make the other target the worse choice.
	for range 3 {
		if got := choose(t, s, Criteria{Owner: "t2"}, start).Entry.ID; got != "t2" {
			t.Errorf("target: got %s, want t2", got)
		}
	}
	if got := choose(t, s, Criteria{}, start).Entry.ID; got != "t2" {
		t.Errorf("target before there is room: got %s, want t2", got)
	}
	now := start.Add(600 * time.Millisecond)
	if got := choose(t, s, Criteria{}, now).Entry.ID; got != "t1" {
		t.Errorf("target once there is room: got %s, want t1", got)
	}
	if got := choose(t, s, Criteria{}, now).Entry.ID; got != "t2" {
		t.Errorf("target for the next request: got %s, want t2", got)
	}
}

// TestLimitedOwner guards against requests for the keys of a limited owner that wait in
// vain, or are told to come back before there is room.
func TestLimitedOwner(t *testing.T) {
	s := newLimitedSet(1, "t1")
	free := start.Add(time.Second)
	criteria := Criteria{Service: service, Owner: "t1"}
	wantStatus(t, s, criteria, start, Limited)
	if got, want := s.SendWait(criteria, start), time.Second; got != want {
		t.Errorf("time until there is room: got %v, want %v", got, want)
	}
	choice := choose(t, s, criteria, free)
	wantStatus(t, s, criteria, free, Limited)
	choice.End(NotSent, nil, free)
	choose(t, s, criteria, free)
}

// TestOthersMayHaveRoomSoon guards against requests that are refused at once because of one
// limited target, though they may wait for the others, which are full.
func TestOthersMayHaveRoomSoon(t *testing.T) {
	s := newLimitedSet(2, "t1", "t2")
	for range 7 {
		choose(t, s, Criteria{Owner: "t2"}, start)
	}
	wantStatus(t, s, Criteria{}, start, NoCapacity)
	wantStatus(t, s, Criteria{Owner: "t1"}, start, Limited)
}

// TestUrgentRequestsFirst guards against a limit that is used up by requests of a low
// priority while others of a higher one are refused.
func TestUrgentRequestsFirst(t *testing.T) {
	s := newLimitedSet(2, "t1")
	wantStatus(t, s, Criteria{Rank: 0}, start, Limited)
	now := start.Add(600 * time.Millisecond)
	wantStatus(t, s, Criteria{Rank: 1}, now, Limited)
	choose(t, s, Criteria{Rank: 0}, now)
}

// TestHedgesAvoidLimitedTargets guards against optional sends to a target in need.
func TestHedgesAvoidLimitedTargets(t *testing.T) {
	s := newLimitedSet(2, "t1")
	wantStatus(t, s, Criteria{Optional: true}, start.Add(time.Second), Limited)
}

// TestLateResponses guards against a limit that an older response ends, or brings back.
func TestLateResponses(t *testing.T) {
	s := newLimitedSet(2, "t1")
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	assertNamed := func(t *testing.T, want bool) {
		t.Helper()
		if got := s.Limit("t1", start).Named; got != want {
			t.Errorf("limit is named: got %t, want %t", got, want)
		}
	}
	s.ObserveLimit("t1", ratelimit.Limit{}, at(-1), at(1))
	assertNamed(t, true)
	s.ObserveLimit("t1", ratelimit.Limit{}, at(2), at(2.1))
	assertNamed(t, false)
	s.ApplyLimits(ratelimit.Update{Shares: []ratelimit.Share{{Target: "t1", Limit: ratelimit.Limit{Named: true, PerSecond: 1}, Age: 2 * time.Second}}}, at(3), at(3))
	assertNamed(t, false)
	choose(t, s, Criteria{}, at(3))
	choose(t, s, Criteria{}, at(3))
}
