package reach

import (
	"slices"
	"testing"
	"time"
)

const (
	service  = "records"
	expected = 100 * time.Millisecond
)

// host plays a host that sends requests and probes its targets each step.
type host struct {
	detector *Detector
	now      time.Time
	// accepted is the number of targets that accept a connection, of probed.
	probed, accepted int
	rounds           int
}

func newHost() *host {
	return &host{detector: New(), now: time.Unix(1000, 0), probed: 3, accepted: 3}
}

// advance moves the clock in steps of 50 ms and answers the probes that are due.
func (h *host) advance(d time.Duration) {
	const step = 50 * time.Millisecond
	for range d / step {
		h.now = h.now.Add(step)
		for _, name := range h.detector.Due(h.now) {
			h.rounds++
			h.detector.Probed(name, h.probed, h.accepted, h.now)
		}
	}
}

func assertLost(t *testing.T, h *host, want bool) {
	t.Helper()
	if got := h.detector.IsLost(service); got != want {
		t.Errorf("path lost: got %t, want %t", got, want)
	}
	if got := slices.Contains(h.detector.LostServices(), service); got != want {
		t.Errorf("LostServices has the service: got %t, want %t", got, want)
	}
}

func assertRounds(t *testing.T, h *host, want int) {
	t.Helper()
	if h.rounds != want {
		t.Errorf("rounds of probes: got %d, want %d", h.rounds, want)
	}
}

// TestLost guards against a host that goes on sending to targets that it cannot reach:
// within 700 ms after the path is lost it must know, by whatever shows first.
func TestLost(t *testing.T) {
	t.Run("connections hang", func(t *testing.T) {
		h := newHost()
		h.detector.Sent(service, expected, nil, h.now)
		h.accepted = 0
		h.advance(600 * time.Millisecond)
		assertLost(t, h, true)
	})
	t.Run("connections are refused", func(t *testing.T) {
		h := newHost()
		h.accepted = 0
		h.detector.Failed(service, h.now.Add(time.Millisecond))
		h.advance(100 * time.Millisecond)
		assertLost(t, h, true)
	})
	t.Run("open connections live on", func(t *testing.T) {
		h := newHost()
		h.accepted = 0
		h.detector.Failed(service, h.now.Add(time.Millisecond))
		h.detector.End(h.detector.Sent(service, expected, nil, h.now), true, h.now.Add(2*time.Millisecond))
		h.advance(time.Second)
		assertLost(t, h, true)
	})
}

// TestNotLost guards against relayed requests for the fault of a single target.
func TestNotLost(t *testing.T) {
	t.Run("one target fails", func(t *testing.T) {
		h := newHost()
		h.accepted = 2
		h.detector.Failed(service, h.now.Add(time.Millisecond))
		h.advance(time.Second)
		assertLost(t, h, false)
		assertRounds(t, h, 1)
	})
	t.Run("one target is slow", func(t *testing.T) {
		h := newHost()
		h.detector.Sent(service, expected, nil, h.now)
		h.advance(5 * time.Second)
		assertLost(t, h, false)
		assertRounds(t, h, 1)
	})
	t.Run("responses in time", func(t *testing.T) {
		h := newHost()
		for range 20 {
			s := h.detector.Sent(service, expected, nil, h.now)
			h.advance(150 * time.Millisecond)
			h.detector.End(s, true, h.now)
		}
		assertLost(t, h, false)
		assertRounds(t, h, 0)
	})
	t.Run("other services", func(t *testing.T) {
		h := newHost()
		h.accepted = 0
		h.detector.Failed("orders", h.now.Add(time.Millisecond))
		h.advance(time.Second)
		assertLost(t, h, false)
	})
}

// TestRestored guards against a host that returns to its targets on a single connection
// that got through, or does not return.
func TestRestored(t *testing.T) {
	lost := func() *host {
		h := newHost()
		h.accepted = 0
		h.detector.Failed(service, h.now.Add(time.Millisecond))
		h.advance(time.Second)
		return h
	}
	t.Run("after two rounds", func(t *testing.T) {
		h := lost()
		h.accepted = 1
		h.advance(probeInterval)
		assertLost(t, h, true)
		h.advance(probeInterval)
		assertLost(t, h, false)
	})
	t.Run("not after one", func(t *testing.T) {
		h := lost()
		h.accepted = 1
		h.advance(probeInterval)
		h.accepted = 0
		h.advance(probeInterval)
		h.accepted = 1
		h.advance(probeInterval)
		assertLost(t, h, true)
	})
	t.Run("without targets", func(t *testing.T) {
		h := lost()
		h.probed, h.accepted = 0, 0
		h.advance(probeInterval)
		assertLost(t, h, false)
	})
}

// TestSendsOfLostPath guards against requests that wait for targets that the host can no
// longer reach, and against cutting off those whose open connections live on.
func TestSendsOfLostPath(t *testing.T) {
	h := newHost()
	calls := map[string]int{}
	send := func(name string, latency time.Duration) *Send {
		return h.detector.Sent(service, latency, func() { calls[name]++ }, h.now)
	}
	h.detector.End(send("ended", expected), false, h.now)
	send("overdue", expected)
	send("in time", time.Minute)
	h.advance(100 * time.Millisecond)
	send("overdue later", 2*expected)
	h.accepted = 0
	h.advance(2 * time.Second)
	for name, want := range map[string]int{"ended": 0, "overdue": 1, "overdue later": 1, "in time": 0} {
		if got := calls[name]; got != want {
			t.Errorf("calls for the send %s: got %d, want %d", name, got, want)
		}
	}
}
