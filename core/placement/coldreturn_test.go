package placement

import (
	"testing"
	"time"
)

// TestReturnFromEarlierColdTime guards against a request of one cold time of a target that is taken
// back in the next one: that one never counted it, so one more would be sent.
func TestReturnFromEarlierColdTime(t *testing.T) {
	s := newColdSet(time.Second, "t1")
	s.Sender = func(*Entry) bool { return true }
	s.coldPacer(s.targets["t1"], start)
	now := start.Add(900 * time.Millisecond)
	c, status := s.Choose(Criteria{Service: service, Owner: "t1"}, now)
	if status != Chosen {
		t.Fatalf("request while cold: got status %v, want it chosen", status)
	}
	now = start.Add(2 * time.Second)
	s.SuspectCold("a", now)
	pacer := s.coldPacer(s.targets["t1"], now)
	before := pacer.Wait(now, 1)
	c.End(Unreachable, nil, now)
	if got := pacer.Wait(now, 1); got != before {
		t.Errorf("wait in the next cold time: got %v after a request of the last one was taken back, want %v as before", got, before)
	}
}
