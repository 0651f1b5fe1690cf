package dispatch

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pineturn/core/dedup"
	"pineturn/core/message"
	"pineturn/core/outcome"
	"pineturn/core/record"
)

// TestAtMostOnce guards against requests that run twice after a retry, a lost host, or a new
// leaseholder or owner, and against ids that stay in use after the outcome not run.
func TestAtMostOnce(t *testing.T) {
	t.Run("retry at another host while the first is in flight", func(t *testing.T) {
		c := newCluster(t, 3, 3)
		sent, release := make(chan struct{}), make(chan struct{})
		c.target = func(ctx context.Context, req *message.Request) (*message.Response, *outcome.Error) {
			close(sent)
			<-release
			return c.respondOK(ctx, req)
		}
		first := make(chan *outcome.Error, 1)
		go func() {
			_, failure := c.handle(1, payout("r1"))
			first <- failure
		}()
		<-sent
		_, failure := c.handle(2, payout("r1"))
		checkFailure(t, failure, outcome.Unknown, outcome.Duplicate)
		close(release)
		if failure := <-first; failure != nil {
			t.Errorf("got %v, want a response", failure)
		}
		body, failure := c.handle(2, payout("r1"))
		checkOK(t, body, failure)
		c.checkRuns(t, 1)
	})
	for ingress, name := range []string{"received by the leaseholder", "received by another host"} {
		t.Run("leaseholder lost, "+name, func(t *testing.T) {
			c := newCluster(t, 4, 4)
			c.target = c.loseResponse
			_, failure := c.handle(ingress, payout("r1"))
			checkFailure(t, failure, outcome.Unknown, outcome.TargetFailed)
			c.lose(0)
			c.assign(2, 1, 2)
			_, failure = c.handle(3, payout("r1"))
			checkFailure(t, failure, outcome.Unknown, outcome.Duplicate)
			c.checkRuns(t, 1)
		})
	}
	t.Run("witness replies lost, then another leaseholder", func(t *testing.T) {
		c := newCluster(t, 3, 3)
		c.lostReplies[c.hosts[1].member.Incarnation] = true
		c.lostReplies[c.hosts[2].member.Incarnation] = true
		_, failure := c.handle(0, payout("r1"))
		checkFailure(t, failure, outcome.NotRun, outcome.HostUnreachable)
		c.hosts[0].leaseholder.background.Wait()
		c.assign(1, 1, 2)
		body, failure := c.handle(2, payout("r1"))
		checkOK(t, body, failure)
		c.checkRuns(t, 1)
	})
	t.Run("id replicated by a repair, then not run", func(t *testing.T) {
		c := newCluster(t, 4, 4)
		forwarded := c.forward(1, payout("r1"), 3)
		c.lose(3)
		if got := c.hosts[1].leaseholder.RepairReplicas(context.Background()); got != 0 {
			t.Errorf("got %d ids not repaired, want 0", got)
		}
		forwarded.Finish(outcome.NotRun, nil)
		c.hosts[1].leaseholder.background.Wait()
		body, failure := c.handle(1, payout("r1"))
		checkOK(t, body, failure)
		c.checkRuns(t, 1)
	})
	t.Run("hosts queried for another id while an attempt at another host was in flight", func(t *testing.T) {
		c := newCluster(t, 3, 3)
		c.assign(2, 1, 2)
		// The target has slots for both requests at the same time.
		c.current.Target, _ = serviceWithTimeout().Target("p1")
		ids := []string{"r0", "r1"}
		claims := make([]*dedup.Claim, len(ids))
		for i, id := range ids {
			claims[i] = c.forward(1, payout(id), 0)
		}
		body, failure := c.handle(2, payout("first"))
		checkOK(t, body, failure)
		queried, release := make(chan struct{}), make(chan struct{})
		var once sync.Once
		c.onQueryReply = func(from record.Member) {
			if from.Incarnation == c.hosts[1].member.Incarnation {
				once.Do(func() { close(queried) })
			}
			<-release
		}
		claims[0].Finish(outcome.NotRun, nil)
		first := make(chan *outcome.Error, 1)
		go func() {
			_, failure := c.handle(1, payout(ids[0]))
			first <- failure
		}()
		<-queried
		claims[1].Finish(outcome.NotRun, nil)
		time.AfterFunc(50*time.Millisecond, func() { close(release) })
		body, failure = c.handle(1, payout(ids[1]))
		checkOK(t, body, failure)
		if failure := <-first; failure != nil {
			t.Errorf("got %v, want a response", failure)
		}
		c.checkRuns(t, 1)
	})
	t.Run("ingress stops gracefully, then the leaseholder is lost", func(t *testing.T) {
		c := newCluster(t, 4, 4)
		c.target = c.loseResponse
		_, _ = c.handle(1, payout("r1"))
		if got := c.hosts[1].leaseholder.ReplicateIDs(context.Background()); got != 0 {
			t.Errorf("got %d ids not replicated, want 0", got)
		}
		c.lose(1)
		c.lose(0)
		c.assign(2, 1, 2)
		_, failure := c.handle(3, payout("r1"))
		checkFailure(t, failure, outcome.Unknown, outcome.Duplicate)
		c.checkRuns(t, 1)
	})
	t.Run("shard moved to another target", func(t *testing.T) {
		c := newCluster(t, 3, 3)
		c.target = c.loseResponse
		_, _ = c.handle(1, payout("r1"))
		c.assign(2, 2, 9)
		_, failure := c.handle(2, payout("r1"))
		checkFailure(t, failure, outcome.Unknown, outcome.Duplicate)
		c.checkRuns(t, 1)
	})
	t.Run("id used for a request with different content", func(t *testing.T) {
		c := newCluster(t, 3, 3)
		body, failure := c.handle(1, payout("r1"))
		checkOK(t, body, failure)
		other := payout("r1")
		other.Body = []byte("another caller's")
		_, failure = c.handle(2, other)
		checkFailure(t, failure, outcome.NotRun, outcome.BadRequest)
		c.checkRuns(t, 1)
	})
	t.Run("id is released when not run", func(t *testing.T) {
		c := newCluster(t, 3, 3)
		c.target = c.respondShed
		_, failure := c.handle(1, payout("r1"))
		checkFailure(t, failure, outcome.NotRun, outcome.Shed)
		c.target = nil
		c.assign(2, 1, 2)
		body, failure := c.handle(0, payout("r1"))
		checkOK(t, body, failure)
	})
	t.Run("in flight at the collection, then not run", func(t *testing.T) {
		c := newCluster(t, 3, 3)
		claim := c.hosts[1].ingress.Dedup.Forward(dedupRequest(c.current, payout("r1")), c.hosts[0].member.Incarnation)
		c.assign(2, 1, 2)
		_, failure := c.handle(2, payout("r1"))
		checkFailure(t, failure, outcome.Unknown, outcome.Duplicate)
		claim.Finish(outcome.NotRun, nil)
		body, failure := c.handle(2, payout("r1"))
		checkOK(t, body, failure)
	})
	t.Run("hosts of two domains unreachable", func(t *testing.T) {
		c := newCluster(t, 4, 4)
		c.unreachable[c.hosts[2].member.Incarnation], c.unreachable[c.hosts[3].member.Incarnation] = true, true
		c.hosts[1].ingress.MaxWait = 50 * time.Millisecond
		_, failure := c.handle(1, payout("r1"))
		checkFailure(t, failure, outcome.NotRun, outcome.NotReady)
		c.checkRuns(t, 0)
	})
	t.Run("collects before it acquires a slot", func(t *testing.T) {
		c := newCluster(t, 3, 3)
		c.hosts[1].ingress.MaxWait = 20 * time.Second
		queried, release := make(chan struct{}, 1), make(chan struct{})
		inner := c.hosts[0].leaseholder.QueryIDs
		c.hosts[0].leaseholder.QueryIDs = func(ctx context.Context, to record.Member, query message.IDQuery) (message.IDReply, error) {
			select {
			case queried <- struct{}{}:
			default:
			}
			<-release
			return inner(ctx, to, query)
		}
		ended := make(chan *outcome.Error, 1)
		go func() {
			_, failure := c.handle(1, payout("r1"))
			ended <- failure
		}()
		<-queried
		for _, load := range c.hosts[0].leaseholder.QueueLoads() {
			if load.Running != 0 {
				t.Errorf("got %d slots in use, want none", load.Running)
			}
		}
		close(release)
		if failure := <-ended; failure != nil {
			t.Errorf("got %v, want a response", failure)
		}
	})
	t.Run("no reachable witness", func(t *testing.T) {
		c := newCluster(t, 3, 3)
		_, _ = c.handle(0, payout("r0"))
		c.unreachable[c.hosts[1].member.Incarnation], c.unreachable[c.hosts[2].member.Incarnation] = true, true
		c.hosts[0].ingress.MaxWait = 50 * time.Millisecond
		_, failure := c.handle(0, payout("r1"))
		checkFailure(t, failure, outcome.NotRun, outcome.HostUnreachable)
		c.checkRuns(t, 0)
	})
}

