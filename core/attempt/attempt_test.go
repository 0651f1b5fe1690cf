package attempt

import (
	"testing"
	"time"
)

var (
	idempotent    = Request{Idempotent: true, MaxAttempts: 2, Objective: 500 * time.Millisecond}
	nonIdempotent = Request{MaxAttempts: 2, Objective: 500 * time.Millisecond}
	keyed         = Request{Idempotent: true, OneTarget: true, MaxAttempts: 2, Objective: 500 * time.Millisecond}
	keyedPayout   = Request{OneTarget: true, MaxAttempts: 2, Objective: 500 * time.Millisecond}
)

const left = time.Second

// TestAfter guards against retries of requests that may have run and must not be repeated,
// and against retries beyond the budget or the maximum number of attempts.
func TestAfter(t *testing.T) {
	for _, c := range []struct {
		name   string
		req    Request
		before []Result
		last   Result
		budget bool
		want   Step
	}{
		{"complete response", nonIdempotent, nil, Complete, true, Deliver},
		{"payout not run", nonIdempotent, nil, NotRun, true, Retry},
		{"payout not run, no budget", nonIdempotent, nil, NotRun, false, Refuse},
		{"payout not run twice", nonIdempotent, []Result{NotRun}, NotRun, true, Refuse},
		{"payout with lost response", nonIdempotent, nil, Unknown, true, ReportUnknown},
		{"payout failed at its target", nonIdempotent, nil, Failed, true, Deliver},
		{"payout that reached no target", nonIdempotent, nil, Unsent, false, Retry},
		{"lookup with lost response", idempotent, nil, Unknown, true, Retry},
		{"lookup with lost response, no budget", idempotent, nil, Unknown, false, ReportUnknown},
		{"lookup with lost response, then not run", idempotent, []Result{Unknown}, NotRun, true, ReportUnknown},
		{"lookup failed at its target", idempotent, nil, Failed, true, Retry},
		{"lookup failed, no budget", idempotent, nil, Failed, false, Deliver},
		{"key owner refuses, though it has capacity", keyed, nil, NotRun, true, Retry},
		{"key owner refuses twice", keyed, []Result{NotRun}, NotRun, true, Refuse},
		{"response of the key owner is lost", keyed, nil, Unknown, true, Retry},
		{"response of the key owner is lost, no budget", keyed, nil, Unknown, false, ReportUnknown},
		{"response to a payout of the key owner is lost", keyedPayout, nil, Unknown, true, ReportUnknown},
		{"key has just moved", keyed, nil, WrongTarget, true, Retry},
		{"key has no owner", keyed, []Result{WrongTarget}, WrongTarget, true, Refuse},
	} {
		t.Run(c.name, func(t *testing.T) {
			var p Progress
			spend := func() bool { return c.budget }
			for _, result := range c.before {
				p.RecordSend()
				p.After(c.req, Outcome{Result: result}, left, spend)
			}
			p.RecordSend()
			if got := p.After(c.req, Outcome{Result: c.last}, left, spend); got != c.want {
				t.Errorf("step: got %d, want %d", got, c.want)
			}
		})
	}
}

// TestFullOwner guards against further requests to the full owner of a hot key, which
// would displace others there.
func TestFullOwner(t *testing.T) {
	for result, want := range map[Result]Step{NotRun: Refuse, Unknown: ReportUnknown, Failed: Deliver} {
		var p Progress
		p.RecordSend()
		if got := p.After(keyed, Outcome{Result: result, TargetFull: true}, left, func() bool { return true }); got != want {
			t.Errorf("step after result %d of a full owner: got %d, want %d", result, got, want)
		}
	}
}

// TestNoTimeLeft guards against retries that can't end before the deadline.
func TestNoTimeLeft(t *testing.T) {
	var p Progress
	p.RecordSend()
	if got := p.After(idempotent, Outcome{Result: Unknown}, time.Millisecond, func() bool { return true }); got != ReportUnknown {
		t.Errorf("step with 1 ms left: got %d, want %d", got, ReportUnknown)
	}
}

// TestUnsentLimit guards against endless retries while no target can be reached, and against a request
// that is given up because a few targets have ended, though others would run it.
func TestUnsentLimit(t *testing.T) {
	toOwner := nonIdempotent
	toOwner.OneTarget = true
	for _, x := range []struct {
		name string
		req  Request
		most int
	}{{"any target", nonIdempotent, 10}, {"owner of the key", toOwner, 4}} {
		t.Run(x.name, func(t *testing.T) {
			var p Progress
			for range x.most - 1 {
				p.RecordSend()
				if got := p.After(x.req, Outcome{Result: Unsent}, left, nil); got != Retry {
					t.Fatalf("step: got %d, want %d", got, Retry)
				}
			}
			p.RecordSend()
			if got := p.After(x.req, Outcome{Result: Unsent}, left, nil); got != Refuse {
				t.Errorf("step after %d unreachable targets: got %d, want %d", x.most, got, Refuse)
			}
			if got := p.Sends(); got != 0 {
				t.Errorf("sends: got %d, want 0", got)
			}
		})
	}
}

// TestHedgeDelay guards against hedged requests that must not run twice, and against hedges
// that are sent too early or can't end before the deadline.
func TestHedgeDelay(t *testing.T) {
	if _, ok := HedgeDelay(nonIdempotent, 10*time.Millisecond, left); ok {
		t.Error("hedged payout: got a second target, want none")
	}
	delay, ok := HedgeDelay(idempotent, 100*time.Millisecond, left)
	if !ok || delay < 225*time.Millisecond || delay > 400*time.Millisecond {
		t.Errorf("delay: got %v, %v, want 225 to 400 ms", delay, ok)
	}
	if _, ok := HedgeDelay(idempotent, 400*time.Millisecond, left); ok {
		t.Error("hedge without enough remaining time: got a second target, want none")
	}
}

// TestRetryAfter guards against refused callers that all retry at the same time, and against
// a retry delay that uses up the caller's deadline.
func TestRetryAfter(t *testing.T) {
	seen := make(map[time.Duration]bool)
	for range 100 {
		after := RetryAfter(200*time.Millisecond, left)
		if after < 150*time.Millisecond || after > 250*time.Millisecond {
			t.Fatalf("retry delay: got %v, want 150 to 250 ms", after)
		}
		seen[after] = true
	}
	if len(seen) < 50 {
		t.Errorf("retry delays: got %d distinct values of 100, want at least 50", len(seen))
	}
	if got := RetryAfter(10*time.Second, left); got > left/3 {
		t.Errorf("retry delay: got %v, want at most a third of %v", got, left)
	}
}
