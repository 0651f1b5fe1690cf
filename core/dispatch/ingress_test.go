package dispatch

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pineturn/core/clock"
	"pineturn/core/config"
	"pineturn/core/message"
	"pineturn/core/outcome"
	"pineturn/core/record"
	"pineturn/core/retry"
)

// TestHandle guards against requests that fail although their key has or gets a reachable
// owner, and against requests that wait without limit.
func TestHandle(t *testing.T) {
	t.Run("at the leaseholder", func(t *testing.T) {
		c := newCluster(t, 3, 3)
		body, failure := c.handle(0, read("r1"))
		checkOK(t, body, failure)
	})
	t.Run("forwarded by another host", func(t *testing.T) {
		c := newCluster(t, 3, 3)
		body, failure := c.handle(1, read("r1"))
		checkOK(t, body, failure)
	})
	t.Run("waits for an owner", func(t *testing.T) {
		c := newCluster(t, 3, 3)
		c.assign(-1, 2, 2)
		go func() {
			c.awaitWaiting()
			c.assign(2, 3, 3)
		}()
		c.hosts[1].ingress.MaxWait = 20 * time.Second
		body, failure := c.handle(1, read("r1"))
		checkOK(t, body, failure)
	})
	t.Run("gives up without an owner", func(t *testing.T) {
		c := newCluster(t, 3, 3)
		c.assign(-1, 2, 2)
		c.hosts[1].ingress.MaxWait = 30 * time.Millisecond
		_, failure := c.handle(1, read("r1"))
		checkFailure(t, failure, outcome.NotRun, outcome.NoOwner)
		if failure.RetryAfter <= 0 {
			t.Error("got no retry time, want one")
		}
	})
	t.Run("bounds the number of waiting requests", func(t *testing.T) {
		c := newCluster(t, 3, 3)
		c.assign(-1, 2, 2)
		ingress := c.hosts[1].ingress
		ingress.MaxWait, ingress.MaxWaiters = 20*time.Second, 1
		ended := make(chan *outcome.Error, 1)
		go func() {
			_, failure := c.handle(1, read("r1"))
			ended <- failure
		}()
		c.awaitWaiting()
		_, failure := c.handle(1, read("r2"))
		checkFailure(t, failure, outcome.NotRun, outcome.NoOwner)
		c.assign(0, 3, 3)
		if failure := <-ended; failure != nil {
			t.Errorf("got %v for the waiting request, want a response", failure)
		}
	})
	t.Run("reports its own deadline", func(t *testing.T) {
		c := newCluster(t, 3, 3)
		c.hosts[1].ingress.Forward = func(ctx context.Context, _ record.Member, _ *message.Request) (*message.Response, *outcome.Error) {
			<-ctx.Done()
			return nil, outcome.Refuse(outcome.Cancelled, "cancelled in the queue", 0)
		}
		req := read("r1")
		req.Left = 20 * time.Millisecond
		_, failure := c.handle(1, req)
		checkFailure(t, failure, outcome.NotRun, outcome.DeadlineExceeded)
	})
	t.Run("applies the service's limit when the route is found later", func(t *testing.T) {
		c := newCluster(t, 3, 3)
		c.assign(-1, 2, 2)
		c.current.Service = nil
		c.hosts[1].ingress.MaxWait = 20 * time.Second
		service := serviceWithTimeout()
		var left time.Duration
		c.target = func(ctx context.Context, req *message.Request) (*message.Response, *outcome.Error) {
			left = req.Left
			return c.respondOK(ctx, req)
		}
		go func() {
			c.awaitWaiting()
			c.assignTo(service, 2, 3, 3)
		}()
		req := read("r1")
		req.Left = 0
		body, failure := c.handle(1, req)
		checkOK(t, body, failure)
		if left > 9*time.Second {
			t.Errorf("got %v left, want at most the service's 9s", left)
		}
	})
	t.Run("follows a changed route", func(t *testing.T) {
		c := newCluster(t, 3, 3)
		ingress := c.hosts[1].ingress
		inner := ingress.Forward
		ingress.Forward = func(ctx context.Context, to record.Member, req *message.Request) (*message.Response, *outcome.Error) {
			if req.Retries == 0 {
				c.assign(2, 2, 2)
				return nil, outcome.Refuse(outcome.NotLeaseholder, "route changed", 0)
			}
			return inner(ctx, to, req)
		}
		body, failure := c.handle(1, read("r1"))
		checkOK(t, body, failure)
	})
}

// TestUnknownThenNotRun guards against a request that is reported as not run although an
// earlier attempt may have run.
func TestUnknownThenNotRun(t *testing.T) {
	c := newCluster(t, 3, 3)
	c.hosts[1].ingress.MaxWait = 50 * time.Millisecond
	for _, reason := range []outcome.Reason{outcome.Overloaded, outcome.DeadlineExceeded, outcome.TargetFailed, outcome.Shed} {
		attempts := 0
		c.setTarget(func(ctx context.Context, req *message.Request) (*message.Response, *outcome.Error) {
			attempts++
			if attempts == 1 {
				return c.loseResponse(ctx, req)
			}
			return nil, outcome.Refuse(reason, "", 0)
		})
		_, failure := c.handle(1, read("r1"))
		checkFailure(t, failure, outcome.Unknown, outcome.TargetFailed)
		if attempts < 2 {
			t.Errorf("got %d attempts, want a retry", attempts)
		}
	}
}

