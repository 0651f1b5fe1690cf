package dispatch

import (
	"context"
	"testing"
	"time"

	"pineturn/core/message"
	"pineturn/core/outcome"
)

// TestNoLateAttempt guards against a request that waits until shortly before its deadline
// and is then sent, so that its outcome is unknown although it need not have run. The
// target takes longer than the time that is left.
func TestNoLateAttempt(t *testing.T) {
	const timeout, left = 500 * time.Millisecond, 25 * time.Millisecond
	cutByDeadline := func(ctx context.Context, _ *message.Request) (*message.Response, *outcome.Error) {
		<-ctx.Done()
		return nil, outcome.UnknownError(outcome.DeadlineExceeded, "no answer from the target in time")
	}
	for name, host := range map[string]int{"waited for an owner": 0, "waited for an owner at another host": 1} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 3, 3)
			c.assign(-1, 2, 2)
			c.setTarget(cutByDeadline)
			time.AfterFunc(timeout-left, func() { c.assign(0, 3, 3) })
			checkNotSent(t, c, host, timeout)
		})
	}
}

// TestLateRetryAfterUnknown guards against a request of unknown outcome that may be
// repeated but is not, although its deadline has not passed.
func TestLateRetryAfterUnknown(t *testing.T) {
	const timeout, left = 900 * time.Millisecond, 70 * time.Millisecond
	c := newCluster(t, 3, 3)
	service := serviceWithTimeout()
	c.assignTo(service, 0, 2, 2)
	c.current.Target, _ = service.Target("p1")
	attempts := 0
	c.setTarget(func(ctx context.Context, req *message.Request) (*message.Response, *outcome.Error) {
		attempts++
		if attempts == 1 {
			time.Sleep(timeout - left)
			return c.loseResponse(ctx, req)
		}
		return c.respondOK(ctx, req)
	})
	req := read("r1")
	req.Left = timeout
	body, failure := c.handle(0, req)
	checkOK(t, body, failure)
}

// checkNotSent sends request r1 to host i and asserts that it was not sent to the target.
func checkNotSent(t *testing.T, c *cluster, i int, timeout time.Duration) {
	t.Helper()
	req := read("r1")
	req.Left = timeout
	_, failure := c.handle(i, req)
	if failure == nil || failure.Outcome != outcome.NotRun {
		t.Errorf("got %v, want an outcome of not run", failure)
	}
	if got := c.sends["r1"]; got != 0 {
		t.Errorf("got %d sends, want 0", got)
	}
}
