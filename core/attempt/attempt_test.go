package attempt

import (
	"testing"
	"time"
)

var (
	safe   = Request{Idempotent: true, MaxAttempts: 2, Objective: 500 * time.Millisecond}
	unsafe = Request{MaxAttempts: 2, Objective: 500 * time.Millisecond}
	keyed  = Request{Idempotent: true, OneTarget: true, MaxAttempts: 2, Objective: 500 * time.Millisecond}
)

const left = time.Second

func TestAfter(t *testing.T) {
	for _, c := range []struct {
		name   string
		req    Request
		before []Result
		last   Result
		budget bool
		want   Step
	}{
		{"whole answer", unsafe, nil, Complete, true, Deliver},
		{"payout not run", unsafe, nil, NotRun, true, Retry},
		{"payout not run, no budget", unsafe, nil, NotRun, false, Refuse},
		{"payout not run twice", unsafe, []Result{NotRun}, NotRun, true, Refuse},
		{"payout lost", unsafe, nil, Unknown, true, Fail},
		{"payout failed at its target", unsafe, nil, Error, true, Deliver},
		{"payout not sent", unsafe, nil, Unsent, false, Retry},
		{"lookup lost", safe, nil, Unknown, true, Retry},
		{"lookup lost, no budget", safe, nil, Unknown, false, Fail},
		{"lookup lost, then not run", safe, []Result{Unknown}, NotRun, true, Fail},
		{"lookup failed at its target", safe, nil, Error, true, Retry},
		{"lookup failed, no budget", safe, nil, Error, false, Deliver},
		{"key's target is full", keyed, nil, NotRun, true, Refuse},
		{"key's target lost the answer", keyed, nil, Unknown, true, Fail},
		{"key has just moved", keyed, nil, WrongTarget, true, Retry},
		{"key is nowhere", keyed, []Result{WrongTarget}, WrongTarget, true, Refuse},
	} {
		t.Run(c.name, func(t *testing.T) {
			var p Progress
			spend := func() bool { return c.budget }
			for _, result := range c.before {
				p.Sent()
				p.After(c.req, result, left, spend)
			}
			p.Sent()
			if got := p.After(c.req, c.last, left, spend); got != c.want {
				t.Errorf("step: got %d, want %d", got, c.want)
			}
		})
	}
}

func TestNoTimeLeft(t *testing.T) {
	var p Progress
	p.Sent()
	if got := p.After(safe, Unknown, time.Millisecond, func() bool { return true }); got != Fail {
		t.Errorf("step with 1 ms left: got %d, want %d", got, Fail)
	}
}

func TestUnsentIsBounded(t *testing.T) {
	var p Progress
	for range mostUnsent - 1 {
		p.Sent()
		if got := p.After(unsafe, Unsent, left, nil); got != Retry {
			t.Fatalf("step: got %d, want %d", got, Retry)
		}
	}
	p.Sent()
	if got := p.After(unsafe, Unsent, left, nil); got != Refuse {
		t.Errorf("step after %d targets: got %d, want %d", mostUnsent, got, Refuse)
	}
	if got := p.Sends(); got != 0 {
		t.Errorf("sends: got %d, want 0", got)
	}
}

func TestHedgeDelay(t *testing.T) {
	if _, ok := HedgeDelay(unsafe, 10*time.Millisecond, left); ok {
		t.Error("second target for a payout: got one, want none")
	}
	delay, ok := HedgeDelay(safe, 100*time.Millisecond, left)
	if !ok || delay < 225*time.Millisecond || delay > 400*time.Millisecond {
		t.Errorf("delay: got %v, %v, want 225 to 400 ms", delay, ok)
	}
	if _, ok := HedgeDelay(safe, 400*time.Millisecond, left); ok {
		t.Error("second target without the time for it: got one, want none")
	}
}

func TestRetryAfter(t *testing.T) {
	seen := make(map[time.Duration]bool)
	for range 100 {
		after := RetryAfter(200*time.Millisecond, left)
		if after < 150*time.Millisecond || after > 250*time.Millisecond {
			t.Fatalf("time to come back: got %v, want 150 to 250 ms", after)
		}
		seen[after] = true
	}
	if len(seen) < 50 {
		t.Errorf("times to come back: got %d of 100 different, want them spread", len(seen))
	}
	if got := RetryAfter(10*time.Second, left); got > left/3 {
		t.Errorf("time to come back: got %v, want at most a third of %v", got, left)
	}
}