// TestHandleWaitsForOwnRoute guards against sends that are repeated for each change of other
// routes while a request waits for a change of its own route.
func TestHandleWaitsForOwnRoute(t *testing.T) {
	c := newCluster(t, 3, 3)
	c.hosts[1].ingress.MaxWait = 20 * time.Second
	var sends, changedCalls atomic.Int64
	c.hosts[1].ingress.Changed = func() <-chan struct{} {
		defer changedCalls.Add(1)
		return c.change()
	}
	c.target = func(context.Context, *message.Request) (*message.Response, *outcome.Error) {
		sends.Add(1)
		return nil, outcome.Refuse(outcome.Draining, "", 0)
	}
	ended := make(chan *outcome.Error, 1)
	go func() {
		_, failure := c.handle(1, read("r1"))
		ended <- failure
	}()
	c.awaitWaiting()
	for range 10 {
		before := changedCalls.Load()
		c.assign(0, 1, 1)
		await(t, "new call of Changed", func() bool { return changedCalls.Load() > before })
	}
	if got := sends.Load(); got != 1 {
		t.Errorf("got %d sends while other routes changed, want 1", got)
	}
	c.setTarget(nil)
	c.assign(2, 2, 2)
	if failure := <-ended; failure != nil {
		t.Errorf("got %v, want a response", failure)
	}
}

// serviceWithTimeout returns a service with a timeout of 9 s, which is much longer than
// the tests wait and shorter than DefaultTimeoutWithoutRoute.
func serviceWithTimeout() *config.Service { return newService("9s") }

func (c *cluster) awaitWaiting() {
	for c.hosts[1].ingress.Counts().Waiting == 0 {
		time.Sleep(time.Millisecond)
	}
}

// TestRetries guards against retries of requests that must not be repeated, and of requests
// that the target shed or refused.
func TestRetries(t *testing.T) {
	cases := map[string]struct {
		req   *message.Request
		fail  *outcome.Error
		sends int
	}{
		"unknown, may be repeated":      {read("r1"), outcome.UnknownError(outcome.TargetFailed, ""), 2},
		"unknown, must not be repeated": {payout("r1"), outcome.UnknownError(outcome.TargetFailed, ""), 1},
		"unknown at the deadline":       {read("r1"), outcome.UnknownError(outcome.DeadlineExceeded, ""), 1},
		"shed":                          {read("r1"), outcome.Refuse(outcome.Shed, "", 0), 1},
		"shed, must not be repeated":    {payout("r1"), outcome.Refuse(outcome.Shed, "", 0), 1},
		"overloaded":                    {read("r1"), outcome.Refuse(outcome.Overloaded, "", 0), 1},
		"draining, no other owner yet":  {read("r1"), outcome.Refuse(outcome.Draining, "", 0), 1},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 3, 3)
			c.hosts[1].ingress.MaxWait = 100 * time.Millisecond
			c.target = func(context.Context, *message.Request) (*message.Response, *outcome.Error) { return nil, test.fail }
			_, failure := c.handle(1, test.req)
			checkFailure(t, failure, test.fail.Outcome, test.fail.Reason)
			if got := c.sends["r1"]; got != test.sends {
				t.Errorf("got %d sends, want %d", got, test.sends)
			}
		})
	}
}

// TestBreaker guards against requests that are sent to a target that accepts no connections,
// and against a circuit breaker that stays open after the target has recovered.
func TestBreaker(t *testing.T) {
	c := newCluster(t, 3, 3)
	c.hosts[0].ingress.MaxWait = time.Millisecond
	c.setTarget(func(context.Context, *message.Request) (*message.Response, *outcome.Error) {
		return nil, outcome.Refuse(outcome.TargetFailed, "connection refused", 0)
	})
	sent := func() uint64 { return c.hosts[0].leaseholder.Counts().Sent }
	await(t, "request refused by the circuit breaker", func() bool {
		before := sent()
		_, failure := c.handle(0, read("r1"))
		checkFailure(t, failure, outcome.NotRun, outcome.TargetFailed)
		return sent() == before
	})
	c.setTarget(nil)
	await(t, "response", func() bool {
		_, failure := c.handle(0, read("r1"))
		return failure == nil
	})
}

func await(t *testing.T, what string, done func() bool) {
	t.Helper()
	for limit := time.Now().Add(20 * time.Second); !done(); {
		if time.Now().After(limit) {
			t.Fatalf("got no %s in 20 s, want one", what)
		}
	}
}

// TestRetryStorm guards against retries that amplify an overload. While a target sheds or
// fails all requests, the retry budget bounds the number of requests that it receives. When
// it recovers, requests are served again.
func TestRetryStorm(t *testing.T) {
	const hosts = 3
	cases := map[string]struct {
		fail               *outcome.Error
		requests, maxSends int
	}{
		"sheds": {outcome.Refuse(outcome.Shed, "no slot", 0), 12, 12},
		"fails": {outcome.UnknownError(outcome.TargetFailed, "closed"), 90, 90 + 90/retry.DefaultRequestsPerRetry + hosts*retry.DefaultBurst},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, hosts, hosts)
			sends := 0
			c.target = func(context.Context, *message.Request) (*message.Response, *outcome.Error) {
				c.mutex.Lock()
				defer c.mutex.Unlock()
				sends++
				return nil, test.fail
			}
			var group sync.WaitGroup
			for i, host := range c.hosts {
				host.ingress.Budget = retry.New(clock.NewFake(time.Now()))
				group.Go(func() {
					for request := range test.requests / hosts {
						_, _ = c.handle(i, read(fmt.Sprint(i, "-", request)))
					}
				})
			}
			group.Wait()
			if sends > test.maxSends {
				t.Errorf("got %d sends for %d requests, want at most %d", sends, test.requests, test.maxSends)
			}
			c.setTarget(nil)
			body, failure := c.handle(1, read("after"))
			checkOK(t, body, failure)
		})
	}
}