// TestAtMostOnceProperties guards against sequences of retries, new owners, new leaseholders,
// and losses and graceful stops of one host at a time that run a request twice, or run a
// request that was reported as not run.
func TestAtMostOnceProperties(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		const hosts = 5
		c := newCluster(t, hosts, rapid.IntRange(2, hosts).Draw(r, "domains"))
		epoch, token := uint64(1), uint64(1)
		uncertain := make(map[string]bool)
		for range rapid.IntRange(4, 40).Draw(r, "steps") {
			i := rapid.IntRange(0, hosts-1).Draw(r, "host")
			if !c.reachable(c.hosts[i].member.Incarnation) {
				continue
			}
			switch step := rapid.IntRange(0, 7).Draw(r, "step"); step {
			case 0:
				token++
				c.assign(i, epoch, token)
			case 1:
				epoch, token = epoch+1, token+1
				c.assign(i, epoch, token)
			case 2, 3:
				if len(c.members()) > 2 {
					token++
					c.removeHost(i, step == 2, epoch, token)
				}
			default:
				id := fmt.Sprint("r", rapid.IntRange(0, 1).Draw(r, "id"))
				c.target = rapid.SampledFrom([]func(context.Context, *message.Request) (*message.Response, *outcome.Error){
					c.loseResponse, c.loseResponse, c.respondOK, c.respondShed,
				}).Draw(r, "response")
				_, failure := c.handle(i, payout(id))
				if failure == nil || failure.Outcome != outcome.NotRun {
					uncertain[id] = true
				}
				if c.runs[id] > 1 || (c.runs[id] > 0 && !uncertain[id]) {
					r.Fatalf("request %s: got %d runs, reported run %v, want at most 1, as reported", id, c.runs[id], uncertain[id])
				}
			}
		}
	})
}

// removeHost removes host i, after it replicated its ids if it stops gracefully. The
// other hosts repair their replicas, and the last of them becomes the leaseholder.
func (c *cluster) removeHost(i int, graceful bool, epoch, token uint64) {
	if graceful {
		c.hosts[i].leaseholder.ReplicateIDs(context.Background())
	}
	c.lose(i)
	next := -1
	for other, host := range c.hosts {
		if c.reachable(host.member.Incarnation) {
			host.leaseholder.RepairReplicas(context.Background())
			next = other
		}
	}
	c.assign(next, epoch, token)
}
