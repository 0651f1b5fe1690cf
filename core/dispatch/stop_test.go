package dispatch

import (
	"context"
	"testing"
	"time"

	"pineturn/core/message"
	"pineturn/core/outcome"
)

// TestLateRequestOfStop guards against a stopping host that passes on a request which can't end before its
// callers' connections do: it would be cut at its target, without an answer.
func TestLateRequestOfStop(t *testing.T) {
	const work, stop = 40 * time.Millisecond, 200 * time.Millisecond
	for name, i := range map[string]int{"at the leaseholder": 0, "forwarded by another host": 1} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 3, 3)
			c.setTarget(func(ctx context.Context, req *message.Request) (*message.Response, *outcome.Error) {
				select {
				case <-time.After(work):
					return c.respondOK(ctx, req)
				case <-ctx.Done():
					return nil, outcome.UnknownError(outcome.DeadlineExceeded, "cut")
				}
			})
			for range 6 {
				body, failure := c.handle(i, read("r0"))
				checkOK(t, body, failure)
			}
			c.hosts[i].ingress.StopAt(time.Now().Add(stop))
			body, failure := c.handle(i, payout("r1"))
			checkOK(t, body, failure)
			time.Sleep(stop - work - work/2)
			sends := c.sends["r1"]
			_, failure = c.handle(i, payout("r2"))
			checkFailure(t, failure, outcome.NotRun, outcome.Stopping)
			if failure != nil && failure.RetryAfter <= 0 {
				t.Error("time to come back: got none, want one")
			}
			if got := c.sends["r2"]; got != 0 || sends != 1 {
				t.Errorf("sends of the requests before and after: got %d and %d, want 1 and 0", sends, got)
			}
		})
	}
	t.Run("cut at the end of the stop", func(t *testing.T) {
		c := newCluster(t, 3, 3)
		c.setTarget(func(ctx context.Context, _ *message.Request) (*message.Response, *outcome.Error) {
			<-ctx.Done()
			return nil, outcome.UnknownError(outcome.DeadlineExceeded, "no answer from the target in time")
		})
		c.hosts[0].ingress.StopAt(time.Now().Add(stop))
		started := time.Now()
		_, failure := c.handle(0, payout("r1"))
		checkFailure(t, failure, outcome.Unknown, outcome.DeadlineExceeded)
		if took := time.Since(started); took > 2*stop {
			t.Errorf("answer: got it after %v, want it at the end of the stop", took)
		}
	})
}
